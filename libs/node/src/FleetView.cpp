// From the stored configuration to the events of the decision core.
#include "FleetView.h"

#include "base/Hash.h"

namespace jj {

namespace {

    // Attempts of a fresh request are many, so the share allowed for retries is counted for each hundred.
    constexpr double percent = 100;

    ServicePolicy policyOf(const ServiceConfig& service)
    {
        ServicePolicy policy;
        policy.service_ = service.id();
        policy.kind_ = service.kind_ == ServiceKind::Engines ? UpstreamKind::Engine : UpstreamKind::Plain;
        policy.latencyWeight_ = service.latencyWeight_;
        policy.firstTokenBound_ = service.firstTokenWithin_;
        policy.betweenTokensBound_ = service.tokenGapWithin_;
        policy.queueItems_ = static_cast<std::uint32_t>(service.queueItems_);
        policy.queueBytes_ = static_cast<std::uint64_t>(service.queueBytes_);
        policy.retryPercent_ = static_cast<std::uint32_t>(service.retryBudget_ * percent);
        policy.silenceBound_ = service.noProgressWithin_;
        return policy;
    }

} // namespace

FleetView::FleetView(ConfigVersion version, FleetConfig config)
    : version_(version)
    , config_(std::move(config))
{
    for (const ServiceConfig& service : config_.services_) {
        for (const UpstreamConfig& upstream : service.upstreams_) {
            const RegionConfig* region = config_.regionOf(upstream.failureDomain_);
            upstreams_[upstream.id()] = { { upstream.address_.ip_, upstream.address_.port_ }, region ? region->id() : RegionId(), service.id() };
        }
    }
}

const UpstreamPlace* FleetView::upstream(UpstreamId id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second;
}

const ServiceConfig* FleetView::service(ServiceId id) const
{
    for (const ServiceConfig& service : config_.services_) {
        if (service.id() == id)
            return &service;
    }
    return nullptr;
}

std::vector<Event> FleetView::eventsAfter(const FleetView* before) const
{
    std::vector<Event> events;
    ConfigurationApplied applied;
    applied.version_ = version_;
    for (const ServiceConfig& service : config_.services_)
        applied.services_.push_back(policyOf(service));
    events.emplace_back(std::move(applied));
    for (const ServiceConfig& service : config_.services_) {
        for (const UpstreamConfig& upstream : service.upstreams_) {
            UpstreamChanged change;
            change.upstream_ = upstream.id();
            change.service_ = service.id();
            change.region_ = upstreams_.at(upstream.id()).region_;
            change.failureDomain_ = idFromName<FailureDomainId>(upstream.failureDomain_);
            change.kind_ = service.kind_ == ServiceKind::Engines ? UpstreamKind::Engine : UpstreamKind::Plain;
            change.state_ = upstream.leaving_ ? UpstreamState::Leaving : UpstreamState::Serving;
            change.slots_ = static_cast<std::uint32_t>(upstream.slots_);
            change.kvTokens_ = static_cast<std::uint32_t>(upstream.kvTokens_);
            change.resumes_ = service.kind_ == ServiceKind::Engines;
            events.emplace_back(change);
        }
    }
    if (!before)
        return events;
    for (const auto& [id, place] : before->upstreams_) {
        if (upstreams_.contains(id))
            continue;
        UpstreamChanged gone;
        gone.upstream_ = id;
        gone.service_ = place.service_;
        gone.region_ = place.region_;
        gone.state_ = UpstreamState::Gone;
        events.emplace_back(gone);
    }
    return events;
}

} // namespace jj
