// Divides the nodes of the fleet into cells. The nodes of a cell report each change of their load to each other, and the delegates of
// a cell send a summary of its load to the other cells.
//
//     Cells cells;
//     cells.rebuild(members);                                // all known nodes
//     cells.cellOf(engine.region_, engine.domain_, engine.id_.value());
//     cells.delegates(cell);                                 // at most two live nodes of the cell
//     cells.neighbours(cell);                                // the cells of which it learns the load of each engine
//
// A region of up to maxNodes nodes is one cell. A larger region is split by failure domain, so that the hosts and engines of a cell are
// in the same domain. Failure domains that are too large are split further into halves by a hash of the node or engine id. If the cells
// of the smallest failure domain would then have fewer than minNodes nodes, the region is split by that hash alone. A split is kept
// until it violates these bounds, so a region that has shrunk below maxNodes nodes may still consist of several cells. The bounds limit
// the number of nodes that a node reports to, whatever the size of the fleet.
//
// Every node computes the cells from its own view of the membership. While the views of two nodes differ, the load of a node may be
// counted twice or not at all. Such an error ends at the latest when the affected reports expire.
#pragma once

#include "base/Id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace jj {

struct CellMember {
    NodeId node_;
    RegionId region_;
    FailureDomainId domain_;
    bool isLive_ = false;
    bool isLeaving_ = false; // not eligible as a delegate
};

// Describes how a region is split: either the whole region or each of its failure domains is divided into parts_ cells.
struct RegionSplit {
    bool byDomain_ = false;
    std::uint32_t parts_ = 1; // a power of two

    friend bool operator==(const RegionSplit&, const RegionSplit&) = default;
};

class Cells {
public:
    // Maximum number of nodes in a cell. Cells that are divided by the hash comply with both bounds on average only.
    static constexpr std::size_t maxNodes = 56;
    // Minimum number of nodes in a cell of a split region. Below it the region is split anew, so that the cell is merged with others. The
    // distance between minNodes and maxNodes keeps the split stable while single nodes join or leave.
    static constexpr std::size_t minNodes = 16;
    // Number of other cells of which a cell learns the load of each engine, and those of them that are chosen from its own region first.
    // If each cell learned it from all others, the summaries that a node receives would grow with the fleet: 121 KB/s at 1,000 nodes.
    static constexpr std::size_t neighboursPerCell = 6;
    static constexpr std::size_t neighboursInRegion = 4;
    // The second delegate covers the time in which the first one is stopped, paused or partitioned and this hasn't been detected yet.
    static constexpr std::size_t delegatesPerCell = 2;

    struct Change {
        bool nodes_ = false; // the live nodes or the delegates of a cell have changed
        bool layout_ = false; // the assignment to cells, or the set of cells with live nodes, has changed
    };
    // Recomputes the cells. `members` holds all known nodes, including those that became unreachable recently, so that the split doesn't
    // change when many nodes fail at once.
    Change rebuild(const std::vector<CellMember>& members);

    // Returns the cell of a node or engine with the id `member`; none if no node of the region is known.
    CellId cellOf(RegionId region, FailureDomainId domain, std::uint64_t member) const;
    CellId cellOf(NodeId node) const;
    // Returns the delegates of a cell by rank: at most delegatesPerCell live nodes that aren't leaving.
    const std::vector<NodeId>& delegates(CellId cell) const;
    // Returns the live nodes of a cell, ordered by id.
    const std::vector<NodeId>& nodesOf(CellId cell) const;
    // Returns the neighbours of a cell, chosen by a hash among the cells with live nodes: neighboursInRegion of its region and the rest from
    // elsewhere, or more of one where there are fewer of the other.
    const std::vector<CellId>& neighbours(CellId cell) const;
    bool isNeighbour(CellId cell, CellId other) const;
    // Returns the cells that have live nodes.
    std::vector<CellId> cells() const;

private:
    struct Region {
        std::map<FailureDomainId, std::size_t> domains_; // number of known nodes by domain
        std::size_t nodes_ = 0;

        // Return the number of known nodes in the largest and in the smallest failure domain.
        std::size_t largest() const;
        std::size_t smallest() const;
        std::vector<FailureDomainId> domainIds() const;
    };
    struct Cell {
        RegionId region_;
        std::vector<NodeId> nodes_;
        std::vector<NodeId> delegates_;
        std::vector<CellId> neighbours_;

        friend bool operator==(const Cell&, const Cell&) = default;
    };

    // Everything that determines the cell of a node or an engine, and the cells that have live nodes.
    struct Layout {
        std::map<RegionId, std::pair<RegionSplit, std::vector<FailureDomainId>>> regions_;
        std::vector<CellId> cells_;

        friend bool operator==(const Layout&, const Layout&) = default;
    };

    Layout layout() const;
    static bool isWithinBounds(const RegionSplit& split, const Region& region);
    static RegionSplit chooseSplit(const Region& region);
    void chooseDelegates(std::map<CellId, std::vector<NodeId>>& candidates);
    void chooseNeighbours();

    std::map<RegionId, Region> regions_;
    std::map<RegionId, RegionSplit> splits_;
    std::map<CellId, Cell> cells_;
    std::map<NodeId, CellId> cellOfNode_;
};

} // namespace jj
