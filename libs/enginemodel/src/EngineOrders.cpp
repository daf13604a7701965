// Checks and effects of orders.
#include "enginemodel/EngineOrders.h"

#include "enginemodel/EngineError.h"

#include <algorithm>

namespace jj {

Result<void> EngineOrders::apply(const EngineOrder& order, WallTime now)
{
    if (now > order.expiry_)
        return EngineError::OrderExpired;
    const Epoch fencing = order.fencing_.isNone() ? Epoch(0) : order.fencing_;
    if (checksFencing_ && fencing < state_.fencing_)
        return EngineError::StaleFencing;
    state_.fencing_ = std::max(state_.fencing_, fencing);
    ++state_.ordersDone_;
    if (order.kind_ == OrderKind::LoadModel) {
        state_.model_ = order.name_;
        state_.version_ = order.version_;
    } else if (order.kind_ == OrderKind::SetRole) {
        state_.role_ = order.name_;
    } else if (order.kind_ == OrderKind::LoadAdapter) {
        state_.adapters_[order.name_] = order.version_;
    } else {
        state_.adapters_.erase(order.name_);
    }
    return success();
}

} // namespace jj
