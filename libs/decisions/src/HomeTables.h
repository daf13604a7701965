// The tables of the home role: the requests at this home, and the engines that it queues for.
#pragma once

#include "BatchLimit.h"
#include "Circuit.h"
#include "FairQueue.h"
#include "Heat.h"
#include "decisions/Request.h"
#include "tables/Table.h"

#include <deque>
#include <vector>

namespace jj {

// One request at this home, from HandedOver to HandBack.
struct Item {
    std::uint32_t handOver_ = 0;
    NodeId entry_;
    UpstreamId upstream_;
    Duration slack_ = Duration::max();
    bool running_ = false;
    bool suspect_ = false;
    bool urgent_ = false;
    // Bytes of it may have reached an upstream under this hand-over.
    bool sent_ = false;
    std::uint32_t attempt_ = 0;
    std::uint64_t ticket_ = 0;
    // Tokens of the answer that have come, and those at the start of the attempt.
    std::uint32_t position_ = 0;
    std::uint32_t startPosition_ = 0;
    // Where the KV state of its last attempt is kept; none: nowhere.
    UpstreamId kvFrom_;
    // Prompt work that the engine still has for it; 0 from the first token on.
    std::uint32_t promptLeft_ = 0;
    TimePoint dispatchedAt_ {};
    TimePoint progressAt_ {};

    bool started() const { return position_ > startPosition_; }
};

struct EngineState {
    FairQueue online_;
    FairQueue urgent_;
    FairQueue batch_;
    // Online ones first.
    std::deque<FairQueue::Entry> onlineSuspects_;
    std::deque<FairQueue::Entry> batchSuspects_;
    // Invariant: running_ holds the requests with running_ set on this engine; the counts and sums below are over them.
    std::vector<RequestId> running_;
    std::uint32_t onlineRunning_ = 0;
    std::uint32_t batchRunning_ = 0;
    std::uint32_t urgentRunning_ = 0;
    std::uint32_t suspectsRunning_ = 0;
    std::uint64_t kvHeld_ = 0;
    // Sums of promptLeft_.
    std::uint32_t onlinePrompt_ = 0;
    std::uint32_t batchPrompt_ = 0;
    // Over the waiting ones.
    std::uint32_t onlineWaiting_ = 0;
    std::uint32_t batchWaiting_ = 0;
    std::uint32_t onlinePromptWaiting_ = 0;
    std::uint64_t waitingBytes_ = 0;
    BatchLimit limit_;
    Heat heat_;
    Circuit circuit_;
    // Mean stay of an online stream on the engine, seconds.
    double stay_ = 1.0;
};

} // namespace jj
