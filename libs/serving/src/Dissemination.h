// How updates of the configuration and of engines get from the few nodes that follow the store to all others.
//
// Each node's report tells which versions it has; who is behind asks one that has more and can then tell others in turn.
//
// Failure met: all nodes ask the one node that is ahead of all. Its link is full for seconds, the askers give up before the first byte
// and ask again, and what it sends is for nobody. It shows as configurations that come into force after 5 to 14 s in a fleet of 299 nodes,
// and as a fleet that isn't back half a minute after all of it was killed, with 0.9 MB of engines for each node. The guard: who is behind
// asks any of those that are ahead, near ones first, and a node takes no more askers than its link can answer soon; the others hear
// at once that they should ask elsewhere. So the number of nodes that can tell doubles with each answer.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace jj {

// What a peer has, by its last report.
struct UpdatePeer {
    NodeId node_;
    bool isNear_ = false; // in this node's region
    std::uint64_t config_ = 0;
    std::uint64_t engines_ = 0;
};

// A peer that is ahead of these versions; any peer when none is known to be ahead; none when there is no peer.
NodeId pickUpdateSource(const std::vector<UpdatePeer>& peers, std::uint64_t config, std::uint64_t engines, std::mt19937_64& random);

// Which askers a node takes.
class UpdateBudget {
public:
    // Half of the slowest link of an entry host, 30 Mbit/s: callers' answers need the rest.
    static constexpr double bytesPerSecond = 2e6;
    // An asker gives up when no byte comes for 600 ms.
    static constexpr Duration longestBacklog = 250ms;

    bool mayAnswer(TimePoint now) const { return busyUntil_ - now <= longestBacklog; }
    void spent(std::size_t bytes, TimePoint now);

private:
    TimePoint busyUntil_ {};
};

} // namespace jj
