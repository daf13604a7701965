// A job that some hosts keep on their disks until the store has it, as it is written and sent.
//
// Failure met: the store is away for seconds, and every job that comes then is refused; callers try once more and give up. The guard: an
// entry hands such a job to as many hosts with a disk as may be lost at a time and one more, and acknowledges it when all have it safe.
// Each of them brings it to the store as soon as that answers. Head and item pages are created if absent, so it doesn't matter how many
// do, nor whether the entry's own calls arrive late.
#pragma once

#include "ledger/Acceptor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

struct KeptJob {
    JobSubmission submission_; // its head says when the job was acknowledged
    // Of this host among those that keep the job: they bring it one after the other, so that one copy costs calls and not all.
    std::uint32_t rank_ = 0;
};

enum class KeepOutcome : std::uint8_t {
    Kept,
    Refused, // the host has not kept it
    Unknown, // no answer: it may have
};

// One text with a checksum: what a power loss left of a write that was never acknowledged doesn't decode.
std::string encode(const KeptJob& job);
// Error: BadRecord.
Result<KeptJob> decodeKept(std::string_view text);

} // namespace jj
