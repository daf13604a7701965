// Tests the time limits of reads that are forwarded to another node.
#include "HopTimes.h"

#include <doctest/doctest.h>

using namespace jj;

// A forwarded read must not be held by the job's owner for longer than the sender waits, or the sender times out and reads from
// the store.
TEST_CASE("a forwarded read is held for the rest of its caller's wait and answered within its timeout")
{
    for (const Duration elapsed : { Duration(0ms), Duration(40ms), Duration(900ms), Duration(3s) }) {
        const HopTimes times = hopTimes(1s, elapsed);
        CHECK(times.wait_ + elapsed <= std::max<Duration>(1s, elapsed));
        CHECK(times.timeout_ >= times.wait_ + 500ms);
    }
    CHECK(hopTimes(0ms, 0ms).wait_ == Duration::zero());
}
