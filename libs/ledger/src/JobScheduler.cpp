// Ownership of jobs (loading, takeover, handover) and the periodic work.
#include "ledger/JobScheduler.h"

#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

std::string_view toString(SchedulerNote note)
{
    static constexpr std::string_view names[] = { "jobAdopted", "jobLoaded", "jobTakenOver", "jobLost", "resultsListed", "pageConflict", "itemErrored", "itemRetried", "jobDone", "jobEnded", "jobVoid", "jobHandedOver", "jobRemoved", "jobStoreFailed" };
    return names[static_cast<std::size_t>(note)];
}

JobScheduler::JobScheduler(SchedulerSettings settings, SchedulerOutlets outlets)
    : settings_(settings)
    , outlets_(std::move(outlets))
{
}

JobScheduler::~JobScheduler() = default;

JobScheduler::Job* JobScheduler::findOwnedJob(const JobName& name)
{
    const auto found = jobs_.find(name);
    return found == jobs_.end() ? nullptr : found->second.get();
}

void JobScheduler::note(SchedulerNote note, std::string_view job, std::string_view item, std::uint64_t count, std::error_code error) const
{
    outlets_.note_({ note, job, item, count, error });
}

// Limits the time left to the job's run target: if the wall clock was set back, the job would otherwise be due in the far future.
TimePoint JobScheduler::dueAt(const JobHead& head, TimePoint now, WallTime wall) const
{
    const Duration timeLeft = std::chrono::duration_cast<Duration>(head.acceptedAt_ - wall) + head.runTarget_;
    return now + std::min(timeLeft, head.runTarget_);
}

std::size_t JobScheduler::openJobs() const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second->isOpen(); }));
}

// ---- adopting and loading

void JobScheduler::adopt(JobTransfer transfer, TimePoint now, WallTime wall)
{
    wall_ = wall;
    detectPause(now);
    if (startedAt_ == TimePoint())
        startedAt_ = now;
    if (const Job* known = findOwnedJob(transfer.job_); known && known->headVersion_ >= transfer.headVersion_)
        return;
    drop(transfer.job_);
    auto job = std::make_shared<Job>();
    job->name_ = transfer.job_;
    job->head_ = transfer.head_;
    job->headVersion_ = transfer.headVersion_;
    job->due_ = dueAt(transfer.head_, now, wall);
    job->loadStarted_ = now;
    job->lastUse_ = now;
    // The message may have been delayed, and other nodes, which considered this node dead, may have given the job to another owner that has
    // listed results since. A reader sent to this node would then miss results that it has already read. A node that started or was
    // unavailable recently therefore queries the store first. A node that was available throughout can't have been replaced, but it may have
    // found the job by itself before the message, and handed it over. Until a new process has listed the heads, it doesn't know which jobs an
    // earlier process of this node had.
    const bool mayBeKnown = !hasListedHeads_ || pendingTakeovers_.contains(transfer.job_) || droppedAt_.contains(transfer.job_);
    const bool mayHaveResults = transfer.mayHaveResults_ || mayBeKnown;
    job->isOwnershipUncertain_ = wasRecentlyUnavailable(now) || mayHaveResults;
    for (JobTransfer::Progress& progress : transfer.progress_)
        job->progress_[progress.item_] = std::move(progress);
    for (JobItem& item : transfer.items_) {
        job->byId_[item.id_] = job->items_.size();
        job->items_.push_back({});
        job->items_.back().item_ = std::move(item);
    }
    jobs_[job->name_] = job;
    note(SchedulerNote::Adopted, job->name_, {}, job->head_.total_);
    if (job->items_.size() != job->head_.total_) {
        job->items_.clear();
        job->byId_.clear();
        return loadItems(job, 0, now);
    }
    // A newly accepted job has no results yet, so there is nothing to read. The head doesn't tell whether a job is new: its owner may have
    // listed results and restarted.
    if (transfer.resultPages_ == 0 && job->progress_.empty() && !mayHaveResults)
        return finishLoading(job, now);
    loadResults(job, 0, now);
}

