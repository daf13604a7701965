// Records are kept by job; a queue of changes finds the oldest ones.
#include "ledger/ItemFailures.h"

#include <algorithm>
#include <iterator>

namespace jj {

namespace {

    // Returns whether `known` has changed.
    bool mergeInto(ItemFailures& known, const ItemFailures& added)
    {
        const ItemFailures before = known;
        known.isUnprocessable_ = known.isUnprocessable_ || added.isUnprocessable_;
        std::vector<FailedRunId> runs = added.runs_;
        runs.insert(runs.end(), known.runs_.begin(), known.runs_.end());
        std::sort(runs.begin(), runs.end());
        runs.erase(std::unique(runs.begin(), runs.end()), runs.end());
        known.runs_ = std::move(runs);
        return known != before;
    }

} // namespace

bool FailureTable::add(const JobKey& job, const ItemFailures& failures, TimePoint now)
{
    if (failures.runs_.empty() && !failures.isUnprocessable_)
        return false;
    Entry& entry = jobs_[job];
    ItemFailures& known = entry.items_[failures.item_];
    known.item_ = failures.item_;
    if (!mergeInto(known, failures))
        return false;
    if (entry.changedAt_ != now || changes_.empty() || changes_.back().job_ != job)
        changes_.push_back({ job, now });
    entry.changedAt_ = now;
    while (jobs_.size() > settings_.maxJobs_)
        dropOldest();
    return true;
}

bool FailureTable::merge(const JobFailures& failures, TimePoint now)
{
    bool hasChanged = false;
    for (const ItemFailures& item : failures.items_)
        hasChanged = add(failures.job_, item, now) || hasChanged;
    return hasChanged;
}

const ItemFailures* FailureTable::find(const JobKey& job, const std::string& item) const
{
    const auto entry = jobs_.find(job);
    if (entry == jobs_.end())
        return nullptr;
    const auto found = entry->second.items_.find(item);
    return found == entry->second.items_.end() ? nullptr : &found->second;
}

JobFailures FailureTable::failuresOf(const JobKey& job) const
{
    JobFailures failures { job, {} };
    const auto entry = jobs_.find(job);
    if (entry == jobs_.end())
        return failures;
    for (const auto& [id, item] : entry->second.items_)
        failures.items_.push_back(item);
    return failures;
}

JobFailures FailureTable::answerTo(const JobFailures& failures) const
{
    if (failures.items_.empty())
        return failuresOf(failures.job_);
    JobFailures answer { failures.job_, {} };
    for (const ItemFailures& item : failures.items_) {
        if (const ItemFailures* known = find(failures.job_, item.item_))
            answer.items_.push_back(*known);
    }
    return answer;
}

void FailureTable::expire(TimePoint now)
{
    while (!changes_.empty() && now - changes_.front().at_ > settings_.lifetime_)
        dropOldest();
}

void FailureTable::dropOldest()
{
    const Change oldest = std::move(changes_.front());
    changes_.pop_front();
    const auto entry = jobs_.find(oldest.job_);
    if (entry != jobs_.end() && entry->second.changedAt_ == oldest.at_)
        jobs_.erase(entry);
}

} // namespace jj
