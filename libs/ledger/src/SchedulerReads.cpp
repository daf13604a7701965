// Calls on behalf of callers: reads of results and item bodies, and cancellation.
#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

namespace {

    std::size_t sizeOf(const JobResult& result)
    {
        constexpr std::size_t punctuation = 64;
        return result.item_.size() + result.text_.size() + punctuation;
    }

    // Returns the results from position `after` on, as many as fit into `bytes`, but at least one if there is one.
    ReadAnswer sliceOf(const std::vector<JobResult>& results, std::uint32_t total, std::uint32_t after, std::size_t bytes)
    {
        ReadAnswer answer;
        answer.outcome_ = ReadOutcome::Found;
        answer.total_ = total;
        std::size_t used = 0;
        for (std::size_t position = after; position < results.size(); ++position) {
            used += sizeOf(results[position]);
            if (used > bytes && !answer.results_.empty())
                break;
            answer.results_.push_back(results[position]);
        }
        answer.next_ = after + static_cast<std::uint32_t>(answer.results_.size());
        return answer;
    }

} // namespace

// Reads the head from the store. A job that isn't there may still be spooled on a disk, or may have been uploaded from a disk while the
// store's answer was in flight. So mayBeSpooled_ is checked both before and after the call; with one check alone, 6 of 20,000 explored
// schedules reported an acknowledged job as missing.
void JobScheduler::readHead(const JobName& name, TimePoint now, std::function<void(ReadOutcome, const JobHead&, ObjectVersion, TimePoint)> then)
{
    const bool mightBeSpooled = outlets_.mayBeSpooled_();
    store(ObjectCall::get(headKey(name)), CallClass::Read, now + settings_.readTimeout_, [this, mightBeSpooled, then = std::move(then)](const SettledAnswer& answer, TimePoint at) {
        const ReadOutcome missing = mightBeSpooled || outlets_.mayBeSpooled_() ? ReadOutcome::Unavailable : ReadOutcome::Missing;
        if (answer.is(ObjectError::NotFound))
            return then(missing, {}, ObjectVersion::none(), at);
        const Result<JobHead> head = answer.ok() ? decodeHead(answer.answer_.value_) : Result<JobHead>(LedgerError::BadRecord);
        if (!head)
            return then(ReadOutcome::Unavailable, {}, ObjectVersion::none(), at);
        // A job whose items never all arrived was never accepted.
        const ReadOutcome outcome = head.value().state_ == JobState::Void ? missing : ReadOutcome::Found;
        then(outcome, head.value(), answer.answer_.version_, at);
    });
}

void JobScheduler::locate(const JobName& name, TimePoint now, std::function<void(const JobLocation&)> done)
{
    readHead(name, now, [done = std::move(done)](ReadOutcome outcome, const JobHead& head, ObjectVersion, TimePoint) { done({ outcome, head.owner_, head.state_, head.total_ }); });
}

// ---- results

ReadAnswer JobScheduler::slice(const Job& job, std::uint32_t after) const { return sliceOf(job.listed_, job.head_.total_, after, settings_.maxAnswerBytes_); }

void JobScheduler::read(const JobName& name, std::uint32_t after, Duration wait, bool force, TimePoint now, ReadDone done)
{
    detectPause(now);
    if (const auto found = jobs_.find(name); found != jobs_.end() && !force)
        return readOwned(found->second, after, wait, now, std::move(done));
    readHead(name, now, [this, name, after, wait, force, now, done = std::move(done)](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        ReadAnswer answer;
        answer.outcome_ = outcome;
        if (outcome != ReadOutcome::Found)
            return done(std::move(answer));
        const bool isOwnedHere = head.owner_ == outlets_.self_ && !leaving_;
        if (isOwnedHere && !force) {
            loadOwned(name, head, version, now, at);
            return readOwned(jobs_.at(name), after, wait, at, done);
        }
        answer.outcome_ = ReadOutcome::OtherOwner;
        answer.owner_ = head.owner_;
        if (!force && outlets_.isLive_(head.owner_) && !isOwnedHere)
            return done(std::move(answer));
        if (!force && head.state_ == JobState::Open && !leaving_ && outlets_.preferredOwner_(name, head.owner_) == outlets_.self_)
            takeOver(name, at);
        readFromStore(name, head, after, at, done);
    });
}

