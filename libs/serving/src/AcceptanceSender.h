// Sends jobs that the store has accepted to their owners.
//
// A message without an answer is sent again, and the owner may then get it twice. The owner of a job that is certainly new may run it without
// reading the store, so each message tells whether the job may have results by now (JobTransfer::mayHaveResults_).
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "ledger/Acceptor.h"
#include "ledger/JobScheduler.h"

#include <functional>
#include <system_error>

namespace jj {

// The message about an acceptance after `tries` messages without an answer.
JobTransfer transferOf(const JobName& job, const Acceptance& acceptance, int tries);

struct AcceptanceOutlets {
    NodeId self_;
    // This node owns the job.
    std::function<void(JobTransfer)> adopt_;
    // Sends the job to the node and calls `done` once, with an error if there was no answer.
    std::function<void(NodeId, JobTransfer, std::function<void(std::error_code)> done)> send_;
    // A message had no answer; `tries` counts it.
    std::function<void(const JobName&, int tries, std::error_code)> noteUnanswered_;
};

class AcceptanceSender {
public:
    explicit AcceptanceSender(AcceptanceOutlets outlets)
        : outlets_(std::move(outlets))
    {
    }

    // Sends the job to the owner that its head names. If no message arrives, the job is only delayed: its owner, or the node that should own it,
    // finds the job when it scans the store.
    void send(const JobName& job, const Acceptance& acceptance) { send(job, acceptance, 0); }

private:
    void send(const JobName& job, const Acceptance& acceptance, int tries);

    AcceptanceOutlets outlets_;
};

} // namespace jj
