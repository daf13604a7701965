// Runs of items, and how their results are committed to the store.
#include "ScheduledJob.h"

#include <algorithm>

namespace jj {

// Late items come after all others, because running them first would make items late that can still finish in time.
ItemUrgency JobScheduler::urgencyOf(const Job& job, const Item& item, TimePoint now) const
{
    constexpr double minRemaining = 0.1;
    const double done = meanEvents_ > 0 ? item.events_ / meanEvents_ : 0;
    const Duration remaining = fromSeconds(toSeconds(runTime_) * std::max(minRemaining, 1 - done));
    const Duration timeLeft = job.due_ - now;
    if (timeLeft < fromSeconds(toSeconds(remaining) * settings_.infeasibleFraction_))
        return ItemUrgency::Late;
    // Items that haven't started are deferred if recent items with as little time left finished late. Under overload, items wait until they
    // can only just finish in time without an interruption. They then start, yield to a burst of online requests, and finish late,
    // nearly all of them only slightly, so the work on them is wasted. Deferring them lets the items that have started finish.
    if (item.firstRunAt_ == TimePoint() && item.events_ == 0 && timeLeft < fromSeconds(toSeconds(remaining) * meanStretch_))
        return ItemUrgency::Doubtful;
    return timeLeft < remaining + settings_.urgentMargin_ ? ItemUrgency::Urgent : ItemUrgency::Relaxed;
}

ItemUrgency JobScheduler::urgencyOf(RunId run, TimePoint now) const
{
    const auto found = runs_.find(run);
    if (found == runs_.end())
        return ItemUrgency::Late;
    const Job& job = *jobs_.at(found->second.job_);
    return urgencyOf(job, job.items_[found->second.item_], now);
}

std::optional<std::string> JobScheduler::serviceOf(const Job& job, Item& item, TimePoint now) const
{
    auto service = outlets_.serviceOf_(job.head_.host_, item.item_.path_);
    const bool hasNoRoute = service && service->empty();
    if (!hasNoRoute)
        item.withoutRouteSince_.reset();
    else if (!item.withoutRouteSince_)
        item.withoutRouteSince_ = now;
    if (hasNoRoute && now - *item.withoutRouteSince_ < settings_.routeGrace_)
        return std::nullopt;
    return service;
}

std::map<std::string, JobScheduler::Waiting> JobScheduler::waiting(TimePoint now)
{
    std::map<std::string, Waiting> found;
    detectPause(now);
    if (leaving_)
        return found;
    for (const auto& [name, job] : jobs_) {
        if (!job->mayRun())
            continue;
        for (Item& item : job->items_) {
            if (item.state_ != ItemState::Waiting || now < item.notBefore_)
                continue;
            const auto service = serviceOf(*job, item, now);
            if (!service)
                continue;
            Waiting& entry = found[*service];
            const ItemUrgency urgency = urgencyOf(*job, item, now);
            const bool isInTime = urgency == ItemUrgency::Relaxed || urgency == ItemUrgency::Urgent;
            const bool isFirst = entry.count_ == 0 || urgency == ItemUrgency::Urgent || (isInTime ? entry.urgency_ > ItemUrgency::Urgent : urgency < entry.urgency_);
            if (isFirst)
                entry.urgency_ = urgency;
            ++entry.count_;
            if (item.events_ > 0)
                entry.versions_.insert(item.version_);
            if (!isInTime)
                continue;
            ++entry.inTime_;
            entry.firstDue_ = std::min(entry.firstDue_, job->due_);
            if (urgency == ItemUrgency::Urgent)
                entry.firstUrgentDue_ = std::min(entry.firstUrgentDue_, job->due_);
        }
    }
    return found;
}

// Engines of different software versions write texts that don't fit together.
bool JobScheduler::mayRunAt(const Item& item, std::string_view service, SoftwareVersionId version) const
{
    return item.events_ == 0 || item.version_ == version || !outlets_.isVersionServing_(service, item.version_);
}

bool JobScheduler::isStartConfirmed(const Job& job, TimePoint now) const { return job.isOpenConfirmed() && now - job.openConfirmedAt_ <= settings_.startConfirmationLifetime_; }

void JobScheduler::confirmHead(const JobPtr& job, TimePoint now)
{
    if (now < job->nextConfirmationAt_)
        return;
    job->nextConfirmationAt_ = now + settings_.storeRetryDelay_;
    refresh(job, now, [](bool, TimePoint) {});
}

JobScheduler::NextItem JobScheduler::chooseNext(std::string_view service, TimePoint now, SoftwareVersionId version, bool onlyUrgent)
{
    JobPtr chosen;
    std::size_t itemIndex = 0;
    ItemUrgency chosenUrgency = ItemUrgency::Late;
    bool isChosenUrgent = false;
    double chosenUsage = 0;
    for (const auto& [name, job] : jobs_) {
        if (!job->mayRun())
            continue;
        std::optional<double> usage; // of the job's workspace, once an urgent item needs it
        for (std::size_t index = 0; index < job->items_.size(); ++index) {
            Item& item = job->items_[index];
            if (item.state_ != ItemState::Waiting || now < item.notBefore_)
                continue;
            const ItemUrgency ownUrgency = urgencyOf(*job, item, now);
            if (onlyUrgent && ownUrgency != ItemUrgency::Urgent)
                continue;
            // Items that can finish in time are ordered by their due time. Of those that are in time only if they run now, there may be more
            // than slots; then the workspace goes first that has used least.
            const ItemUrgency itemUrgency = std::max(ownUrgency, ItemUrgency::Urgent);
            const bool isUrgent = ownUrgency == ItemUrgency::Urgent;
            if (isUrgent && !usage)
                usage = outlets_.usageOf_ ? outlets_.usageOf_(job->head_.workspace_) : 0;
            const bool isByUsage = isUrgent && isChosenUrgent && *usage != chosenUsage;
            const bool goesBefore = chosen && (isByUsage ? *usage < chosenUsage : job->due_ < chosen->due_);
            const bool isBetter = !chosen || (itemUrgency != chosenUrgency ? itemUrgency < chosenUrgency : goesBefore);
            if (!isBetter)
                continue;
            const auto routedService = serviceOf(*job, item, now);
            if (!routedService || *routedService != service || !mayRunAt(item, service, version))
                continue;
            chosen = job;
            itemIndex = index;
            chosenUrgency = itemUrgency;
            isChosenUrgent = isUrgent;
            chosenUsage = usage.value_or(0);
        }
    }
    return { chosen, itemIndex };
}

std::optional<ItemRun> JobScheduler::startNext(std::string_view service, TimePoint now, SoftwareVersionId version, bool onlyUrgent)
{
    detectPause(now);
    if (leaving_)
        return std::nullopt;
    // A store that answers at once may change the job, so the item is chosen again after a query.
    for (const bool isSecondTry : { false, true }) {
        const auto [job, itemIndex] = chooseNext(service, now, version, onlyUrgent);
        if (!job)
            return std::nullopt;
        const Item& item = job->items_[itemIndex];
        auto body = fromBase64(item.item_.body_);
        if (service.empty() || !body || !mayRunAgain(*job, item)) {
            // No configuration routes the item any more, its body isn't valid base64, or other nodes have reported its failures during a run
            // that was then stopped.
            finishItem(job, itemIndex, ResultState::Errored, now);
            return std::nullopt;
        }
        if (isStartConfirmed(*job, now))
            return beginRun(job, itemIndex, std::move(body.value()), version, now);
        if (!isSecondTry)
            confirmHead(job, now);
    }
    return std::nullopt;
}

ItemRun JobScheduler::beginRun(const JobPtr& job, std::size_t itemIndex, std::string body, SoftwareVersionId version, TimePoint now)
{
    Item& item = job->items_[itemIndex];
    if (item.events_ > 0 && item.version_ != version) {
        note(SchedulerNote::ItemRestarted, job->name_, item.item_.id_, item.events_);
        item.discardProgress();
    }
    item.state_ = ItemState::Running;
    item.runVersion_ = version;
    item.run_ = RunId(nextRun_++);
    item.runStartedAt_ = now;
    item.hasRunEvent_ = false;
    if (item.firstRunAt_ == TimePoint())
        item.firstRunAt_ = now;
    runs_[item.run_] = { job->name_, itemIndex };
    ItemRun run { item.run_, job->name_, job->head_.workspace_, job->head_.host_, item.item_.id_, item.item_.path_, item.item_.headers_, std::move(body), std::nullopt, job->due_, job->head_.acceptedAt_ };
    if (item.events_ > 0)
        run.resumeAfter_ = item.lastEvent_;
    run.textBytes_ = item.text_.size();
    run.confirmedAgo_ = now - job->openConfirmedAt_;
    job->isRenewalDue_ = now - job->openConfirmedAt_ > settings_.startConfirmationLifetime_ / 2;
    return run;
}

void JobScheduler::event(RunId run, std::uint64_t eventId, std::string_view data)
{
    const auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    Item& item = jobs_.at(found->second.job_)->items_[found->second.item_];
    if (item.events_ > 0)
        item.text_.push_back('\n');
    item.text_.append(data);
    item.lastEvent_ = eventId;
    item.version_ = item.runVersion_;
    item.retries_ = 0;
    item.hasRunEvent_ = true;
    ++item.events_;
}

void JobScheduler::ended(RunId run, RunResult end, TimePoint now)
{
    const auto found = runs_.find(run);
    if (found == runs_.end())
        return;
    const JobPtr job = jobs_.at(found->second.job_);
    const std::size_t itemIndex = found->second.item_;
    runs_.erase(found);
    Item& item = job->items_[itemIndex];
    item.state_ = ItemState::Waiting;
    const auto retryLater = [&] {
        constexpr std::uint32_t maxDoublings = 10;
        item.notBefore_ = now + std::min<Duration>(settings_.maxRetryDelay_, settings_.initialRetryDelay_ * (1LL << std::min(item.retries_, maxDoublings)));
        ++item.retries_;
        note(SchedulerNote::ItemRetried, job->name_, item.item_.id_, item.retries_);
    };
    const bool isRejected = end == RunResult::Failed || end == RunResult::Unprocessable;
    if (isRejected)
        recordFailure(job->key(), item.item_.id_, run, end == RunResult::Unprocessable, now);
    // Records of other nodes may have arrived during the run.
    if (end != RunResult::Completed && giveUpIfRejected(job, itemIndex, now))
        return;
    switch (end) {
    case RunResult::Completed:
        // An answer without events is not a valid output of an item.
        if (item.events_ == 0)
            return retryLater();
        updateMeanStretch(item, now);
        return finishItem(job, itemIndex, ResultState::Completed, now);
    case RunResult::Preempted:
        // Without an event the run was for nothing, and its engine may just have rejected the item, unknown to this node.
        if (!item.hasRunEvent_)
            return retryLater();
        item.notBefore_ = now + settings_.preemptionDelay_;
        return;
    case RunResult::Released:
        return;
    case RunResult::Withheld:
        item.notBefore_ = now + settings_.withheldDelay_;
        return;
    case RunResult::Interrupted:
        return retryLater();
    case RunResult::ResumeMismatch:
        item.discardProgress();
        return retryLater();
    case RunResult::Failed:
        // Resumed, the item would exceed the limit of its text at once.
        if (item.text_.size() > settings_.maxAnswerBytes_)
            item.discardProgress();
        return retryLater();
    case RunResult::Unprocessable:
    case RunResult::RouteRemoved:
        return finishItem(job, itemIndex, ResultState::Errored, now);
    }
}

void JobScheduler::updateMeanStretch(const Item& item, TimePoint now)
{
    constexpr double meanGain = 0.1;
    // Limits the weight of a single item that hung for a long time.
    constexpr double maxStretch = 4;
    const double stretch = toSeconds(now - item.firstRunAt_) / std::max(0.001, toSeconds(runTime_));
    meanStretch_ += meanGain * (std::clamp(stretch, 1.0, maxStretch) - meanStretch_);
}

void JobScheduler::stopRuns(const JobPtr& job, bool keepText)
{
    for (Item& item : job->items_) {
        if (item.state_ != ItemState::Running)
            continue;
        runs_.erase(item.run_);
        outlets_.stop_(item.run_);
        item.state_ = ItemState::Waiting;
        if (!keepText)
            item.discardProgress();
    }
}

// ---- results

void JobScheduler::finishItem(const JobPtr& job, std::size_t itemIndex, ResultState state, TimePoint now)
{
    addResult(job, itemIndex, state, now);
    commitIfDue(job, now);
}

void JobScheduler::addResult(const JobPtr& job, std::size_t itemIndex, ResultState state, TimePoint now)
{
    Item& item = job->items_[itemIndex];
    constexpr double meanGain = 0.1;
    if (state == ResultState::Completed)
        meanEvents_ = meanEvents_ > 0 ? meanEvents_ + meanGain * (item.events_ - meanEvents_) : item.events_;
    item.state_ = ItemState::Finished;
    if (state == ResultState::Errored) {
        const ItemFailures* failures = failures_.find(job->key(), item.item_.id_);
        note(SchedulerNote::ItemErrored, job->name_, item.item_.id_, failures ? failures->runs_.size() : 0);
        item.text_.clear();
    }
    if (job->pending_.empty())
        job->pendingSince_ = now;
    job->pending_.push_back({ item.item_.id_, state, std::move(item.text_) });
    item.text_ = {};
}

void JobScheduler::commitIfDue(const JobPtr& job, TimePoint now)
{
    // A node that may have been replaced reads the head first, because it must not list results after another owner's fence.
    if (job->pending_.empty() || job->isCommitting_ || !job->isOpen() || job->isOwnershipUncertain_ || now < job->retryStoreAt_)
        return;
    // Commits an errored item at once, so that an item that engines reject for good isn't sent again by the next owner when the job is
    // handed over or taken over.
    const bool hasErrored = std::any_of(job->pending_.begin(), job->pending_.end(), [](const JobResult& result) { return result.state_ == ResultState::Errored; });
    const bool isLast = job->listed_.size() + job->pending_.size() >= job->head_.total_;
    const bool isLate = now + settings_.dueMargin_ >= job->due_;
    const Duration window = std::min<Duration>(settings_.commitWindow_, fromSeconds(toSeconds(job->due_ - now) * settings_.commitFraction_));
    if (isLast || isLate || hasErrored || now - job->pendingSince_ >= window)
        commit(job, now);
}

void JobScheduler::commit(const JobPtr& job, TimePoint now)
{
    std::size_t count = std::min(countFitting(job->pending_, settings_.maxValueBytes_), job->maxResultsPerPage_);
    if (count == 0) {
        dropText(*job, job->pending_.front());
        count = 1;
    }
    job->isCommitting_ = true;
    job->commitSentAt_ = now;
    const auto rest = job->pending_.begin() + static_cast<std::ptrdiff_t>(count);
    job->committing_.assign(std::make_move_iterator(job->pending_.begin()), std::make_move_iterator(rest));
    job->pending_.erase(job->pending_.begin(), rest);
    store(ObjectCall::create(resultPageKey(job->name_, job->pages_), encode(job->committing_)), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) == job.get())
            finishCommit(job, answer, at);
    });
}

