// Takes a job in: nothing is acknowledged before the store holds all of it.
//
//     Acceptor acceptor(store, options);
//     acceptor.accept(std::move(submission), owner, now, wall, [](const Acceptance& acceptance) { ... });
//
// Head and item pages are created at the same time, so that an acknowledgement costs one round trip to the store; the job counts as
// accepted when all of them exist. A job that comes again meets its own objects and is acknowledged again.
#pragma once

#include "base/Result.h"
#include "ledger/Records.h"
#include "objects/CallQueue.h"

#include <functional>
#include <memory>

namespace jj {

// How the ledger reaches the store: CallQueue::send, or something like it.
using LedgerStore = std::function<void(ObjectCall, CallClass, TimePoint until, SettledCompletion)>;

struct JobSubmission {
    JobName job_;
    JobHead head_; // owner, total and pages are filled in here
    std::vector<JobItem> items_;
};

enum class AcceptOutcome : std::uint8_t {
    Accepted,
    AlreadyAccepted, // by an earlier submission; its owner knows of it
    NotAccepted, // the store took nothing that could make it run, now or later
    Unknown, // an answer of the store is missing: it may be accepted
    Invalid,
    Kept, // on the disks of enough hosts, which bring it to the store (JobIntake.h)
};
std::string_view toString(AcceptOutcome outcome);

struct Acceptance {
    AcceptOutcome outcome_ = AcceptOutcome::NotAccepted;
    Failure failure_; // Invalid
    // Accepted: what the owner needs to begin without reading the store.
    JobHead head_;
    ObjectVersion headVersion_;
    std::vector<JobItem> items_;
};

class Acceptor {
public:
    using Done = std::function<void(const Acceptance&, TimePoint now)>;

    explicit Acceptor(LedgerStore store)
        : store_(std::move(store))
    {
    }

    // `bound`: how long the store may take; the outcome is known by then.
    void accept(JobSubmission submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done);

private:
    LedgerStore store_;
};

} // namespace jj
