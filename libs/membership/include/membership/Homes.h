// Which node is the home of an engine: rendezvous hashing over the nodes of the engine's region that take new work.
//
// Each node computes it alone from its own view. Two nodes with different views may both believe that they are home; that costs
// accuracy of the load, never correctness. When a node comes or goes, only the engines that it wins or had won move.
//
//     homes.rebuild(candidates);                 // at each MemberChanged that matters
//     for (NodeId node : homes.successors(engine, region)) // first the home, then who follows when it doesn't answer
#pragma once

#include "base/Id.h"

#include <cstddef>
#include <span>
#include <vector>

namespace jj {

struct HomeCandidate {
    NodeId node_;
    RegionId region_;
};

class Homes {
public:
    // Only nodes that take new work: live and not leaving.
    void rebuild(std::span<const HomeCandidate> candidates);

    // The home, or none without a candidate. An engine whose region has no candidate gets a home in another region.
    NodeId home(UpstreamId upstream, RegionId region) const;

    // The home and the nodes that follow it, at most `count`, best first. To step over a dead or silent home, take the next.
    std::vector<NodeId> successors(UpstreamId upstream, RegionId region, std::size_t count = 3) const;

private:
    std::vector<HomeCandidate> candidates_;
};

} // namespace jj
