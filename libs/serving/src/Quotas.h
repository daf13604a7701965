// Connects the quota gate and the accounts of this node (libs/workspaces) to the fleet.
#pragma once

#include "Fleet.h"
#include "routes/RouteTable.h"
#include "workspaces/QuotaAccountant.h"
#include "workspaces/QuotaGate.h"

#include <functional>
#include <memory>
#include <string>

namespace jj {

class Quotas {
public:
    // `fleet` must outlive this object.
    Quotas(Fleet& fleet, const QuotaBound& bound);

    void setTable(std::shared_ptr<const RouteTable> table);
    // Decides whether a request of the workspace may run. Calls `done` at once, or after an accountant has decided.
    void admit(const std::string& workspace, std::function<void(const QuotaGate::Answer&)> done);
    void returnCredit(const std::string& workspace);

    void handle(const PeerDatagram& message);
    void tick(TimePoint now);

    const QuotaGate::Totals& totals() const { return gate_.totals(); }

private:
    QuotaOutlets outlets();
    std::vector<NodeId> accountantsOf(WorkspaceId workspace) const;
    void refreshCandidates(TimePoint now);
    // Returns the share of the fleet's hosts that this host can reach, if it may be cut off: a whole region, or nearly all hosts, are out of
    // reach. 1 otherwise.
    double reachableShare() const;
    const Quota* quotaOf(const std::string& workspace) const;

    Fleet& fleet_;
    QuotaSettings settings_;
    std::shared_ptr<const RouteTable> table_; // null until the first configuration is applied
    QuotaAccountant accountant_;
    QuotaGate gate_;
    std::vector<AccountantCandidate> candidates_;
    TimePoint refreshedAt_ {};
};

} // namespace jj
