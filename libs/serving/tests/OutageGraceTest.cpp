// Tests how long missing engines stay in use after a store outage.
#include "OutageGrace.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr Duration grace = 2200ms;
constexpr TimePoint start { 1s };

} // namespace

TEST_CASE("serving: without an outage a missing engine is removed at once")
{
    const OutageGrace outageGrace(grace);
    CHECK(outageGrace.remaining(start, start + 10s) == Duration::zero());
}

// A node lost the store for three seconds. An engine stops without draining 1.9 s after the recovery, and its entry is removed. The
// node used the engine for 2.2 s more, so requests reached it 2.6 s after it had stopped; 2.5 s are allowed.
TEST_CASE("serving: an engine that goes missing long after the store's recovery isn't retained for the full grace period")
{
    OutageGrace outageGrace(grace);
    outageGrace.recordFailure(start + 8s);
    outageGrace.recordFailure(start + 10s);
    outageGrace.recordSuccess(start + 11s);
    CHECK(outageGrace.remaining(start, start + 11s) == grace);
    CHECK(outageGrace.remaining(start, start + 12900ms) == 300ms);
    outageGrace.recordSuccess(start + 12900ms);
    CHECK(outageGrace.remaining(start, start + 12900ms) == 300ms);
    CHECK(outageGrace.remaining(start, start + 13300ms) == Duration::zero());
}

// Other calls of the node found the store unreachable, but not this one, which was held open during the outage.
TEST_CASE("serving: the grace period starts at the recovery that any call of the node has seen")
{
    OutageGrace outageGrace(grace);
    CHECK(outageGrace.remaining(start + 20s, start + 21s) == 1200ms);
    outageGrace.recordFailure(start + 22s);
    outageGrace.recordSuccess(start + 23s);
    CHECK(outageGrace.remaining(start + 20s, start + 23s) == grace);
}
