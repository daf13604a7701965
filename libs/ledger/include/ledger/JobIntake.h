// Takes a job in from a caller: into the store, or onto the disks of some hosts while the store doesn't answer.
//
//     JobIntake intake(settings, outlets);
//     intake.submit(std::move(submission), bound, now, wall, [](const IntakeAnswer& answer, TimePoint now) { ... });
//     intake.tick(now);
//
// Both ways may be under way for one job; whichever ends well first acknowledges it. That is safe in any order, since all that either
// writes is created if absent and holds the same. A job is refused as "not run" only when neither way can have taken anything.
#pragma once

#include "ledger/KeptJob.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace jj {

struct IntakeSettings {
    // A store that hasn't answered by then may not answer in time: its slow answers take some 240 ms, acknowledgements are due after 400 ms,
    // and keeping a job takes some 30 ms between regions.
    Duration keepAfter_ = 250ms;
    // A host that hasn't answered by then may be gone without anybody knowing yet; others are asked in its place.
    Duration spareAfter_ = 80ms;
};

struct IntakeAnswer {
    AcceptOutcome outcome_ = AcceptOutcome::NotAccepted;
    Failure failure_; // Invalid
    std::size_t items_ = 0;
    NodeId owner_; // none: not known yet
};

struct IntakeOutlets {
    LedgerStore store_;
    std::function<bool()> storeIsAway_;
    // Hosts for one job, as many as must keep it, none of them among `silent`; empty when there are too few.
    std::function<std::vector<NodeId>(const std::vector<NodeId>& silent)> keepers_;
    std::function<void(NodeId, KeptJob, std::function<void(KeepOutcome, TimePoint now)>)> keep_;
    // The store has the job; its copy there is of no use any more.
    std::function<void(NodeId, const JobName&)> forget_;
    // Who should own a job that is accepted now.
    std::function<NodeId(const JobName&)> ownerOf_;
    // The store has the job: to its owner.
    std::function<void(const JobName&, const Acceptance&)> accepted_;
};

class JobIntake {
public:
    using Done = std::function<void(const IntakeAnswer&, TimePoint now)>;

    JobIntake(IntakeSettings settings, IntakeOutlets outlets);

    // `bound`: how long the store may take. Answers once.
    void submit(JobSubmission submission, Duration bound, TimePoint now, WallTime wall, Done done);
    void tick(TimePoint now);

private:
    struct Taking;
    using TakingPtr = std::shared_ptr<Taking>;

    void keep(const TakingPtr& taking, TimePoint now);
    void askKeepers(const TakingPtr& taking, const std::vector<NodeId>& keepers);
    void replaceSilent(const TakingPtr& taking);
    void stored(const TakingPtr& taking, const Acceptance& acceptance, TimePoint now);
    void decide(const TakingPtr& taking, TimePoint now);
    void answer(const TakingPtr& taking, AcceptOutcome outcome, TimePoint now);
    void forgetCopies(const TakingPtr& taking);

    IntakeSettings settings_;
    IntakeOutlets outlets_;
    Acceptor acceptor_;
    std::list<TakingPtr> waiting_; // for the store, with no copy kept so far; oldest first
    std::list<TakingPtr> keeping_; // hosts were asked, none in place of a silent one; oldest first
};

} // namespace jj
