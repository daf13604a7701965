// Connects the fair shares of this node (libs/shares) to the configuration, the capacity board and the fleet.
//
// While online requests wait somewhere in the cell, each node reports what its requests use to the first delegate of the cell. The delegate
// sends the sum of all cells that it has heard of to the nodes of its cell, and the sum of its own cell to the delegates of the others.
#pragma once

#include "Fleet.h"
#include "capacity/CapacityBoard.h"
#include "capacity/WaitingQueue.h"
#include "routes/RouteTable.h"
#include "shares/FairShares.h"

#include <memory>
#include <string>

namespace jj {

class Shares {
public:
    // `fleet` and `board` must outlive this object.
    Shares(Fleet& fleet, CapacityBoard& board);

    void setTable(const std::shared_ptr<const RouteTable>& table);
    void tick(TimePoint now);
    // A ShareReport or ShareSum has arrived.
    void handle(const PeerDatagram& message, TimePoint now);
    void forget(NodeId node) { shares_.forget(node); }

    // Returns whether claims may differ, so that the order of waiting requests isn't that of their arrival alone.
    bool isActive() const { return shares_.isActive(); }
    // Returns on whose behalf a request on the route waits. `workspace`: empty if it has none.
    Claimant claimantOf(const Route& route, const std::string& workspace) const;
    Claim claim(const Claimant& claimant, TimePoint now) const { return shares_.claim(claimant.workspace_, claimant.rank_, now); }
    bool isBelowShare(const Claimant& claimant, TimePoint now) const { return shares_.isBelowShare(claimant.workspace_, now); }
    float usageOfOneRun(const Claimant& claimant) const { return shares_.usageOfOneRun(claimant.workspace_); }
    void started(const Claimant& claimant, TimePoint now) { shares_.started(claimant.workspace_, claimant.rank_, now); }
    void ended(const Claimant& claimant, TimePoint now) { shares_.ended(claimant.workspace_, claimant.rank_, now); }
    // Items of jobs run on what online requests leave, so their slot time is counted apart, and only that of this node.
    void itemStarted(const std::string& workspace, TimePoint now);
    void itemEnded(const std::string& workspace, TimePoint now);
    double itemUsage(const std::string& workspace, TimePoint now) const;
    // Returns the workspaces that use most, and the name of a workspace.
    std::vector<WorkspaceShare> activeShares(std::size_t most, TimePoint now) const { return shares_.activeShares(most, now); }
    std::string nameOf(WorkspaceId workspace) const;

private:
    void sendReport(TimePoint now);
    void sendSums(TimePoint now);

    Fleet& fleet_;
    CapacityBoard& board_;
    FairShares shares_;
    FairShares items_;
    std::shared_ptr<const RouteTable> table_; // null until the first configuration is applied
};

} // namespace jj
