// How a node becomes the owner of a job: it adopts the job from a message, or loads it from the store.
#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

void JobScheduler::adopt(JobTransfer transfer, TimePoint now, WallTime wall)
{
    wall_ = wall;
    detectPause(now);
    noteStart(now);
    const JobKey key { transfer.job_, transfer.head_.acceptedAt_ };
    if (failures_.merge({ key, std::move(transfer.failures_) }, now))
        outlets_.shareFailures_(failures_.failuresOf(key));
    // This node has found the job in the store before the message.
    if (const Job* known = findOwnedJob(transfer.job_); known && known->headVersion_ >= transfer.headVersion_)
        return giveUpRejected(JobPtr(jobs_.at(transfer.job_)), now);
    drop(transfer.job_);
    auto job = std::make_shared<Job>();
    job->name_ = transfer.job_;
    job->head_ = transfer.head_;
    job->headVersion_ = transfer.headVersion_;
    job->due_ = dueAt(transfer.head_, now, wall);
    job->loadStarted_ = now;
    job->lastUse_ = now;
    job->isTakenOver_ = transfer.isTakenOver_;
    // The message may have been delayed, and other nodes, which considered this node dead, may have given the job to another owner that has
    // listed results since. A reader sent to this node would then miss results that it has already read. A node that started or was
    // unavailable recently therefore queries the store first. A node that was available throughout can't have been replaced, but it may have
    // found the job by itself before the message, and handed it over. Until a new process has listed the heads, it doesn't know which jobs an
    // earlier process of this node had.
    const bool mayBeKnown = !hasListedHeads_ || pendingTakeovers_.contains(transfer.job_) || earlierJobs_.contains(transfer.job_);
    // A message that says nothing of results may come long after the job was accepted. By then another node may have owned or ended it.
    const bool saysNothing = transfer.resultPages_ == 0 && transfer.progress_.empty();
    const bool isLate = saysNothing && std::chrono::abs(wall - transfer.head_.acceptedAt_) > settings_.longestAcceptance_;
    job->isHeadRead_ = !transfer.mayHaveResults_ && !mayBeKnown && !isLate;
    job->isOwnershipUncertain_ = wasRecentlyUnavailable(now) || outlets_.mayBeReplaced_() || !job->isHeadRead_;
    for (JobTransfer::Progress& progress : transfer.progress_)
        job->progress_[progress.item_] = std::move(progress);
    for (JobItem& item : transfer.items_) {
        job->byId_[item.id_] = job->items_.size();
        job->items_.push_back({});
        job->items_.back().item_ = std::move(item);
    }
    jobs_[job->name_] = job;
    noteHead(SchedulerNote::Adopted, job->name_, job->head_, job->headVersion_, job->head_.total_);
    if (!job->isHeadRead_)
        return loadHead(job, now);
    // A newly accepted job has no results yet, so there is nothing to read. The head doesn't tell whether a job is new: its owner may have
    // listed results and restarted.
    if (saysNothing && job->items_.size() == job->head_.total_)
        return finishLoading(job, now);
    loadContents(job, now);
}

// Reads the head of a job that may have changed since the message that announced it was sent.
void JobScheduler::loadHead(const JobPtr& job, TimePoint now)
{
    readHead(job->name_, now, [this, job, now](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (outcome == ReadOutcome::Unavailable) {
            job->reloadAt_ = at + settings_.storeRetryDelay_;
            return;
        }
        if (outcome == ReadOutcome::Missing || head.owner_ != outlets_.self_) {
            note(SchedulerNote::OwnershipLost, job->name_, {}, version.isNone() ? 0 : version.value());
            return drop(job->name_);
        }
        job->isHeadRead_ = true;
        if (head.state_ == JobState::Open)
            job->confirmOpen(now);
        job->head_ = head;
        job->headVersion_ = version;
        loadContents(job, at);
    });
}

void JobScheduler::loadContents(const JobPtr& job, TimePoint now)
{
    if (job->items_.size() == job->head_.total_)
        return loadResults(job, 0, now);
    job->items_.clear();
    job->byId_.clear();
    loadItems(job, 0, now);
}

void JobScheduler::loadOwned(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint queriedAt, TimePoint now)
{
    if (findOwnedJob(name))
        return;
    auto job = std::make_shared<Job>();
    job->name_ = name;
    job->head_ = head;
    job->headVersion_ = version;
    job->due_ = dueAt(head, now, wall_);
    job->loadStarted_ = now;
    job->lastUse_ = now;
    if (head.state_ == JobState::Open)
        job->confirmOpen(queriedAt);
    // The head doesn't tell whether this node, or an earlier process of it, has claimed the job from an owner that was considered dead.
    job->isTakenOver_ = true;
    jobs_[name] = job;
    outlets_.shareFailures_(failures_.failuresOf(job->key()));
    loadItems(job, 0, now);
}

void JobScheduler::loadItems(const JobPtr& job, std::uint32_t page, TimePoint now)
{
    // A job that isn't open has no items left to run.
    if (page >= job->head_.itemPages_ || !job->isOpen())
        return loadResults(job, 0, now);
    store(ObjectCall::get(itemPageKey(job->name_, page)), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        auto items = answer.ok() ? decodeItems(answer.answer_.value_) : Result<std::vector<JobItem>>(LedgerError::BadRecord);
        if (items) {
            for (JobItem& item : items.value()) {
                job->byId_[item.id_] = job->items_.size();
                job->items_.push_back({});
                job->items_.back().item_ = std::move(item);
            }
            return loadItems(job, page + 1, at);
        }
        // Items are written together with the head or soon after it. Those of an abandoned submission never arrive.
        if (answer.is(ObjectError::NotFound) && at - job->loadStarted_ > settings_.itemsTimeout_)
            return makeVoid(job, page, at);
        note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
        job->reloadAt_ = at + settings_.storeRetryDelay_;
        job->items_.clear();
        job->byId_.clear();
    });
}

