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

class RetryDetector {
public:
    // Returns whether the request is probably a retry, and records the time that it allows.
    bool isProbableRetry(const std::string& route, Duration timeLeft, TimePoint now)
    {
        if (longestTimes_.size() >= maxRoutes)
            longestTimes_.clear();
        LongestTime& longestTime = longestTimes_[route];
        if (now - longestTime.seenAt_ > recordLifetime || timeLeft >= longestTime.time_ - timingNoise)
            longestTime = { std::max(timeLeft, now - longestTime.seenAt_ > recordLifetime ? timeLeft : longestTime.time_), now };
        return timeLeft < longestTime.time_ - minRetryDelay;
    }

private:
    // Requests that allow the same time differ by their time on the network.
    static constexpr Duration timingNoise = std::chrono::milliseconds(50);
    // No refusal lets a caller retry sooner than this.
    static constexpr Duration minRetryDelay = std::chrono::milliseconds(120);
    // When callers begin to allow less time, the longer time of earlier requests is dropped after this delay.
    static constexpr Duration recordLifetime = std::chrono::seconds(10);
    // Limits the memory: when there are so many routes, all records are dropped.
    static constexpr std::size_t maxRoutes = 1024;

    struct LongestTime {
        Duration time_ {};
        TimePoint seenAt_ {};
    };

    std::map<std::string, LongestTime> longestTimes_;
};

} // namespace jj
