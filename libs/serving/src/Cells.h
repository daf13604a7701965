// Which nodes report each change of their load to each other, and who speaks for them to the rest of the fleet.
//
//     Cells cells(self);
//     cells.rebuild(members);                                // all nodes that are known
//     cells.cellOf(engine.region_, engine.domain_, engine.id_.value());
//     cells.delegates(cell);                                 // of a cell: at most two live nodes
//
// A region of up to mostNodes is one cell. A larger one is cut by failure domains, so that a cell's engines and hosts stand side by side, and
// domains that are too large are cut in halves by a hash of the name. Domains that are too small for a cell each are cut by the
// hash alone. So a node's reports don't grow with the fleet.
//
// All nodes compute the same from what they know of the others. Nodes that disagree for a while report to nodes that count them twice or not
// at all, for as long as a report counts.
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
    bool leaves_ = false; // speaks for nobody any more
};

// How a region is cut: into so many parts, or each of its failure domains is.
struct RegionCut {
    bool byDomain_ = false;
    std::uint32_t parts_ = 1; // a power of two

    friend bool operator==(const RegionCut&, const RegionCut&) = default;
};

class Cells {
public:
    static constexpr std::size_t mostNodes = 56;
    // Below this a cell is joined with others. The gap keeps the cut steady while nodes come and go.
    static constexpr std::size_t fewestNodes = 16;
    // One may be gone, paused or cut off, and nobody knows it yet.
    static constexpr std::size_t delegatesOfCell = 2;

    struct Change {
        bool nodes_ = false; // a cell has other live nodes or delegates than before
        bool layout_ = false; // nodes and engines belong to other cells, or other cells have live nodes
    };
    // All nodes that are known, the ones that are gone for a short while too, so that the cut doesn't change when many of them fail.
    Change rebuild(const std::vector<CellMember>& members);

    // None: no node of the region is known.
    CellId cellOf(RegionId region, FailureDomainId domain, std::uint64_t member) const;
    CellId cellOf(NodeId node) const;
    // Live nodes of a cell that don't leave, the ones that speak for it first.
    const std::vector<NodeId>& delegates(CellId cell) const;
    // Live nodes, in the order of their ids.
    const std::vector<NodeId>& nodesOf(CellId cell) const;
    // Those with live nodes.
    std::vector<CellId> cells() const;

private:
    struct Region {
        std::map<FailureDomainId, std::size_t> domains_; // known nodes
        std::size_t nodes_ = 0;

        std::size_t largest() const;
        std::size_t smallest() const;
        std::vector<FailureDomainId> domainIds() const;
    };
    struct Cell {
        std::vector<NodeId> nodes_;
        std::vector<NodeId> delegates_;

        friend bool operator==(const Cell&, const Cell&) = default;
    };

    // What decides on the cell of a node or an engine, and the cells with live nodes.
    struct Layout {
        std::map<RegionId, std::pair<RegionCut, std::vector<FailureDomainId>>> regions_;
        std::vector<CellId> cells_;

        friend bool operator==(const Layout&, const Layout&) = default;
    };

    Layout layout() const;
    static bool isFit(const RegionCut& cut, const Region& region);
    static RegionCut chooseCut(const Region& region);
    void chooseDelegates(std::map<CellId, std::vector<NodeId>>& candidates);

    std::map<RegionId, Region> regions_;
    std::map<RegionId, RegionCut> cuts_;
    std::map<CellId, Cell> cells_;
    std::map<NodeId, CellId> cellOfNode_;
};

} // namespace jj
