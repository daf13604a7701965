// Chooses the hosts that spool a job on their disks while the store is unavailable.
#pragma once

#include "base/Id.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

// Simultaneous losses that must not lose an acknowledged job: hosts with a disk, entire failure domains, and entire regions.
struct TolerableLosses {
    std::uint32_t hosts_ = 1;
    std::uint32_t domains_ = 0;
    std::uint32_t regions_ = 0;

    std::size_t copies() const { return std::max({ hosts_, domains_, regions_ }) + 1U; }
};

struct SpoolReplicaCandidate {
    NodeId node_;
    FailureDomainId domain_;
    RegionId region_;
    bool isNear_ = false; // whether the host is in the region of the requesting node
};

// Returns losses.copies() hosts in more failure domains and more regions than may be lost. Prefers hosts that add a required
// region, then hosts in a new failure domain, then nearby hosts. Ties are broken by a hash with `seed`, which spreads jobs over
// the hosts. Returns an empty list if the candidates don't suffice, because a job with fewer copies must not be acknowledged.
std::vector<NodeId> chooseSpoolReplicas(std::vector<SpoolReplicaCandidate> candidates, const TolerableLosses& losses, std::uint64_t seed);

} // namespace jj
