// Which runs of items engines have answered with an error. Several hosts hold copies, so that an item isn't run more often than its job
// allows when the owner of the job changes.
//
//     FailureTable table(settings);
//     table.add(job, item, { run }, now);                 // a run of this host
//     table.merge(records, now);                          // records of another host
//     if (const ItemFailures* failures = table.find(job, item)) ...
//
// Each failed run has an id. Records of several hosts therefore merge to the same state in any order and any number of times, and failures
// that two owners have counted without knowing of each other add up.
#pragma once

#include "ledger/Records.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace jj {

// A run that an engine has answered with an error of its own; unique over all hosts and processes.
using FailedRunId = Id<struct FailedRunTag>;

struct ItemFailures {
    std::string item_;
    std::vector<FailedRunId> runs_; // in ascending order, without duplicates
    bool isUnprocessable_ = false; // an engine reported that the item can never succeed

    friend bool operator==(const ItemFailures&, const ItemFailures&) = default;
};

// A name may be used again once the objects of its job have been removed; the time of acceptance tells the jobs apart.
struct JobKey {
    JobName name_;
    WallTime acceptedAt_ {};

    // clang-tidy 14 takes the zero inside the generated comparison for a null pointer.
    friend auto operator<=>(const JobKey&, const JobKey&) = default; // NOLINT(modernize-use-nullptr)
};

// All that a host knows of the items of a job. Without items it only requests what the receiver knows.
struct JobFailures {
    JobKey job_;
    std::vector<ItemFailures> items_;
};

struct FailureTableSettings {
    // Records are dropped this long after the last change. Jobs are done or abandoned by then, unless the store is unavailable for longer.
    Duration lifetime_ = std::chrono::minutes(10);
    // Beyond this number of jobs the records that have not changed for longest are dropped.
    std::size_t maxJobs_ = 10'000;
};

class FailureTable {
public:
    explicit FailureTable(FailureTableSettings settings)
        : settings_(settings)
    {
    }

    // Adds what the record says to what is known of the item. Returns whether that has changed.
    bool add(const JobKey& job, const ItemFailures& failures, TimePoint now);
    // Adds the records of all items. Returns whether anything has changed.
    bool merge(const JobFailures& failures, TimePoint now);
    // Returns null if no failure of the item is known. The pointer is valid until the next call that changes the table.
    const ItemFailures* find(const JobKey& job, const std::string& item) const;
    JobFailures failuresOf(const JobKey& job) const;
    // Returns what is known of the items in `failures`, or of all items of the job if there are none in it.
    JobFailures answerTo(const JobFailures& failures) const;
    void expire(TimePoint now);
    std::size_t size() const { return jobs_.size(); }

private:
    struct Entry {
        std::map<std::string, ItemFailures> items_;
        TimePoint changedAt_ {};
    };
    struct Change {
        JobKey job_;
        TimePoint at_ {};
    };

    void dropOldest();

    FailureTableSettings settings_;
    std::map<JobKey, Entry> jobs_;
    // Invariant: in order of time; each entry of jobs_ has a change with its changedAt_, and may have earlier ones, which have no effect.
    std::deque<Change> changes_;
};

} // namespace jj
