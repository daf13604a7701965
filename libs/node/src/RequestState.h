// What the request plane keeps of one request: at its entry, and at a home. Private to the plane.
#pragma once

#include "RequestPlane.h"

namespace jj {

struct RequestPlane::Entry {
    explicit Entry(EntryRequest request)
        : request_(std::move(request))
    {
    }

    std::mutex lock_; // guards the rest; held while the sink runs, so that pieces of an answer keep their order
    EntryRequest request_;
    std::uint32_t handOver_ = 0; // the one whose answer is passed on
    NodeId home_;
    std::uint32_t position_ = 0; // tokens that the caller has
};

struct RequestPlane::Run {
    RunKey key_;
    NodeId entry_;
    Incarnation entryIncarnation_;
    RequestStart start_;
    TimePoint startBefore_ = neverTime; // on this node's clock

    std::mutex lock_; // guards the rest
    AttemptId attempt_; // the one whose answer is passed on
    std::shared_ptr<EngineStream> stream_;
    std::uint32_t position_ = 0;
};

RequestStart startMessage(const EntryRequest& request, const SendToHome& command, const AttemptKey& key);

template <class EntryType>
RequestStart startMessage(const EntryType& entry, const SendToHome& command, const AttemptKey& key)
{
    return startMessage(entry.request_, command, key);
}

// The request as decisions see it at the home; the time left is counted from now.
RequestSpec specOf(const RequestStart& start, TimePoint now);

} // namespace jj
