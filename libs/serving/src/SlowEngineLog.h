// Log lines for engines that stay slow, and for their return to the usual speed.
//
// Engines that share a machine may be slow for a second at a time. Lines for each of these moments would hide the engines that stay slow, so
// only slowdowns of some seconds are logged, and few lines at a time. The gauge counts all of them.
#pragma once

#include "DecisionLog.h"
#include "capacity/CapacityBoard.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace jj {

class SlowEngineLog {
public:
    // A slowdown is logged once it has lasted this long.
    static constexpr Duration minDuration = 3s;
    // At most this many lines are written in each period.
    static constexpr std::uint32_t maxLines = 10;
    static constexpr Duration linePeriod = 10s;

    explicit SlowEngineLog(DecisionLog& log)
        : log_(log)
    {
    }

    // Compares the engines that are slow now with those logged before. `board` knows their names.
    void update(std::span<const EngineSpeeds::SlowEngine> slow, const CapacityBoard& board, TimePoint now);

private:
    struct Logged {
        TimePoint since_ {};
        bool isSlow_ = true;
    };

    bool mayWrite(TimePoint now);

    DecisionLog& log_;
    std::unordered_map<UpstreamId, Logged> logged_;
    std::uint32_t lines_ = 0; // in this period
    TimePoint periodBeganAt_ {};
};

} // namespace jj