void JobScheduler::loadOwned(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now)
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
    jobs_[name] = job;
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
            return makeVoid(job, at);
        note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
        job->reloadAt_ = at + settings_.storeRetryDelay_;
        job->items_.clear();
        job->byId_.clear();
    });
}

void JobScheduler::makeVoid(const JobPtr& job, TimePoint now)
{
    setState(job, JobState::Void, now, [this, job](bool done, TimePoint at) {
        if (!done) {
            job->reloadAt_ = at + settings_.storeRetryDelay_;
            job->items_.clear();
            job->byId_.clear();
            return;
        }
        note(SchedulerNote::JobVoid, job->name_);
        drop(job->name_);
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
            finishLoading(job, at);
            // Another node may have claimed the job and reserved a page while this one was loading. It wouldn't notice results on later pages.
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
        item.failures_ = progress.failures_;
    }
    job->progress_.clear();
    note(SchedulerNote::Loaded, job->name_, {}, job->listed_.size());
    completeIfDone(job, now);
    answerReaders(job, now, false);
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
    droppedAt_[name] = lastTick_;
    for (Job::Reader& reader : std::exchange(job->readers_, {}))
        reader.done_({});
    // Repeats the cancellations, which then reach the new owner or find the job's final state in the store.
    for (Job::CancelRequest& request : std::exchange(job->cancelRequests_, {}))
        end(name, false, request.requestedAt_, std::move(request.done_));
}

// ---- takeover

void JobScheduler::scan(bool stale, TimePoint now)
{
    if (scanning_)
        return;
    scanning_ = true;
    listHeads({}, stale, now);
}

void JobScheduler::listHeads(std::string after, bool stale, TimePoint now)
{
    ObjectCall call = ObjectCall::list(std::string(headKind), true, std::move(after));
    call.stale_ = stale;
    store(std::move(call), CallClass::Read, now + settings_.readTimeout_ * 4, [this, stale](const SettledAnswer& answer, TimePoint at) {
        if (!answer.ok()) {
            scanning_ = false;
            return note(SchedulerNote::StoreFailed, {}, {}, 0, answer.answer_.error_);
        }
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<JobHead> head = decodeHead(entry.value_);
            const std::string_view name = jobOfHeadKey(entry.key_);
            if (head && !name.empty())
                handleListedHead(std::string(name), head.value(), entry.version_, at);
        }
        scanning_ = !answer.answer_.next_.empty();
        hasListedHeads_ = hasListedHeads_ || !scanning_;
        if (scanning_)
            listHeads(answer.answer_.next_, stale, at);
    });
}

void JobScheduler::handleListedHead(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now)
{
    if (Job* job = findOwnedJob(name)) {
        const bool isNewer = version > job->headVersion_ && !job->isUpdatingHead_;
        if (isNewer)
            refresh(jobs_[name], now, [](bool, TimePoint) {});
        return;
    }
    if (leaving_)
        return;
    const bool isOwnedHere = head.owner_ == outlets_.self_;
    const bool isOrphan = !isOwnedHere && !outlets_.isLive_(head.owner_) && outlets_.preferredOwner_(name, head.owner_) == outlets_.self_;
    const bool isExpired = wall_ - head.acceptedAt_ > settings_.retention_ + settings_.clockSlack_;
    if ((isOwnedHere || isOrphan) && (head.state_ == JobState::Open || isExpired))
        takeOver(name, now);
}

// The list may be stale, so the head itself is read before it is acted on.
void JobScheduler::takeOver(const JobName& name, TimePoint now)
{
    const auto [claim, isNew] = pendingTakeovers_.try_emplace(name, now);
    if (!isNew)
        return;
    readHead(name, now, [this, name](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        pendingTakeovers_.erase(name);
        if (outcome != ReadOutcome::Found || leaving_ || findOwnedJob(name))
            return;
        if (head.owner_ == outlets_.self_)
            return loadOwned(name, head, version, at);
        if (head.state_ != JobState::Open || outlets_.isLive_(head.owner_))
            return;
        this->claim(name, head, version, at);
    });
}

