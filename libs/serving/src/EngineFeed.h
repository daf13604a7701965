// Follows the engines' entries in the store, or leaves that to peers.
//
// A node that watches lists the entries once and then follows them by calls that the store holds open; a passive one asks the peer
// that knows more (see ConfigFollower.h). Peers' versions guard the watchers too: one that is behind them for longer than a message
// takes asks again from where it is, so a call that silently hears nothing costs no more than behindBound_. It lists again only when
// a call has failed: a list names no engine that came and went meanwhile (see RemovalHistory.h), and all the others once more.
//
//     EngineFeed<StoreLink, SystemClock> feed(clock, store, translation, log, times, grace, catalog, askPeer);
//     feed.setPassive(false);
//     feed.tick(clock.now());
//
// The store and the clock are template parameters: the platform's and the process's own in the daemon, a script and one that stands
// still in tests.
#pragma once

#include "DecisionLog.h"
#include "EngineCatalog.h"
#include "FollowerTimes.h"
#include "OutageGrace.h"
#include "PeerLag.h"
#include "objects/ObjectApi.h"
#include "serving/Translation.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace jj {

// One try of a call, and since when the store has been in reach.
template <class Store>
concept EngineStore = requires(Store& store, const ObjectCall& call, std::function<void(const ObjectAnswer&)> done)
{
    store.once(call, done);
    {
        store.backSince()
        } -> std::same_as<TimePoint>;
};

template <EngineStore Store, Clock RuntimeClock>
class EngineFeed {
public:
    using AskPeer = std::function<void()>;

    // `grace`: how long an engine stays in use that is missing after this node couldn't reach the store. `readsLongLists`: whether it reads a first list of
    // several pages itself.
    EngineFeed(const RuntimeClock& clock, Store& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, bool readsLongLists, EngineCatalog& catalog, AskPeer askPeer)
        : clock_(clock)
        , store_(store)
        , translation_(translation)
        , log_(log)
        , times_(times)
        , grace_(grace)
        , readsLongLists_(readsLongLists)
        , lag_(times)
        , catalog_(catalog)
        , askPeer_(std::move(askPeer))
    {
    }

    // Passive at first.
    void setPassive(bool passive)
    {
        passive_ = passive;
        if (passive || !seen_.isNone())
            return;
        // Others wait for what this one reads.
        readsLongLists_ = true;
        nextAt_ = std::min(nextAt_, clock_.now());
    }

    void tick(TimePoint now)
    {
        const bool isDue = !busy_ && now >= nextAt_;
        // The first list may be some seconds old: what came since is brought by peers, or by the watch that goes on from it.
        const bool isFirst = !hasListed_;
        const bool mustList = seen_.isNone() && (!passive_ || (isFirst && !catalog_.isKnown()));
        if (isDue && mustList)
            list({}, isFirst, now);
        else if (isDue && !passive_)
            watch(times_.heldOpen_, now);
        catalog_.tick(now);
        catchUp(now);
    }

    void peerHas(std::uint64_t version, TimePoint now)
    {
        if (!catalog_.knowsAsMuch(version) && lag_.mustAsk(version, passive_, now))
            askPeer_();
    }

    // The store answers, and its changes are followed.
    bool isFollowing() const { return !passive_ && !seen_.isNone() && failures_ == 0; }

private:
    void catchUp(TimePoint now)
    {
        if (catalog_.knowsAsMuch(lag_.version()) || !lag_.mustAskAgain(passive_, now))
            return;
        if (passive_)
            return askPeer_();
        if (!catalog_.isKnown())
            return;
        log_.line("enginesBehind").with("known", catalog_.version()).with("peer", lag_.version());
        if (seen_.isNone())
            return list({}, false, now);
        // There is a change, so the store has no reason to hold this call.
        watch(times_.behindBound_, now);
    }

    // What an answer of the store brought: with the peers' updates it shows by which way a change came, or didn't.
    void logAnswer(std::string_view call, std::uint64_t from, ObjectVersion upTo, std::size_t changed, std::size_t removed)
    {
        log_.line("enginesByStore").with("call", call).with("from", from).with("version", upTo.value()).with("changed", changed).with("removed", removed);
    }

    // ---- failures

    void again(TimePoint now)
    {
        busy_ = false;
        nextAt_ = now + retryAfter(times_, failures_);
        ++failures_;
        seen_ = ObjectVersion::none();
    }

    void listFailed(TimePoint now)
    {
        grace_.lost(now);
        again(now);
    }

    // A store that is well cuts held-open calls too, and forgets its history. Only silence to the end of the call's time tells that it
    // was out of reach; a cut by an outage is followed by a list that fails.
    void watchFailed(std::error_code error, TimePoint now)
    {
        if (now - calledAt_ >= heldOpen_)
            grace_.lost(now);
        again(now);
        if (error == ObjectError::Expired)
            nextAt_ = now;
    }

