// How a node follows what the store says: times that the followers of the configuration and of the engines share.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace jj {

struct FollowerTimes {
    // The store holds a call open for so long. A connection that falls silent is noticed when the call's time is over, and when all
    // watchers' connections do at once no peer knows better: so it is well under the 4 s after which a node counts as undisturbed
    // again, and the node is up to date by then. Costs 8 calls in 2.5 s for two regions.
    Duration heldOpen_ = 2500ms;
    Duration firstRetry_ = 100ms;
    Duration longestRetry_ = 1s;
    // A peer has had a newer version for so long: this node asks.
    Duration behindBound_ = 250ms;
    Duration askEvery_ = 400ms;
    // Between two held-open calls that brought something: engines register one by one, and one call for each of them would be many.
    // Five hundred ms are a fifth of the shortest bound for a leaving engine.
    Duration betweenChanges_ = 500ms;
    // A process that leaves the rest of a long first list to its peers reads it after all when none of them has brought it by then.
    Duration leftToPeers_ = 2500ms;
};

// Doubles from firstRetry_ to longestRetry_.
inline Duration retryAfter(const FollowerTimes& times, std::uint32_t failures)
{
    constexpr std::uint32_t mostDoublings = 8;
    return std::min<Duration>(times.longestRetry_, times.firstRetry_ * (1LL << std::min(failures, mostDoublings)));
}

} // namespace jj
