// Follows the engines' entries in the store, or leaves that to peers.
//
// A watcher lists the entries once and then follows them by long-poll calls, which the store holds open until there is a change. A
// passive node requests updates from a peer that is ahead (see ConfigFollower.h). Peers' versions also protect watchers: a watcher
// that stays behind a peer for longer than messages need to arrive calls the store again from its current version, so a connection
// that silently stopped delivering delays a change by little more than behindBound_ once a peer has it. A watcher lists the entries
// again only after a call has failed, because a list doesn't name engines that were added and removed since the last one (see
// RemovalHistory.h) and transfers all other entries again.
//
//     EngineFeed<StoreLink, SystemClock> feed(clock, store, translation, log, times, grace, readsLongLists, catalog, askPeer);
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
        store.backSince()
        } -> std::same_as<TimePoint>;
};

template <EngineStore Store, Clock RuntimeClock>
class EngineFeed {
public:
    using AskPeer = std::function<void()>;

    // `grace` is how long a missing engine stays in use after this node has lost and regained the store. `readsLongLists` says
    // whether the node itself reads a first list of several pages.
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

    // Sets whether the node is passive. Nodes are passive initially.
    void setPassive(bool passive)
    {
        passive_ = passive;
        if (passive || !seen_.isNone())
            return;
        // Passive nodes depend on what this watcher reads, so it must not wait for them.
        readsLongLists_ = true;
        nextAt_ = std::min(nextAt_, clock_.now());
    }

    void tick(TimePoint now)
    {
        const bool isDue = !busy_ && now >= nextAt_;
        // The first list may be some seconds old: newer changes arrive from peers, or from the watch that continues at the list's
        // version.
        const bool isFirst = !hasListed_;
        const bool mustList = seen_.isNone() && (!passive_ || (isFirst && !catalog_.isKnown()));
        if (isDue && mustList)
            list({}, isFirst, now);
        else if (isDue && !passive_)
            watch(times_.heldOpen_, now);
        catalog_.tick(now);
        catchUp(now);
    }

    // Records that a peer has applied all changes up to `version`. If this node lacks some of them, a passive node requests an update
    // at once, and a watcher calls the store again after FollowerTimes::behindBound_.
    void peerHas(std::uint64_t version, TimePoint now)
    {
        if (!catalog_.knowsAsMuch(version) && lag_.mustAsk(version, passive_, now))
            askPeer_();
    }

    // Returns whether this node watches the store and its last call succeeded.
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
        // A change is known to exist, so the store answers this call at once instead of holding it open.
        watch(times_.behindBound_, now);
    }

    // Logs what an answer of the store contained. Together with the log lines for peers' updates, this shows which way each change
    // arrived.
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

    // A failed watch call alone doesn't show an outage: a healthy store also closes long-poll calls, or reports that their version has
    // expired from its history. Only a call that stays silent for its whole time shows that the store was unreachable. If an outage
    // cuts the call earlier, the list that follows fails and shows it.
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
        // The watch continues at the version of the first page.
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

    // After all processes of a fleet were killed and restarted, 300 processes each read a list of 3,000 engines, 0.9 MB, half of
    // them over the link between the regions, and the fleet served no requests for 8 to 30 s. So only one process in eight reads a
    // long list, and the others receive it from those.
    void leaveToPeers(TimePoint now)
    {
        log_.line("enginesLeftToPeers").with("listed", listing_.size());
        listing_.clear();
        busy_ = false;
        hasListed_ = false;
        readsLongLists_ = true;
        nextAt_ = now + times_.leftToPeers_;
    }

    // Applies all pages at once. Otherwise a peer that requested an update between two pages would count as having applied removals
    // that its answer didn't name.
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
    // As configured at first. Set once the node has waited for its peers to send the list, and when the node becomes a watcher.
    bool readsLongLists_;
    PeerLag lag_;
    EngineCatalog& catalog_;
    AskPeer askPeer_;
    bool passive_ = true;
    bool hasListed_ = false; // each node lists once at its start, see ConfigFollower.h
    std::vector<ObjectEntry> listing_; // pages received so far of the list in progress
    ObjectVersion seen_; // store version up to which changes have been applied; none: the engines must be listed
    ObjectVersion listedAt_; // store version of the list's first page
    ObjectVersion lastPageAt_;
    std::uint64_t turn_ = 0; // number of the latest call; answers to earlier calls are dropped
    bool busy_ = false;
    std::uint32_t failures_ = 0;
    TimePoint calledAt_ {};
    Duration heldOpen_ {}; // long-poll time of the last watch
    TimePoint nextAt_ {};
};

} // namespace jj
