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

// Guards against a process that ends because its settings were being written, and against one that waits for faults that stay.
TEST_CASE("process: settings are refused once the same text has been refused for a second")
{
    ManualClock clock;
    StartRetry retry;
    CHECK_FALSE(retry.recordRefusal("half", clock.now()));
    clock.advance(900ms);
    CHECK_FALSE(retry.recordRefusal("half", clock.now()));
    CHECK_FALSE(retry.recordRefusal("half and more", clock.now()));
    clock.advance(900ms);
    CHECK_FALSE(retry.recordRefusal("half and more", clock.now()));
    clock.advance(100ms);
    CHECK(retry.recordRefusal("half and more", clock.now()));
}

// Guards against an empty text that counts as refused since the clock's beginning.
TEST_CASE("process: an empty text is refused from its first refusal on")
{
    ManualClock clock;
    clock.advance(1h);
    StartRetry retry;
    CHECK_FALSE(retry.recordRefusal("", clock.now()));
}
