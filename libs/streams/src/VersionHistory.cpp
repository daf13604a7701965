// A version that no engine has had for longer than any stream can be resumed is dropped when engines of its service change.
#include "streams/VersionHistory.h"

#include <algorithm>

namespace jj {

void VersionHistory::noteCallerDeadline(ServiceId service, Duration deadline)
{
    Service& noted = services_[service];
    noted.longestDeadline_ = std::max(noted.longestDeadline_, std::min(deadline, maxLifetime_));
}

bool VersionHistory::addEngine(UpstreamId engine, ServiceId serviceId, SoftwareVersionId version, TimePoint now)
{
    if (followedSince_ == neverTime)
        followedSince_ = now;
    const auto known = engines_.find(engine);
    if (known != engines_.end() && known->second.service_ == serviceId && known->second.version_ == version)
        return false;
    removeEngine(engine, now);
    engines_[engine] = { serviceId, version };
    Service& service = services_[serviceId];
    // A caller may state a longer time later, so versions are dropped by the bound of these times.
    std::erase_if(service.versions_, [&](const auto& entry) { return entry.second.engines_ == 0 && now - entry.second.lastServed_ > maxLifetime_ + margin_; });
    const std::size_t before = countRecent(service, now);
    ++service.versions_[version].engines_;
    return before == 1 && countRecent(service, now) > 1;
}

void VersionHistory::removeEngine(UpstreamId engine, TimePoint now)
{
    const auto known = engines_.find(engine);
    if (known == engines_.end())
        return;
    Served& served = services_.at(known->second.service_).versions_.at(known->second.version_);
    --served.engines_;
    served.lastServed_ = now;
    engines_.erase(known);
}

void VersionHistory::restart(TimePoint now)
{
    if (followedSince_ != neverTime)
        followedSince_ = now;
}

std::size_t VersionHistory::countRecent(const Service& service, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(service.versions_.begin(), service.versions_.end(), [&](const auto& entry) { return isRecent(service, entry.second, now); }));
}

bool VersionHistory::hasSeveralVersions(ServiceId service, TimePoint now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && countRecent(found->second, now) > 1;
}

SoftwareVersionId VersionHistory::soleVersion(ServiceId serviceId, TimePoint now) const
{
    const auto found = services_.find(serviceId);
    if (found == services_.end() || followedSince_ == neverTime)
        return SoftwareVersionId::none();
    const bool isFollowedLongEnough = found->second.longestDeadline_ > Duration::zero() && now - followedSince_ >= lifetimeOf(found->second);
    return isFollowedLongEnough ? seenVersion(serviceId, now) : SoftwareVersionId::none();
}

SoftwareVersionId VersionHistory::seenVersion(ServiceId serviceId, TimePoint now) const
{
    const auto found = services_.find(serviceId);
    if (found == services_.end() || countRecent(found->second, now) != 1)
        return SoftwareVersionId::none();
    const Service& service = found->second;
    const auto sole = std::find_if(service.versions_.begin(), service.versions_.end(), [&](const auto& entry) { return isRecent(service, entry.second, now); });
    return sole->first;
}

} // namespace jj