void JobScheduler::makeVoid(const JobPtr& job, std::uint32_t missingPage, TimePoint now)
{
    setState(job, JobState::Void, now, [this, job, missingPage](bool done, TimePoint at) {
        if (!done) {
            job->reloadAt_ = at + settings_.storeRetryDelay_;
            job->items_.clear();
            job->byId_.clear();
            return;
        }
        note(SchedulerNote::JobVoid, job->name_);
        reopenIfComplete(job, missingPage, at);
    });
}

// A submission that wrote the missing items before the job was marked void has found the head open, and has been acknowledged. One that
// writes them afterwards finds the head void and reopens the job itself.
void JobScheduler::reopenIfComplete(const JobPtr& job, std::uint32_t missingPage, TimePoint now)
{
    store(ObjectCall::get(itemPageKey(job->name_, missingPage)), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (!answer.ok())
            return drop(job->name_);
        setState(job, JobState::Open, at, [this, job](bool done, TimePoint later) {
            if (!done)
                return drop(job->name_);
            job->loadStarted_ = later;
            loadContents(job, later);
        });
    });
}

void JobScheduler::loadResults(const JobPtr& job, std::uint32_t page, TimePoint now)
{
    store(ObjectCall::get(resultPageKey(job->name_, page)), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (answer.is(ObjectError::NotFound))
            return job->isComplete() ? finishLoading(job, at) : fence(job, at);
        auto results = answer.ok() ? decodeResults(answer.answer_.value_) : Result<std::vector<JobResult>>(LedgerError::BadRecord);
        if (!results) {
            note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
            job->reloadAt_ = at + settings_.storeRetryDelay_;
            return;
        }
        job->pages_ = page + 1;
        applyResults(job, std::move(results.value()));
        // A job that isn't open gets no further results, so its last result ends the loading.
        if (!job->isOpen() && job->isComplete())
            return finishLoading(job, at);
        loadResults(job, page + 1, at);
    });
}

// Reserves the next page with an empty one. An earlier owner, or an earlier process of this node, may have a write of a result page in
// flight. If that write succeeded now, readers that query the store would see results that this owner, which answers from memory, doesn't
// know. After the fence the write fails with a conflict, and its sender reads the head before it writes again. The cost is one write per
// takeover.
void JobScheduler::fence(const JobPtr& job, TimePoint now)
{
    const std::uint32_t page = job->pages_;
    store(ObjectCall::create(resultPageKey(job->name_, page), encode(std::vector<JobResult>())), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (answer.ok() && !answer.isReadBack_) {
            job->pages_ = page + 1;
            // Another node may have claimed the job and reserved a page while this one was loading. It wouldn't notice results on later pages,
            // such as those of items that are given up now.
            job->isOwnershipUncertain_ = job->isOpen();
            finishLoading(job, at);
            if (job->isOpen())
                confirmThenComplete(job, at);
            return;
        }
        // All empty pages are equal. Another owner's fence doesn't stop that owner, so this one reserves the page after it.
        if (answer.ok() || answer.is(ObjectError::Conflict))
            return loadResults(job, page, at);
        note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.answer_.error_);
        job->reloadAt_ = at + settings_.storeRetryDelay_;
    });
}

void JobScheduler::finishLoading(const JobPtr& job, TimePoint now)
{
    job->isLoaded_ = true;
    job->confirmedAt_ = job->loadStarted_;
    for (auto& [id, progress] : job->progress_) {
        const auto found = job->byId_.find(id);
        if (found == job->byId_.end() || job->items_[found->second].state_ != ItemState::Waiting)
            continue;
        Item& item = job->items_[found->second];
        item.text_ = std::move(progress.text_);
        item.events_ = progress.events_;
        item.lastEvent_ = progress.lastEvent_;
        item.version_ = progress.version_;
    }
    job->progress_.clear();
    giveUpRejected(job, now);
    noteHead(SchedulerNote::Loaded, job->name_, job->head_, job->headVersion_, job->listed_.size());
    completeIfDone(job, now);
    answerReaders(job);
}

// Adds results that are in the store. This node's own results and runs of the same items are discarded.
void JobScheduler::applyResults(const JobPtr& job, std::vector<JobResult> results)
{
    for (JobResult& result : results) {
        std::erase_if(job->pending_, [&](const JobResult& own) { return own.item_ == result.item_; });
        const auto found = job->byId_.find(result.item_);
        if (found != job->byId_.end()) {
            Item& item = job->items_[found->second];
            if (item.state_ == ItemState::Running) {
                runs_.erase(item.run_);
                outlets_.stop_(item.run_);
            }
            item.state_ = ItemState::Listed;
            item.text_ = {};
            item.item_.body_ = {};
        }
        job->listed_.push_back(std::move(result));
    }
}

void JobScheduler::drop(const JobName& name)
{
    const auto found = jobs_.find(name);
    if (found == jobs_.end())
        return;
    const JobPtr job = found->second;
    stopRuns(job, false);
    jobs_.erase(found);
    earlierJobs_[name] = lastTick_;
    // The store holds all that another owner has listed.
    for (Job::Reader& reader : std::exchange(job->readers_, {}))
        read(name, reader.after_, Duration::zero(), true, lastTick_, std::move(reader.done_));
    // Repeats the cancellations, which then reach the new owner or find the job's final state in the store.
    for (Job::CancelRequest& request : std::exchange(job->cancelRequests_, {}))
        end(name, false, request.requestedAt_, std::move(request.done_));
}

} // namespace jj
