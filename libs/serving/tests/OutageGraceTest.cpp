// Tests how long missing engines stay in use after a store outage.
#include "OutageGrace.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr Duration grace = 2200ms;
constexpr TimePoint began { 1s };

} // namespace

TEST_CASE("serving: without an outage a missing engine is removed at once")
{
    const OutageGrace one(grace);
    CHECK(one.left(began, began + 10s) == Duration::zero());
}

// A node lost the store for three seconds. An engine stops without draining 1.9 s after the recovery, and its entry is removed. The
// node used the engine for 2.2 s more, so requests reached it 2.6 s after it had stopped; 2.5 s are allowed.
TEST_CASE("serving: an engine that goes missing long after the store's recovery isn't retained for the full grace period")
{
    OutageGrace one(grace);
    one.lost(began + 8s);
    one.lost(began + 10s);
    one.answered(began + 11s);
    CHECK(one.left(began, began + 11s) == grace);
    CHECK(one.left(began, began + 12900ms) == 300ms);
    one.answered(began + 12900ms);
    CHECK(one.left(began, began + 12900ms) == 300ms);
    CHECK(one.left(began, began + 13300ms) == Duration::zero());
}

// Other calls of the node found the store unreachable, but not this one, which was held open during the outage.
TEST_CASE("serving: the grace period starts at the recovery that any call of the node has seen")
{
    OutageGrace one(grace);
    CHECK(one.left(began + 20s, began + 21s) == 1200ms);
    one.lost(began + 22s);
    one.answered(began + 23s);
    CHECK(one.left(began + 20s, began + 23s) == grace);
}
