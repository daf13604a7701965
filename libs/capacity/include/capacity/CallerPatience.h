// Detects retries of refused requests by the time that the caller still allows for the answer.
//
//     if (detector.isProbableRetry(route, timeLeft, now)) ...      // the caller gives up after another refusal
//
// A request doesn't say that it is a retry, and a retry usually reaches another node than the first attempt. But most callers of a route
// allow the same time for a first attempt, and a retry allows only what is left of it. So the longest time that recent requests of the
// route allowed is taken as that of a first attempt, and a request that allows clearly less is taken for a retry.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <map>
#include <string>

namespace jj {

class CallerPatience {
public:
    // Returns whether the request is probably a retry, and records the time that it allows.
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
    // Requests that allow the same time differ by their time on the network.
    static constexpr Duration timingNoise = std::chrono::milliseconds(50);
    // No refusal lets a caller retry sooner than this.
    static constexpr Duration leastAbsence = std::chrono::milliseconds(120);
    // When callers begin to allow less time, the longer time of earlier requests is dropped after this delay.
    static constexpr Duration forgottenAfter = std::chrono::seconds(10);
    // Limits the memory: when there are so many routes, all records are dropped.
    static constexpr std::size_t mostRoutes = 1024;

    struct Longest {
        Duration time_ {};
        TimePoint seenAt_ {};
    };

    std::map<std::string, Longest> longest_;
};

} // namespace jj
