// What this node's jobs need until they are due, and which of them stand back when that is more than there is.
#include "DeskJob.h"

#include <algorithm>

namespace jj {

Duration JobDesk::restOf(const Item& item) const
{
    constexpr double leastRest = 0.1;
    const double done = meanEvents_ > 0 ? item.events_ / meanEvents_ : 0;
    return fromSeconds(toSeconds(runTime_) * std::max(leastRest, 1 - done));
}

Duration JobDesk::restOf(const Job& job) const
{
    Duration rest {};
    for (const Item& item : job.items_) {
        const bool isOpen = item.state_ == ItemState::Waiting || item.state_ == ItemState::Running;
        rest += isOpen ? restOf(item) : Duration::zero();
    }
    return rest;
}

std::string JobDesk::serviceOf(const Job& job) const
{
    for (const Item& item : job.items_) {
        if (item.state_ == ItemState::Waiting || item.state_ == ItemState::Running)
            return outlets_.serviceOf_(job.head_.host_, item.item_.path_).value_or("");
    }
    return {};
}

std::map<std::string, JobDesk::Waiting> JobDesk::waiting(TimePoint now)
{
    std::map<std::string, Waiting> found;
    if (leaving_)
        return found;
    for (const auto& [name, job] : jobs_) {
        if (!job->mayRun())
            continue;
        if (const std::string service = serviceOf(*job); !service.empty() && !job->standsBack_ && now < job->due_)
            found[service].demand_.push_back({ job->due_ - now, restOf(*job) });
        for (const Item& item : job->items_) {
            if (item.state_ != ItemState::Waiting || now < item.notBefore_)
                continue;
            const auto service = outlets_.serviceOf_(job->head_.host_, item.item_.path_);
            if (!service)
                continue;
            Waiting& entry = found[*service];
            const ItemHaste haste = hasteOf(*job, item, now);
            const bool isFirst = entry.count_ == 0 || entry.haste_ == ItemHaste::Late || (haste == ItemHaste::Urgent);
            if (isFirst)
                entry.haste_ = haste;
            ++entry.count_;
            if (haste == ItemHaste::Late)
                continue;
            ++entry.inTime_;
            entry.firstDue_ = std::min(entry.firstDue_, job->due_);
        }
    }
    return found;
}

// Failure met: jobs ask for more than there is. In order of their due times each of them gets slots when it is nearly due, so all are
// late by a little and most of the work comes too late to be of use. The guard: in order of due times, the first job that can't be in
// time beside those before it stands back, whole; it goes on when nothing else waits. Those before it, and many of those
// behind it, are in time.
void JobDesk::triage(TimePoint now)
{
    if (now < triageAt_ || !outlets_.batchTimeUntil_)
        return;
    triageAt_ = now + settings_.triageStep_;
    std::vector<JobPtr> open;
    for (const auto& [name, job] : jobs_) {
        if (job->mayRun())
            open.push_back(job);
    }
    std::sort(open.begin(), open.end(), [](const JobPtr& one, const JobPtr& other) { return one->due_ < other->due_; });
    std::map<std::string, Duration> before; // work of this node's own jobs
    for (const JobPtr& job : open) {
        const std::string service = serviceOf(*job);
        const Duration rest = restOf(*job);
        if (service.empty() || rest == Duration::zero())
            continue;
        const double wanted = toSeconds(before[service] + rest);
        const double there = toSeconds(outlets_.batchTimeUntil_(service, job->due_, now));
        const bool isOver = wanted > there * settings_.standBackOver_;
        const bool isUnder = now < job->due_ && wanted < there * settings_.takeUpUnder_;
        if (job->standsBack_ ? isUnder : isOver) {
            job->standsBack_ = !job->standsBack_;
            return note(job->standsBack_ ? DeskNote::StoodBack : DeskNote::TakenUp, job->name_, {}, static_cast<std::uint64_t>(std::max<Duration>(job->due_ - now, Duration::zero()) / 1ms));
        }
        if (!job->standsBack_)
            before[service] += rest;
    }
}

} // namespace jj
