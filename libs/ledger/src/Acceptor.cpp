// A submission is a set of parallel creates. The least favourable answer determines the outcome.
#include "ledger/Acceptor.h"

namespace jj {

namespace {

    struct AcceptAttempt {
        LedgerStore store_;
        JobName job_;
        Acceptance acceptance_;
        Acceptor::Done done_;
        CallClass callClass_ = CallClass::Accept;
        TimePoint until_;
        std::size_t pendingCreates_ = 0; // creates without an answer
        bool headExisted_ = false; // before this submission
        bool headCreated_ = false;
        bool hasUnknownOutcome_ = false;
        bool hasFailed_ = false;
    };

    void finish(const std::shared_ptr<AcceptAttempt>& attempt, AcceptOutcome outcome, TimePoint now)
    {
        attempt->acceptance_.outcome_ = outcome;
        attempt->done_(attempt->acceptance_, now);
    }

    // Reopens a job whose earlier submission was abandoned because its items were missing. This submission has written all of them.
    void reopen(const std::shared_ptr<AcceptAttempt>& attempt, JobHead head, ObjectVersion version)
    {
        head.state_ = JobState::Open;
        head.owner_ = attempt->acceptance_.head_.owner_;
        head.acceptedAt_ = attempt->acceptance_.head_.acceptedAt_;
        attempt->acceptance_.head_ = head;
        attempt->store_(ObjectCall::update(headKey(attempt->job_), encode(head), version), attempt->callClass_, attempt->until_, [attempt](const SettledAnswer& answer, TimePoint at) {
            attempt->acceptance_.headVersion_ = answer.answer_.version_;
            finish(attempt, answer.ok() ? AcceptOutcome::Accepted : AcceptOutcome::Unknown, at);
        });
    }

    void checkExistingHead(const std::shared_ptr<AcceptAttempt>& attempt)
    {
        attempt->store_(ObjectCall::get(headKey(attempt->job_)), attempt->callClass_, attempt->until_, [attempt](const SettledAnswer& answer, TimePoint at) {
            const Result<JobHead> head = answer.ok() ? decodeHead(answer.answer_.value_) : Result<JobHead>(LedgerError::BadRecord);
            if (!head)
                return finish(attempt, AcceptOutcome::Unknown, at);
            if (head.value().state_ == JobState::Void)
                return reopen(attempt, head.value(), answer.answer_.version_);
            finish(attempt, AcceptOutcome::AlreadyAccepted, at);
        });
    }

    void decide(const std::shared_ptr<AcceptAttempt>& attempt, TimePoint now)
    {
        if (attempt->hasUnknownOutcome_)
            return finish(attempt, AcceptOutcome::Unknown, now);
        // If the head is in the store, a later submission may add the missing items, and the job then runs. NotAccepted would therefore be
        // wrong for a caller whose other submissions are refused as well.
        if (attempt->hasFailed_)
            return finish(attempt, attempt->headExisted_ || attempt->headCreated_ ? AcceptOutcome::Unknown : AcceptOutcome::NotAccepted, now);
        if (attempt->headExisted_)
            return checkExistingHead(attempt);
        finish(attempt, AcceptOutcome::Accepted, now);
    }

    void create(const std::shared_ptr<AcceptAttempt>& attempt, std::string key, std::string value, bool isHead)
    {
        ++attempt->pendingCreates_;
        attempt->store_(ObjectCall::create(std::move(key), std::move(value)), attempt->callClass_, attempt->until_, [attempt, isHead](const SettledAnswer& answer, TimePoint now) {
            const bool existed = answer.is(ObjectError::Conflict);
            if (isHead && answer.ok()) {
                attempt->acceptance_.headVersion_ = answer.answer_.version_;
                attempt->acceptance_.isNew_ = !answer.isReadBack_;
            }
            attempt->headExisted_ = attempt->headExisted_ || (isHead && existed);
            attempt->headCreated_ = attempt->headCreated_ || (isHead && answer.ok());
            attempt->hasUnknownOutcome_ = attempt->hasUnknownOutcome_ || answer.is(ObjectError::OutcomeUnknown);
            attempt->hasFailed_ = attempt->hasFailed_ || !(answer.ok() || existed);
            if (--attempt->pendingCreates_ == 0)
                decide(attempt, now);
        });
    }

} // namespace

std::string_view toString(AcceptOutcome outcome)
{
    static constexpr std::string_view names[] = { "accepted", "alreadyAccepted", "notAccepted", "unknown", "invalid", "kept" };
    return names[static_cast<std::size_t>(outcome)];
}

void Acceptor::accept(JobSubmission submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done)
{
    auto attempt = std::make_shared<AcceptAttempt>();
    attempt->store_ = store_;
    attempt->job_ = submission.job_;
    attempt->done_ = std::move(done);
    attempt->callClass_ = callClass_;
    attempt->until_ = now + bound;
    Acceptance& acceptance = attempt->acceptance_;
    if (!isValidJobName(submission.job_)) {
        acceptance.failure_ = { LedgerError::BadJobName, submission.job_.substr(0, maxJobNameLength) };
        return finish(attempt, AcceptOutcome::Invalid, now);
    }
    acceptance.items_ = submission.items_;
    auto pages = splitIntoPages(std::move(submission.items_), maxValueBytes_);
    if (!pages) {
        acceptance.failure_ = pages.error();
        return finish(attempt, AcceptOutcome::Invalid, now);
    }
    acceptance.head_ = submission.head_;
    acceptance.head_.owner_ = owner;
    acceptance.head_.acceptedAt_ = wall;
    acceptance.head_.total_ = static_cast<std::uint32_t>(acceptance.items_.size());
    acceptance.head_.itemPages_ = static_cast<std::uint32_t>(pages.value().size());
    // Counts as one more create until all are sent, because an answer may arrive while the next one is being sent.
    ++attempt->pendingCreates_;
    for (std::uint32_t page = 0; page < pages.value().size(); ++page)
        create(attempt, itemPageKey(attempt->job_, page), encode(pages.value()[page]), false);
    create(attempt, headKey(attempt->job_), encode(acceptance.head_), true);
    if (--attempt->pendingCreates_ == 0)
        decide(attempt, now);
}

} // namespace jj
