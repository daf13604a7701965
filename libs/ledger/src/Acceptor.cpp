// A submission is a set of parallel creates. The least favourable answer determines the outcome.
#include "ledger/Acceptor.h"

namespace jj {

namespace {

    struct Taking {
        LedgerStore store_;
        JobName job_;
        Acceptance acceptance_;
        Acceptor::Done done_;
        TimePoint until_;
        std::size_t open_ = 0; // creates without an answer
        bool headStood_ = false; // before this submission
        bool headMade_ = false;
        bool unknown_ = false;
        bool failed_ = false;
    };

    void finish(const std::shared_ptr<Taking>& taking, AcceptOutcome outcome, TimePoint now)
    {
        taking->acceptance_.outcome_ = outcome;
        taking->done_(taking->acceptance_, now);
    }

    // Reopens a job whose earlier submission was abandoned because its items were missing. This submission has written all of them.
    void reopen(const std::shared_ptr<Taking>& taking, JobHead head, ObjectVersion version)
    {
        head.state_ = JobState::Open;
        head.owner_ = taking->acceptance_.head_.owner_;
        head.acceptedAt_ = taking->acceptance_.head_.acceptedAt_;
        taking->acceptance_.head_ = head;
        taking->store_(ObjectCall::update(headKey(taking->job_), encode(head), version), CallClass::Accept, taking->until_, [taking](const SettledAnswer& answer, TimePoint at) {
            taking->acceptance_.headVersion_ = answer.answer_.version_;
            finish(taking, answer.ok() ? AcceptOutcome::Accepted : AcceptOutcome::Unknown, at);
        });
    }

    void checkStanding(const std::shared_ptr<Taking>& taking)
    {
        taking->store_(ObjectCall::get(headKey(taking->job_)), CallClass::Accept, taking->until_, [taking](const SettledAnswer& answer, TimePoint at) {
            const Result<JobHead> head = answer.ok() ? decodeHead(answer.answer_.value_) : Result<JobHead>(LedgerError::BadRecord);
            if (!head)
                return finish(taking, AcceptOutcome::Unknown, at);
            if (head.value().state_ == JobState::Void)
                return reopen(taking, head.value(), answer.answer_.version_);
            finish(taking, AcceptOutcome::AlreadyAccepted, at);
        });
    }

    void decide(const std::shared_ptr<Taking>& taking, TimePoint now)
    {
        if (taking->unknown_)
            return finish(taking, AcceptOutcome::Unknown, now);
        // If the head is in the store, a later submission may add the missing items, and the job then runs. NotAccepted would therefore be
        // wrong for a caller whose other submissions are refused as well.
        if (taking->failed_)
            return finish(taking, taking->headStood_ || taking->headMade_ ? AcceptOutcome::Unknown : AcceptOutcome::NotAccepted, now);
        if (taking->headStood_)
            return checkStanding(taking);
        finish(taking, AcceptOutcome::Accepted, now);
    }

    void create(const std::shared_ptr<Taking>& taking, std::string key, std::string value, bool isHead)
    {
        ++taking->open_;
        taking->store_(ObjectCall::create(std::move(key), std::move(value)), CallClass::Accept, taking->until_, [taking, isHead](const SettledAnswer& answer, TimePoint now) {
            const bool stood = answer.is(ObjectError::Conflict);
            if (isHead && answer.ok())
                taking->acceptance_.headVersion_ = answer.answer_.version_;
            taking->headStood_ = taking->headStood_ || (isHead && stood);
            taking->headMade_ = taking->headMade_ || (isHead && answer.ok());
            taking->unknown_ = taking->unknown_ || answer.is(ObjectError::OutcomeUnknown);
            taking->failed_ = taking->failed_ || !(answer.ok() || stood);
            if (--taking->open_ == 0)
                decide(taking, now);
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
    auto taking = std::make_shared<Taking>();
    taking->store_ = store_;
    taking->job_ = submission.job_;
    taking->done_ = std::move(done);
    taking->until_ = now + bound;
    Acceptance& acceptance = taking->acceptance_;
    if (!isValidJobName(submission.job_)) {
        acceptance.failure_ = { LedgerError::BadJobName, submission.job_.substr(0, longestJobName) };
        return finish(taking, AcceptOutcome::Invalid, now);
    }
    acceptance.items_ = submission.items_;
    auto pages = paged(std::move(submission.items_));
    if (!pages) {
        acceptance.failure_ = pages.error();
        return finish(taking, AcceptOutcome::Invalid, now);
    }
    acceptance.head_ = submission.head_;
    acceptance.head_.owner_ = owner;
    acceptance.head_.acceptedAt_ = wall;
    acceptance.head_.total_ = static_cast<std::uint32_t>(acceptance.items_.size());
    acceptance.head_.itemPages_ = static_cast<std::uint32_t>(pages.value().size());
    // Counts as one more create until all are sent, because an answer may arrive while the next one is being sent.
    ++taking->open_;
    for (std::uint32_t page = 0; page < pages.value().size(); ++page)
        create(taking, itemPageKey(taking->job_, page), encode(pages.value()[page]), false);
    create(taking, headKey(taking->job_), encode(acceptance.head_), true);
    if (--taking->open_ == 0)
        decide(taking, now);
}

} // namespace jj
