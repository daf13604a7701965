// Connects the records of streams (libs/streams) to the fleet: which software version began a stream that a caller resumes at any host.
//
// The host that a caller has connected to records a stream when its first event arrives, just before it forwards the event: in its own
// table, and at hosts in other failure domains unless the service has had a single version for long. A caller that resumes the stream
// at another host is sent on only if that host learns the version.
#pragma once

#include "Fleet.h"
#include "membership/Replicas.h"
#include "routes/RouteTable.h"
#include "streams/StreamResolver.h"
#include "streams/StreamTable.h"
#include "streams/VersionHistory.h"

#include <string_view>
#include <vector>

namespace jj {

class StreamVersions {
public:
    // `fleet` must outlive this object.
    explicit StreamVersions(Fleet& fleet);

    void setEngine(const EngineEntry& engine, TimePoint now);
    void removeEngine(UpstreamId engine, TimePoint now) { history_.removeEngine(engine, now); }

    // Records for how long the routes' callers may be kept waiting: a host that has just started hasn't met those that wait longest.
    void setTable(const RouteTable& table);
    // Records how long the caller of a stream waits at most, as it states at its first attempt.
    void noteCallerDeadline(ServiceId service, Duration deadline) { history_.noteCallerDeadline(service, deadline); }
    // Records a stream whose first event has arrived at this host, or renews its record.
    void record(const StreamRecord& record, TimePoint now);
    // Finds the version of a stream that a caller resumes. Calls `done` once, at once or within a fifth of a second.
    void resolve(StreamId stream, ServiceId service, TimePoint now, StreamResolver::Done done) { resolver_.resolve(stream, service, now, std::move(done)); }

    void handle(const PeerDatagram& message, TimePoint now);
    void tick(TimePoint now);

private:
    ResolverOutlets outlets();
    StreamAnswer answer(const StreamQuery& query, TimePoint now) const;
    std::vector<NodeId> replicasOf(StreamId stream) const;
    // Sends the records that this host holds of the service, which had one version until now and has several from now on.
    void sendRecordsOf(ServiceId service);

    Fleet& fleet_;
    VersionHistory history_;
    StreamTable table_;
    StreamResolver resolver_;
    std::vector<ReplicaCandidate> candidates_; // live hosts that aren't leaving, this one included
    TimePoint refreshedAt_ {};
    TimePoint tickedAt_ {};
};

} // namespace jj