void JobScheduler::claim(const JobName& name, JobHead head, ObjectVersion version, TimePoint now)
{
    pendingTakeovers_[name] = now;
    head.owner_ = outlets_.self_;
    store(ObjectCall::update(headKey(name), encode(head), version), CallClass::Commit, now + settings_.itemsTimeout_, [this, name, head](const SettledAnswer& answer, TimePoint at) {
        pendingTakeovers_.erase(name);
        if (!answer.ok())
            return;
        note(SchedulerNote::TakenOver, name, {}, answer.answer_.version_.value());
        loadOwned(name, head, answer.answer_.version_, at);
        if (Job* job = findOwnedJob(name))
            job->isTakenOver_ = true;
    });
}

void JobScheduler::recheckOwnership(TimePoint now)
{
    lastUnavailableAt_ = now;
    for (auto& [name, job] : jobs_)
        job->isOwnershipUncertain_ = job->isOpen();
}

// Reads the head from the store to confirm that this node still owns the job. `isOwner` is true if it does and thus has all listed results
// in memory.
void JobScheduler::refresh(const JobPtr& job, TimePoint now, std::function<void(bool, TimePoint)> then)
{
    readHead(job->name_, now, [this, job, now, then = std::move(then)](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return then(false, at);
        if (outcome == ReadOutcome::Unavailable)
            return then(false, at);
        if (outcome == ReadOutcome::Missing || head.owner_ != outlets_.self_) {
            note(SchedulerNote::OwnershipLost, job->name_, {}, version.isNone() ? 0 : version.value());
            drop(job->name_);
            return then(false, at);
        }
        if (version > job->headVersion_) {
            job->headVersion_ = version;
            job->head_.term_ = head.term_;
            job->mayMissResults_ = true;
            ++job->headChanges_;
        }
        if (job->isOpen() && head.state_ != JobState::Open) {
            job->head_ = head;
            stopRuns(job, false);
        }
        loadMissingResults(job, now, at, then);
    });
}

// Reads the pages that another owner has added, if the head shows that there may have been one.
void JobScheduler::loadMissingResults(const JobPtr& job, TimePoint queriedAt, TimePoint now, std::function<void(bool, TimePoint)> then)
{
    // The loading reads all pages.
    if (!job->isLoaded_)
        return then(false, now);
    if (!job->mayMissResults_ || job->isComplete()) {
        job->isOwnershipUncertain_ = false;
        job->confirmedAt_ = std::max(job->confirmedAt_, queriedAt);
        return then(true, now);
    }
    // The pending commit either conflicts with another owner's page or writes the next one, which must not be applied twice.
    if (job->isCommitting_)
        return then(false, now);
    const std::uint32_t page = job->pages_;
    store(ObjectCall::get(resultPageKey(job->name_, page)), CallClass::Read, now + settings_.readTimeout_, [this, job, page, headChanges = job->headChanges_, queriedAt, then = std::move(then)](const SettledAnswer& answer, TimePoint at) {
        const bool isOutdated = findOwnedJob(job->name_) != job.get() || job->isCommitting_ || job->pages_ != page || job->headChanges_ != headChanges;
        if (isOutdated)
            return then(false, at);
        if (answer.is(ObjectError::NotFound)) {
            job->mayMissResults_ = false;
            return loadMissingResults(job, queriedAt, at, then);
        }
        auto results = answer.ok() ? decodeResults(answer.answer_.value_) : Result<std::vector<JobResult>>(LedgerError::BadRecord);
        if (!results)
            return then(false, at);
        ++job->pages_;
        applyResults(job, std::move(results.value()));
        loadMissingResults(job, queriedAt, at, then);
    });
}

// ---- handover

void JobScheduler::beginLeaving(TimePoint now)
{
    leaving_ = true;
    handOverMisplaced(now);
}

void JobScheduler::handOverMisplaced(TimePoint now)
{
    std::vector<JobPtr> all;
    for (const auto& [name, job] : jobs_)
        all.push_back(job);
    for (const JobPtr& job : all)
        handOver(job, now);
}

