// List once, then held-open calls; after whatever goes wrong, list again.
#include "EngineFeed.h"

#include <algorithm>

namespace jj {

EngineFeed::EngineFeed(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, EngineCatalog& catalog, AskPeer askPeer)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , times_(times)
    , grace_(grace)
    , catalog_(catalog)
    , askPeer_(std::move(askPeer))
{
}

void EngineFeed::tick(TimePoint now)
{
    const bool mustList = seen_.isNone() && (!passive_ || !hasListed_);
    if (!busy_ && now >= nextAt_ && mustList)
        list({}, now);
    else if (!busy_ && now >= nextAt_ && !passive_)
        watch(now);
    catalog_.tick(now);
    const bool isBehind = !catalog_.knowsAsMuch(peerVersion_);
    const Duration patience = passive_ ? Duration::zero() : times_.behindBound_;
    if (!isBehind || now - peerAheadSince_ < patience || now - askedAt_ < times_.askEvery_)
        return;
    askedAt_ = now;
    if (passive_)
        return askPeer_();
    if (!catalog_.isKnown())
        return;
    log_.line("enginesBehind").with("known", catalog_.version()).with("peer", peerVersion_);
    list({}, now);
}

void EngineFeed::peerHas(std::uint64_t version, TimePoint now)
{
    if (catalog_.knowsAsMuch(version) || version <= peerVersion_)
        return;
    peerVersion_ = version;
    peerAheadSince_ = now;
    // While engines register there are new versions all the time; tick() asks again.
    if (!passive_ || now - askedAt_ < times_.askEvery_)
        return;
    askedAt_ = now;
    askPeer_();
}

// What an answer of the store brought: with the peers' updates it shows by which way a change came, or didn't.
void EngineFeed::logAnswer(std::string_view call, ObjectVersion from, ObjectVersion upTo, std::size_t changed, std::size_t removed)
{
    log_.line("enginesByStore").with("call", call).with("from", from.value()).with("version", upTo.value()).with("changed", changed).with("removed", removed);
}

// ---- failures

void EngineFeed::again(TimePoint now)
{
    busy_ = false;
    nextAt_ = now + retryAfter(times_, failures_);
    ++failures_;
    seen_ = ObjectVersion::none();
}

void EngineFeed::listFailed(TimePoint now)
{
    grace_.lost(now);
    again(now);
}

// A store that is well cuts held-open calls too, and forgets its history. Only silence to the end of the call's time tells that it
// was out of reach; a cut by an outage is followed by a list that fails.
void EngineFeed::watchFailed(std::error_code error, TimePoint now)
{
    if (now - calledAt_ >= times_.heldOpen_)
        grace_.lost(now);
    again(now);
    if (error == ObjectError::Expired)
        nextAt_ = now;
}

// ---- list

void EngineFeed::list(std::string after, TimePoint now)
{
    busy_ = true;
    hasListed_ = true;
    calledAt_ = now;
    if (after.empty()) {
        listing_.clear();
        listedAt_ = ObjectVersion::none();
    }
    store_.once(ObjectCall::list(translation_.keys_.engines_, true, std::move(after)), [this, turn = ++turn_](const ObjectAnswer& answer) {
        if (turn != turn_)
            return;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return listFailed(at);
        // Changes that happen between two pages are told again by the watch, which goes on from the first page.
        if (listedAt_.isNone())
            listedAt_ = answer.version_;
        listing_.insert(listing_.end(), answer.entries_.begin(), answer.entries_.end());
        lastPageAt_ = answer.version_;
        if (!answer.next_.empty())
            return list(answer.next_, at);
        takeList(at);
    });
}

// All pages at once: a peer that asked between two of them would count as knowing of removals that it was not told.
void EngineFeed::takeList(TimePoint now)
{
    grace_.answered(now);
    logAnswer("list", ObjectVersion(catalog_.version()), listedAt_, listing_.size(), 0);
    catalog_.list(listing_, { listedAt_, lastPageAt_ }, now, graceAt(now));
    listing_.clear();
    busy_ = false;
    failures_ = 0;
    seen_ = listedAt_;
    nextAt_ = now;
}

// ---- watch

void EngineFeed::watch(TimePoint now)
{
    busy_ = true;
    calledAt_ = now;
    store_.once(ObjectCall::changes(translation_.keys_.engines_, seen_, times_.heldOpen_), [this, turn = ++turn_](const ObjectAnswer& answer) {
        if (turn != turn_)
            return;
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return watchFailed(answer.error_, at);
        failures_ = 0;
        grace_.answered(at);
        const auto removed = static_cast<std::size_t>(std::count_if(answer.changes_.begin(), answer.changes_.end(), [](const ObjectChange& change) { return change.kind_ == ChangeKind::Remove; }));
        if (!answer.changes_.empty())
            logAnswer("watch", seen_, answer.version_, answer.changes_.size() - removed, removed);
        catalog_.follow(answer.changes_, answer.version_, at, graceAt(at));
        seen_ = answer.version_;
        nextAt_ = at + (answer.changes_.empty() ? Duration::zero() : times_.betweenChanges_);
        if (!passive_ && answer.changes_.empty())
            watch(at);
    });
}

} // namespace jj
