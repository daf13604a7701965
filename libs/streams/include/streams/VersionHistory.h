// Knows whether all streams of a service that callers can still resume must have begun at one software version.
//
// That is so if the service has had engines of this version alone for as long as a stream can be resumed, which follows from how long
// callers wait for an answer. It lets a host resume a stream that no record exists of, and saves the records of services that have one
// version.
#pragma once

#include "base/Id.h"
#include "base/SoftwareVersion.h"
#include "base/Time.h"

#include <map>
#include <unordered_map>

namespace jj {

class VersionHistory {
public:
    // `margin`: how long after the removal of an engine other hosts may still begin streams there. `maxLifetime`: bound for the time that
    // callers state.
    VersionHistory(Duration margin, Duration maxLifetime)
        : margin_(margin)
        , maxLifetime_(maxLifetime)
    {
    }

    // Records how long the caller of a stream waits at most, over all of its attempts.
    void noteCallerDeadline(ServiceId service, Duration deadline);

    // Returns whether the service had one version before and has several now.
    bool addEngine(UpstreamId engine, ServiceId service, SoftwareVersionId version, TimePoint now);
    void removeEngine(UpstreamId engine, TimePoint now);
    // Forgets what was before `now`, because changes may have been missed.
    void restart(TimePoint now);

    // Returns none if there were several versions for as long as a stream can be resumed, if there was none, or if this host hasn't followed
    // the engines for so long.
    SoftwareVersionId soleVersion(ServiceId service, TimePoint now) const;
    // Returns the only version that served for as long as a stream can be resumed, as far as this host has seen; none if there was none or
    // were several. Unlike soleVersion(), this needs no long history.
    SoftwareVersionId seenVersion(ServiceId service, TimePoint now) const;
    // Returns whether several versions served for as long as a stream can be resumed. This needs no long history either.
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
    struct Service {
        std::map<SoftwareVersionId, Served> versions_;
        Duration longestDeadline_ {}; // that a caller has stated
    };

    Duration lifetimeOf(const Service& service) const { return service.longestDeadline_ + margin_; }
    bool isRecent(const Service& service, const Served& served, TimePoint now) const { return served.engines_ > 0 || now - served.lastServed_ < lifetimeOf(service); }
    // Returns the number of versions that served for as long as a stream can be resumed.
    std::size_t countRecent(const Service& service, TimePoint now) const;

    Duration margin_;
    Duration maxLifetime_;
    TimePoint followedSince_ = neverTime; // neverTime: no engine has been added yet
    std::unordered_map<UpstreamId, Engine> engines_;
    // Invariant: engines_ of a version is the number of engines in engines_ with this service and version.
    std::map<ServiceId, Service> services_;
};

} // namespace jj
