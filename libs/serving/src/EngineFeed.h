// Follows the engines' entries in the store, or leaves that to peers.
//
// A node that watches lists the entries once and then follows them by calls that the store holds open; a passive one asks the peer
// that knows more (see ConfigFollower.h). Peers' versions guard the watchers too: one that is behind them for longer than a message
// takes lists again, so a call that silently hears nothing costs no more than behindBound_.
#pragma once

#include "DecisionLog.h"
#include "EngineCatalog.h"
#include "FollowerTimes.h"
#include "OutageGrace.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <functional>
#include <string>
#include <vector>

namespace jj {

class EngineFeed {
public:
    using AskPeer = std::function<void()>;

    // `grace`: how long an engine stays in use that is missing after this node couldn't reach the store.
    EngineFeed(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, EngineCatalog& catalog, AskPeer askPeer);

    // Passive until told otherwise.
    void setPassive(bool passive) { passive_ = passive; }
    void tick(TimePoint now);
    void peerHas(std::uint64_t version, TimePoint now);
    // The store answers, and its changes are followed.
    bool isFollowing() const { return !passive_ && !seen_.isNone() && failures_ == 0; }

private:
    void list(std::string after, TimePoint now);
    void takeList(TimePoint now);
    void watch(TimePoint now);
    void listFailed(TimePoint now);
    void watchFailed(std::error_code error, TimePoint now);
    void again(TimePoint now);
    void logAnswer(std::string_view call, ObjectVersion from, ObjectVersion upTo, std::size_t changed, std::size_t removed);
    Duration graceAt(TimePoint now) const { return grace_.left(store_.backSince(), now); }

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    OutageGrace grace_;
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
    TimePoint nextAt_ {};
    TimePoint askedAt_ {};
    std::uint64_t peerVersion_ = 0;
    TimePoint peerAheadSince_ {};
};

} // namespace jj
