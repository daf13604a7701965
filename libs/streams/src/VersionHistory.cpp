// Versions that no engine has had for `lifetime` are dropped when engines of their service change.
#include "streams/VersionHistory.h"

#include <algorithm>

namespace jj {

bool VersionHistory::addEngine(UpstreamId engine, ServiceId service, SoftwareVersionId version, TimePoint now)
{
    if (followedSince_ == neverTime)
        followedSince_ = now;
    const auto known = engines_.find(engine);
    if (known != engines_.end() && known->second.service_ == service && known->second.version_ == version)
        return false;
    removeEngine(engine, now);
    engines_[engine] = { service, version };
    Versions& versions = services_[service];
    std::erase_if(versions, [&](const auto& entry) { return !isRecent(entry.second, now); });
    const std::size_t before = versions.size();
    ++versions[version].engines_;
    return before == 1 && versions.size() > 1;
}

void VersionHistory::removeEngine(UpstreamId engine, TimePoint now)
{
    const auto known = engines_.find(engine);
    if (known == engines_.end())
        return;
    Served& served = services_.at(known->second.service_).at(known->second.version_);
    --served.engines_;
    served.lastServed_ = now;
    engines_.erase(known);
}

void VersionHistory::restart(TimePoint now)
{
    if (followedSince_ != neverTime)
        followedSince_ = now;
}

std::size_t VersionHistory::countRecent(const Versions& versions, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(versions.begin(), versions.end(), [&](const auto& entry) { return isRecent(entry.second, now); }));
}

bool VersionHistory::hasSeveralVersions(ServiceId service, TimePoint now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && countRecent(found->second, now) > 1;
}

SoftwareVersionId VersionHistory::soleVersion(ServiceId service, TimePoint now) const
{
    const auto found = services_.find(service);
    const bool isFollowedLongEnough = followedSince_ != neverTime && now - followedSince_ >= lifetime_;
    if (!isFollowedLongEnough || found == services_.end() || countRecent(found->second, now) != 1)
        return SoftwareVersionId::none();
    const auto sole = std::find_if(found->second.begin(), found->second.end(), [&](const auto& entry) { return isRecent(entry.second, now); });
    return sole->first;
}

} // namespace jj
