// Messages about the software version that began a stream, between the host that a caller has connected to and the hosts that hold the
// stream's record.
#pragma once

#include "base/Id.h"
#include "base/SoftwareVersion.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace jj {

// A stream over all attempts of its caller, by a hash of its workspace and of the attempt that brought its first event.
using StreamId = Id<struct StreamTag>;

// Returns none for an empty attempt id: such a stream has no record. The same attempt id in two workspaces names two streams, so no caller
// learns anything about the stream of another workspace.
StreamId streamIdOf(std::string_view workspace, std::string_view attempt);

struct StreamRecord {
    StreamId stream_;
    ServiceId service_; // that the engine belonged to
    SoftwareVersionId version_; // of the engine that wrote the stream's first event; none: hosts have reported different versions
};

// Asks a host to hold records.
struct StreamRecords {
    std::vector<StreamRecord> records_;
};

// Asks for the record of a stream that a caller resumes.
struct StreamQuery {
    NodeId from_;
    std::uint32_t number_ = 0; // identifies the answer
    StreamId stream_;
    ServiceId service_; // that the resumed request is routed to
};

struct StreamAnswer {
    NodeId from_;
    std::uint32_t number_ = 0; // of the query
    bool isRecorded_ = false;
    StreamRecord record_; // valid if isRecorded_; stream_ is that of the query in any case
    // The only version of the query's service that any stream can have begun at, as far as the sender knows; none if there may be several.
    SoftwareVersionId soleVersion_;
    bool hasSeveralVersions_ = false; // the sender knows that streams of the service began at several versions
    // The only version of the service that the sender has seen lately, however short its history is; none if it has seen none or several.
    SoftwareVersionId seenVersion_;
};

} // namespace jj
