// Messages about the slot time that workspaces use. A node reports its own part to a delegate of its cell, which sends the sum of the cell
// to the nodes of the cell and to the other cells.
#pragma once

#include "base/Claim.h"
#include "base/Id.h"

#include <cstdint>
#include <vector>

namespace jj {

// Slots that a workspace has used recently, on the mean.
struct WorkspaceUsage {
    WorkspaceId workspace_;
    float slots_ = 0;
};

struct RankUsage {
    Rank rank_ = 0;
    float slots_ = 0;
};

// What one node's requests have used. A report replaces all earlier ones of the node.
struct ShareReport {
    NodeId node_;
    Incarnation incarnation_;
    std::uint32_t sequence_ = 0;
    std::vector<WorkspaceUsage> workspaces_; // the largest ones only
    std::vector<RankUsage> ranks_;
};

// A sum that a delegate has computed: of its cell, for the delegates of other cells, or of all nodes except the receiver, for
// the nodes of its own. A sum replaces all earlier ones of the same kind from the cell.
struct ShareSum {
    CellId cell_; // of the delegate
    bool isOfFleet_ = false; // of all cells whose sums the delegate has received
    Incarnation incarnation_; // of the node that computed the sum
    std::uint32_t sequence_ = 0;
    std::vector<WorkspaceUsage> workspaces_;
    std::vector<RankUsage> ranks_;
    NodeId delegate_ {}; // the node that computed the sum
};

} // namespace jj
