// Follows the engines' entries in the store, or leaves that to peers.
//
// A watcher lists the entries once and then follows them by long-poll calls, which the store holds open until there is a change. A
// passive node requests updates from a peer that is ahead (see ConfigFollower.h). Peers' versions also protect watchers: a watcher
// that stays behind a peer for longer than messages need to arrive calls the store again from its current version, so a connection
// that silently stopped delivering delays a change by little more than maxLag_ once a peer has it. A watcher lists the entries
// again only after a call has failed, because a list doesn't name engines that were added and removed since the last one (see
// RemovalHistory.h) and transfers all other entries again.
//
//     EngineFeed<StoreLink, SystemClock> feed(clock, store, translation, log, times, grace, mayReadLongList, catalog, requestFromPeer);
//     feed.setPassive(false);
//     feed.tick(clock.now());
//
// The store and the clock are template parameters: the daemon uses StoreLink and SystemClock, tests use a scripted store and a
// manual clock.
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

// Requires a store that can try a call once and that says since when it has been reachable.
template <class Store>
concept EngineStore = requires(Store& store, const ObjectCall& call, std::function<void(const ObjectAnswer&)> done)
{
    store.once(call, done);
    {
        store.reachableSince()
        } -> std::same_as<TimePoint>;
};

template <EngineStore Store, Clock RuntimeClock>
class EngineFeed {
public:
    using RequestFromPeer = std::function<void()>;
    // Returns whether this node, which has waited for its peers for that long, reads a list of several pages from the store itself.
    using MayReadLongList = std::function<bool(Duration waited)>;

    // `grace` is how long a missing engine stays in use after this node has lost and regained the store.
    EngineFeed(const RuntimeClock& clock, Store& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, MayReadLongList mayReadLongList, EngineCatalog& catalog, RequestFromPeer requestFromPeer)
        : clock_(clock)
        , store_(store)
        , translation_(translation)
        , log_(log)
        , times_(times)
        , grace_(grace)
        , mayReadLongList_(std::move(mayReadLongList))
        , lag_(times)
        , catalog_(catalog)
        , requestFromPeer_(std::move(requestFromPeer))
    {
    }

    // Sets whether the node is passive. Nodes are passive initially.
    void setPassive(bool isPassive)
    {
        isPassive_ = isPassive;
        if (isPassive || !followedVersion_.isNone())
            return;
        // Passive nodes depend on what this watcher reads, so it must not wait for them.
        deferredAt_ = neverTime;
        nextCallAt_ = std::min(nextCallAt_, clock_.now());
    }

    void tick(TimePoint now)
    {
        const bool isDue = !isCallInFlight_ && now >= nextCallAt_;
        // The first list may be some seconds old: newer changes arrive from peers, or from the watch that continues at the list's
        // version.
        const bool isFirst = !hasListed_;
        const bool needsList = followedVersion_.isNone() && (!isPassive_ || (isFirst && !catalog_.isInitialized()));
        if (isDue && needsList && !isLeftToPeers(now))
            list({}, isFirst, now);
        else if (isDue && !isPassive_)
            watch(times_.longPollTime_, now);
        catalog_.tick(now);
        requestMissingChanges(now);
    }

    // Records that a peer has applied all changes up to `version`. If this node lacks some of them, a passive node requests an update
    // at once, and a watcher calls the store again after FollowerTimes::maxLag_.
    void onPeerVersion(std::uint64_t version, TimePoint now)
    {
        if (!catalog_.tryAdvanceTo(version) && lag_.recordPeerVersion(version, isPassive_, now))
            requestFromPeer_();
    }

    // Returns whether this node watches the store and its last call succeeded.
    bool isFollowing() const { return !isPassive_ && !followedVersion_.isNone() && failures_ == 0; }

private:
    void requestMissingChanges(TimePoint now)
    {
        if (catalog_.tryAdvanceTo(lag_.version()) || !lag_.mustRequest(isPassive_, now))
            return;
        if (isPassive_)
            return requestFromPeer_();
        if (!catalog_.isInitialized())
            return;
        // A list of many pages takes longer than the interval between two requests, so one that makes progress isn't started again.
        if (followedVersion_.isNone() && isCallInFlight_ && now - callStartedAt_ < times_.maxRetryDelay_)
            return;
        log_.line("enginesBehind").with("known", catalog_.version()).with("peer", lag_.version());
        if (followedVersion_.isNone())
            return list({}, false, now);
        // A change is known to exist, so the store answers this call at once instead of holding it open.
        watch(times_.maxLag_, now);
    }

    // Logs what an answer of the store contained. Together with the log lines for peers' updates, this shows which way each change
    // arrived.
    void logAnswer(std::string_view call, std::uint64_t from, ObjectVersion upTo, std::size_t changed, std::size_t removed)
    {
        log_.line("enginesByStore").with("call", call).with("from", from).with("version", upTo.value()).with("changed", changed).with("removed", removed);
    }

    // ---- failures

    void scheduleRetry(TimePoint now)
    {
        isCallInFlight_ = false;
        nextCallAt_ = now + retryDelay(times_, failures_);
        ++failures_;
        followedVersion_ = ObjectVersion::none();
    }

    void handleListFailure(TimePoint now)
    {
        grace_.recordFailure(now);
        scheduleRetry(now);
    }

    // A failed watch call alone doesn't show an outage: a healthy store also closes long-poll calls, or reports that their version has
    // expired from its history. Only a call that stays silent for its whole time shows that the store was unreachable. If an outage
    // cuts the call earlier, the list that follows fails and shows it.
    void handleWatchFailure(std::error_code error, TimePoint now)
    {
        if (now - callStartedAt_ >= longPollTime_)
            grace_.recordFailure(now);
        scheduleRetry(now);
        if (error == ObjectError::Expired)
            nextCallAt_ = now;
    }

