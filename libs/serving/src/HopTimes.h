// How long a call about a job may take at the node that it is sent to.
//
// Failure met: a read that was sent on to the job's owner still asked it to hold the answer for the caller's whole wait, and gave up sooner. Each
// read that brought nothing new failed, and went to the store: after a change of owner that was two calls for each second of each job.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

struct HopTimes {
    Duration wait_ {}; // that the node may hold the answer
    Duration bound_ {}; // until its answer has to be there
};

// `asked`: that the caller is ready to wait for a result. `elapsed`: since its call came.
inline HopTimes hopTimes(Duration asked, Duration elapsed)
{
    // The way there and back, and a look at the store.
    constexpr Duration margin = 600ms;
    const Duration wait = std::max(asked - elapsed, Duration::zero());
    return { wait, wait + margin };
}

} // namespace jj