void JobScheduler::readOwned(const JobPtr& job, std::uint32_t after, Duration wait, TimePoint now, ReadDone done)
{
    job->lastUse_ = now;
    const TimePoint until = now + std::min(wait, settings_.readTimeout_);
    if (!job->isLoaded_) {
        job->readers_.push_back({ after, std::max(until, now + settings_.readTimeout_), std::move(done) });
        return;
    }
    // One confirmation is not enough: other nodes may not have noticed yet that this node is back, and may take over the job after the
    // store's answer.
    const bool isOutdated = now - job->confirmedAt_ > settings_.confirmationLifetime_ && (job->isHandingOver_ || mayHaveBeenReplaced(*job, now));
    const bool isUncertain = job->isOpen() && (job->isOwnershipUncertain_ || isOutdated);
    const bool mustConfirm = !job->isComplete() && (isUncertain || job->mayMissResults_);
    // The caller has already seen more results than this node has in memory.
    const bool isBehind = after > job->listed_.size() && !job->isComplete();
    const bool isCommitLate = job->isCommitting_ && now - job->commitSentAt_ > settings_.confirmationLifetime_;
    // Other nodes read from the store while this one was unavailable. They may have found results there whose commit is still pending here,
    // because its answer is late or lost.
    const bool mayBeListed = isCommitLate && mayHaveBeenReplaced(*job, now);
    if (mustConfirm || isBehind || mayBeListed) {
        return refresh(job, now, [this, job, after, wait, now, isBypassed = isBehind || mayBeListed, done = std::move(done)](bool isOwner, TimePoint at) {
            // The store didn't answer, and the caller's node may reach it.
            if (!isOwner && at - now >= settings_.readTimeout_)
                return done({});
            if (!isOwner || isBypassed) {
                // The store holds everything that another owner has listed, and the head names the current owner.
                return read(job->name_, after, wait, true, at, done);
            }
            readOwned(job, after, wait, at, done);
        });
    }
    const bool hasMore = after < job->listed_.size();
    // The store may have listed the results of a commit whose answer is late, and a caller may have read them there. After a cancellation
    // a former owner's commit may still take effect, and this node writes no page that would conflict with it. While the store is unavailable,
    // this node can't be sure, so it doesn't answer from memory either.
    const bool mayHaveMore = (isCommitLate && outlets_.isWriteInDoubt_(resultPageKey(job->name_, job->pages_))) || !job->isOpen();
    if (mayHaveMore && !hasMore && !job->isComplete())
        return read(job->name_, after, wait, true, now, std::move(done));
    if (hasMore || job->isComplete() || !job->isOpen() || wait <= Duration::zero())
        return done(slice(*job, after));
    job->readers_.push_back({ after, until, std::move(done) });
}

void JobScheduler::answerReaders(const JobPtr& job)
{
    if (!job->isLoaded_)
        return;
    for (Job::Reader& reader : job->takeReaders([&](const Job::Reader& one) { return one.after_ < job->listed_.size() || job->isComplete(); }))
        reader.done_(slice(*job, reader.after_));
}

// A reader that waited is answered as one that reads now, because a commit may have become late, or the ownership uncertain, meanwhile.
void JobScheduler::answerExpiredReaders(const JobPtr& job, TimePoint now)
{
    for (Job::Reader& reader : job->takeReaders([&](const Job::Reader& one) { return now >= one.until_ || (job->isLoaded_ && !job->isOpen()); })) {
        if (job->isLoaded_)
            readOwned(job, reader.after_, Duration::zero(), now, std::move(reader.done_));
        else
            reader.done_({});
    }
}

namespace {

