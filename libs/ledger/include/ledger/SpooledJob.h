// A job that some hosts spool on their disks until the store holds it, and its encoding on disk.
//
// While the store is unavailable for some seconds, every new job would be refused; callers retry once and then give up. Instead, the entry
// (the node that received the submission) sends such a job to as many hosts with a disk as may fail at a time plus one, and acknowledges it
// when all of them have written it to disk. Each of these hosts uploads the job to the store as soon as the store answers. Head and item
// pages are created only if absent, so neither several uploads nor late calls of the entry do harm.
#pragma once

#include "ledger/Acceptor.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

struct SpooledJob {
    JobSubmission submission_; // its head contains the time at which the entry accepted the job
    // Rank of this host among the hosts that spool the job. They upload the job one after the other in this order, so that usually only the
    // first one makes calls to the store.
    std::uint32_t rank_ = 0;
};

enum class SpoolOutcome : std::uint8_t {
    Spooled,
    Refused, // the host has not spooled the job
    Unknown, // no answer: the host may have spooled the job
};

// Encodes the job as text with a checksum, so that the remainder of a write that was interrupted by a power loss doesn't decode.
std::string encode(const SpooledJob& job);
// Decodes such a text. Error: BadRecord.
Result<SpooledJob> decodeSpooledJob(std::string_view text);

} // namespace jj
