// The share of the quotas that a host may use, from the hosts that it knows and reaches.
#include "Quotas.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

const RegionId here { 1 };
const RegionId there { 2 };
const TimePoint now { 1000s };

std::vector<Peer> peers(RegionId region, std::size_t count, MemberState state, Duration since = 2s)
{
    std::vector<Peer> rows(count);
    for (Peer& peer : rows) {
        peer.region_ = region;
        peer.state_ = state;
        peer.downSince_ = now - since;
    }
    return rows;
}

double shareOf(std::vector<Peer> rows, const std::vector<Peer>& more = {})
{
    rows.insert(rows.end(), more.begin(), more.end());
    return reachableShare(countHosts(rows, here, now), 0.25);
}

} // namespace

TEST_CASE("quotas: a host uses the whole quotas while it reaches a quarter of the hosts and each region")
{
    CHECK(shareOf({}) == 1);
    CHECK(shareOf(peers(here, 9, MemberState::Alive), peers(there, 10, MemberState::Alive)) == 1);
    CHECK(shareOf(peers(here, 9, MemberState::Dead), peers(there, 10, MemberState::Alive)) == 1);
}

TEST_CASE("quotas: a host that is cut off uses the share of those it reaches")
{
    CHECK(shareOf(peers(here, 9, MemberState::Dead), peers(there, 10, MemberState::Dead)) == doctest::Approx(0.05));
    CHECK(shareOf(peers(here, 9, MemberState::Alive), peers(there, 30, MemberState::Dead)) == doctest::Approx(0.25));
}

// Guards against quotas that shrink for good because hosts that were removed still count.
TEST_CASE("quotas: hosts that have left or have been down for long don't count")
{
    CHECK(shareOf(peers(here, 9, MemberState::Alive), peers(there, 90, MemberState::Left)) == 1);
    CHECK(shareOf(peers(here, 9, MemberState::Alive), peers(there, 90, MemberState::Dead, 61s)) == 1);
}
