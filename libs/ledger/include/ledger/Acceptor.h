// Takes a job in: nothing is acknowledged before the store holds all of it.
//
//     Acceptor acceptor(store, options);
//     acceptor.accept(std::move(submission), owner, now, wall, [](const Acceptance& acceptance) { ... });
//
// A job that is refused for want of room has its head created as refused. What an earlier attempt of the same job still has on its way to the
// store, or on a disk without an acknowledgement, then finds that head and doesn't run, so "not run" stays true. An attempt that begins
// later takes the head up again.
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

struct SubmissionState;

class Acceptor {
public:
    using Done = std::function<void(const Acceptance&, TimePoint now)>;

    explicit Acceptor(LedgerStore store)
        : store_(std::move(store))
    {
    }

    // `bound`: how long the store may take; the outcome is known by then. `wall`: when the attempt began. `isAcknowledged`: its caller has been told that
    // the job is accepted, so no refusal stands in its way.
    void accept(JobSubmission submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done, bool isAcknowledged = false);

    // Sees to it that no attempt that has begun runs the job. Outcomes: NotAccepted (refused for good), AlreadyAccepted, Unknown, Invalid.
    void refuse(const JobSubmission& submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done);

private:
    void meetStanding(const std::shared_ptr<SubmissionState>& taking, const JobSubmission& submission, NodeId owner, WallTime wall);

    LedgerStore store_;
};

} // namespace jj