bool JobScheduler::hasLeft() const { return leaving_ && openJobs() == 0; }

void JobScheduler::handOver(const JobPtr& job, TimePoint now)
{
    if (!job->isOpen())
        return;
    const NodeId target = outlets_.preferredOwner_(job->name_, outlets_.self_);
    if (target.isNone() || target == outlets_.self_ || !job->isLoaded_ || job->isUpdatingHead_)
        return;
    stopRuns(job, true);
    if (job->isCommitting_)
        return;
    if (!job->pending_.empty()) {
        // As in commitIfDue(): another owner doesn't notice results that are listed after its fence.
        if (!job->isOwnershipUncertain_)
            commit(job, now);
        return;
    }
    JobHead head = job->head_;
    head.owner_ = target;
    job->isUpdatingHead_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsTimeout_, [this, job, head](const SettledAnswer& answer, TimePoint at) {
        job->isUpdatingHead_ = false;
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (!answer.ok())
            return refresh(job, at, [](bool, TimePoint) {});
        // The new owner may have claimed the job itself, which writes the same head, or may have found it there a while ago.
        JobTransfer transfer { job->name_, head, answer.answer_.version_, {}, job->pages_, answer.isReadBack_, {} };
        for (Item& item : job->items_) {
            if (item.events_ > 0 && item.state_ == ItemState::Waiting)
                transfer.progress_.push_back({ item.item_.id_, item.text_, item.events_, item.lastEvent_, item.failures_ });
            transfer.items_.push_back(item.item_);
        }
        note(SchedulerNote::HandedOver, job->name_, {}, head.owner_.value());
        drop(job->name_);
        outlets_.transfer_(head.owner_, std::move(transfer));
    });
}

// ---- periodic work

bool JobScheduler::wasRecentlyPaused(TimePoint now) const { return lastUnavailableAt_ != TimePoint() && now - lastUnavailableAt_ < settings_.replacementWindow_; }

bool JobScheduler::wasRecentlyUnavailable(TimePoint now) const { return isRecentlyStarted(now) || wasRecentlyPaused(now); }

bool JobScheduler::mayHaveBeenReplaced(const Job& job, TimePoint now) const
{
    return wasRecentlyPaused(now) || (isRecentlyStarted(now) && !job.isConfirmed_) || outlets_.mayBeReplaced_();
}

// Rewrites the head after a restart, once all nodes have noticed that this process is alive. Until then, nodes that consider this node dead
// may be about to claim its jobs, so every second read has to query the store. When that lasted for all of the ten seconds after a start, a
// restart of the whole fleet used a fifth of a day's store calls. After the rewrite, a claim that is still in flight fails, because it
// requires the earlier version of the head.
void JobScheduler::confirmOwnership(const JobPtr& job, TimePoint now)
{
    const bool isDue = !job->isConfirmed_ && isRecentlyStarted(now) && !wasRecentlyPaused(now) && now - startedAt_ >= settings_.announcedAfter_;
    if (!isDue || !job->isOpen() || job->isComplete() || job->isUpdatingHead_ || !job->cancelRequests_.empty() || now < job->retryStoreAt_)
        return;
    JobHead head = job->head_;
    ++head.term_;
    job->isUpdatingHead_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsTimeout_, [this, job, head, now](const SettledAnswer& answer, TimePoint at) {
        job->isUpdatingHead_ = false;
        if (findOwnedJob(job->name_) != job.get())
            return;
        // An earlier process of this node may have written the same head before other nodes noticed the start of this one.
        if (!answer.ok() || answer.isReadBack_) {
            job->retryStoreAt_ = at + settings_.storeRetryDelay_;
            return refresh(job, at, [](bool, TimePoint) {});
        }
        job->head_ = head;
        job->headVersion_ = answer.answer_.version_;
        job->confirmedAt_ = std::max(job->confirmedAt_, now);
        job->isOwnershipUncertain_ = false;
        job->isConfirmed_ = true;
    });
}

