// Chooses the hosts that hold the record of a stream. All hosts compute the same choice from the same live hosts.
#pragma once

#include "base/Id.h"
#include "streams/StreamMessages.h"

#include <cstddef>
#include <vector>

namespace jj {

struct StreamReplicaCandidate {
    NodeId node_;
    FailureDomainId domain_;
};

// Returns up to `count` hosts in as many failure domains as possible. The loss of a host or a failure domain doesn't change which hosts
// are chosen in the other failure domains.
std::vector<NodeId> chooseStreamReplicas(StreamId stream, const std::vector<StreamReplicaCandidate>& candidates, std::size_t count);

} // namespace jj
