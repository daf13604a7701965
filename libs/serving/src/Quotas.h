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

// Hosts that this host knows in its own region, itself included, and in all others. A host that has been down for long counts as removed.
struct KnownHosts {
    struct Count {
        std::size_t known_ = 0;
        std::size_t live_ = 0;
    };
    Count near_;
    Count far_;

    std::size_t all() const { return near_.known_ + far_.known_; }
};
KnownHosts countHosts(const std::vector<Peer>& peers, RegionId ownRegion, TimePoint now);

// Returns the share of the quotas that this host and those it reaches may use: the share of the hosts that it reaches, if these are less than
// `isolatedBelow` or if it reaches no host of the other regions. Otherwise returns 1, since the hosts that it doesn't reach are down.
double reachableShare(const KnownHosts& hosts, double isolatedBelow);

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
    const Quota* quotaOf(const std::string& workspace) const;

    Fleet& fleet_;
    QuotaSettings settings_;
    std::shared_ptr<const RouteTable> table_; // null until the first configuration is applied
    QuotaAccountant accountant_;
    QuotaGate gate_;
    std::vector<AccountantCandidate> candidates_;
    KnownHosts hosts_;
    TimePoint refreshedAt_ {};
};

} // namespace jj
