// Messages between hosts about what crashes engines. Times are ages at the time of sending, since hosts have different clocks.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jj {

// Limits of lists on the wire. A datagram of records fits into one network frame.
constexpr std::size_t maxCrashesPerSuspect = 16;
constexpr std::size_t maxRecordsPerMessage = 5;

// An engine that crashed while it had a request with the suspect.
struct CrashObservation {
    UpstreamId engine_; // of one start of an engine: after a restart it has another id
    Duration age_ {};
};

// All that a host knows of a suspect. Records of several hosts merge in any order and any number of times to the same state.
struct SuspectRecord {
    Fingerprint suspect_;
    std::uint8_t depth_ = 0; // see CrashSuspects.h
    std::uint8_t trials_ = 0; // requests that were let through although the suspect was blocked
    Duration idleAge_ {}; // since the last crash, or the last request that was refused
    std::optional<Duration> answeredAge_ {}; // since the last answer to a request with it; none: no answer is known
    std::vector<CrashObservation> crashes_;
};

struct SuspectRecords {
    NodeId from_;
    bool isReply_ = false; // contradicts a record that the receiver has sent
    std::vector<SuspectRecord> records_; // at most maxRecordsPerMessage
};

} // namespace jj
