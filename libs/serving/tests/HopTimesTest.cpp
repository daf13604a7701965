// How long nodes hold a read for one another.
#include "HopTimes.h"

#include <doctest/doctest.h>

using namespace jj;

// Guards against a read that is sent on to the job's owner, held there for longer than its sender waits, and then read from the store.
TEST_CASE("a read that is sent on is held for what is left of its caller's wait, and answered within its bound")
{
    for (const Duration elapsed : { Duration(0ms), Duration(40ms), Duration(900ms), Duration(3s) }) {
        const HopTimes times = hopTimes(1s, elapsed);
        CHECK(times.wait_ + elapsed <= std::max<Duration>(1s, elapsed));
        CHECK(times.bound_ >= times.wait_ + 500ms);
    }
    CHECK(hopTimes(0ms, 0ms).wait_ == Duration::zero());
}
