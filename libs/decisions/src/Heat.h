// How fast online requests come, in requests a second: quick to rise, slow to fall. It tells a burst by its first few arrivals,
// before a queue shows it, and doesn't let batch back in at each pause within the burst.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cmath>

namespace jj {

class Heat {
public:
    void add(TimePoint now)
    {
        quick_ = decayed(quick_, quickSeconds, now) + 1;
        slow_ = decayed(slow_, slowSeconds, now) + 1;
        readAt_ = now;
    }

    double at(TimePoint now) const
    {
        return std::max(decayed(quick_, quickSeconds, now) / quickSeconds, decayed(slow_, slowSeconds, now) / slowSeconds);
    }

private:
    static constexpr double quickSeconds = 0.3;
    static constexpr double slowSeconds = 1.2;

    double decayed(double value, double seconds, TimePoint now) const { return value * std::exp(-toSeconds(now - readAt_) / seconds); }

    double quick_ = 0;
    double slow_ = 0;
    TimePoint readAt_ {};
};

} // namespace jj
