// One accepted, not yet ended job as the holder of its partition keeps it in memory, with the chunks it has loaded.
#pragma once

#include "jobs/ChunkCodec.h"
#include "jobs/Records.h"

#include <map>
#include <set>

namespace jj {

enum class ItemState : std::uint8_t {
    Waiting,
    Running,
    Ended,
};

struct LoadedItem {
    ItemState state_ = ItemState::Waiting;
    std::uint32_t attempts_ = 0; // that reached an upstream
    std::uint32_t crashes_ = 0;
    std::uint32_t delays_ = 0; // in a row, for backoff
    TimePoint notBefore_ {};
    RunId run_;
    std::string result_; // the result line, once ended
};

enum class IntentState : std::uint8_t {
    None,
    Writing,
    Own,
    Foreign, // an earlier holder may have sent these items
};

enum class ChunkState : std::uint8_t {
    Reading,
    Running,
    Writing, // its results go to the store
    Written, // they stand; the ledger doesn't name them yet
};

struct LoadedChunk {
    ChunkState state_ = ChunkState::Reading;
    std::string text_;
    std::vector<std::string_view> lines_; // into text_
    std::vector<LoadedItem> items_;
    std::vector<IntentState> intents_; // of groups of items, for jobs whose items may not be repeated
    std::uint32_t left_ = 0; // items not ended
    std::uint32_t running_ = 0;
    std::uint32_t failed_ = 0; // items ended other than Done
    std::uint32_t partsLeft_ = 0; // result objects not yet written
    Epoch writtenEpoch_;

    // Some of its items have run or run now, and their results don't stand yet.
    bool isBegun() const { return state_ == ChunkState::Running && (running_ > 0 || left_ < items_.size()); }
};

enum class JobPhase : std::uint8_t {
    Fetching, // manifest and ledger are being read
    Known, // not claimed under the present epoch
    Claiming,
    Running,
    Ending, // ended in the store; its marker is being removed
};

// Invariant: chunks_ holds no chunk that ledger_ names as committed. Chunks are kept from one claim to the next only when
// no other epoch claimed the job in between.
struct OpenJob {
    std::uint64_t serial_ = 0; // differs for each time the job is opened: answers to calls of an earlier opening are dropped
    JobPhase phase_ = JobPhase::Fetching;
    PartitionId partition_;
    Manifest manifest_;
    Ledger ledger_;
    ObjectVersion version_; // of the ledger; none: absent
    Epoch claimed_; // the epoch of this node's last claim
    std::uint32_t nextChunk_ = 0; // chunks below are loaded or committed
    TimePoint loadAt_ {}; // no chunk is read before
    std::map<std::uint32_t, LoadedChunk> chunks_;
    std::uint32_t written_ = 0; // chunks in state Written
    TimePoint writtenSince_ {};
    bool updating_ = false; // a ledger write or read is on its way
    TimePoint checkedAt_ {}; // the ledger was last known to be ours
    std::set<NodeId> requesters_; // nodes that wait to hear that a cancelled job stopped
};

} // namespace jj
