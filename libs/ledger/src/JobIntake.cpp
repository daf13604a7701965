// Tracks one submission: the outcome of the store calls, the answers of the spooling hosts, and the resulting answer to the caller.
#include "ledger/JobIntake.h"

#include <algorithm>
#include <optional>
#include <set>

namespace jj {

struct JobIntake::Taking {
    KeptJob job_;
    TimePoint began_ {};
    Done done_;
    bool answered_ = false;
    Acceptance acceptance_;
    bool isStored_ = false; // acceptance_ holds the final outcome of the store calls
    bool isKeeping_ = false; // spool requests were sent, or too few hosts were available
    TimePoint keepingSince_ {};
    std::vector<std::vector<NodeId>> sets_; // sets of hosts; the job is durable when all hosts of one set have spooled it
    std::set<NodeId> asked_;
    std::set<NodeId> silent_; // hosts that haven't answered their spool request
    std::set<NodeId> kept_;
    bool maybeKept_ = false;

    bool isInStore() const { return isStored_ && (acceptance_.outcome_ == AcceptOutcome::Accepted || acceptance_.outcome_ == AcceptOutcome::AlreadyAccepted); }
    bool isSafe() const
    {
        return std::any_of(sets_.begin(), sets_.end(), [this](const std::vector<NodeId>& hosts) {
            return !hosts.empty() && std::all_of(hosts.begin(), hosts.end(), [this](NodeId host) { return kept_.contains(host); });
        });
    }
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
        return keep(taking, now);
    waiting_.push_back(taking);
}

void JobIntake::tick(TimePoint now)
{
    while (!waiting_.empty() && now - waiting_.front()->began_ >= settings_.keepAfter_) {
        const TakingPtr taking = waiting_.front();
        waiting_.pop_front();
        if (!taking->isStored_)
            keep(taking, now);
    }
    while (!keeping_.empty() && now - keeping_.front()->keepingSince_ >= settings_.spareAfter_) {
        const TakingPtr taking = keeping_.front();
        keeping_.pop_front();
        if (!taking->answered_)
            replaceSilent(taking);
    }
}

void JobIntake::keep(const TakingPtr& taking, TimePoint now)
{
    taking->isKeeping_ = true;
    taking->keepingSince_ = now;
    keeping_.push_back(taking);
    askKeepers(taking, outlets_.keepers_({}));
}

// Asks other hosts in place of those that haven't answered. When a host with a disk goes down while the store is slow, jobs are sent to it
// until it is considered dead one or two seconds later, and callers that wait for the timeout of such a request get their acknowledgement
// too late. A set of hosts counts only if all of it has spooled the job, so replacing a host never lowers the number of copies behind an
// acknowledgement.
void JobIntake::replaceSilent(const TakingPtr& taking)
{
    if (taking->silent_.empty())
        return;
    askKeepers(taking, outlets_.keepers_({ taking->silent_.begin(), taking->silent_.end() }));
}

void JobIntake::askKeepers(const TakingPtr& taking, const std::vector<NodeId>& keepers)
{
    taking->sets_.push_back(keepers);
    std::vector<NodeId> fresh;
    for (const NodeId keeper : keepers) {
        if (taking->asked_.insert(keeper).second)
            fresh.push_back(keeper);
    }
    taking->silent_.insert(fresh.begin(), fresh.end());
    for (const NodeId keeper : fresh) {
        KeptJob copy = taking->job_;
        ++taking->job_.rank_;
        outlets_.keep_(keeper, std::move(copy), [this, taking, keeper](KeepOutcome outcome, TimePoint now) {
            if (outcome == KeepOutcome::Kept)
                taking->kept_.insert(keeper);
            taking->maybeKept_ = taking->maybeKept_ || outcome != KeepOutcome::Refused;
            taking->silent_.erase(keeper);
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
    // Copies are discarded only after all hosts have answered, because the discard message could otherwise overtake the spool request.
    if (taking->isInStore() && taking->silent_.empty())
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
        keep(taking, now);
    if (taking->answered_ || !taking->silent_.empty())
        return;
    // Even a single copy may still bring the job to the store, so refusing the job as "not run" could be wrong.
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
    for (const NodeId keeper : std::exchange(taking->asked_, {}))
        outlets_.forget_(keeper, taking->job_.submission_.job_);
}

} // namespace jj
