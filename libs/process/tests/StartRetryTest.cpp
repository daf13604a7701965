#include "process/StartRetry.h"

#include <doctest/doctest.h>

using namespace jj;

// Guards against a start that is tried so often that it fills the log, or so seldom that callers wait for it.
TEST_CASE("process: the waits between attempts to start grow from 100 ms to a second")
{
    StartRetry retry;
    Duration total {};
    for (const Duration expected : { 100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms }) {
        const Duration delay = retry.nextDelay();
        CHECK(delay == expected);
        total += delay;
    }
    CHECK(total == 3500ms);
}
