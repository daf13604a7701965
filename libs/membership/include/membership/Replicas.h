// Chooses the hosts that hold copies of a record. All hosts compute the same choice from the same live hosts.
#pragma once

#include "base/Id.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

struct ReplicaCandidate {
    NodeId node_;
    FailureDomainId domain_;
};

// Returns up to `count` hosts for the record that `record` is a hash of, in as many failure domains as possible. The loss of a host or a
// failure domain doesn't change which hosts are chosen in the other failure domains.
std::vector<NodeId> chooseReplicas(std::uint64_t record, const std::vector<ReplicaCandidate>& candidates, std::size_t count);

} // namespace jj
