// One node's way to the configuration in force.
//
// Accepted is what the conditional write put into the store; its version is the store's version of the object, which only grows.
// This core learns of versions from the store's watch (a few nodes of each region), from the membership digest and from its own
// reads, fetches the value from a peer or the store, and says when to apply it.
//
// Invariant: a version is applied only when it is above the applied one and not below any that was seen. So doubled, delayed and
// reordered answers, a watch that resumes from an old version, and a stale peer can't turn a node back.
//
//     follower.handle(VersionHeard { version, peer, true }, now);
//     follower.tick(now);
//     for (const FollowerCommand& command : follower.takeCommands()) ...
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"
#include "membership/Homes.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jj {

using FetchId = Id<struct FetchTag>;

struct FollowerSettings {
    std::size_t watchers_ = 2; // a region
    Duration watchSilence_ = 4s; // the store sends a bookmark each second; without any for so long the watch is opened anew
    Duration startGrace_ = 600ms; // a node that starts waits so long for a peer before it reads the store
    Duration fetchTimeout_ = 500ms; // a peer or the store that hasn't answered
    Duration firstBackoff_ = 200ms; // between fetches that fail
    Duration longestBackoff_ = 5s;
    Duration pauseBound_ = 1s; // a gap between ticks over this: what it knew may be old
};

// ---- Events

// Nodes that are live and take new work, this one included.
struct LiveNodes {
    std::vector<HomeCandidate> nodes_;
};

// The membership digest, or an operator's call on this node, says that a version is accepted.
struct VersionHeard {
    ConfigVersion version_;
    NodeId source_; // none: nobody to ask
    bool sourceApplies_ = false;
};

// A change or bookmark of the watch on the configuration's key.
struct WatchTold {
    ObjectVersion version_;
    bool isBookmark_ = false;
    std::string value_;
};

struct WatchEnded {
    bool expired_ = false; // ObjectError::Expired: the start is no longer kept
};

// Answer to ReadStore or AskPeer. None for the version: failed, or nothing there.
struct Fetched {
    FetchId fetch_;
    ConfigVersion version_;
    std::string value_;
    ObjectVersion storeVersion_; // ReadStore: of the whole store; none: the read failed
};

// This node's own conditional write has succeeded.
struct ConfigWritten {
    ConfigVersion version_;
    std::string value_;
};

using FollowerEvent = std::variant<LiveNodes, VersionHeard, WatchTold, WatchEnded, Fetched, ConfigWritten>;

// ---- Commands

// Watch the key for changes after this version of the store. One watch at a time.
struct OpenWatch {
    ObjectVersion from_;
};
struct CloseWatch { };

// ObjectCall::list of the key with its value: unlike a Get it also tells the store's version, from which a watch goes on without a gap.
struct ReadStore {
    FetchId fetch_;
};

// ConfigRequest on the link to the peer.
struct AskPeer {
    FetchId fetch_;
    NodeId peer_;
    ConfigVersion version_;
};

// Parse and apply; tell membership by ConfigApplied. A value that doesn't parse is left out by reject().
struct ApplyConfig {
    ConfigVersion version_;
    std::string value_;
};

using FollowerCommand = std::variant<OpenWatch, CloseWatch, ReadStore, AskPeer, ApplyConfig>;

class FollowerCore {
public:
    FollowerCore(NodeId self, RegionId region, const FollowerSettings& settings, TimePoint now, std::uint64_t seed);

    void handle(const FollowerEvent& event, TimePoint now);
    void tick(TimePoint now);
    std::vector<FollowerCommand> takeCommands();

    // The value of ApplyConfig can't be used: the version before stays in force here, and peers are asked for no value of it.
    void reject(ConfigVersion version);

    ConfigVersion applied() const { return applied_; }
    ConfigVersion highestSeen() const { return seen_; }
    // The value in force as it stands in the store: for peers that ask.
    const std::string& value() const { return value_; }
    // Has a configuration, and since the start or the last pause somebody has confirmed that it isn't old.
    bool isReady() const { return !applied_.isNone() && confirmed_; }
    bool isWatcher() const { return watcher_; }
    std::uint64_t storeReads() const { return storeReads_; }
    std::uint64_t rejected() const { return rejected_; }

private:
    enum class Want : std::uint8_t {
        Nothing,
        Newer, // a version is known whose value isn't here
        Position, // a watcher needs the store's version to watch from
        Confirmation, // what is applied may be old
    };

    void on(const LiveNodes& event);
    void on(const VersionHeard& event);
    void on(const WatchTold& event);
    void on(const WatchEnded&);
    void on(const Fetched& event);
    void on(const ConfigWritten& event);

    void noteClock(TimePoint now);
    void see(ConfigVersion version);
    void offer(ConfigVersion version, std::string value);
    Want want() const;
    void fetchSoon(Duration delay);
    void fetch();
    void startFetch(bool fromStore);
    void openWatch();
    void endWatch();
    NodeId anyPeer();

    NodeId self_;
    RegionId region_;
    FollowerSettings settings_;
    std::mt19937_64 random_;
    TimePoint now_;

    ConfigVersion applied_;
    ConfigVersion seen_;
    ConfigVersion rejectedVersion_;
    // What was applied before, to fall back on when a value turns out not to parse.
    ConfigVersion previous_;
    std::string previousValue_;
    std::string value_;
    bool confirmed_ = false;

    std::vector<HomeCandidate> live_;
    bool watcher_ = false;
    bool watching_ = false;
    // The store's version up to which nothing was missed; none: unknown, a read has to tell.
    ObjectVersion watchFrom_;
    TimePoint watchHeard_ {};
    TimePoint watchAgain_ {};

    // The peer that reported the highest version and has its value; none: no such peer.
    NodeId source_;
    FetchId fetching_; // none: no fetch under way
    std::uint64_t fetches_ = 0;
    bool fetchFromStore_ = false;
    TimePoint fetchEnds_ {};
    TimePoint nextFetch_;
    Duration backoff_;
    std::uint64_t storeReads_ = 0;
    std::uint64_t rejected_ = 0;

    std::vector<FollowerCommand> commands_;
};

} // namespace jj
