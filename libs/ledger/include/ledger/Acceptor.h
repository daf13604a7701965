// Accepts a batch job by writing it to the store. A job is acknowledged only when the store holds all of it.
//
//     Acceptor acceptor(store);
//     acceptor.accept(std::move(submission), owner, bound, now, wall, [](const Acceptance& acceptance, TimePoint now) { ... });
//
// The head and the item pages are created in parallel, so that an acknowledgement costs one round trip to the store. The job counts as
// accepted when all of them exist. Submitting the same job again finds the existing objects and acknowledges it again.
#pragma once

#include "base/Result.h"
#include "ledger/Records.h"
#include "objects/CallQueue.h"

#include <functional>
#include <memory>

namespace jj {

// Sends a call to the store; usually CallQueue::send.
using LedgerStore = std::function<void(ObjectCall, CallClass, TimePoint until, SettledCompletion)>;

struct JobSubmission {
    JobName job_;
    JobHead head_; // accept() fills in the owner, the number of items and the number of pages
    std::vector<JobItem> items_;
};

enum class AcceptOutcome : std::uint8_t {
    Accepted,
    AlreadyAccepted, // by an earlier submission; its owner isn't notified again
    NotAccepted, // the store holds nothing from which the job could run, now or later
    Unknown, // an answer of the store is missing, so the job may have been accepted
    Invalid,
    Spooled, // copies are on the disks of enough hosts, which upload the job to the store (JobIntake.h)
};
std::string_view toString(AcceptOutcome outcome);

struct Acceptance {
    AcceptOutcome outcome_ = AcceptOutcome::NotAccepted;
    Failure failure_; // set for Invalid only
    // Accepted: whether this submission certainly created the head. Otherwise an earlier submission may have created the same one, and the
    // job may have results.
    bool isNew_ = false;
    // Set for Accepted: what the owner needs to start the job without reading the store.
    JobHead head_;
    ObjectVersion headVersion_;
    std::vector<JobItem> items_;
};

class Acceptor {
public:
    using Done = std::function<void(const Acceptance&, TimePoint now)>;

    // `maxValueBytes`: of a value in the store. The same on all hosts: several may write the pages of one job.
    explicit Acceptor(LedgerStore store, std::size_t maxValueBytes = maxObjectBytes, CallClass callClass = CallClass::Accept)
        : store_(std::move(store))
        , maxValueBytes_(maxValueBytes)
        , callClass_(callClass)
    {
    }

    // Writes the job to the store and calls `done` once. The calls to the store time out after `bound`, and the outcome is known by then.
    void accept(JobSubmission submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done);

private:
    LedgerStore store_;
    std::size_t maxValueBytes_;
    CallClass callClass_;
};

} // namespace jj
