// Construction, lookups and the periodic work. Loading, ownership, runs and reads have files of their own (Scheduler*.cpp).
#include "ledger/JobScheduler.h"

#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

std::string_view toString(SchedulerNote note)
{
    static constexpr std::string_view names[] = { "jobAdopted", "jobLoaded", "jobTakenOver", "jobLost", "resultsListed", "pageConflict", "itemErrored", "itemTextRefused", "itemFailed", "itemRetried", "itemRestarted", "jobDone", "jobEnded", "jobEndMarked", "jobEndMarkRemoved", "jobVoid", "jobHandedOver", "jobRemoved", "jobStoreFailed" };
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

void JobScheduler::noteHead(SchedulerNote note, std::string_view job, const JobHead& head, ObjectVersion version, std::uint64_t count) const
{
    SchedulerEvent event { note, job, {}, count, {} };
    event.version_ = version;
    event.owner_ = head.owner_;
    outlets_.note_(event);
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
        job->confirmOpen(now);
        job->isConfirmed_ = true;
    });
}

// Detects that the process was paused. Reads and starts of runs call this as well as the tick, because the first event after a pause may be
// a caller's read or the end of a run.
void JobScheduler::detectPause(TimePoint now)
{
    if (lastTick_ == TimePoint() || now - lastTick_ <= settings_.pauseThreshold_)
        return;
    lastTick_ = now;
    recheckOwnership(now);
}

void JobScheduler::noteStart(TimePoint now)
{
    if (startedAt_ != TimePoint())
        return;
    startedAt_ = now;
    startedAtWall_ = wall_;
}

void JobScheduler::tick(TimePoint now, WallTime wall)
{
    wall_ = wall;
    detectPause(now);
    lastTick_ = now;
    noteStart(now);
    std::erase_if(earlierJobs_, [&](const auto& entry) { return now - entry.second > settings_.retention_; });
    failures_.expire(now);
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
            job->isHeadRead_ ? loadContents(job, now) : loadHead(job, now);
        }
        answerReaders(job);
        answerExpiredReaders(job, now);
        if (findOwnedJob(job->name_) != job.get())
            continue;
        answerTimedOutCancelRequests(job, now);
        writeCancellation(job, now);
        if (!job->isLoaded_)
            continue;
        // If another node owns the job by now, it may have started the same items; the job is then dropped and its runs here stop.
        const bool isUncertain = job->isOwnershipUncertain_ || !job->isOpenConfirmed() || (job->mayMissResults_ && !job->isComplete());
        if (job->isOpen() && (isUncertain || std::exchange(job->isRenewalDue_, false))) {
            confirmHead(job, now);
            if (findOwnedJob(job->name_) != job.get())
                continue;
        }
        if (leaving_ || job->isHandoverDue_)
            handOver(job, now);
        if (leaving_)
            continue;
        if (findOwnedJob(job->name_) != job.get())
            continue;
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
    // All of them before the commit, which would write a page for the first one alone.
    for (std::size_t itemIndex = 0; itemIndex < job->items_.size(); ++itemIndex) {
        if (job->items_[itemIndex].state_ == ItemState::Waiting)
            addResult(job, itemIndex, ResultState::Errored, now);
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
    if (job->head_.state_ == JobState::Cancelled)
        store(ObjectCall::remove(cancelMarkKey(job->name_)), CallClass::Background, now + settings_.backgroundTimeout_, ignore);
    store(ObjectCall::remove(headKey(job->name_)), CallClass::Background, now + settings_.backgroundTimeout_, ignore);
    note(SchedulerNote::Removed, job->name_);
    drop(job->name_);
}

} // namespace jj
