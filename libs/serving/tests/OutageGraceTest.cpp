// Engines that are missing after an outage, and when they count as gone.
#include "OutageGrace.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr Duration grace = 2200ms;
constexpr TimePoint began { 1s };

} // namespace

TEST_CASE("serving: without an outage a missing engine is gone at once")
{
    const OutageGrace one(grace);
    CHECK(one.left(began, began + 10s) == Duration::zero());
}

// A node was cut from the store for three seconds. An engine leaves 1.9 s after it is back, without a word: its entry goes. The node used it for 2.2 s
// more, and requests reached it 2.6 s after it had left; 2.5 s are allowed.
TEST_CASE("serving: what goes missing long after the store's return is not held for the whole time again")
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

// Other calls of the node found the store out of reach, and this one's didn't: it was held open all the while.
TEST_CASE("serving: the return counts that any call of the node has seen")
{
    OutageGrace one(grace);
    CHECK(one.left(began + 20s, began + 21s) == 1200ms);
    one.lost(began + 22s);
    one.answered(began + 23s);
    CHECK(one.left(began + 20s, began + 23s) == grace);
}
