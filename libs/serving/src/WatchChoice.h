// Which nodes follow the store, and which leave that to them.
//
// Two of a region are elected, by a hash that all nodes compute alike: one may fall silent, and what the other tells shows it. When nobody
// is heard who watches, the next ones in that order try, one after the other, so nobody depends on the election being right.
//
// Failure met: all nodes start at once, each knows nobody and believes itself elected. It shows as 270 calls of the store in the first
// second of 84 nodes, and as hundreds more while they find out, since each one that watches asks again whenever an engine registers.
// The guard: nodes start to watch at different moments, one that hears a watcher waits until it knows the others before it counts
// itself as elected, and of two that aren't elected the lower one stops.
//
// Failure met: a node that had begun while it knew few others went on until it heard of a watcher, and nobody was heard for the first half
// second. It shows as 250 of 295 nodes that call the store when all start at once. The guard: a node that isn't heard to follow the
// store yet stops as soon as others come before it, and its first call waits for that (beginsAt).
//
// Failure met: the store is away, so nobody can follow it, and all nodes try to: 400 calls each of two kinds in an outage of 3 s, 84 nodes.
// The guard: who comes later in the order waits longer. When the store only turns some nodes away, the first that it serves follows.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

// Another node, as this one knows it.
struct WatchPeer {
    NodeId node_;
    bool mayWatch_ = false; // of this node's region, lives and doesn't leave
    bool isHeardWatching_ = false; // of any region: it follows the store and was heard just now
};

class WatchChoice {
public:
    // `seed` differs between nodes. `expectsOthers`: it was given hosts of the fleet, so it waits until it has met them.
    WatchChoice(NodeId self, TimePoint start, std::uint64_t seed, bool expectsOthers);

    // `isFollowing`: this node follows the store, so that others hear it watch.
    bool mustWatch(const std::vector<WatchPeer>& peers, bool isLeaving, bool isFollowing, TimePoint now);
    // May a node that has to watch make its first call? `isJoining`: it still learns who the others are.
    bool mayBegin(bool isJoining, TimePoint now) const { return now >= beginsAt_ && (!isJoining || now >= joinedAt_); }

private:
    // How many of the region come before this node.
    std::size_t placeAmong(const std::vector<WatchPeer>& peers) const;
    bool isMissed(const std::vector<WatchPeer>& peers, std::size_t place, TimePoint now);

    std::uint64_t rank_;
    TimePoint firstAt_; // not earlier
    TimePoint metAt_; // enough of the others are known to tell who comes before this node
    TimePoint joinedAt_; // not waited for longer
    TimePoint settledAt_; // the others are known by then
    TimePoint heardAt_ = neverTime; // when somebody was last heard who watches
    bool watching_ = false;
    TimePoint beginsAt_ = neverTime;
};

} // namespace jj
