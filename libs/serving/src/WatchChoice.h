// Decides which nodes watch the store, and which receive changes from those watchers.
//
// Two nodes per region are elected by a hash that all nodes compute alike: if one stops receiving changes, the reports of the other
// reveal it. When no watcher is reported, the next nodes in hash order try one after the other, so correctness doesn't depend on
// the election.
//
// When all nodes start at once, each one knows no other node and considers itself elected. A start of 84 nodes made 270 calls to
// the store in its first second, and hundreds more until the nodes had discovered each other, because each watcher calls again
// whenever an engine registers. Therefore nodes start to watch at different moments, a node that receives a watcher's report counts
// itself as elected only once it knows the other nodes, and of two watchers that aren't elected the lower-ranked one stops.
//
// A node that started watching while it knew few others would continue until it received a watcher's report, and no such report
// exists in the first half second: when 295 nodes started at once, 250 of them called the store. Therefore a node that isn't yet
// following the store stops as soon as it learns of higher-ranked nodes, and its first call is delayed until then (firstCallAt_).
//
// While the store is unavailable no node can follow it, and all nodes would try: in an outage of 3 s, 84 nodes made 400 calls of
// each of two kinds. Therefore a node waits longer the later it is in the order. When the store refuses only some nodes, the first
// node that it serves becomes a watcher.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

// Another node, as seen by this one.
struct WatchPeer {
    NodeId node_;
    bool isEligible_ = false; // in this node's region, alive and not leaving
    bool isReportedWatching_ = false; // in any region: follows the store, according to a recent report
};

class WatchChoice {
public:
    // `seed` differs between nodes. `expectsOthers` says that the node was configured with hosts of the fleet, so it waits until it
    // has discovered them.
    WatchChoice(NodeId self, TimePoint start, std::uint64_t seed, bool expectsOthers);

    // Decides again whether this node is to watch the store, records the decision and returns it. `isFollowing` says that the node
    // already follows the store, so that its reports name it as a watcher.
    bool shouldWatch(const std::vector<WatchPeer>& peers, bool isLeaving, bool isFollowing, TimePoint now);
    // Returns whether a node that is to watch may make its first call. `isJoining` says that it is still discovering the other
    // nodes.
    bool canStart(bool isJoining, TimePoint now) const { return now >= firstCallAt_ && (!isJoining || now >= joinDeadline_); }
    // Returns whether a node that isn't a watcher, and that has waited for its peers for that long, reads a long list of engines from the
    // store itself: the first nodes in the order of the election, and twice as many after each further listWait.
    bool mayReadLongList(const std::vector<WatchPeer>& peers, bool isJoining, Duration waited, TimePoint now) const;

    // Nodes per region that read a long list at the start. With sixteen sources the list reaches a thousand nodes in six rounds of
    // answers; more readers would send more copies over the links of the store.
    static constexpr std::size_t listReadersPerRegion = 8;
    // Longer than the rounds of answers that bring a list of 10,000 engines to a thousand nodes.
    static constexpr Duration listWait = 4s;

private:
    // Returns the number of eligible nodes in the region that rank above this one.
    std::size_t countHigherRanked(const std::vector<WatchPeer>& peers) const;
    // Records the time if a watcher is reported now. Returns whether no watcher is reported and the nodes ranked above this one have
    // had their time to try.
    bool isWatcherMissing(const std::vector<WatchPeer>& peers, std::size_t higherRanked, TimePoint now);

    std::uint64_t rank_;
    TimePoint earliestWatchAt_;
    TimePoint discoveredAt_; // a fixed time after the start, by which enough nodes are known to tell which of them rank above this one
    TimePoint joinDeadline_; // from then on the first call no longer waits for joining to end
    TimePoint settledAt_; // a fixed time after the start, by which all other nodes are known
    TimePoint watcherReportedAt_ = neverTime; // when a watcher was last reported
    bool isWatching_ = false;
    TimePoint firstCallAt_ = neverTime;
};

} // namespace jj
