// Runs the jobs of the partitions this node holds: discovers, claims, loads chunks, starts items, retries, writes results, commits.
//
// One object orders everything that may happen to a job: its ledger. Claim, commit, cancel and completion are conditional updates
// of it. Failure met: a holder paused past its lease wakes and commits, after a new holder has run the items again, or after a
// cancel was acknowledged. It shows as two results for one item, or as results of a cancelled job. The guard: results are
// written beside the ledger and count only once the ledger names them; the paused holder's update expects a version that the new
// holder's claim, or the cancel, has replaced, and is refused. Whoever comes first is the one result.
#pragma once

#include "jobs/JobContext.h"
#include "jobs/OpenJob.h"
#include "jobs/PartitionLeases.h"
#include "tables/Table.h"

#include <unordered_map>

namespace jj {

class JobRunner {
public:
    // Called when a cancelled job has stopped here: the job, the epoch it ran under, and who asked.
    using OnStopped = std::function<void(JobId, Epoch, NodeId)>;

    JobRunner(JobContext& context, const PartitionLeases& leases, OnStopped onStopped);

    void acquired(PartitionId partition, Epoch epoch);
    void lapsed(PartitionId partition);
    void lost(PartitionId partition);
    bool isIdle(PartitionId partition) const;
    void abandonItems();

    void hinted(JobId job);
    void itemFinished(const ItemFinished& event);
    void setWindow(std::uint32_t items) { window_ = items; }
    // The job is cancelled in the store, says `from`.
    void cancelTold(JobId job, NodeId from);
    void tick();

    std::uint32_t running() const { return static_cast<std::uint32_t>(runs_.size()); }
    std::uint32_t openJobs() const { return static_cast<std::uint32_t>(jobs_.size()); }
    std::uint32_t loadedChunks() const;
    std::uint64_t started() const { return started_; }
    std::uint64_t committed() const { return committed_; }

private:
    struct Held {
        Epoch epoch_;
        TimePoint discoverAt_ {};
        bool discovering_ = false;
    };
    struct Run {
        JobId job_;
        std::uint32_t chunk_ = 0;
        std::uint32_t item_ = 0; // in the chunk
    };

    // One opening of a job, as continuations remember it.
    struct JobRef {
        JobId id_;
        std::uint64_t serial_ = 0;
    };
    OpenJob* find(JobRef job);
    LoadedChunk* findChunk(JobRef job, std::uint32_t index, ChunkState state);
    bool mayAct(const OpenJob& job) const;

    // Discovery.
    void discover();
    void listOpen(PartitionId partition, const std::string& after);
    void fetch(JobId job);
    void manifestRead(JobRef job, const SettledAnswer& answer);
    void fetchLedger(JobRef job);
    void forgetStrayMarker(JobId job);
    void removeMarker(JobRef job, const std::string& upload);

    // Claim and load.
    void supplyWork();
    void claim(JobId id, OpenJob& job);
    bool loadNext(JobId id, OpenJob& job);
    void chunkRead(JobRef job, std::uint32_t index, const SettledAnswer& answer);
    std::uint32_t supply() const;
    std::uint32_t readyItems(const LoadedChunk& chunk) const;
    bool mayHold(const OpenJob& job) const;
    void refillRetries();

    // Items.
    void startItems();
    void startChunk(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk);
    bool intentStands(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item);
    void writeIntent(JobId id, OpenJob& job, std::uint32_t index, std::uint32_t group);
    void start(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item);
    std::optional<ItemEnd> endOf(const OpenJob& job, LoadedItem& item, const ItemFinished& event);
    void endItem(JobId id, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item, ItemEnd end, const std::string& body);
    void cancelRuns(OpenJob& job, bool alsoAtMostOnce);

    // Commit.
    void writeResults(JobId id, std::uint32_t index, LoadedChunk& chunk);
    void partWritten(JobRef job, std::uint32_t index, Epoch epoch);
    void commitDue();
    void commit(JobId id, OpenJob& job);
    void committed(JobId id, const Ledger& ledger, ObjectVersion version);
    void checkDue();
    void readLedger(JobId id, OpenJob& job);
    void ledgerRead(JobRef ref, const SettledAnswer& answer);
    void adopt(OpenJob& job, const Ledger& ledger, ObjectVersion version);
    void stop(JobId id, OpenJob& job);
    void end(JobId id, OpenJob& job);
    void drop(JobId id);
    void drop(JobRef job);

    JobContext& context_;
    const PartitionLeases& leases_;
    OnStopped onStopped_;
    std::uint32_t window_ = 0;
    std::map<PartitionId, Held> held_;
    // Ordered by id, so that each walk is the same in every run.
    std::map<JobId, OpenJob> jobs_;
    Table<RunId, Run> runs_;
    std::uint64_t nextRun_ = 0;
    std::uint64_t nextSerial_ = 0;
    double retryTokens_ = 0;
    TimePoint retriesAt_ {};
    std::uint64_t started_ = 0;
    std::uint64_t committed_ = 0;
};

} // namespace jj
