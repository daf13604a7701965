// Rendezvous hashing twice: over the hosts of each failure domain, then over the failure domains.
#include "membership/Replicas.h"

#include "base/Hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace jj {

std::vector<NodeId> chooseReplicas(std::uint64_t record, const std::vector<ReplicaCandidate>& candidates, std::size_t count)
{
    struct Ranked {
        std::uint64_t weight_ = 0;
        NodeId node_;
    };
    std::map<FailureDomainId, std::vector<Ranked>> domains;
    for (const ReplicaCandidate& candidate : candidates)
        domains[candidate.domain_].push_back({ mixHash(record, candidate.node_.value()), candidate.node_ });
    // The best hosts of all failure domains come first, then their second best, and so on.
    std::vector<std::tuple<std::size_t, std::uint64_t, NodeId>> order;
    for (auto& [domain, hosts] : domains) {
        const std::size_t needed = std::min(count, hosts.size());
        std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(needed), hosts.end(), [](const Ranked& left, const Ranked& right) { return left.weight_ < right.weight_; });
        for (std::size_t place = 0; place < needed; ++place)
            order.emplace_back(place, mixHash(record, domain.value()), hosts[place].node_);
    }
    std::sort(order.begin(), order.end());
    std::vector<NodeId> chosen;
    for (const auto& [place, weight, node] : order) {
        if (chosen.size() < count)
            chosen.push_back(node);
    }
    return chosen;
}

} // namespace jj
