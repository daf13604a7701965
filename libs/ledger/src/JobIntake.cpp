// Tracks one submission: the outcome of the store calls, the answers of the spooling hosts, and the resulting answer to the caller.
#include "ledger/JobIntake.h"

#include <algorithm>
#include <optional>
#include <set>

namespace jj {

struct JobIntake::PendingJob {
    SpooledJob job_;
    TimePoint submittedAt_ {};
    Done done_;
    bool isAnswered_ = false;
    Acceptance acceptance_;
    bool isStored_ = false; // acceptance_ holds the final outcome of the store calls
    bool isSpooling_ = false; // spool requests were sent, or too few hosts were available
    TimePoint spoolingSince_ {};
    std::vector<std::vector<NodeId>> replicaSets_; // sets of hosts; the job is durable when all hosts of one set have spooled it
    std::set<NodeId> requestedHosts_;
    std::set<NodeId> unansweredHosts_; // hosts that haven't answered their spool request
    std::set<NodeId> spooledHosts_;
    bool mayHaveCopy_ = false;

    bool isInStore() const { return isStored_ && (acceptance_.outcome_ == AcceptOutcome::Accepted || acceptance_.outcome_ == AcceptOutcome::AlreadyAccepted); }
    bool isDurable() const
    {
        return std::any_of(replicaSets_.begin(), replicaSets_.end(), [this](const std::vector<NodeId>& hosts) {
            return !hosts.empty() && std::all_of(hosts.begin(), hosts.end(), [this](NodeId host) { return spooledHosts_.contains(host); });
        });
    }
};

JobIntake::JobIntake(IntakeSettings settings, IntakeOutlets outlets)
    : settings_(settings)
    , outlets_(std::move(outlets))
    , acceptor_(outlets_.store_, settings_.maxValueBytes_)
{
}

void JobIntake::submit(JobSubmission submission, Duration bound, TimePoint now, WallTime wall, Done done)
{
    auto pending = std::make_shared<PendingJob>();
    pending->job_.submission_ = submission;
    pending->job_.submission_.head_.acceptedAt_ = wall;
    pending->submittedAt_ = now;
    pending->done_ = std::move(done);
    const NodeId owner = outlets_.ownerOf_(submission.job_);
    acceptor_.accept(std::move(submission), owner, bound, now, wall, [this, pending](const Acceptance& acceptance, TimePoint at) { applyStoreOutcome(pending, acceptance, at); });
    if (pending->isStored_)
        return;
    if (outlets_.isStoreUnavailable_())
        return startSpooling(pending, now);
    awaitingStore_.push_back(pending);
}

void JobIntake::tick(TimePoint now)
{
    while (!awaitingStore_.empty() && now - awaitingStore_.front()->submittedAt_ >= settings_.spoolAfter_) {
        const PendingJobPtr pending = awaitingStore_.front();
        awaitingStore_.pop_front();
        if (!pending->isStored_)
            startSpooling(pending, now);
    }
    while (!awaitingReplicas_.empty() && now - awaitingReplicas_.front()->spoolingSince_ >= settings_.replaceHostAfter_) {
        const PendingJobPtr pending = awaitingReplicas_.front();
        awaitingReplicas_.pop_front();
        if (!pending->isAnswered_)
            replaceUnansweredHosts(pending);
    }
}

void JobIntake::startSpooling(const PendingJobPtr& pending, TimePoint now)
{
    pending->isSpooling_ = true;
    pending->spoolingSince_ = now;
    awaitingReplicas_.push_back(pending);
    sendToReplicas(pending, outlets_.chooseReplicas_({}));
}

// Asks other hosts in place of those that haven't answered. When a host with a disk goes down while the store is slow, jobs are sent to it
// until it is considered dead one or two seconds later, and callers that wait for the timeout of such a request get their acknowledgement
// too late. A set of hosts counts only if all of it has spooled the job, so replacing a host never lowers the number of copies behind an
// acknowledgement.
void JobIntake::replaceUnansweredHosts(const PendingJobPtr& pending)
{
    if (pending->unansweredHosts_.empty())
        return;
    sendToReplicas(pending, outlets_.chooseReplicas_({ pending->unansweredHosts_.begin(), pending->unansweredHosts_.end() }));
}

void JobIntake::sendToReplicas(const PendingJobPtr& pending, const std::vector<NodeId>& replicas)
{
    pending->replicaSets_.push_back(replicas);
    std::vector<NodeId> newReplicas;
    for (const NodeId replica : replicas) {
        if (pending->requestedHosts_.insert(replica).second)
            newReplicas.push_back(replica);
    }
    pending->unansweredHosts_.insert(newReplicas.begin(), newReplicas.end());
    for (const NodeId replica : newReplicas) {
        SpooledJob copy = pending->job_;
        ++pending->job_.rank_;
        outlets_.requestSpooling_(replica, std::move(copy), [this, pending, replica](SpoolOutcome outcome, TimePoint now) {
            if (outcome == SpoolOutcome::Spooled)
                pending->spooledHosts_.insert(replica);
            pending->mayHaveCopy_ = pending->mayHaveCopy_ || outcome != SpoolOutcome::Refused;
            pending->unansweredHosts_.erase(replica);
            decide(pending, now);
        });
    }
}

void JobIntake::applyStoreOutcome(const PendingJobPtr& pending, const Acceptance& acceptance, TimePoint now)
{
    pending->isStored_ = true;
    pending->acceptance_ = acceptance;
    if (acceptance.outcome_ == AcceptOutcome::Accepted)
        outlets_.notifyOwner_(pending->job_.submission_.job_, acceptance);
    decide(pending, now);
}

void JobIntake::decide(const PendingJobPtr& pending, TimePoint now)
{
    // Copies are discarded only after all hosts have answered, because the discard message could otherwise overtake the spool request.
    if (pending->isInStore() && pending->unansweredHosts_.empty())
        discardCopies(pending);
    if (pending->isAnswered_)
        return;
    const bool isSettled = pending->isInStore() || (pending->isStored_ && pending->acceptance_.outcome_ == AcceptOutcome::Invalid);
    if (isSettled)
        return answer(pending, pending->acceptance_.outcome_, now);
    if (pending->isDurable())
        return answer(pending, AcceptOutcome::Spooled, now);
    if (!pending->isStored_)
        return;
    if (!pending->isSpooling_)
        startSpooling(pending, now);
    if (pending->isAnswered_ || !pending->unansweredHosts_.empty())
        return;
    // Even a single copy may still bring the job to the store, so refusing the job as "not run" could be wrong.
    answer(pending, pending->mayHaveCopy_ ? AcceptOutcome::Unknown : pending->acceptance_.outcome_, now);
}

void JobIntake::answer(const PendingJobPtr& pending, AcceptOutcome outcome, TimePoint now)
{
    pending->isAnswered_ = true;
    IntakeAnswer answer;
    answer.outcome_ = outcome;
    answer.failure_ = pending->acceptance_.failure_;
    answer.items_ = pending->job_.submission_.items_.size();
    answer.owner_ = pending->acceptance_.head_.owner_;
    std::exchange(pending->done_, {})(answer, now);
}

void JobIntake::discardCopies(const PendingJobPtr& pending)
{
    for (const NodeId replica : std::exchange(pending->requestedHosts_, {}))
        outlets_.discardCopy_(replica, pending->job_.submission_.job_);
}

} // namespace jj
