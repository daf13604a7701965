// Time limits of a job call that one node forwards to another.
//
// A caller may ask the job's owner to hold a read until there is a new result. If the forwarding node passed on the caller's
// full wait, the owner could hold the read for longer than the forwarding node waits for the reply. Each read without a new result
// would then time out and go to the store instead. After a change of owner this caused two store calls per second and job. The
// owner is therefore asked to hold the read only for the rest of the caller's wait.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

struct HopTimes {
    Duration wait_ {}; // how long the receiver may hold the answer
    Duration timeout_ {}; // how long the sender waits for the answer
};

// `callerWait`: how long the caller is willing to wait for a result. `elapsed`: time since the caller's request arrived.
inline HopTimes hopTimes(Duration callerWait, Duration elapsed)
{
    // Covers the network round trip and a store lookup by the receiver.
    constexpr Duration margin = 600ms;
    const Duration wait = std::max(callerWait - elapsed, Duration::zero());
    return { wait, wait + margin };
}

} // namespace jj
