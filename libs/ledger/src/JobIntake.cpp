// One job's way in: what the store has said, what the hosts have said, and what follows for the caller.
#include "ledger/JobIntake.h"

#include <optional>

namespace jj {

struct JobIntake::Taking {
    KeptJob job_;
    TimePoint began_ {};
    Done done_;
    bool answered_ = false;
    Acceptance acceptance_;
    bool isStored_ = false; // the store's outcome is known: acceptance_
    bool isKeeping_ = false; // hosts were asked, or there were too few
    std::vector<NodeId> keepers_;
    std::size_t keepsOpen_ = 0; // hosts without an answer
    std::size_t kept_ = 0;
    bool maybeKept_ = false; // some host may have a copy

    bool isInStore() const { return isStored_ && (acceptance_.outcome_ == AcceptOutcome::Accepted || acceptance_.outcome_ == AcceptOutcome::AlreadyAccepted); }
    bool isSafe() const { return !keepers_.empty() && kept_ == keepers_.size(); }
};

JobIntake::JobIntake(IntakeSettings settings, IntakeOutlets outlets)
    : settings_(settings)
    , outlets_(std::move(outlets))
    , acceptor_(outlets_.store_)
{
}

void JobIntake::submit(JobSubmission submission, Duration bound, TimePoint now, WallTime wall, Done done)
{
    auto taking = std::make_shared<Taking>();
    taking->job_.submission_ = submission;
    taking->job_.submission_.head_.acceptedAt_ = wall;
    taking->began_ = now;
    taking->done_ = std::move(done);
    const NodeId owner = outlets_.ownerOf_(submission.job_);
    acceptor_.accept(std::move(submission), owner, bound, now, wall, [this, taking](const Acceptance& acceptance, TimePoint at) { stored(taking, acceptance, at); });
    if (taking->isStored_)
        return;
    if (outlets_.storeIsAway_())
        return keep(taking);
    waiting_.push_back(taking);
}

void JobIntake::tick(TimePoint now)
{
    while (!waiting_.empty() && now - waiting_.front()->began_ >= settings_.keepAfter_) {
        const TakingPtr taking = waiting_.front();
        waiting_.pop_front();
        if (!taking->isStored_)
            keep(taking);
    }
}

void JobIntake::keep(const TakingPtr& taking)
{
    taking->isKeeping_ = true;
    taking->keepers_ = outlets_.keepers_();
    taking->keepsOpen_ = taking->keepers_.size();
    for (const NodeId keeper : std::vector(taking->keepers_)) {
        KeptJob copy = taking->job_;
        ++taking->job_.rank_;
        outlets_.keep_(keeper, std::move(copy), [this, taking](KeepOutcome outcome, TimePoint now) {
            taking->kept_ += outcome == KeepOutcome::Kept ? 1 : 0;
            taking->maybeKept_ = taking->maybeKept_ || outcome != KeepOutcome::Refused;
            --taking->keepsOpen_;
            decide(taking, now);
        });
    }
}

void JobIntake::stored(const TakingPtr& taking, const Acceptance& acceptance, TimePoint now)
{
    taking->isStored_ = true;
    taking->acceptance_ = acceptance;
    if (acceptance.outcome_ == AcceptOutcome::Accepted)
        outlets_.accepted_(taking->job_.submission_.job_, acceptance);
    decide(taking, now);
}

void JobIntake::decide(const TakingPtr& taking, TimePoint now)
{
    // A copy is forgotten only after its host has answered: the message would overtake the one that brings it.
    if (taking->isInStore() && taking->keepsOpen_ == 0)
        forgetCopies(taking);
    if (taking->answered_)
        return;
    const bool isSettled = taking->isInStore() || (taking->isStored_ && taking->acceptance_.outcome_ == AcceptOutcome::Invalid);
    if (isSettled)
        return answer(taking, taking->acceptance_.outcome_, now);
    if (taking->isSafe())
        return answer(taking, AcceptOutcome::Kept, now);
    if (!taking->isStored_)
        return;
    if (!taking->isKeeping_)
        keep(taking);
    if (taking->answered_ || taking->keepsOpen_ > 0)
        return;
    // A single copy may still bring the job to the store, so "not run" would be a lie.
    answer(taking, taking->maybeKept_ ? AcceptOutcome::Unknown : taking->acceptance_.outcome_, now);
}

void JobIntake::answer(const TakingPtr& taking, AcceptOutcome outcome, TimePoint now)
{
    taking->answered_ = true;
    IntakeAnswer answer;
    answer.outcome_ = outcome;
    answer.failure_ = taking->acceptance_.failure_;
    answer.items_ = taking->job_.submission_.items_.size();
    answer.owner_ = taking->acceptance_.head_.owner_;
    std::exchange(taking->done_, {})(answer, now);
}

void JobIntake::forgetCopies(const TakingPtr& taking)
{
    for (const NodeId keeper : std::exchange(taking->keepers_, {}))
        outlets_.forget_(keeper, taking->job_.submission_.job_);
}

} // namespace jj
