#include "capacity/SlotTurns.h"

#include "base/Hash.h"

namespace jj {

std::optional<WaitingOrder> firstOrderOf(const WaitingRequests& waiting)
{
    if (waiting.count_ == 0)
        return std::nullopt;
    if (waiting.classes_.empty())
        return WaitingOrder { 0, waiting.inTime_ == 0, 0 };
    std::optional<WaitingOrder> first;
    for (const WaitingClass& one : waiting.classes_) {
        const WaitingOrder order { one.rank_, one.inTime_ == 0, one.firstUsage_ };
        if (!first || order < *first)
            first = order;
    }
    return first;
}

bool takesBefore(const WaitingRequests& waiting, NodeId node, const WaitingOrder& own, NodeId self, UpstreamId engine)
{
    const auto other = firstOrderOf(waiting);
    if (!other)
        return false;
    return *other < own || (*other == own && mixHash(engine.value(), node.value()) < mixHash(engine.value(), self.value()));
}

} // namespace jj
