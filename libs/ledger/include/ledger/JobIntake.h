// Accepts a job from a caller: writes it to the store, or to the disks of several hosts while the store doesn't answer.
//
//     JobIntake intake(settings, outlets);
//     intake.submit(std::move(submission), bound, now, wall, [](const IntakeAnswer& answer, TimePoint now) { ... });
//     intake.tick(now);
//
// Both paths may be in progress for one job, and the first one that succeeds acknowledges it. This is safe in any order, because both paths
// write the same objects and create them only if absent. A job is refused as "not run" only if neither path can have stored anything.
#pragma once

#include "ledger/SpooledJob.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace jj {

struct IntakeSettings {
    // If the store hasn't answered after this time, the job is also sent to other hosts for spooling. Slow answers of the store take about
    // 240 ms, spooling a job takes about 30 ms between regions, and callers expect an acknowledgement within 400 ms.
    Duration spoolAfter_ = 250ms;
    // If a host hasn't answered a spool request after this time, another host is asked in its place. The host may be down without having
    // been detected as dead yet.
    Duration replaceHostAfter_ = 80ms;
    std::size_t maxValueBytes_ = maxObjectBytes; // of a value in the store
};

struct IntakeAnswer {
    AcceptOutcome outcome_ = AcceptOutcome::NotAccepted;
    Failure failure_; // set for Invalid only
    std::size_t items_ = 0;
    NodeId owner_; // none: not known yet
};

struct IntakeOutlets {
    LedgerStore store_;
    std::function<bool()> isStoreUnavailable_;
    // Chooses the hosts that spool one job, as many as there must be copies. Excludes `unanswered`, the hosts that haven't answered
    // their spool requests. Returns an empty list if too few hosts are available.
    std::function<std::vector<NodeId>(const std::vector<NodeId>& unanswered)> chooseReplicas_;
    std::function<void(NodeId, SpooledJob, std::function<void(SpoolOutcome, TimePoint now)>)> requestSpooling_;
    // Tells a host to delete its copy of a job, because the store now holds the job.
    std::function<void(NodeId, const JobName&)> discardCopy_;
    // Returns the node that should own a job accepted now.
    std::function<NodeId(const JobName&)> ownerOf_;
    // Notifies the job's owner that the store has accepted the job.
    std::function<void(const JobName&, const Acceptance&)> notifyOwner_;
};

class JobIntake {
public:
    using Done = std::function<void(const IntakeAnswer&, TimePoint now)>;

    JobIntake(IntakeSettings settings, IntakeOutlets outlets);

    // Submits a job and calls `done` exactly once. The calls to the store time out after `bound`.
    void submit(JobSubmission submission, Duration bound, TimePoint now, WallTime wall, Done done);
    void tick(TimePoint now);

private:
    struct PendingJob;
    using PendingJobPtr = std::shared_ptr<PendingJob>;

    void startSpooling(const PendingJobPtr& pending, TimePoint now);
    void sendToReplicas(const PendingJobPtr& pending, const std::vector<NodeId>& replicas);
    void replaceUnansweredHosts(const PendingJobPtr& pending);
    void applyStoreOutcome(const PendingJobPtr& pending, const Acceptance& acceptance, TimePoint now);
    void decide(const PendingJobPtr& pending, TimePoint now);
    void answer(const PendingJobPtr& pending, AcceptOutcome outcome, TimePoint now);
    void discardCopies(const PendingJobPtr& pending);

    IntakeSettings settings_;
    IntakeOutlets outlets_;
    Acceptor acceptor_;
    std::list<PendingJobPtr> awaitingStore_; // jobs that wait for the store and haven't been sent to other hosts; oldest first
    std::list<PendingJobPtr> awaitingReplicas_; // jobs whose unanswered spool requests haven't been replaced yet; oldest first
};

} // namespace jj
