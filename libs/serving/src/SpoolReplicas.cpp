// Greedy selection: adds the best remaining host until there are enough copies.
#include "SpoolReplicas.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jj {

std::vector<NodeId> chooseSpoolReplicas(std::vector<SpoolReplicaCandidate> candidates, const TolerableLosses& losses, std::uint64_t seed)
{
    std::vector<NodeId> chosen;
    std::set<FailureDomainId> domains;
    std::set<RegionId> regions;
    while (chosen.size() < losses.copies() && !candidates.empty()) {
        const auto rank = [&](const SpoolReplicaCandidate& one) {
            const bool addsRegion = regions.size() <= losses.regions_ && !regions.contains(one.region_);
            return std::tuple(!addsRegion, domains.contains(one.domain_), !one.isNear_, mixHash(seed, one.node_.value()));
        };
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&](const SpoolReplicaCandidate& a, const SpoolReplicaCandidate& b) { return rank(a) < rank(b); });
        chosen.push_back(best->node_);
        domains.insert(best->domain_);
        regions.insert(best->region_);
        candidates.erase(best);
    }
    const bool suffices = chosen.size() >= losses.copies() && domains.size() > losses.domains_ && regions.size() > losses.regions_;
    return suffices ? chosen : std::vector<NodeId>();
}

} // namespace jj