// Detects that the process was paused. Reads call this as well as the tick, because the first event after a pause may be a caller's read.
void JobScheduler::detectPause(TimePoint now)
{
    if (lastTick_ == TimePoint() || now - lastTick_ <= settings_.pauseThreshold_)
        return;
    lastTick_ = now;
    recheckOwnership(now);
}

void JobScheduler::tick(TimePoint now, WallTime wall)
{
    wall_ = wall;
    detectPause(now);
    lastTick_ = now;
    if (startedAt_ == TimePoint())
        startedAt_ = now;
    std::erase_if(droppedAt_, [&](const auto& entry) { return now - entry.second > settings_.retention_; });
    std::vector<JobPtr> all;
    for (const auto& [name, job] : jobs_)
        all.push_back(job);
    for (const JobPtr& job : all) {
        if (findOwnedJob(job->name_) != job.get())
            continue;
        // Only a load that has failed: a second one beside it would add all results and items twice.
        const bool mustReload = job->reloadAt_ != TimePoint() && now >= job->reloadAt_;
        if (mustReload) {
            job->reloadAt_ = {};
            job->listed_.clear();
            job->pages_ = 0;
            job->items_.empty() ? loadItems(job, 0, now) : loadResults(job, 0, now);
        }
        answerReaders(job, now, false);
        answerTimedOutCancelRequests(job, now);
        writeCancellation(job, now);
        if (!job->isLoaded_)
            continue;
        // If another node owns the job by now, it may have started the same items; the job is then dropped and its runs here stop.
        const bool isUncertain = job->isOwnershipUncertain_ || (job->mayMissResults_ && !job->isComplete());
        const bool mustConfirm = job->isOpen() && isUncertain && now >= job->nextConfirmationAt_;
        if (mustConfirm) {
            job->nextConfirmationAt_ = now + settings_.storeRetryDelay_;
            refresh(job, now, [](bool, TimePoint) {});
            if (findOwnedJob(job->name_) != job.get())
                continue;
        }
        if (leaving_) {
            handOver(job, now);
            continue;
        }
        confirmOwnership(job, now);
        abandonOverdue(job, now);
        commitIfDue(job, now);
        completeIfDone(job, now);
        const bool isIdle = !job->isOpen() && job->readers_.empty() && now - job->lastUse_ > settings_.idleTimeout_;
        if (!job->isOpen() && wall_ - job->head_.acceptedAt_ > settings_.retention_ + settings_.clockSlack_)
            removeExpired(job, wall, now);
        else if (isIdle)
            drop(job->name_);
    }
}

void JobScheduler::abandonOverdue(const JobPtr& job, TimePoint now)
{
    const bool isOverdue = job->isOpen() && job->head_.abandonAfter_ > Duration::zero() && wall_ - job->head_.acceptedAt_ > job->head_.abandonAfter_ + settings_.clockSlack_;
    if (!isOverdue)
        return;
    stopRuns(job, true);
    for (std::size_t itemIndex = 0; itemIndex < job->items_.size(); ++itemIndex) {
        if (job->items_[itemIndex].state_ == ItemState::Waiting)
            finishItem(job, itemIndex, ResultState::Errored, now);
    }
}

// The head is removed last: as long as it exists, any node that finds it continues the removal.
void JobScheduler::removeExpired(const JobPtr& job, WallTime /*wall*/, TimePoint now)
{
    const auto ignore = [](const SettledAnswer&, TimePoint) {};
    for (std::uint32_t page = 0; page < job->pages_; ++page)
        store(ObjectCall::remove(resultPageKey(job->name_, page)), CallClass::Background, now + settings_.backgroundTimeout_, ignore);
    for (std::uint32_t page = 0; page < job->head_.itemPages_; ++page)
        store(ObjectCall::remove(itemPageKey(job->name_, page)), CallClass::Background, now + settings_.backgroundTimeout_, ignore);
    store(ObjectCall::remove(headKey(job->name_)), CallClass::Background, now + settings_.backgroundTimeout_, ignore);
    note(SchedulerNote::Removed, job->name_);
    drop(job->name_);
}

} // namespace jj
