// Knows whether all streams of a service that callers can still resume must have begun at one software version.
//
// That is so if the service has had engines of this version alone for as long as a stream can be resumed. It lets a host resume a stream
// that no record exists of, and saves the records of services that have one version.
#pragma once

#include "base/Id.h"
#include "base/SoftwareVersion.h"
#include "base/Time.h"

#include <map>
#include <unordered_map>

namespace jj {

class VersionHistory {
public:
    // `lifetime`: how long after its last event a stream can be resumed.
    explicit VersionHistory(Duration lifetime)
        : lifetime_(lifetime)
    {
    }

    // Returns whether the service had one version before and has several now.
    bool addEngine(UpstreamId engine, ServiceId service, SoftwareVersionId version, TimePoint now);
    void removeEngine(UpstreamId engine, TimePoint now);
    // Forgets what was before `now`, because changes may have been missed.
    void restart(TimePoint now);

    // Returns none if there were several versions in the last `lifetime`, if there was none, or if this host hasn't followed the engines
    // for so long.
    SoftwareVersionId soleVersion(ServiceId service, TimePoint now) const;
    // Returns whether several versions served in the last `lifetime`. Unlike soleVersion(), this needs no long history.
    bool hasSeveralVersions(ServiceId service, TimePoint now) const;

private:
    struct Served {
        std::size_t engines_ = 0;
        TimePoint lastServed_ {}; // valid if engines_ is 0
    };
    struct Engine {
        ServiceId service_;
        SoftwareVersionId version_;
    };
    using Versions = std::map<SoftwareVersionId, Served>;

    // Returns the number of versions that served in the last `lifetime`.
    std::size_t countRecent(const Versions& versions, TimePoint now) const;
    bool isRecent(const Served& served, TimePoint now) const { return served.engines_ > 0 || now - served.lastServed_ < lifetime_; }

    Duration lifetime_;
    TimePoint followedSince_ = neverTime; // neverTime: no engine has been added yet
    std::unordered_map<UpstreamId, Engine> engines_;
    // Invariant: engines_ of a version is the number of engines in engines_ with this service and version.
    std::map<ServiceId, Versions> services_;
};

} // namespace jj
