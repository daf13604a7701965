// Connects the fair shares of this node (libs/shares) to the configuration, the capacity board and the fleet.
//
// While online requests wait somewhere in the cell, each node reports what its requests use to the first delegate of the cell. The delegate
// sends the sum of all cells whose sums it has received to the nodes of its cell, and the sum of its own cell to the delegates of the others.
#pragma once

#include "Fleet.h"
#include "capacity/CapacityBoard.h"
#include "capacity/WaitingQueue.h"
#include "routes/RouteTable.h"
#include "shares/FairShares.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
    // Returns on whose behalf a request on the route waits. `workspace`: empty if it has none; all such requests share like one workspace.
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
    void refused(const Claimant& claimant);

    // ---- for operators
    // What a workspace has used, and what became of its requests at this node.
    struct Competitor {
        std::string name_; // "public": requests without a workspace
        double slots_ = 0; // used recently, over all nodes
        double share_ = 0; // the slots that it may use while all want more
        std::size_t waiting_ = 0; // at this node
        std::size_t refused_ = 0; // at this node, since the last call of takeCompetitors()
    };
    // Returns the workspaces that use most, at most `most`, if requests have competed for slots since the last call; otherwise none.
    std::vector<Competitor> takeCompetitors(std::size_t most, const std::map<WorkspaceId, std::size_t>& waiting, TimePoint now);
    // Returns how many workspaces have used slots recently, and the lowest use of one of the `waiting` relative to its share; 1 if there is none.
    std::size_t competing(TimePoint now) const { return shares_.activeShares(SIZE_MAX, now).size(); }
    double lowestRatio(const std::map<WorkspaceId, std::size_t>& waiting, TimePoint now) const;

private:
    std::string nameOf(WorkspaceId workspace) const;
    void sendReport(TimePoint now);
    void sendSums(TimePoint now);

    Fleet& fleet_;
    CapacityBoard& board_;
    FairShares shares_;
    FairShares items_;
    std::shared_ptr<const RouteTable> table_; // null until the first configuration is applied
    bool hasCompeted_ = false; // since the last call of takeCompetitors()
    std::map<WorkspaceId, std::size_t> refused_; // the same
};

} // namespace jj
