// Takeover from dead owners, confirmation of the ownership in the store, and handover to other nodes.
#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

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
    readHead(name, now, [this, name, now](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        pendingTakeovers_.erase(name);
        if (outcome == ReadOutcome::Unavailable)
            earlierJobs_[name] = at;
        if (outcome != ReadOutcome::Found || leaving_ || findOwnedJob(name))
            return;
        if (head.owner_ == outlets_.self_)
            return loadOwned(name, head, version, now, at);
        if (head.state_ != JobState::Open || outlets_.isLive_(head.owner_))
            return;
        this->claim(name, head, version, at);
    });
}

void JobScheduler::claim(const JobName& name, JobHead head, ObjectVersion version, TimePoint now)
{
    pendingTakeovers_[name] = now;
    head.owner_ = outlets_.self_;
    store(ObjectCall::update(headKey(name), encode(head), version), CallClass::Commit, now + settings_.itemsTimeout_, [this, name, head, now](const SettledAnswer& answer, TimePoint at) {
        pendingTakeovers_.erase(name);
        if (!answer.ok())
            return;
        note(SchedulerNote::TakenOver, name, {}, answer.answer_.version_.value());
        loadOwned(name, head, answer.answer_.version_, now, at);
    });
}

void JobScheduler::recheckOwnership(TimePoint now)
{
    lastUnavailableAt_ = now;
    for (auto& [name, job] : jobs_) {
        job->isOwnershipUncertain_ = job->isOpen();
        job->questionOpen(now);
    }
}

// Reads the head from the store to confirm that this node still owns the job. `isOwner` is true if it does and thus has all listed results
// in memory.
void JobScheduler::refresh(const JobPtr& job, TimePoint now, std::function<void(bool, TimePoint)> then)
{
    readHead(job->name_, now, [this, job, now, then = std::move(then)](ReadOutcome outcome, const JobHead& head, ObjectVersion version, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return then(false, at);
        const bool isFoundOpen = outcome == ReadOutcome::Found && head.state_ == JobState::Open && head.owner_ == outlets_.self_;
        if (isFoundOpen)
            job->confirmOpen(now);
        // tick() repeats a query that failed or took too long, and other jobs' items start meanwhile.
        if (!isStartConfirmed(*job, at))
            job->openConfirmedAt_ = {};
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
    job->isHandoverDue_ = !target.isNone() && target != outlets_.self_;
    if (!job->isHandoverDue_ || !job->isLoaded_ || job->isUpdatingHead_ || hasUnansweredRuns(*job, now))
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
    job->isHandingOver_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsTimeout_, [this, job, head](const SettledAnswer& answer, TimePoint at) {
        job->isUpdatingHead_ = false;
        job->isHandingOver_ = false;
        if (findOwnedJob(job->name_) != job.get())
            return;
        if (!answer.ok()) {
            job->isOwnershipUncertain_ = true;
            return refresh(job, at, [](bool, TimePoint) {});
        }
        // The new owner may have claimed the job itself, which writes the same head, or may have found it there a while ago. A former owner's
        // pages may not have been read.
        JobTransfer transfer { job->name_, head, answer.answer_.version_, {}, job->pages_, answer.isReadBack_ || job->mayMissResults_, {}, failures_.failuresOf(job->key()).items_, job->isTakenOver_ };
        for (Item& item : job->items_) {
            if (item.events_ > 0 && item.state_ == ItemState::Waiting)
                transfer.progress_.push_back({ item.item_.id_, item.text_, item.events_, item.lastEvent_, item.version_ });
            transfer.items_.push_back(item.item_);
        }
        note(SchedulerNote::HandedOver, job->name_, {}, head.owner_.value());
        drop(job->name_);
        outlets_.transfer_(head.owner_, std::move(transfer));
    });
}

} // namespace jj
