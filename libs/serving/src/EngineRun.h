// One run of a request at an engine: what was sent where, and what has come back.
#pragma once

#include "EventScanner.h"
#include "Statuses.h"
#include "base/Id.h"
#include "base/SoftwareVersion.h"
#include "base/Time.h"
#include "http/ByteBudget.h"
#include "http/Client.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace jj {

struct EngineRun {
    EngineRun(std::size_t eventLimit, http::ByteHold hold)
        : scanner_(eventLimit)
        , hold_(std::move(hold))
    {
    }

    UpstreamId engine_;
    SoftwareVersion softwareVersion_;
    TimePoint sentAt_ {};
    TimePoint heardAt_ {}; // when the engine sent its last byte; the time of the send while there is none
    bool isSilent_ = false; // no byte has come for RelayedRequest::silenceTimeout
    std::shared_ptr<http::Call> call_; // null once the answer has ended
    std::optional<http::ResponseHead> head_; // none: not received yet
    bool rejected_ = false; // the answer states that the engine did not run the request
    std::optional<TimePoint> firstEventAt_; // none: no event of this run has arrived
    bool isProven_ = false; // the run has gone on for long enough that the request doesn't crash its engine
    std::string body_; // of an answer that is not a stream
    std::string deferred_; // bytes of the answer that came while another run might have begun, not yet handled
    bool isPaused_ = false; // its engine isn't read, because the caller's queue is full
    EventScanner scanner_;
    EventClock eventClock_;
    http::ByteHold hold_; // of body_, deferred_ and the event that is being scanned

    // Returns whether the engine may have begun to work on the request and answered with a failure. A status that promises the caller that its
    // request has not run is a failure too, unless the engine states that it did not run it.
    bool hasFailed() const { return head_ && !rejected_ && (head_->status_ >= firstServerError || promisesNotRun(head_->status_)); }

    // Capacities, because strings that grow have up to twice the memory of their bytes.
    std::size_t heldBytes() const
    {
        const auto held = [](const std::string& bytes) { return bytes.empty() ? 0 : bytes.capacity(); };
        return held(body_) + held(deferred_) + held(scanner_.rest());
    }
};

using EngineRunPtr = std::shared_ptr<EngineRun>;

} // namespace jj