void JobScheduler::finishCommit(const JobPtr& job, const SettledAnswer& answer, TimePoint now)
{
    job->isCommitting_ = false;
    if (answer.ok()) {
        ++job->pages_;
        applyResults(job, std::exchange(job->committing_, {}));
        note(SchedulerNote::Listed, job->name_, {}, job->listed_.size());
        answerReaders(job);
        // A job has far fewer results than this.
        constexpr std::size_t unlimitedFrom = 1U << 20;
        job->maxResultsPerPage_ = job->maxResultsPerPage_ < unlimitedFrom ? job->maxResultsPerPage_ * 2 : SIZE_MAX;
        // Another owner may have written the same results.
        if (answer.isReadBack_)
            return confirmThenComplete(job, now);
        job->confirmedAt_ = std::max(job->confirmedAt_, job->commitSentAt_);
        commitIfDue(job, now); // what didn't fit on the page
        return completeIfDone(job, now);
    }
    // The same page would be refused again, so the next one is another.
    const bool isRefusedForGood = answer.is(ObjectError::TooLarge) || answer.is(ObjectError::BadCall);
    const bool isSplit = isRefusedForGood && job->committing_.size() > 1;
    const bool isDropped = isRefusedForGood && !isSplit && !job->committing_.front().text_.empty();
    if (isSplit)
        job->maxResultsPerPage_ = job->committing_.size() / 2;
    else if (isDropped)
        dropText(*job, job->committing_.front());
    job->pending_.insert(job->pending_.begin(), std::make_move_iterator(job->committing_.begin()), std::make_move_iterator(job->committing_.end()));
    job->committing_.clear();
    if (answer.is(ObjectError::Conflict))
        return resolveConflict(job, now);
    note(SchedulerNote::StoreFailed, job->name_, {}, job->pages_, answer.answer_.error_);
    if (isSplit || isDropped)
        return commit(job, now);
    job->retryStoreAt_ = now + settings_.storeRetryDelay_;
}