    // Reads the result pages one after the other.
    struct StoreRead {
        LedgerStore store_;
        JobName job_;
        JobHead head_;
        std::uint32_t after_ = 0;
        std::size_t bytes_ = 0;
        TimePoint until_;
        std::vector<JobResult> results_;
        JobScheduler::ReadDone done_;
    };

    void readPage(const std::shared_ptr<StoreRead>& reading, std::uint32_t page)
    {
        reading->store_(ObjectCall::get(resultPageKey(reading->job_, page)), CallClass::Read, reading->until_, [reading, page](const SettledAnswer& answer, TimePoint) {
            if (answer.is(ObjectError::NotFound))
                return reading->done_(sliceOf(reading->results_, reading->head_.total_, reading->after_, reading->bytes_));
            auto results = answer.ok() ? decodeResults(answer.answer_.value_) : Result<std::vector<JobResult>>(LedgerError::BadRecord);
            if (!results)
                return reading->done_({});
            for (JobResult& result : results.value())
                reading->results_.push_back(std::move(result));
            if (reading->results_.size() >= reading->head_.total_)
                return reading->done_(sliceOf(reading->results_, reading->head_.total_, reading->after_, reading->bytes_));
            readPage(reading, page + 1);
        });
    }

} // namespace

void JobScheduler::readFromStore(const JobName& name, const JobHead& head, std::uint32_t after, TimePoint now, const ReadDone& done)
{
    readPage(std::make_shared<StoreRead>(StoreRead { outlets_.store_, name, head, after, settings_.maxAnswerBytes_, now + settings_.readTimeout_, {}, done }), 0);
}

// ---- bodies

void JobScheduler::body(const JobName& name, const std::string& item, bool force, TimePoint now, BodyDone done)
{
    const Job* job = findOwnedJob(name);
    if (job && job->isLoaded_ && job->isOpen() && !force) {
        const auto found = job->byId_.find(item);
        BodyAnswer answer;
        const bool isFound = found != job->byId_.end() && job->items_[found->second].state_ != ItemState::Listed;
        answer.outcome_ = isFound ? ReadOutcome::Found : ReadOutcome::Missing;
        if (isFound) {
            if (auto bytes = fromBase64(job->items_[found->second].item_.body_))
                answer.body_ = std::move(bytes.value());
        }
        return done(std::move(answer));
    }
    readHead(name, now, [this, name, item, force, done = std::move(done)](ReadOutcome outcome, const JobHead& head, ObjectVersion, TimePoint at) {
        BodyAnswer answer;
        answer.outcome_ = outcome;
        answer.owner_ = head.owner_;
        if (outcome != ReadOutcome::Found)
            return done(std::move(answer));
        const bool isOwnedByOther = !force && head.owner_ != outlets_.self_ && outlets_.isLive_(head.owner_);
        if (isOwnedByOther) {
            answer.outcome_ = ReadOutcome::OtherOwner;
            return done(std::move(answer));
        }
        // The item pages stay in the store until the job is removed.
        auto readNextPage = std::make_shared<std::function<void(std::uint32_t, TimePoint)>>();
        *readNextPage = [this, name, item, head, done, readNextPage](std::uint32_t page, TimePoint then) {
            BodyAnswer found;
            if (page >= head.itemPages_) {
                found.outcome_ = ReadOutcome::Missing;
                done(std::move(found));
                *readNextPage = nullptr;
                return;
            }
            store(ObjectCall::get(itemPageKey(name, page)), CallClass::Read, then + settings_.readTimeout_, [item, page, done, readNextPage](const SettledAnswer& settled, TimePoint later) {
                const auto items = settled.ok() ? decodeItems(settled.answer_.value_) : Result<std::vector<JobItem>>(LedgerError::BadRecord);
                if (!items) {
                    done({});
                    *readNextPage = nullptr;
                    return;
                }
                const auto position = std::find_if(items.value().begin(), items.value().end(), [&](const JobItem& one) { return one.id_ == item; });
                if (position == items.value().end())
                    return (*readNextPage)(page + 1, later);
                BodyAnswer hit;
                const auto bytes = fromBase64(position->body_);
                hit.outcome_ = bytes ? ReadOutcome::Found : ReadOutcome::Missing;
                if (bytes)
                    hit.body_ = bytes.value();
                done(std::move(hit));
                *readNextPage = nullptr;
            });
        };
        const auto first = *readNextPage;
        first(0, at);
    });
}

