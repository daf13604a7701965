// What the jobs keep in the object API: keys and the small JSON records behind them.
//
//     jobs/lease/PP              who holds a partition (Lease)
//     jobs/open/PP/JOB           a job that isn't ended; created before its manifest, removed after its end
//     jobs/m/PP/JOB              Manifest; its creation accepts the job; never changed
//     jobs/s/PP/JOB              Ledger; claim, commits, cancel and completion of one job are conditional updates of this object
//     jobs/c/UPLOAD/N            items of chunk N, compressed JSON lines; never changed
//     jobs/r/JOB/N-EPOCH-P       part P of the results of chunk N as the holder of EPOCH wrote it; counts only when the ledger says so
//     jobs/i/JOB/N-G             intent for group G of chunk N of a job whose items may not be repeated
//     jobs/u/UPLOAD              an upload whose manifest may not stand yet (UploadRecord), for the collector
//     jobs/x/HOUR/JOB            an ended job to be removed at HOUR
//     calls/i/KEY                CallIntent of an at-most-once call, or that the call was not run
//     calls/o/NODE/INCARNATION-N recorded outcomes of such calls
#pragma once

#include "jobs/JobTypes.h"

#include <map>

namespace jj {

std::string hexName(std::uint64_t value); // 16 digits

std::string leasePrefix();
std::string leaseKey(PartitionId partition);
std::string openPrefix(PartitionId partition);
std::string openKey(PartitionId partition, JobId job);
std::string manifestKey(PartitionId partition, JobId job);
std::string ledgerKey(PartitionId partition, JobId job);
std::string chunkPrefix(std::string_view upload);
std::string chunkKey(std::string_view upload, std::uint32_t chunk);
std::string resultPrefix(JobId job);
std::string resultKey(JobId job, std::uint32_t chunk, Epoch epoch, std::uint32_t part);
std::string intentPrefix(JobId job);
std::string intentKey(JobId job, std::uint32_t chunk, std::uint32_t group);
std::string uploadPrefix();
std::string uploadKey(std::string_view upload);
std::string expiryPrefix();
std::string expiryKey(WallTime at, JobId job);
std::string callPrefix();
std::string callKey(std::string_view workspace, std::string_view service, std::string_view key);
std::string outcomePrefix();
std::string outcomeKey(NodeId node, Incarnation incarnation, std::uint64_t group);

// The number in a key's last part, as hexName wrote it.
Result<std::uint64_t> lastHexOf(std::string_view key);
// The hour in an expiry key.
Result<WallTime> expiryOf(std::string_view key);

struct Lease {
    NodeId holder_; // none: free
    Incarnation incarnation_;
    Epoch epoch_ { 0 }; // grows with each taking, never otherwise
    std::string mark_;

    std::string encode() const;
    static Result<Lease> decode(std::string_view text);
};

// So many chunks in a row with the same number of items.
struct ChunkRun {
    std::uint32_t items_ = 0;
    std::uint32_t chunks_ = 0;
};

struct Manifest {
    JobId job_;
    std::string workspace_;
    std::string service_;
    std::string key_;
    std::string digest_; // of the content
    std::string upload_; // names the chunk objects
    std::uint32_t items_ = 0;
    std::vector<ChunkRun> chunks_;
    WallTime acceptedAt_ {};
    WallTime deadline_ {};
    bool atMostOnce_ = false;
    std::string mark_;

    void addChunk(std::uint32_t items);
    std::uint32_t chunkCount() const;
    std::uint32_t itemsIn(std::uint32_t chunk) const;
    std::uint32_t firstItem(std::uint32_t chunk) const;

    std::string encode() const;
    static Result<Manifest> decode(std::string_view text);
};

struct CommittedRange {
    std::uint32_t first_ = 0;
    std::uint32_t last_ = 0;
    Epoch epoch_;
};

struct Ledger {
    std::string upload_; // of the manifest it belongs to: a job removed after its retention may be accepted anew under its id
    Epoch epoch_ { 0 }; // of the holder that claimed the job last; 0: nobody has
    NodeId holder_;
    JobState state_ = JobState::Waiting;
    // Invariant: sorted, no chunk twice. The epoch names the result objects that count.
    std::vector<CommittedRange> committed_;
    std::uint32_t done_ = 0;
    std::uint32_t failed_ = 0;
    Epoch stopped_ { 0 }; // Cancelled: the holder of this epoch has stopped
    WallTime endedAt_ {};
    std::string mark_;

    bool belongsTo(const Manifest& manifest) const { return upload_ == manifest.upload_; }
    bool isEnded() const { return state_ == JobState::Cancelled || state_ == JobState::Done; }
    // False, and nothing changes, when the chunk is committed already.
    bool commit(std::uint32_t chunk, Epoch epoch);
    Epoch epochOf(std::uint32_t chunk) const; // none: not committed
    std::uint32_t committedChunks() const;

    std::string encode() const;
    static Result<Ledger> decode(std::string_view text);
};

struct UploadRecord {
    WallTime begunAt_ {};
    JobId job_; // none while unknown
    std::string mark_;

    std::string encode() const;
    static Result<UploadRecord> decode(std::string_view text);
};

struct CallIntent {
    NodeId node_; // none: no call holds the key
    Incarnation incarnation_;
    std::uint64_t group_ = 0; // names the object that will hold the outcome
    Fingerprint fingerprint_;
    WallTime at_ {};
    std::string mark_;

    bool isFree() const { return node_.isNone(); }
    std::string encode() const;
    static Result<CallIntent> decode(std::string_view text);
};

struct CallOutcome {
    RunState ran_ = RunState::Ran;
    int status_ = 0;
    std::string body_;
    bool bodyKept_ = true;
};

// Outcomes of the calls of one group, by the last part of their callKey.
struct OutcomeGroup {
    std::map<std::string, CallOutcome> outcomes_;
    WallTime at_ {}; // of its last outcome
    std::string mark_;

    std::string encode() const;
    static Result<OutcomeGroup> decode(std::string_view text);
};

} // namespace jj
