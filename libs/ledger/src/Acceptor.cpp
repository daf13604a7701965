// One submission is a set of creates; the worst answer decides.
#include "ledger/Acceptor.h"

namespace jj {

// One submission under way.
struct SubmissionState {
    LedgerStore store_;
    JobName job_;
    Acceptance acceptance_;
    Acceptor::Done done_;
    TimePoint until_;
    std::size_t open_ = 0; // creates without an answer
    bool headStood_ = false; // the head was there before
    bool headMade_ = false;
    bool unknown_ = false;
    bool failed_ = false;
    bool isAcknowledged_ = false;
};

namespace {

    using Taking = SubmissionState;

    // Wall clocks of hosts differ by less than it; callers come back later.
    constexpr Duration clockSlack = 500ms;

    void finish(const std::shared_ptr<Taking>& taking, AcceptOutcome outcome, TimePoint now)
    {
        taking->acceptance_.outcome_ = outcome;
        taking->done_(taking->acceptance_, now);
    }

    bool mayTakeUp(const Taking& taking, const JobHead& refused)
    {
        return taking.isAcknowledged_ || taking.acceptance_.head_.acceptedAt_ > refused.acceptedAt_ + clockSlack;
    }

    // An earlier submission may have been given up before its items had arrived, or refused; now the items are there.
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
            if (head.value().state_ == JobState::Refused && !mayTakeUp(*taking, head.value()))
                return finish(taking, AcceptOutcome::NotAccepted, at);
            if (head.value().state_ == JobState::Void || head.value().state_ == JobState::Refused)
                return reopen(taking, head.value(), answer.answer_.version_);
            finish(taking, AcceptOutcome::AlreadyAccepted, at);
        });
    }

    void decide(const std::shared_ptr<Taking>& taking, TimePoint now)
    {
        if (taking->unknown_)
            return finish(taking, AcceptOutcome::Unknown, now);
        // With a head in the store, missing items may still come with the next submission, and then the job runs. "Not run" would be
        // a lie to a caller whose other submissions are refused too.
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

namespace {

    // The acceptance without an outcome; a failure when the submission is invalid.
    Checked<std::vector<std::vector<JobItem>>> prepare(Acceptance& acceptance, JobSubmission submission, NodeId owner, WallTime wall)
    {
        if (!isValidJobName(submission.job_))
            return Failure { LedgerError::BadJobName, submission.job_.substr(0, longestJobName) };
        acceptance.items_ = submission.items_;
        auto pages = paged(std::move(submission.items_));
        if (!pages)
            return pages.error();
        acceptance.head_ = submission.head_;
        acceptance.head_.owner_ = owner;
        acceptance.head_.acceptedAt_ = wall;
        acceptance.head_.total_ = static_cast<std::uint32_t>(acceptance.items_.size());
        acceptance.head_.itemPages_ = static_cast<std::uint32_t>(pages.value().size());
        return std::move(pages.value());
    }

    std::shared_ptr<Taking> takingOf(const LedgerStore& store, const JobName& job, TimePoint until, Acceptor::Done done)
    {
        auto taking = std::make_shared<Taking>();
        taking->store_ = store;
        taking->job_ = job;
        taking->done_ = std::move(done);
        taking->until_ = until;
        return taking;
    }

} // namespace

void Acceptor::refuse(const JobSubmission& submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done)
{
    const auto taking = takingOf(store_, submission.job_, now + bound, std::move(done));
    const auto pages = prepare(taking->acceptance_, submission, owner, wall);
    if (!pages) {
        taking->acceptance_.failure_ = pages.error();
        return finish(taking, AcceptOutcome::Invalid, now);
    }
    JobHead head = taking->acceptance_.head_;
    head.state_ = JobState::Refused;
    taking->store_(ObjectCall::create(headKey(taking->job_), encode(head)), CallClass::Accept, taking->until_, [this, taking, submission, owner, wall](const SettledAnswer& answer, TimePoint at) {
        if (!answer.is(ObjectError::Conflict))
            return finish(taking, answer.ok() ? AcceptOutcome::NotAccepted : AcceptOutcome::Unknown, at);
        meetStanding(taking, submission, owner, wall);
    });
}

// What stands where the refusal should: another refusal, a job that is over, or one that an earlier attempt brings or has brought. Its items may not all
// have arrived, so this attempt brings them too before it is acknowledged.
void Acceptor::meetStanding(const std::shared_ptr<Taking>& taking, const JobSubmission& submission, NodeId owner, WallTime wall)
{
    taking->store_(ObjectCall::get(headKey(taking->job_)), CallClass::Accept, taking->until_, [this, taking, submission, owner, wall](const SettledAnswer& answer, TimePoint at) {
        const Result<JobHead> head = answer.ok() ? decodeHead(answer.answer_.value_) : Result<JobHead>(LedgerError::BadRecord);
        if (!head)
            return finish(taking, AcceptOutcome::Unknown, at);
        switch (head.value().state_) {
        case JobState::Refused:
            return finish(taking, AcceptOutcome::NotAccepted, at);
        case JobState::Ended:
        case JobState::Done:
            return finish(taking, AcceptOutcome::AlreadyAccepted, at);
        case JobState::Open:
        case JobState::Void:
            return accept(submission, owner, taking->until_ - at, at, wall, taking->done_);
        }
    });
}

void Acceptor::accept(JobSubmission submission, NodeId owner, Duration bound, TimePoint now, WallTime wall, Done done, bool isAcknowledged)
{
    const auto taking = takingOf(store_, submission.job_, now + bound, std::move(done));
    taking->isAcknowledged_ = isAcknowledged;
    Acceptance& acceptance = taking->acceptance_;
    auto pages = prepare(acceptance, std::move(submission), owner, wall);
    if (!pages) {
        acceptance.failure_ = pages.error();
        return finish(taking, AcceptOutcome::Invalid, now);
    }
    ++taking->open_; // until all creates are under way: an answer may come at once
    for (std::uint32_t page = 0; page < pages.value().size(); ++page)
        create(taking, itemPageKey(taking->job_, page), encode(pages.value()[page]), false);
    create(taking, headKey(taking->job_), encode(acceptance.head_), true);
    if (--taking->open_ == 0)
        decide(taking, now);
}

} // namespace jj