// ---- cancellation

void JobScheduler::end(const JobName& name, bool force, TimePoint now, CancelDone done)
{
    const auto found = jobs_.find(name);
    if (found != jobs_.end() && !force) {
        const JobPtr job = found->second;
        // All results are in the store, so nothing of the job can run again, whatever its head says. A void job may be opened again.
        const bool isEnded = !job->isOpen() && !job->isVoid() && !job->isCancelMarkDue_;
        if (isEnded || job->isComplete())
            return done({ ReadOutcome::Found, outlets_.self_ });
        // The runs stop before the acknowledgement, and none starts while the head is being updated, so no item starts after the
        // acknowledgement.
        stopRuns(job, true);
        job->cancelRequests_.push_back({ now, std::move(done) });
        return writeCancellation(job, now);
    }
    readHead(name, now, [this, name, force, now, done = std::move(done)](ReadOutcome outcome, const JobHead& head, ObjectVersion, TimePoint at) {
        if (outcome != ReadOutcome::Found)
            return done({ outcome, {} });
        // The first call may not have been acknowledged because its mark was not written, so the mark is written again.
        if (head.state_ == JobState::Cancelled && force)
            return writeCancelMark(name, now + settings_.readTimeout_, done);
        if (head.state_ != JobState::Open)
            return done({ ReadOutcome::Found, head.owner_ });
        if (!force && findOwnedJob(name))
            return end(name, false, now, done); // this node became the owner in the meantime
        if (!force && head.owner_ != outlets_.self_ && outlets_.isLive_(head.owner_))
            return done({ ReadOutcome::OtherOwner, head.owner_ });
        cancelInStore(name, at, now + settings_.readTimeout_, done);
    });
}

// Writes the cancellation into the head. If another change of the head (completion or handover) is pending, the callers wait until it has
// settled, because an update sent now would conflict with it, and callers would get Unavailable although the store works. Afterwards the
// job is complete, or belongs to another node (drop() repeats the call), or the cancellation is written.
void JobScheduler::writeCancellation(const JobPtr& job, TimePoint now)
{
    if (job->cancelRequests_.empty() || job->isUpdatingHead_ || job->isWritingCancelMark_ || job->isVoid())
        return;
    if (job->isCancelMarkDue_)
        return writeOwnCancelMark(job, now);
    if (!job->isOpen() || job->isComplete())
        return answerCancelRequests(job, { ReadOutcome::Found, outlets_.self_ });
    job->isCancelling_ = true;
    setState(job, JobState::Cancelled, now, [this, job](bool isWritten, TimePoint at) {
        job->isCancelling_ = false;
        if (!isWritten)
            return answerCancelRequests(job, {});
        job->lastUse_ = at;
        job->pending_.clear();
        job->items_.clear();
        job->byId_.clear();
        noteHead(SchedulerNote::JobCancelled, job->name_, job->head_, job->headVersion_, job->listed_.size());
        job->isCancelMarkDue_ = job->isTakenOver_;
        if (!job->isCancelMarkDue_)
            return answerCancelRequests(job, { ReadOutcome::Found, outlets_.self_ });
        writeOwnCancelMark(job, at);
    });
}

// Until the mark is written, calls are answered with Unavailable, and each further call tries again.
void JobScheduler::writeOwnCancelMark(const JobPtr& job, TimePoint now)
{
    job->isWritingCancelMark_ = true;
    writeCancelMark(job->name_, now + settings_.readTimeout_, [job](const CancelAnswer& answer) {
        job->isWritingCancelMark_ = false;
        job->isCancelMarkDue_ = answer.outcome_ != ReadOutcome::Found;
        answerCancelRequests(job, answer);
    });
}

