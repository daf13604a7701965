// Measures how fast an engine sends the events of one stream.
//
//     EventPace pace;
//     if (const auto gap = pace.record(now)) board.recordEventGap(engine, *gap, now);
#pragma once

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace jj {

class EventPace {
public:
    // Records an event and returns the mean gap between the last events. Returns none until there were enough of them.
    std::optional<Duration> record(TimePoint now)
    {
        const TimePoint oldest = times_[next_];
        times_[next_] = now;
        next_ = (next_ + 1) % times_.size();
        if (recorded_ < times_.size()) {
            ++recorded_;
            return std::nullopt;
        }
        return (now - oldest) / static_cast<Duration::rep>(times_.size());
    }

    // Starts again, for a run on another engine.
    void reset() { *this = EventPace(); }

private:
    // Several gaps, so that one pause of this process doesn't look like a slow engine.
    static constexpr std::size_t measuredGaps = 4;

    std::array<TimePoint, measuredGaps> times_ {}; // a ring; times_[next_] is the oldest
    std::size_t next_ = 0;
    std::size_t recorded_ = 0;
};

} // namespace jj