// The store can't hold the item's text, which no other attempt would change.
void JobScheduler::dropText(const Job& job, JobResult& result)
{
    note(SchedulerNote::TextRefused, job.name_, result.item_, result.text_.size());
    result.state_ = ResultState::Errored;
    result.text_.clear();
}

// Another owner has written this page. Its results remain; this node reads them and continues after them if it still owns the job.
void JobScheduler::resolveConflict(const JobPtr& job, TimePoint now)
{
    note(SchedulerNote::PageConflict, job->name_, {}, job->pages_);
    // The other writer may have written more pages, even if the head is unchanged. Until all are read, reads are answered from the store.
    job->isOwnershipUncertain_ = true;
    job->mayMissResults_ = true;
    job->isCommitting_ = true;
    store(ObjectCall::get(resultPageKey(job->name_, job->pages_)), CallClass::Commit, now + settings_.backgroundTimeout_, [this, job](const SettledAnswer& answer, TimePoint at) {
        if (findOwnedJob(job->name_) != job.get())
            return;
        job->isCommitting_ = false;
        auto results = answer.ok() ? decodeResults(answer.answer_.value_) : Result<std::vector<JobResult>>(LedgerError::BadRecord);
        if (!results) {
            note(SchedulerNote::StoreFailed, job->name_, {}, job->pages_, answer.ok() ? make_error_code(LedgerError::BadRecord) : answer.answer_.error_);
            job->retryStoreAt_ = at + settings_.storeRetryDelay_;
            return;
        }
        ++job->pages_;
        applyResults(job, std::move(results.value()));
        answerReaders(job);
        confirmThenComplete(job, at);
    });
}

