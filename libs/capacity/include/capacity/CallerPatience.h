// Tells callers who come back after a refusal from those who come for the first time, by the time that they still give.
//
//     if (patience.hasReturned(route, timeLeft)) ...      // a second refusal would be final
//
// Nobody says that a request was refused before, and the next attempt comes to another node. But callers of one route mostly give the same
// time, and one who comes back gives what is left of it. The longest time seen of late is what a first attempt gives.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <map>
#include <string>

namespace jj {

class CallerPatience {
public:
    bool hasReturned(const std::string& route, Duration timeLeft, TimePoint now)
    {
        if (longest_.size() >= mostRoutes)
            longest_.clear();
        Longest& longest = longest_[route];
        if (now - longest.seenAt_ > forgottenAfter || timeLeft >= longest.time_ - timingNoise)
            longest = { std::max(timeLeft, now - longest.seenAt_ > forgottenAfter ? timeLeft : longest.time_), now };
        return timeLeft < longest.time_ - leastAbsence;
    }

private:
    // Callers that give the same time differ by what their request was on its way.
    static constexpr Duration timingNoise = std::chrono::milliseconds(50);
    // No refusal asks a caller back sooner.
    static constexpr Duration leastAbsence = std::chrono::milliseconds(120);
    // A change of the time that callers give is known after it.
    static constexpr Duration forgottenAfter = std::chrono::seconds(10);
    static constexpr std::size_t mostRoutes = 1024;

    struct Longest {
        Duration time_ {};
        TimePoint seenAt_ {};
    };

    std::map<std::string, Longest> longest_;
};

} // namespace jj