    // ---- list

    void list(std::string after, bool stale, TimePoint now)
    {
        busy_ = true;
        hasListed_ = true;
        calledAt_ = now;
        if (after.empty()) {
            listing_.clear();
            listedAt_ = ObjectVersion::none();
        }
        ObjectCall call = ObjectCall::list(translation_.keys_.engines_, true, std::move(after));
        call.stale_ = stale;
        store_.once(call, [this, stale, turn = ++turn_](const ObjectAnswer& answer) {
            if (turn == turn_)
                takePage(answer, stale, clock_.now());
        });
    }

    void takePage(const ObjectAnswer& answer, bool stale, TimePoint now)
    {
        if (!answer.ok())
            return listFailed(now);
        // The watch goes on from the first page.
        if (listedAt_.isNone())
            listedAt_ = answer.version_;
        lastPageAt_ = answer.version_;
        listing_.insert(listing_.end(), answer.entries_.begin(), answer.entries_.end());
        if (answer.next_.empty())
            return takeList(now);
        if (stale && !readsLongLists_)
            return leaveToPeers(now);
        list(answer.next_, stale, now);
    }

    // Failure met: after all were killed 300 processes read a list of 3,000 engines each, 0.9 MB, half of them over the link between the regions. It
    // shows as a fleet that serves nobody for 8 to 30 s. The guard: one process in eight reads on, the others take it from those.
    void leaveToPeers(TimePoint now)
    {
        log_.line("enginesLeftToPeers").with("listed", listing_.size());
        listing_.clear();
        busy_ = false;
        hasListed_ = false;
        readsLongLists_ = true;
        nextAt_ = now + times_.leftToPeers_;
    }

    // All pages at once: a peer that asked between two of them would count as knowing of removals that its answer didn't name.
    void takeList(TimePoint now)
    {
        grace_.answered(now);
        logAnswer("list", catalog_.version(), listedAt_, listing_.size(), 0);
        catalog_.list(listing_, { listedAt_, lastPageAt_ }, now, graceAt(now));
        listing_.clear();
        busy_ = false;
        failures_ = 0;
        seen_ = listedAt_;
        nextAt_ = now;
    }

    // ---- watch

    void watch(Duration heldOpen, TimePoint now)
    {
        busy_ = true;
        calledAt_ = now;
        heldOpen_ = heldOpen;
        store_.once(ObjectCall::changes(translation_.keys_.engines_, seen_, heldOpen), [this, turn = ++turn_](const ObjectAnswer& answer) {
            if (turn == turn_)
                takeChanges(answer, clock_.now());
        });
    }

    void takeChanges(const ObjectAnswer& answer, TimePoint now)
    {
        busy_ = false;
        if (!answer.ok())
            return watchFailed(answer.error_, now);
        failures_ = 0;
        grace_.answered(now);
        const bool isQuiet = answer.changes_.empty();
        if (!isQuiet)
            logChanges(answer);
        catalog_.follow(answer.changes_, answer.version_, now, graceAt(now));
        seen_ = answer.version_;
        nextAt_ = now + (isQuiet ? Duration::zero() : times_.betweenChanges_);
        if (!passive_ && isQuiet)
            watch(times_.heldOpen_, now);
    }

    void logChanges(const ObjectAnswer& answer)
    {
        const auto removed = static_cast<std::size_t>(std::count_if(answer.changes_.begin(), answer.changes_.end(), [](const ObjectChange& change) { return change.kind_ == ChangeKind::Remove; }));
        logAnswer("watch", seen_.value(), answer.version_, answer.changes_.size() - removed, removed);
    }

    Duration graceAt(TimePoint now) const { return grace_.left(store_.backSince(), now); }

    const RuntimeClock& clock_;
    Store& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    OutageGrace grace_;
    bool readsLongLists_; // or has waited for its peers
    PeerLag lag_;
    EngineCatalog& catalog_;
    AskPeer askPeer_;
    bool passive_ = true;
    bool hasListed_ = false; // each node lists once at its start, see ConfigFollower.h
    std::vector<ObjectEntry> listing_; // pages of the list under way
    ObjectVersion seen_; // up to which changes are known; none: has to be listed
    ObjectVersion listedAt_; // of the first page
    ObjectVersion lastPageAt_;
    std::uint64_t turn_ = 0; // of the call under way; answers to earlier ones are dropped
    bool busy_ = false;
    std::uint32_t failures_ = 0;
    TimePoint calledAt_ {};
    Duration heldOpen_ {}; // of the last watch
    TimePoint nextAt_ {};
};

} // namespace jj
