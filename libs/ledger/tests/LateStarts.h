// Watches a simulated world for items that start after the end of their job was acknowledged.
#pragma once

#include "LedgerWorld.h"

#include <algorithm>
#include <map>
#include <string>

namespace jj {

class LateStarts {
public:
    // The platform's bound for an item to reach an engine, less the time that a connection to an engine may take.
    static constexpr Duration bound = 3s - 250ms;

    explicit LateStarts(LedgerWorld& world)
        : world_(world)
    {
        world_.onStart_ = [this](const ItemRun& run) { record(run); };
    }

    // Records that a caller got the acknowledgement of the job's end. The first one counts.
    void acknowledged(const JobName& job) { acknowledgedAt_.try_emplace(job, world_.now()); }
    bool isAcknowledged(const JobName& job) const { return acknowledgedAt_.contains(job); }

    // Number of items that started later than the bound after the acknowledgement.
    int count() const { return count_; }
    // Time from an acknowledgement to the latest start of an item of that job.
    Duration latest() const { return latest_; }

private:
    void record(const ItemRun& run)
    {
        const auto found = acknowledgedAt_.find(run.job_);
        if (found == acknowledgedAt_.end())
            return;
        const Duration since = world_.now() - found->second;
        latest_ = std::max(latest_, since);
        count_ += since > bound ? 1 : 0;
    }

    LedgerWorld& world_;
    std::map<JobName, TimePoint> acknowledgedAt_;
    int count_ = 0;
    Duration latest_ {};
};

} // namespace jj
