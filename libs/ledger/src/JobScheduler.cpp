// Ownership of jobs (loading, takeover, handover) and the periodic work.
#include "ledger/JobScheduler.h"

#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

std::string_view toString(SchedulerNote note)
{
    static constexpr std::string_view names[] = { "jobAdopted", "jobTakenOver", "jobLost", "resultsListed", "pageConflict", "itemErrored", "itemRetried", "jobDone", "jobEnded", "jobVoid", "jobHandedOver", "jobRemoved", "jobStoreFailed" };
    return names[static_cast<std::size_t>(note)];
}

JobScheduler::JobScheduler(SchedulerSettings settings, SchedulerOutlets outlets)
    : settings_(settings)
    , outlets_(std::move(outlets))
{
}

JobScheduler::~JobScheduler() = default;

JobScheduler::Job* JobScheduler::owned(const JobName& name)
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
    const Duration left = std::chrono::duration_cast<Duration>(head.acceptedAt_ - wall) + head.runTarget_;
    return now + std::min(left, head.runTarget_);
}

std::size_t JobScheduler::openJobs() const
{
    return static_cast<std::size_t>(std::count_if(jobs_.begin(), jobs_.end(), [](const auto& entry) { return entry.second->isOpen(); }));
}

// ---- adopting and loading

void JobScheduler::adopt(JobTransfer transfer, TimePoint now, WallTime wall)
{
    wall_ = wall;
    noticePause(now);
    if (firstUse_ == TimePoint())
        firstUse_ = now;
    if (const Job* known = owned(transfer.job_); known && known->headVersion_ >= transfer.headVersion_)
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
    // unavailable recently therefore queries the store first. A node that was available throughout can't have been replaced.
    job->suspect_ = wasAway(now) || transfer.isResent_;
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
    // A newly accepted job has no results yet, so there is nothing to read.
    if (transfer.resultPages_ == 0 && job->progress_.empty())
        return loaded(job, now);
    loadResults(job, 0, now);
}

void JobScheduler::loadOwned(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now)
{
    if (owned(name))
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
    store(ObjectCall::get(itemPageKey(job->name_, page)), CallClass::Commit, now + settings_.patience_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (owned(job->name_) != job.get())
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
        if (answer.is(ObjectError::NotFound) && at - job->loadStarted_ > settings_.itemsBound_)
            return makeVoid(job, at);
        note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
        job->commitAgainAt_ = at + settings_.storeRetry_; // tick() restarts the loading
        job->items_.clear();
        job->byId_.clear();
    });
}

void JobScheduler::makeVoid(const JobPtr& job, TimePoint now)
{
    setState(job, JobState::Void, now, [this, job](bool done, TimePoint) {
        if (!done)
            return;
        note(SchedulerNote::JobVoid, job->name_);
        drop(job->name_);
    });
}

void JobScheduler::loadResults(const JobPtr& job, std::uint32_t page, TimePoint now)
{
    store(ObjectCall::get(resultPageKey(job->name_, page)), CallClass::Commit, now + settings_.patience_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (owned(job->name_) != job.get())
            return;
        if (answer.is(ObjectError::NotFound))
            return job->isOpen() && !job->isComplete() ? fence(job, at) : loaded(job, at);
        auto results = answer.ok() ? decodeResults(answer.answer_.value_) : Result<std::vector<JobResult>>(LedgerError::BadRecord);
        if (!results) {
            note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
            job->commitAgainAt_ = at + settings_.storeRetry_;
            return;
        }
        job->pages_ = page + 1;
        applyResults(job, std::move(results.value()));
        // A job that isn't open gets no further results, so its last result ends the loading.
        if (!job->isOpen() && job->isComplete())
            return loaded(job, at);
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
    store(ObjectCall::create(resultPageKey(job->name_, page), encode(std::vector<JobResult>())), CallClass::Commit, now + settings_.patience_, [this, job, page](const SettledAnswer& answer, TimePoint at) {
        if (owned(job->name_) != job.get())
            return;
        if (answer.ok()) {
            job->pages_ = page + 1;
            return loaded(job, at);
        }
        if (answer.is(ObjectError::Conflict))
            return loadResults(job, page, at);
        note(SchedulerNote::StoreFailed, job->name_, {}, page, answer.answer_.error_);
        job->commitAgainAt_ = at + settings_.storeRetry_;
    });
}

void JobScheduler::loaded(const JobPtr& job, TimePoint now)
{
    job->loaded_ = true;
    job->checkedAt_ = job->loadStarted_;
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
    for (Job::Reader& reader : std::exchange(job->readers_, {}))
        reader.done_({});
    // Repeats the cancellations, which then reach the new owner or find the job's final state in the store.
    for (Job::Ender& ender : std::exchange(job->enders_, {}))
        end(name, false, ender.asked_, std::move(ender.done_));
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
    store(std::move(call), CallClass::Read, now + settings_.readBound_ * 4, [this, stale](const SettledAnswer& answer, TimePoint at) {
        if (!answer.ok()) {
            scanning_ = false;
            return note(SchedulerNote::StoreFailed, {}, {}, 0, answer.answer_.error_);
        }
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<JobHead> head = decodeHead(entry.value_);
            const std::string_view name = jobOfHeadKey(entry.key_);
            if (head && !name.empty())
                consider(std::string(name), head.value(), entry.version_, at);
        }
        scanning_ = !answer.answer_.next_.empty();
        if (scanning_)
            listHeads(answer.answer_.next_, stale, at);
    });
}

