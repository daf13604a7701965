// Batch jobs and at-most-once calls of one node as one decision core.
//
//     auto core = JobCore::create({ settings, node, incarnation, seed });
//     core.value()->handle(UploadBegun { ... }, now, wallNow);
//     core.value()->tick(now, wallNow);                       // each 10 to 50 ms
//     for (JobCommand& command : core.value()->take()) ...    // after each handle() and tick()
//
// Promises: an acknowledged job is in the store whole; each of its items gets one result, whoever runs it and however often; a
// result that was read stays; after CancelAcknowledged no item starts; a call begins at most once for each key.
// The same events, times and seed give the same commands. Not thread-safe.
#pragma once

#include "jobs/JobEvents.h"

#include <memory>

namespace jj {

struct JobCoreOptions {
    JobSettings settings_;
    NodeId node_;
    Incarnation incarnation_; // differs for each start of the process
    std::uint64_t seed_ = 0;
};

// What the core holds now, for metrics and tests.
struct JobCoreCounts {
    std::uint64_t storeCalls_ = 0; // sent since the start
    std::uint32_t heldPartitions_ = 0;
    std::uint32_t openJobs_ = 0;
    std::uint32_t loadedChunks_ = 0;
    std::uint32_t runningItems_ = 0;
    std::uint64_t startedItems_ = 0; // since the start
    std::uint64_t committedItems_ = 0; // since the start
    bool storeOut_ = false;
};

class JobCore {
public:
    // Fails with BadSettings when times or sizes don't fit together.
    static Result<std::unique_ptr<JobCore>> create(const JobCoreOptions& options);
    ~JobCore();

    void handle(JobEvent event, TimePoint now, WallTime wallNow);
    void tick(TimePoint now, WallTime wallNow);
    std::vector<JobCommand> take();

    // This node's share of the store's rates.
    void setStoreRates(double readsPerSecond, double writesPerSecond);
    JobCoreCounts counts() const;
    // True once a drain has handed over everything.
    bool isDrained() const;

private:
    struct Parts;
    explicit JobCore(const JobCoreOptions& options);

    std::unique_ptr<Parts> parts_;
};

// The job a caller's key or content stands for; the same on every node.
JobId jobIdOf(std::string_view workspace, std::string_view service, std::string_view keyOrDigest);
PartitionId partitionOf(JobId job, std::uint32_t partitions);

} // namespace jj
