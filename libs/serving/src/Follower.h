// What this node knows from the store: the configuration in force, and the engines.
//
// Each of the two is read once and then followed by calls that the store holds open. Peers tell which version they have; one that
// is behind them for longer than a message takes asks at once, so a call that silently hears nothing costs no more than behindBound_.
#pragma once

#include "DecisionLog.h"
#include "StoreLink.h"
#include "serving/Translation.h"

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
};

// The configuration in force. It only ever moves forward: an older version, from wherever it comes, is dropped.
class ConfigFollower {
public:
    using Applied = std::function<void(const std::shared_ptr<const RouteTable>&)>;
    // Asks some peer for its configuration; nothing happens when there is none.
    using AskPeer = std::function<void()>;

    ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Applied applied, AskPeer askPeer);

    void start(TimePoint now);
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

    EngineFeed(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Duration grace, std::map<std::string, std::string> regions, Changed changed, Removed removed);

    void start(TimePoint now);
    void tick(TimePoint now);
    void peerHas(std::uint64_t version, TimePoint now);
    std::uint64_t version() const { return newest_; }
    bool isKnown() const { return listedOnce_; }

private:
    struct Known {
        EngineEntry entry_;
        TimePoint missingSince_ = neverTime; // gone from the store, kept for the grace time
    };

    void list(std::string after, TimePoint now);
    void watch();
    void again(TimePoint now);
    void apply(const std::string& key, const std::string& value, ObjectVersion version);
    void missing(const std::string& key, TimePoint now, Duration grace);
    void remove(const std::string& key, std::string_view why);

    StoreLink& store_;
    const Translation& translation_;
    DecisionLog& log_;
    FollowerTimes times_;
    Duration grace_;
    std::map<std::string, std::string> regions_;
    Changed changed_;
    Removed removed_;
    std::map<std::string, Known> known_; // by the entry's key
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
