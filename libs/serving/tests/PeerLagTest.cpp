// How soon and how often a node asks for what a peer has.
#include "PeerLag.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("a passive node asks at once, and again after a while")
{
    const FollowerTimes times;
    const TimePoint start = TimePoint {} + 10s;
    PeerLag lag(times);
    CHECK(lag.mustAsk(5, true, start));
    CHECK_FALSE(lag.mustAsk(5, true, start));
    CHECK_FALSE(lag.mustAsk(6, true, start + 1ms));
    CHECK_FALSE(lag.mustAskAgain(true, start + times.askEvery_ - 1ms));
    CHECK(lag.mustAskAgain(true, start + times.askEvery_));
    CHECK(lag.version() == 6);
}

TEST_CASE("a node that follows the store waits for its own answer first")
{
    const FollowerTimes times;
    const TimePoint start = TimePoint {} + 10s;
    PeerLag lag(times);
    CHECK_FALSE(lag.mustAsk(5, false, start));
    CHECK_FALSE(lag.mustAskAgain(false, start + times.behindBound_ - 1ms));
    CHECK(lag.mustAskAgain(false, start + times.behindBound_));
}
