// What engines have answered with errors, and when an item may therefore not run again.
#include "ScheduledJob.h"
#include "base/Hash.h"

#include <algorithm>

namespace jj {

// Run ids begin anew with each process; the time tells the processes of a node apart.
FailedRunId JobScheduler::failedRunIdOf(RunId run) const
{
    const auto process = static_cast<std::uint64_t>(startedAtWall_.time_since_epoch().count());
    return FailedRunId(mixHash(mixHash(outlets_.self_.value(), process), run.value()));
}

void JobScheduler::recordFailure(const JobKey& job, const std::string& item, RunId run, bool isUnprocessable, TimePoint now)
{
    if (!failures_.add(job, { item, { failedRunIdOf(run) }, isUnprocessable }, now))
        return;
    const ItemFailures& known = *failures_.find(job, item);
    note(SchedulerNote::ItemFailed, job.name_, item, known.runs_.size());
    outlets_.shareFailures_({ job, { known } });
}

void JobScheduler::answeredLate(const ItemRun& run, RunResult result, TimePoint now)
{
    recordFailure({ run.job_, run.acceptedAt_ }, run.item_, run.id_, result == RunResult::Unprocessable, now);
    if (const auto found = jobs_.find(run.job_); found != jobs_.end())
        giveUpRejected(JobPtr(found->second), now);
}

bool JobScheduler::handleFailures(const JobFailures& failures, TimePoint now)
{
    if (!failures_.merge(failures, now))
        return false;
    if (const auto found = jobs_.find(failures.job_.name_); found != jobs_.end())
        giveUpRejected(JobPtr(found->second), now);
    return true;
}

bool JobScheduler::mayRunAgain(const Job& job, const Item& item) const
{
    const ItemFailures* failures = failures_.find(job.key(), item.item_.id_);
    return !failures || (!failures->isUnprocessable_ && failures->runs_.size() < std::max(1U, job.head_.maxAttempts_));
}

bool JobScheduler::giveUpIfRejected(const JobPtr& job, std::size_t itemIndex, TimePoint now)
{
    const Item& item = job->items_[itemIndex];
    if (item.state_ != ItemState::Waiting || mayRunAgain(*job, item))
        return false;
    finishItem(job, itemIndex, ResultState::Errored, now);
    return true;
}

void JobScheduler::giveUpRejected(const JobPtr& job, TimePoint now)
{
    if (!job->isLoaded_ || !job->isOpen())
        return;
    // A commit may end the job, which clears its items, or show that it has another owner.
    for (std::size_t itemIndex = 0; itemIndex < job->items_.size() && findOwnedJob(job->name_) == job.get(); ++itemIndex)
        giveUpIfRejected(job, itemIndex, now);
}

bool JobScheduler::hasUnansweredRuns(const Job& job, TimePoint now) const
{
    return std::any_of(job.items_.begin(), job.items_.end(), [&](const Item& item) {
        return item.state_ == ItemState::Running && !item.hasRunEvent_ && now - item.runStartedAt_ < settings_.firstAnswerTimeout_;
    });
}

} // namespace jj
