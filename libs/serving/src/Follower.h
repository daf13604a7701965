// What this node knows from the store: the configuration in force, and the engines.
//
// A node that watches reads each of the two once and then follows it by calls that the store holds open. The others are passive:
// they hear from peers which versions there are, and ask the peer that told them. So the store's calls grow with the watchers, two
// a region, and not with the nodes: 84 nodes that all watched made 130 calls a second while engines registered.
//
// Peers' versions guard the watchers too: one that is behind them for longer than a message takes reads again, so a call that silently
// hears nothing costs no more than behindBound_.
#pragma once

#include "DecisionLog.h"
#include "PeerMessages.h"
#include "StoreLink.h"
#include "serving/Translation.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace jj {

struct FollowerTimes {
    // The store holds a call open for so long. Each is priced, and silence is noticed by way of the peers.
    Duration heldOpen_ = 8s;
    Duration firstRetry_ = 100ms;
    Duration longestRetry_ = 1s;
    // A peer has had a newer version for so long: this node asks.
    Duration behindBound_ = 250ms;
    Duration askEvery_ = 400ms;
    // Between two held-open calls that brought something: engines register one by one, and one call for each of them would be many.
    Duration betweenChanges_ = 200ms;
};

// The configuration in force. It only ever moves forward: an older version, from wherever it comes, is dropped.
class ConfigFollower {
public:
    using Applied = std::function<void(const std::shared_ptr<const RouteTable>&)>;
    // Asks a peer for news; nothing happens when there is none.
    using AskPeer = std::function<void()>;

    ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Applied applied, AskPeer askPeer);

    // Passive until told otherwise: the store isn't called.
    void setPassive(bool passive) { passive_ = passive; }
    void tick(TimePoint now);
    // From the store or from a peer.
    void take(std::string_view value, std::string_view source);
    void peerHas(std::uint64_t version, TimePoint now);

    std::uint64_t version() const { return table_ ? table_->version() : 0; }
    const std::shared_ptr<const RouteTable>& table() const { return table_; }
    const std::string& value() const { return value_; }

private:
    void read(TimePoint now);
    void watch();
    void again(TimePoint now);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    Applied applied_;
    AskPeer askPeer_;
    std::shared_ptr<const RouteTable> table_;
    std::string value_; // as the store holds it, for peers
    ObjectVersion seen_; // of the store, up to which changes are known; none: has to be read
    bool passive_ = false;
    bool busy_ = false; // a call is under way
    std::uint32_t failures_ = 0;
    TimePoint nextAt_ {};
    TimePoint askedAt_ {};
    std::uint64_t peerVersion_ = 0;
    TimePoint peerAheadSince_ {};
};

// The engines that the store's entries name.
//
// Failure met: while the store is away the entries of engines lapse, and after its return a list may be nearly empty although all engines
// live. It shows as a node that refuses everything right after an outage. The guard: what is missing after the store was out of reach
// stays known until the engines have had the time to register again.
class EngineFeed {
public:
    using Changed = std::function<void(const EngineEntry&)>;
    using Removed = std::function<void(const EngineEntry&)>;

    using AskPeer = std::function<void()>;

    EngineFeed(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, std::map<std::string, std::string> regions, Changed changed, Removed removed, AskPeer askPeer);

    void setPassive(bool passive) { passive_ = passive; }
    void tick(TimePoint now);
    void peerHas(std::uint64_t version, TimePoint now);
    std::uint64_t version() const { return newest_; }
    bool isKnown() const { return listedOnce_; }
    // The store answers, and its changes are followed.
    bool isFollowing() const { return !passive_ && !seen_.isNone() && failures_ == 0; }
    // For a peer that knows of changes up to `since`.
    EngineNews newsSince(std::uint64_t since) const;
    void take(const EngineNews& news);

private:
    struct Known {
        EngineEntry entry_;
        std::string value_; // as the store holds it
        ObjectVersion version_;
        TimePoint missingSince_ = neverTime; // gone from the store, kept for the grace time
    };

    void list(std::string after, TimePoint now);
    void watch();
    void again(TimePoint now);
    void apply(const std::string& key, const std::string& value, ObjectVersion version);
    void missing(const std::string& key, TimePoint now, Duration grace);
    void remove(const std::string& key, std::string_view why);
    void noteRemoval(const std::string& key);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    Duration grace_;
    std::map<std::string, std::string> regions_;
    Changed changed_;
    Removed removed_;
    AskPeer askPeer_;
    std::map<std::string, Known> known_; // by the entry's key
    // Removals, oldest first, for peers that heard of the entry and not of its end. Invariant: versions don't fall.
    std::deque<std::pair<std::uint64_t, std::string>> removals_;
    std::uint64_t removalsSince_ = 0; // removals before it are not kept
    bool passive_ = false;
    std::set<std::string> listing_; // keys that the list under way has named
    ObjectVersion seen_;
    ObjectVersion listedAt_;
    std::uint64_t newest_ = 0; // highest version of an entry's change
    std::uint64_t turn_ = 0; // of the call under way; answers to earlier ones are dropped
    bool listedOnce_ = false;
    bool busy_ = false;
    std::uint32_t failures_ = 0;
    TimePoint nextAt_ {};
    TimePoint askedAt_ {};
    TimePoint lostAt_ {}; // when a call last failed
    std::uint64_t peerVersion_ = 0;
    TimePoint peerAheadSince_ {};
};

} // namespace jj