void JobScheduler::confirmThenComplete(const JobPtr& job, TimePoint now)
{
    job->isOwnershipUncertain_ = true;
    refresh(job, now, [this, job](bool isOwner, TimePoint at) {
        if (isOwner)
            completeIfDone(job, at);
    });
}

void JobScheduler::completeIfDone(const JobPtr& job, TimePoint now)
{
    if (!job->isOpen() || !job->isComplete() || job->isUpdatingHead_)
        return;
    setState(job, JobState::Done, now, [this, job](bool done, TimePoint at) {
        if (!done)
            return;
        job->lastUse_ = at;
        job->items_.clear();
        job->byId_.clear();
        note(SchedulerNote::JobDone, job->name_, {}, job->listed_.size());
    });
}

void JobScheduler::setState(const JobPtr& job, JobState state, TimePoint now, std::function<void(bool, TimePoint)> then)
{
    JobHead head = job->head_;
    head.state_ = state;
    job->isUpdatingHead_ = true;
    store(ObjectCall::update(headKey(job->name_), encode(head), job->headVersion_), CallClass::Commit, now + settings_.itemsTimeout_, [this, job, head, then = std::move(then)](const SettledAnswer& answer, TimePoint at) {
        job->isUpdatingHead_ = false;
        if (findOwnedJob(job->name_) != job.get())
            return then(false, at);
        if (answer.ok()) {
            job->head_ = head;
            job->headVersion_ = answer.answer_.version_;
            // Another node may have written the same head, after an owner that this one doesn't know of.
            job->mayMissResults_ = job->mayMissResults_ || (job->isLoaded_ && answer.isReadBack_);
            return then(true, at);
        }
        // Another node changed the head, or the store is unavailable. The head is read before the update is retried.
        job->retryStoreAt_ = at + settings_.storeRetryDelay_;
        refresh(job, at, [](bool, TimePoint) {});
        then(false, at);
    });
}

} // namespace jj
