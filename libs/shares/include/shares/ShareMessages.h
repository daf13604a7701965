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

// The sum of the reports of a cell's nodes, and of the delegate's own usage. A sum replaces all earlier ones of the cell.
struct CellShares {
    CellId cell_;
    Incarnation incarnation_; // of the delegate
    std::uint32_t sequence_ = 0;
    bool isForwarded_ = false; // by a delegate to the nodes of its own cell
    std::vector<WorkspaceUsage> workspaces_;
    std::vector<RankUsage> ranks_;
};

} // namespace jj