void JobScheduler::answerCancelRequests(const JobPtr& job, const CancelAnswer& answer)
{
    for (Job::CancelRequest& request : std::exchange(job->cancelRequests_, {}))
        request.done_(answer);
}

// Answers callers that have waited for readTimeout_ with Unavailable. A cancellation that is in flight continues.
void JobScheduler::answerTimedOutCancelRequests(const JobPtr& job, TimePoint now)
{
    std::vector<Job::CancelRequest> late;
    std::erase_if(job->cancelRequests_, [&](Job::CancelRequest& request) {
        if (now - request.requestedAt_ < settings_.readTimeout_)
            return false;
        late.push_back(std::move(request));
        return true;
    });
    for (Job::CancelRequest& request : late)
        request.done_({});
}

// Writes a mark that the owner watches for, before a cancellation that bypasses it is acknowledged. The owner may be unreachable from this
// node, or may have been considered dead and replaced, while it is alive and reaches the engines. It starts no more items once its last
// confirmation has expired, but without the mark its runs would go on until it next lists the heads, which may take 4 s and may return a
// stale list. Such cancellations are rare, so the watch costs one call every 15 s.
void JobScheduler::writeCancelMark(const JobName& name, TimePoint until, const CancelDone& done)
{
    store(ObjectCall::create(cancelMarkKey(name), "{}"), CallClass::Accept, until, [done](const SettledAnswer& answer, TimePoint) {
        const bool isMarked = answer.ok() || answer.is(ObjectError::Conflict);
        done({ isMarked ? ReadOutcome::Found : ReadOutcome::Unavailable, {} });
    });
}

void JobScheduler::handleCancelMark(const JobName& name, TimePoint now)
{
    const auto found = jobs_.find(name);
    // The mark is meant for another node, which may not know of the job yet. It is removed with the job's other objects at the latest.
    if (found == jobs_.end())
        return;
    const JobPtr job = found->second;
    noteHead(SchedulerNote::CancelMarkFound, name, job->head_, job->headVersion_);
    // The head was cancelled before the mark was written, so nothing of the job runs until the head has been read.
    job->questionOpen(now);
    stopRuns(job, true);
    refresh(job, now, [this, job](bool isOwner, TimePoint at) {
        // tick() repeats what failed here.
        job->isOwnershipUncertain_ = job->isOwnershipUncertain_ || !isOwner;
        // The mark may be meant for a former owner.
        if (!isOwner || job->head_.state_ != JobState::Cancelled || job->isTakenOver_)
            return;
        noteHead(SchedulerNote::CancelMarkRemoved, job->name_, job->head_, job->headVersion_);
        store(ObjectCall::remove(cancelMarkKey(job->name_)), CallClass::Background, at + settings_.backgroundTimeout_, [](const SettledAnswer&, TimePoint) {});
    });
}

// Cancels the job by updating its head, because the owner can't be reached. The update requires an unchanged version. The owner notices it
// at its next update of the head or its next scan.
void JobScheduler::cancelInStore(const JobName& name, TimePoint now, TimePoint until, CancelDone done)
{
    readHead(name, now, [this, name, until, done = std::move(done)](ReadOutcome outcome, JobHead head, ObjectVersion version, TimePoint) {
        if (outcome != ReadOutcome::Found)
            return done({ outcome, {} });
        if (head.state_ != JobState::Open)
            return done({ ReadOutcome::Found, head.owner_ });
        head.state_ = JobState::Cancelled;
        store(ObjectCall::update(headKey(name), encode(head), version), CallClass::Accept, until, [this, name, head, until, done](const SettledAnswer& answer, TimePoint later) {
            if (answer.ok()) {
                noteHead(SchedulerNote::JobCancelled, name, head, answer.answer_.version_);
                return writeCancelMark(name, until, done);
            }
            if (answer.is(ObjectError::Conflict) && later < until)
                return cancelInStore(name, later, until, done);
            done({});
        });
    });
}

} // namespace jj