void JobScheduler::consider(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now)
{
    if (Job* job = owned(name)) {
        const bool isNews = version > job->headVersion_ && !job->stateChanging_;
        if (isNews)
            refresh(jobs_[name], now, [](bool, TimePoint) {});
        return;
    }
    if (leaving_)
        return;
    const bool isMine = head.owner_ == outlets_.self_;
    const bool isOrphan = !isMine && !outlets_.isLive_(head.owner_) && outlets_.preferredOwner_(name, head.owner_) == outlets_.self_;
    const bool isExpired = wall_ - head.acceptedAt_ > settings_.retention_ + settings_.clockSlack_;
    if ((isMine || isOrphan) && (head.state_ == JobState::Open || isExpired))
        takeOver(name, now);
}

// The list may be stale, so the head itself is read before it is acted on.
void JobScheduler::takeOver(const JobName& name, TimePoint now)
{
    const auto [claim, isNew] = claiming_.try_emplace(name, now);
    if (!isNew)
        return;
    lookUp(name, now, [this, name](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        claiming_.erase(name);
        if (outcome != ReadOutcome::Found || leaving_ || owned(name))
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
    claiming_[name] = now;
    head.owner_ = outlets_.self_;
    store(ObjectCall::update(headKey(name), encode(head), version), CallClass::Commit, now + settings_.itemsBound_, [this, name, head](const SettledAnswer& answer, TimePoint at) {
        claiming_.erase(name);
        if (!answer.ok())
            return;
        note(SchedulerNote::TakenOver, name, {}, answer.answer_.version_.value());
        loadOwned(name, head, answer.answer_.version_, at);
        if (Job* job = owned(name))
            job->isTakenOver_ = true;
    });
}

void JobScheduler::suspectAll(TimePoint now)
{
    awayAt_ = now;
    for (auto& [name, job] : jobs_)
        job->suspect_ = job->isOpen();
}

// Reads the head from the store to confirm that this node still owns the job. `isOwner` is true if it does and thus has all listed results
// in memory.
void JobScheduler::refresh(const JobPtr& job, TimePoint now, std::function<void(bool, TimePoint)> then)
{
    lookUp(job->name_, now, [this, job, now, then = std::move(then)](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        if (owned(job->name_) != job.get())
            return then(false, at);
        if (outcome == ReadOutcome::Unsure)
            return then(false, at);
        if (outcome == ReadOutcome::Missing || head.owner_ != outlets_.self_) {
            note(SchedulerNote::Lost, job->name_, {}, version.isNone() ? 0 : version.value());
            drop(job->name_);
            return then(false, at);
        }
        job->headVersion_ = std::max(job->headVersion_, version);
        if (job->isOpen() && head.state_ != JobState::Open) {
            job->head_ = head;
            stopRuns(job, false);
        }
        job->suspect_ = false;
        job->checkedAt_ = std::max(job->checkedAt_, now);
        then(true, at);
    });
}

// ---- handover

void JobScheduler::beginLeaving(TimePoint now)
{
    leaving_ = true;
    passOn(now);
}

void JobScheduler::passOn(TimePoint now)
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
    if (target.isNone() || target == outlets_.self_ || !job->loaded_ || job->stateChanging_)
        return;
    stopRuns(job, true);
    if (job->isCommitting_)
        return;
    if (!job->pending_.empty())
        return commit(job, now);
    JobHead head = job->head_;
    head.owner_ = target;
    job->stateChanging_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsBound_, [this, job, head](const SettledAnswer& answer, TimePoint at) {
        job->stateChanging_ = false;
        if (owned(job->name_) != job.get())
            return;
        if (!answer.ok())
            return refresh(job, at, [](bool, TimePoint) {});
        JobTransfer transfer { job->name_, head, answer.answer_.version_, {}, job->pages_, false, {} };
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

bool JobScheduler::wasPaused(TimePoint now) const { return awayAt_ != TimePoint() && now - awayAt_ < settings_.newcomer_; }

bool JobScheduler::wasAway(TimePoint now) const { return isNewcomer(now) || wasPaused(now); }

bool JobScheduler::mayHaveBeenReplaced(const Job& job, TimePoint now) const
{
    return wasPaused(now) || (isNewcomer(now) && !job.isConfirmed_) || outlets_.mayBeReplaced_();
}

// Rewrites the head after a restart, once all nodes have noticed that this process is alive. Until then, nodes that consider this node dead
// may be about to claim its jobs, so every second read has to query the store. When that lasted for all of the ten seconds after a start, a
// restart of the whole fleet used a fifth of a day's store calls. After the rewrite, a claim that is still in flight fails, because it
// requires the earlier version of the head.
void JobScheduler::confirmOwnership(const JobPtr& job, TimePoint now)
{
    const bool isDue = !job->isConfirmed_ && isNewcomer(now) && !wasPaused(now) && now - firstUse_ >= settings_.knownAfter_;
    if (!isDue || !job->isOpen() || job->isComplete() || job->stateChanging_ || !job->enders_.empty() || now < job->commitAgainAt_)
        return;
    JobHead head = job->head_;
    ++head.term_;
    job->stateChanging_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsBound_, [this, job, head, now](const SettledAnswer& answer, TimePoint at) {
        job->stateChanging_ = false;
        if (owned(job->name_) != job.get())
            return;
        if (!answer.ok()) {
            job->commitAgainAt_ = at + settings_.storeRetry_;
            return refresh(job, at, [](bool, TimePoint) {});
        }
        job->head_ = head;
        job->headVersion_ = answer.answer_.version_;
        job->checkedAt_ = std::max(job->checkedAt_, now);
        job->suspect_ = false;
        job->isConfirmed_ = true;
    });
}

// Detects that the process was paused. Reads call this as well as the tick, because the first event after a pause may be a caller's read.
void JobScheduler::noticePause(TimePoint now)
{
    if (lastTick_ == TimePoint() || now - lastTick_ <= settings_.pauseBound_)
        return;
    lastTick_ = now;
    suspectAll(now);
}

void JobScheduler::tick(TimePoint now, WallTime wall)
{
    wall_ = wall;
    noticePause(now);
    lastTick_ = now;
    if (firstUse_ == TimePoint())
        firstUse_ = now;
    std::vector<JobPtr> all;
    for (const auto& [name, job] : jobs_)
        all.push_back(job);
    for (const JobPtr& job : all) {
        if (owned(job->name_) != job.get())
            continue;
        const bool mustLoadAgain = !job->loaded_ && job->commitAgainAt_ != TimePoint() && now >= job->commitAgainAt_;
        if (mustLoadAgain) {
            job->commitAgainAt_ = {};
            job->listed_.clear();
            job->pages_ = 0;
            job->items_.empty() ? loadItems(job, 0, now) : loadResults(job, 0, now);
        }
        answerReaders(job, now, false);
        answerLateEnders(job, now);
        writeEnd(job, now);
        if (!job->loaded_)
            continue;
        if (leaving_) {
            handOver(job, now);
            continue;
        }
        // If another node owns the job by now, it may have started the same items; the job is then dropped and its runs here stop.
        const bool mustAsk = job->isOpen() && job->suspect_ && now >= job->askAgainAt_;
        if (mustAsk) {
            job->askAgainAt_ = now + settings_.storeRetry_;
            refresh(job, now, [](bool, TimePoint) {});
            if (owned(job->name_) != job.get())
                continue;
        }
        confirmOwnership(job, now);
        abandonOverdue(job, now);
        commitIfDue(job, now);
        completeIfDone(job, now);
        const bool isIdle = !job->isOpen() && job->readers_.empty() && now - job->lastUse_ > settings_.keepIdle_;
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
    for (std::size_t place = 0; place < job->items_.size(); ++place) {
        if (job->items_[place].state_ == ItemState::Waiting)
            finishItem(job, place, ResultState::Errored, now);
    }
}

// The head is removed last: as long as it exists, any node that finds it continues the removal.
void JobScheduler::removeExpired(const JobPtr& job, WallTime /*wall*/, TimePoint now)
{
    const auto ignore = [](const SettledAnswer&, TimePoint) {};
    for (std::uint32_t page = 0; page < job->pages_; ++page)
        store(ObjectCall::remove(resultPageKey(job->name_, page)), CallClass::Background, now + settings_.patience_, ignore);
    for (std::uint32_t page = 0; page < job->head_.itemPages_; ++page)
        store(ObjectCall::remove(itemPageKey(job->name_, page)), CallClass::Background, now + settings_.patience_, ignore);
    store(ObjectCall::remove(headKey(job->name_)), CallClass::Background, now + settings_.patience_, ignore);
    note(SchedulerNote::Removed, job->name_);
    drop(job->name_);
}

} // namespace jj
