// The configuration in force, prepared for look-ups. Immutable: a new version is a new view, and whoever holds an old one may finish with it.
#pragma once

#include "base/Endpoint.h"
#include "decisions/Events.h"
#include "settings/FleetConfig.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <mutex>
#include <vector>

namespace jj {

struct UpstreamPlace {
    Endpoint endpoint_;
    RegionId region_;
    ServiceId service_;
};

class FleetView {
public:
    FleetView(ConfigVersion version, FleetConfig config);

    ConfigVersion version() const { return version_; }
    const FleetConfig& config() const { return config_; }
    const UpstreamPlace* upstream(UpstreamId id) const;
    const ServiceConfig* service(ServiceId id) const;

    // What decisions have to learn when this view comes after `before` (which may be none): changed and gone upstreams, policies.
    std::vector<Event> eventsAfter(const FleetView* before) const;

private:
    ConfigVersion version_;
    FleetConfig config_;
    boost::unordered_flat_map<UpstreamId, UpstreamPlace, std::hash<UpstreamId>> upstreams_;
};

// The view in force, for threads that only read.
class FleetViewBoard {
public:
    std::shared_ptr<const FleetView> current() const
    {
        const std::lock_guard lock(lock_);
        return view_;
    }
    void set(std::shared_ptr<const FleetView> view)
    {
        const std::lock_guard lock(lock_);
        view_ = std::move(view);
    }

private:
    mutable std::mutex lock_;
    std::shared_ptr<const FleetView> view_; // none before the first configuration
};

} // namespace jj
