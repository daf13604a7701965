// Orders to engines, for all services whose lease this node holds.
//
// Who may order: one holder a service, by lease; the lease's epoch goes with each order as its fencing number.
// - Engines that check: the highest epoch wins at the engine. An order of a deposed holder is refused with StaleFencing, and that
//   holder stops. No window remains.
// - Engines that ignore the number: the last order to arrive before its own expiry wins. A holder checks its lease right before the
//   send (mayStillSend) and gives each order a short lifetime; a new holder waits out that lifetime and the clocks' skew, on
//   top of the lease time it waited to take over, and reads the engines' states before its first order. What remains: an engine
//   that checks neither number nor expiry takes an order from a holder that was paused between check and send for longer than
//   all that. The new holder finds it at the next reading of the state and orders again: wrong for at most reconcileEvery_ and one change.
//
//     core.handle(OrdersLeaseHeld { service, epoch, validUntil }, now, wall);
//     core.tick(now, wall);
//     for (const OrdersCommand& command : core.takeCommands()) ...
#pragma once

#include "base/Time.h"
#include "orders/OrderTypes.h"
#include "orders/ServiceRollout.h"

#include <map>
#include <vector>

namespace jj {

class OrdersCore {
public:
    explicit OrdersCore(const OrdersSettings& settings = {});

    void handle(const OrdersEvent& event, TimePoint now, WallTime wall);
    void tick(TimePoint now, WallTime wall);
    std::vector<OrdersCommand> takeCommands();

    // Asked right before the bytes of an order go out: is the lease still held, and the order still wanted?
    bool mayStillSend(OrderId order, TimePoint now) const;

    // None when the service isn't in the configuration.
    const ServiceRollout* rollout(ServiceId service) const;

private:
    void on(const DesiredChanged& event);
    void on(const OrdersLeaseHeld& event);
    void on(const OrdersLeaseLost& event);
    void on(const RecordLoaded& event);
    void on(const StateRead& event);
    void on(const OrderAnswered& event);
    void on(const EngineIdle& event);
    void on(const EngineHealth& event);
    ServiceRollout* serviceOf(UpstreamId upstream);
    ServiceRollout* find(ServiceId service);

    OrdersSettings settings_;
    RolloutContext context_;
    std::map<ServiceId, ServiceRollout> services_;
    std::map<UpstreamId, ServiceId> upstreams_;
};

} // namespace jj