    // ---- list

    void list(std::string after, bool stale, TimePoint now)
    {
        isCallInFlight_ = true;
        hasListed_ = true;
        callStartedAt_ = now;
        if (after.empty()) {
            pendingEntries_.clear();
            firstPageVersion_ = ObjectVersion::none();
        }
        ObjectCall call = ObjectCall::list(translation_.keys_.engines_, true, std::move(after));
        call.stale_ = stale;
        store_.once(call, [this, stale, callNumber = ++callNumber_](const ObjectAnswer& answer) {
            if (callNumber == callNumber_)
                handlePage(answer, stale, clock_.now());
        });
    }

    void handlePage(const ObjectAnswer& answer, bool stale, TimePoint now)
    {
        if (!answer.ok())
            return handleListFailure(now);
        // The watch continues at the version of the first page.
        if (firstPageVersion_.isNone())
            firstPageVersion_ = answer.version_;
        lastPageVersion_ = answer.version_;
        pendingEntries_.insert(pendingEntries_.end(), answer.entries_.begin(), answer.entries_.end());
        if (answer.next_.empty())
            return finishList(now);
        if (stale && isPassive_ && deferredAt_ == neverTime && !mayReadLongList_(Duration::zero()))
            return deferToPeers(now);
        list(answer.next_, stale, now);
    }

    // After all processes of a fleet were killed and restarted, 300 processes each read a list of 3,000 engines, 0.9 MB, half of
    // them over the link between the regions, and the fleet served no requests for 8 to 30 s. If a share of the processes read it,
    // the bytes would grow with the square of the fleet. So a few per region read a long list, and the others receive it from those.
    void deferToPeers(TimePoint now)
    {
        log_.line("enginesLeftToPeers").with("listed", pendingEntries_.size());
        pendingEntries_.clear();
        isCallInFlight_ = false;
        hasListed_ = false;
        deferredAt_ = now;
    }

    bool isLeftToPeers(TimePoint now) const { return isPassive_ && deferredAt_ != neverTime && !mayReadLongList_(now - deferredAt_); }

    // Applies all pages at once. Otherwise a peer that requested an update between two pages would count as having applied removals
    // that its answer didn't name.
    void finishList(TimePoint now)
    {
        grace_.recordSuccess(now);
        logAnswer("list", catalog_.version(), firstPageVersion_, pendingEntries_.size(), 0);
        catalog_.list(pendingEntries_, { firstPageVersion_, lastPageVersion_ }, now, remainingGrace(now));
        pendingEntries_.clear();
        isCallInFlight_ = false;
        failures_ = 0;
        followedVersion_ = firstPageVersion_;
        nextCallAt_ = now;
    }

    // ---- watch

    void watch(Duration longPollTime, TimePoint now)
    {
        isCallInFlight_ = true;
        callStartedAt_ = now;
        longPollTime_ = longPollTime;
        store_.once(ObjectCall::changes(translation_.keys_.engines_, followedVersion_, longPollTime), [this, callNumber = ++callNumber_](const ObjectAnswer& answer) {
            if (callNumber == callNumber_)
                handleChanges(answer, clock_.now());
        });
    }

    void handleChanges(const ObjectAnswer& answer, TimePoint now)
    {
        isCallInFlight_ = false;
        if (!answer.ok())
            return handleWatchFailure(answer.error_, now);
        failures_ = 0;
        grace_.recordSuccess(now);
        const bool isUnchanged = answer.changes_.empty();
        if (!isUnchanged)
            logChanges(answer);
        catalog_.applyChanges(answer.changes_, answer.version_, now, remainingGrace(now));
        followedVersion_ = answer.version_;
        nextCallAt_ = now + (isUnchanged ? Duration::zero() : times_.pauseAfterChanges_);
        if (!isPassive_ && isUnchanged)
            watch(times_.longPollTime_, now);
    }

    void logChanges(const ObjectAnswer& answer)
    {
        const auto removed = static_cast<std::size_t>(std::count_if(answer.changes_.begin(), answer.changes_.end(), [](const ObjectChange& change) { return change.kind_ == ChangeKind::Remove; }));
        logAnswer("watch", followedVersion_.value(), answer.version_, answer.changes_.size() - removed, removed);
    }

    Duration remainingGrace(TimePoint now) const { return grace_.remaining(store_.reachableSince(), now); }

    const RuntimeClock& clock_;
    Store& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    OutageGrace grace_;
    MayReadLongList mayReadLongList_;
    TimePoint deferredAt_ = neverTime; // since when this node has left the first list to its peers; neverTime: it hasn't
    PeerLag lag_;
    EngineCatalog& catalog_;
    RequestFromPeer requestFromPeer_;
    bool isPassive_ = true;
    bool hasListed_ = false; // each node lists once at its start, see ConfigFollower.h
    std::vector<ObjectEntry> pendingEntries_; // pages received so far of the list in progress
    ObjectVersion followedVersion_; // store version up to which changes have been applied; none: the engines must be listed
    ObjectVersion firstPageVersion_; // store version of the list's first page
    ObjectVersion lastPageVersion_;
    std::uint64_t callNumber_ = 0; // number of the latest call; answers to earlier calls are dropped
    bool isCallInFlight_ = false;
    std::uint32_t failures_ = 0;
    TimePoint callStartedAt_ {};
    Duration longPollTime_ {}; // long-poll time of the last watch
    TimePoint nextCallAt_ {};
};

} // namespace jj
