// The order in which nodes with queued requests take a free slot. All of them compute it from the same reports.
#pragma once

#include "base/Id.h"
#include "capacity/NodeUse.h"
#include "capacity/WaitingQueue.h"

#include <optional>

namespace jj {

// Returns the place of a node's first request in the order of waiting requests; nullopt if none waits.
std::optional<WaitingOrder> firstOrderOf(const WaitingRequests& waiting);

// Returns whether a node with these requests takes a free slot of the engine before node `self`, whose first request has the order `own`. Among
// equals it is an order of the nodes that differs from engine to engine.
bool takesBefore(const WaitingRequests& waiting, NodeId node, const WaitingOrder& own, NodeId self, UpstreamId engine);

} // namespace jj
