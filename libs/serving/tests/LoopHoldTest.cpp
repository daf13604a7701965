// Tests what is recorded of a loop that is held up once.
#include "LoopHold.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("a long delay of an event loop is recorded with the processor time spent in it")
{
    const TimePoint start = TimePoint() + 1h;
    int samples = 0;
    Duration used = 10s;
    const auto processorTime = [&] {
        ++samples;
        return used;
    };
    LoopHold hold;
    for (int wakeUp = 0; wakeUp < 10; ++wakeUp)
        CHECK_FALSE(hold.recordWakeUp(start + wakeUp * 20ms, start + wakeUp * 20ms + 900ms, processorTime));
    CHECK(samples == 1);
    const auto blocked = hold.recordWakeUp(start + 1s, start + 11s, processorTime);
    REQUIRE(blocked);
    CHECK(blocked->heldFor_ == 10s);
    CHECK(blocked->processorTime_ == 0s);
    used += 4s;
    const auto busy = hold.recordWakeUp(start + 12s, start + 16s, processorTime);
    REQUIRE(busy);
    CHECK(busy->processorTime_ == 4s);
}
