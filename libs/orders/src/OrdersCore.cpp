// Hands events to the service that they are about.
#include "orders/OrdersCore.h"

#include <algorithm>
#include <utility>

namespace jj {

OrdersCore::OrdersCore(const OrdersSettings& settings)
    : settings_(settings)
{
    context_.settings_ = settings;
}

void OrdersCore::handle(const OrdersEvent& event, TimePoint now, WallTime wall)
{
    context_.now_ = now;
    context_.wall_ = wall;
    std::visit([this](const auto& concrete) { on(concrete); }, event);
}

void OrdersCore::tick(TimePoint now, WallTime wall)
{
    context_.now_ = now;
    context_.wall_ = wall;
    for (auto& [service, rollout] : services_)
        rollout.tick(context_);
}

std::vector<OrdersCommand> OrdersCore::takeCommands() { return std::exchange(context_.commands_, {}); }

bool OrdersCore::mayStillSend(OrderId order, TimePoint now) const
{
    return std::any_of(services_.begin(), services_.end(), [=, this](const auto& entry) { return entry.second.mayStillSend(order, now, settings_); });
}

const ServiceRollout* OrdersCore::rollout(ServiceId service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

ServiceRollout* OrdersCore::find(ServiceId service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

ServiceRollout* OrdersCore::serviceOf(UpstreamId upstream)
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : find(found->second);
}

void OrdersCore::on(const DesiredChanged& event)
{
    upstreams_.clear();
    for (const DesiredService& desired : event.services_) {
        for (UpstreamId upstream : desired.upstreams_)
            upstreams_[upstream] = desired.service_;
        services_.try_emplace(desired.service_, desired.service_).first->second.setDesired(desired, context_);
    }
    std::erase_if(services_, [&event](const auto& entry) {
        return std::none_of(event.services_.begin(), event.services_.end(), [&entry](const DesiredService& desired) { return desired.service_ == entry.first; });
    });
}

void OrdersCore::on(const OrdersLeaseHeld& event)
{
    if (ServiceRollout* rollout = find(event.service_))
        rollout->holdLease(event.epoch_, event.validUntil_, context_);
}

void OrdersCore::on(const OrdersLeaseLost& event)
{
    if (ServiceRollout* rollout = find(event.service_))
        rollout->loseLease();
}

void OrdersCore::on(const RecordLoaded& event)
{
    if (ServiceRollout* rollout = find(event.service_))
        rollout->load(event.record_, context_);
}

void OrdersCore::on(const StateRead& event)
{
    if (ServiceRollout* rollout = serviceOf(event.upstream_))
        rollout->takeState(event, context_);
}

void OrdersCore::on(const OrderAnswered& event)
{
    for (auto& [service, rollout] : services_) {
        if (rollout.owns(event.order_))
            rollout.takeAnswer(event, context_);
    }
}

void OrdersCore::on(const EngineIdle& event)
{
    if (ServiceRollout* rollout = serviceOf(event.upstream_))
        rollout->noteIdle(event.upstream_, context_);
}

void OrdersCore::on(const EngineHealth& event)
{
    if (ServiceRollout* rollout = serviceOf(event.upstream_))
        rollout->noteHealth(event.upstream_, event.failing_, context_);
}

} // namespace jj
