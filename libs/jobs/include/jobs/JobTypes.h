// Ids, settings and errors of batch jobs.
#pragma once

#include "base/Error.h"
#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"
#include "objects/CallQueue.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

// One of a fixed number of shares of all jobs; a job's partition is its id modulo that number.
using PartitionId = Id<struct PartitionTag, std::uint32_t>;
// Position of a chunk of items in its job, from 0.
using ChunkIndex = Id<struct ChunkTag, std::uint32_t>;
// One upload in progress at this node; chosen by the embedder, unique for the process's life.
using UploadId = Id<struct UploadTag>;
// One question of a caller or operator at this node (cancel, status, results, call); chosen by the embedder likewise.
using AskId = Id<struct AskTag>;
// One attempt of an item, given by the core; unique for the process's life.
using RunId = Id<struct RunTag>;

enum class JobError : int {
    BadLine = 1, // a line isn't a JSON object with custom_id (text) and body (object)
    DuplicateCustomId, // a custom_id stands twice in one job
    LineTooLong,
    TooManyItems,
    NoItems,
    DeadlinePassed,
    DeadlineOutOfReach, // the work can't be done by then at the rate the service gives to batch
    KeyReused, // the idempotency key stands for other content
    StoreUnavailable, // the store doesn't take the job or answer the question now
    TooBusy, // more uploads at once than the node has room for
    NoSuchJob,
    AlreadyDone, // a cancel came after completion
    BadRecord, // a stored object can't be read
    BadSettings,
    Draining, // this node takes no new work
    EarlierCallBegan, // a call with this key was begun before and its outcome isn't known
};

std::error_code make_error_code(JobError error);

// How an item ended, as its result line says.
enum class ItemEnd : std::uint8_t {
    Done,
    Refused, // the upstream refuses this item
    CrashesUpstream, // quarantined: upstreams died under it
    TooLarge, // the item or its answer is over a limit
    TimedOut,
    UpstreamFailed, // each attempt met a failure that is the upstream's
    OutcomeUnknown, // may not be repeated, and no outcome is known
};

std::string_view toString(ItemEnd end);

// What one attempt came to, as the node reports it.
enum class RunOutcome : std::uint8_t {
    Done,
    NotRun, // no byte reached an upstream: may be tried again, no attempt is counted
    Refused,
    TooLarge,
    TimedOut,
    Failed, // the upstream or the way to it failed
    Crashed, // the upstream died, with this item as a suspect
    Quarantined, // the fleet knows that this content crashes upstreams
};

enum class JobState : std::uint8_t {
    Waiting, // accepted, no holder has begun
    Running,
    Cancelled,
    Done,
};

std::string_view toString(JobState state);

struct JobSettings {
    std::uint32_t partitions_ = 64; // the same on all nodes for the life of the store's content

    // A holder may act until its last renewal was first sent + leaseTime_ - leaseMargin_, by its own monotonic clock; another node may
    // take over once it has seen the lease unchanged for leaseTime_ by its own. leaseMargin_ covers clocks that run unequally.
    Duration leaseTime_ = 10s;
    Duration leaseMargin_ = 1s;
    Duration renewEvery_ = 3s;
    Duration observeEvery_ = 500ms;
    Duration standbyDelay_ = 200ms; // a standby waits so much longer than the assigned owner

    std::uint32_t chunkItems_ = 192;
    std::size_t chunkBytes_ = 700'000; // of text, before compression: fits a value even when it can't be compressed
    std::uint32_t maxItems_ = 1'000'000;
    std::size_t maxLineBytes_ = 262'144;
    std::uint32_t chunkWritesInFlight_ = 4; // for each upload; above, the upload pauses
    std::uint32_t maxUploads_ = 16; // at once on this node
    std::uint32_t maxProblems_ = 100; // named lines in one refusal
    Duration uploadBound_ = 15min; // an upload that isn't committed by then is given up
    Duration acceptPatience_ = 20s; // how long one step of accepting waits for the store
    Duration longestDeadline_ = 30 * 24h;
    double itemsPerSecond_ = 0; // batch rate of the service for the deadline's check; 0: not checked

    std::uint32_t window_ = 256; // items running at once on this node; changed by WindowChanged
    std::uint32_t maxLoadedChunks_ = 16; // bounds memory when many items wait for a retry
    std::uint32_t maxAttempts_ = 4;
    std::uint32_t maxCrashes_ = 2;
    Duration firstBackoff_ = 500ms;
    Duration longestBackoff_ = 30s;
    double retryShare_ = 0.1; // retries for each finished attempt
    double retryBurst_ = 50; // retries saved up
    double retriesPerSecond_ = 2; // retries besides, so that the last items of a job don't starve
    std::size_t maxResultBytes_ = 262'144; // of one item's answer
    Duration overrun_ = 24h; // past its deadline an item is still tried for so long, then ends as TimedOut
    std::uint32_t intentItems_ = 32; // items that may not be repeated share one intent write in groups of so many

    std::uint32_t commitChunks_ = 8; // chunks that one ledger write commits, or
    Duration commitEvery_ = 250ms; // so long after the first of them was ready
    Duration ledgerCheck_ = 5s; // a job without ledger writes for so long is checked for a cancel
    Duration discoverEvery_ = 10s; // the list of open jobs of a held partition, for hints that were lost

    Duration cancelRepeat_ = 250ms; // messages to a holder that hasn't stopped
    Duration cancelCheck_ = 1s; // reads of lease and ledger while waiting for it
    Duration askPatience_ = 5s; // how long a question waits for the store

    Duration callPatience_ = 1s; // how long a call that may not be repeated waits for its intent
    Duration outcomeFlush_ = 50ms;
    std::uint32_t outcomeGroup_ = 32; // calls whose outcomes share an object
    std::size_t maxOutcomeBytes_ = 12'288; // of one recorded answer; a longer one is recorded without its body

    Duration retention_ = 7 * 24h; // after completion or cancel
    Duration callRetention_ = 48h; // of intents and outcomes of at-most-once calls: a resend after that runs again
    Duration orphanAge_ = 24h; // chunks of an upload that was never committed
    Duration collectEvery_ = 60s;

    CallQueueSettings calls_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::JobError> : std::true_type {
};
