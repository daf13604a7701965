// A large region is cut into cells: nodes and engines that belong together, so that exact reports stay among few.
//
// Failure met: what a node knows of the others' load has to be exact within milliseconds, or several nodes take the same slot. Reports that
// come 100 ms late cost 16 of 100 questions their objective in bursts beyond the slots (0.896 in time to 0.735, the load of
// capacity/tests/BurstTest.cpp). Told to a whole region of 180 nodes they would be 4,700 a second at each. The guard: a node tells each
// change to its own cell, and the others what it runs now and then; it uses the engines of its own cell first, and others' when those
// are full, as it does with another region's.
//
// A region of up to mostNodes is one cell. Cells are cut in halves by a hash of the name, so nodes that don't agree on their number for a
// while still belong to a part of the same cell.
#pragma once

#include "base/Id.h"

#include <cstddef>
#include <cstdint>

namespace jj {

class Cells {
public:
    // Today's largest region has 42 nodes, and each hears 500 reports a second of 1,000 that it may spend time on.
    static constexpr std::size_t mostNodes = 56;
    // Cut in halves a cell has some 28 nodes; below this two are joined again. The gap keeps the number steady while nodes come and go.
    static constexpr std::size_t fewestNodes = 20;

    // Nodes of this region that live, this one included. True: the number of cells has changed.
    bool setNodes(std::size_t nodes);
    std::uint32_t count() const { return count_; }

    // What stands for the cell of a node or an engine where otherwise its region would.
    RegionId cellOf(RegionId region, NodeId node) const { return cellOf(region, node.value()); }
    RegionId cellOf(RegionId region, UpstreamId engine) const { return cellOf(region, engine.value()); }

private:
    RegionId cellOf(RegionId region, std::uint64_t member) const;

    std::uint32_t count_ = 1; // a power of two
};

} // namespace jj
