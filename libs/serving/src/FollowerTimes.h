// Defines the times that the followers of the configuration and of the engines share.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace jj {

struct FollowerTimes {
    // How long the store holds a long-poll call open. A connection that falls silent is noticed when this time is over, or earlier by
    // a peer's newer version. When all watchers' connections fall silent together, no peer has a newer version. The time is therefore
    // well below 4 s: that long after a disturbance a node counts as undisturbed again and must be up to date. It costs 8 calls per
    // 2.5 s with two regions: two watchers per region poll for the configuration and for the engines.
    Duration longPollTime_ = 2500ms;
    Duration initialRetryDelay_ = 100ms;
    Duration maxRetryDelay_ = 1s;
    // How long a watcher waits for its own answer from the store, after a peer has reported a newer version, before it requests
    // that version.
    Duration maxLag_ = 250ms;
    Duration minRequestInterval_ = 400ms;
    // Pause after a long-poll answer with changes. Engines register one by one, and the pause avoids a separate call for each of
    // them. 500 ms is a fifth of the shortest time after which a leaving engine must receive no more requests.
    Duration pauseAfterChanges_ = 500ms;
};

// Returns the delay before the next try, which doubles with each failure from initialRetryDelay_ up to maxRetryDelay_.
inline Duration retryDelay(const FollowerTimes& times, std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 8;
    return std::min<Duration>(times.maxRetryDelay_, times.initialRetryDelay_ * (1LL << std::min(failures, maxDoublings)));
}

} // namespace jj
