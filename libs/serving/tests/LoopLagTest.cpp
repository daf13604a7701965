// Tests when an event loop counts as overloaded.
#include "LoopLag.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("an event loop is overloaded after several late wake-ups in a row, until one is on time")
{
    TimePoint now {};
    LoopLag lag;
    for (std::uint32_t wakeUp = 1; wakeUp < LoopLag::lateWakeUpsForOverload; ++wakeUp)
        CHECK_FALSE(lag.recordWakeUp(now, now + LoopLag::lateAfter));
    CHECK_FALSE(lag.isOverloaded());
    CHECK(lag.recordWakeUp(now, now + LoopLag::lateAfter));
    CHECK(lag.isOverloaded());
    CHECK_FALSE(lag.recordWakeUp(now, now + 1s));
    CHECK(lag.recordWakeUp(now, now + LoopLag::lateAfter - 1ms));
    CHECK_FALSE(lag.isOverloaded());
}

// Guards against a host that closes connections because its process was paused.
TEST_CASE("single late wake-ups are no overload")
{
    TimePoint now {};
    LoopLag lag;
    for (int pause = 0; pause < 20; ++pause) {
        lag.recordWakeUp(now, now + 5s);
        lag.recordWakeUp(now, now + 5ms);
        CHECK_FALSE(lag.isOverloaded());
    }
}
