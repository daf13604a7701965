// Splits a stream of server-sent events into complete events and parses their ids.
//
// An engine may stop in the middle of an event. If its bytes were forwarded as they arrive, the caller would receive this fragment
// followed by the first event of the engine that resumes the stream. The scanner therefore yields only complete events.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace jj {

struct StreamEvent {
    std::string_view raw_; // includes the empty line that ends the event
    std::optional<std::uint64_t> id_;
    bool hasData_ = false;
    bool isMalformed_ = false; // a line is no field, the id isn't one number, or other lines stand between those of the data

    // Returns the data fields, separated by line feeds.
    std::string_view data() const { return joinedData_.empty() ? firstData_ : joinedData_; }
    // Returns whether bytes of it are lost or wrong, as far as that shows.
    bool isCorrupt() const;
    // Returns whether it is corrupt, or lacks the id or the data that each event of a stream with ids has.
    bool isSpoilt() const { return hasData_ != id_.has_value() || isCorrupt(); }

    std::string_view firstData_;
    std::string joinedData_; // of several data fields; empty if there is one
};

// Measures the time between the events of one run.
class EventClock {
public:
    // Records that events have arrived together. Returns the mean time that each of them took, or nullopt for the first ones.
    std::optional<Duration> record(std::size_t events, TimePoint now)
    {
        const TimePoint before = std::exchange(lastAt_, now);
        if (before == TimePoint() || events == 0)
            return std::nullopt;
        return (now - before) / static_cast<std::int64_t>(events);
    }
    // Forgets the last event, because this side paused the run.
    void restart() { lastAt_ = {}; }

private:
    TimePoint lastAt_ {};
};

class EventScanner {
public:
    // An engine may send an event without end, so the scanner gives up on longer ones.
    static constexpr std::size_t maxEventBytes = 1024U * 1024;

    // `eventLimit`: maximum size of an event, in bytes.
    explicit EventScanner(std::size_t eventLimit = maxEventBytes)
        : eventLimit_(eventLimit)
    {
    }

    // Calls back for each event that is now complete. The views in the event are valid during the call only. Does nothing once an event
    // has exceeded the limit. Returns the number of events.
    std::size_t feed(std::string_view bytes, const std::function<void(const StreamEvent&)>& onEvent);
    // Returns the bytes after the last complete event.
    const std::string& rest() const { return partial_; }
    // Returns whether an event has exceeded the limit. Its bytes are dropped.
    bool isOverLimit() const { return isOverLimit_; }
    // Returns whether rest() holds a part of an event. Comment lines and blank lines alone belong to no event.
    bool isInsideEvent() const;
    // Drops all bytes, also those of a feed() from whose callback it is called.
    void reset()
    {
        partial_.clear();
        ++resets_;
    }

private:
    std::size_t eventLimit_;
    std::string partial_; // at most eventLimit_ bytes
    std::uint64_t resets_ = 0;
    bool isOverLimit_ = false;
};

} // namespace jj
