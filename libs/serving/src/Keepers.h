// Which hosts keep a job on their disks while the store is away.
#pragma once

#include "base/Id.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

// What may be lost at a time with nothing acknowledged lost: so many hosts with a disk, whole failure domains, whole regions.
struct TolerableLosses {
    std::uint32_t hosts_ = 1;
    std::uint32_t domains_ = 0;
    std::uint32_t regions_ = 0;

    std::size_t copies() const { return std::max({ hosts_, domains_, regions_ }) + 1U; }
};

struct KeeperCandidate {
    NodeId node_;
    FailureDomainId domain_;
    RegionId region_;
    bool near_ = false; // in the region of the node that asks
};

// One more than may be lost, in as many domains and regions as that takes; near ones and new domains first, then by `seed`, so that
// jobs spread. Empty when the candidates don't suffice: with fewer copies an acknowledgement would promise too much.
std::vector<NodeId> chooseKeepers(std::vector<KeeperCandidate> candidates, const TolerableLosses& losses, std::uint64_t seed);

} // namespace jj
