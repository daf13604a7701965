// Tests when, and how often, a node requests an update from a peer.
#include "PeerLag.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("a passive node requests an update immediately, and again after the minimum interval")
{
    const FollowerTimes times;
    const TimePoint start = TimePoint {} + 10s;
    PeerLag lag(times);
    CHECK(lag.recordPeerVersion(5, true, start));
    CHECK_FALSE(lag.recordPeerVersion(5, true, start));
    CHECK_FALSE(lag.recordPeerVersion(6, true, start + 1ms));
    CHECK_FALSE(lag.mustRequest(true, start + times.minRequestInterval_ - 1ms));
    CHECK(lag.mustRequest(true, start + times.minRequestInterval_));
    CHECK(lag.version() == 6);
}

TEST_CASE("a node that follows the store waits for the store's answer before it requests an update")
{
    const FollowerTimes times;
    const TimePoint start = TimePoint {} + 10s;
    PeerLag lag(times);
    CHECK_FALSE(lag.recordPeerVersion(5, false, start));
    CHECK_FALSE(lag.mustRequest(false, start + times.maxLag_ - 1ms));
    CHECK(lag.mustRequest(false, start + times.maxLag_));
}
