// Claims from what workspaces have used, at one node and from messages.
#include "shares/FairShares.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

using namespace jj;

namespace {

constexpr WorkspaceId small { 1 };
constexpr WorkspaceId large { 2 };
constexpr TimePoint start { 10s };

FairShareSettings settingsOfTests()
{
    FairShareSettings settings;
    settings.halfLife_ = 2s;
    return settings;
}

// Without an expected run, claims are the mean alone.
FairShares sharesOf(std::uint64_t node, Duration expectedRun = Duration::zero())
{
    FairShares shares = FairShares::create(settingsOfTests(), NodeId(node), Incarnation(1)).value();
    shares.setExpectedRun(expectedRun);
    shares.setWorkspaces({ { small, 1 }, { large, 1 } });
    return shares;
}

void useSlots(FairShares& shares, WorkspaceId workspace, int slots, TimePoint now)
{
    for (int count = 0; count < slots; ++count)
        shares.started(workspace, 0, now);
}

} // namespace

TEST_CASE("shares: without workspaces and ranks all claims are equal")
{
    FairShares shares = FairShares::create({}, NodeId(1), Incarnation(1)).value();
    useSlots(shares, large, 5, start);
    CHECK(shares.claim(large, 3, start + 1s) == shares.claim(small, 0, start + 1s));
    CHECK_FALSE(shares.isBelowShare(small, start + 1s));
}

TEST_CASE("shares: the workspace that has used less goes first")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 4, start);
    useSlots(shares, small, 1, start);
    CHECK(shares.claim(small, 0, start + 1s) < shares.claim(large, 0, start + 1s));
    CHECK(shares.isBelowShare(small, start + 1s));
    CHECK_FALSE(shares.isBelowShare(large, start + 1s));
}

TEST_CASE("shares: usage counts relative to the weight")
{
    FairShares shares = FairShares::create({}, NodeId(1), Incarnation(1)).value();
    shares.setWorkspaces({ { small, 1 }, { large, 8 } });
    useSlots(shares, large, 4, start);
    useSlots(shares, small, 1, start);
    CHECK(shares.claim(large, 0, start + 1s) < shares.claim(small, 0, start + 1s));
}

// Guards against a workspace that gets all slots that become free within a moment, because its mean follows slowly.
TEST_CASE("shares: a request that starts counts at once")
{
    FairShares shares = sharesOf(1, 1s);
    shares.started(large, 0, start);
    CHECK(shares.claim(large, 0, start).usage_ == doctest::Approx(shares.usageOfOneRun(large)));
    CHECK(shares.claim(small, 0, start) < shares.claim(large, 0, start));
}

// Guards against a workspace that is served late after its requests have all ended, because its usage is never forgotten.
TEST_CASE("shares: usage is forgotten with its half-life")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 1, start);
    shares.ended(large, 0, start + 4s);
    const float atEnd = shares.claim(large, 0, start + 4s).usage_;
    CHECK(atEnd == doctest::Approx(0.75));
    CHECK(shares.claim(large, 0, start + 6s).usage_ == doctest::Approx(atEnd / 2));
}

// Guards against unfairness between hosts that get different numbers of connections.
TEST_CASE("shares: a node knows from the sum of its cell what other nodes have used")
{
    FairShares first = sharesOf(1);
    FairShares second = sharesOf(2);
    useSlots(second, large, 8, start);
    useSlots(first, small, 1, start);
    const TimePoint later = start + 2s;
    first.recordCompetition(later);
    second.recordCompetition(later);
    REQUIRE(first.nextReport(later));
    const auto report = second.nextReport(later);
    REQUIRE(report);
    first.applyReport(*report, later);
    const auto sums = first.nextSums(CellId(1), later);
    REQUIRE(sums);
    second.applySum(first.sumFor(NodeId(2)), later);
    CHECK(first.slotsOf(large, later) == doctest::Approx(4));
    CHECK(second.slotsOf(small, later) == doctest::Approx(0.5));
    // Its own part isn't counted twice.
    CHECK(first.slotsOf(small, later) == doctest::Approx(0.5));
    CHECK(second.slotsOf(large, later) == doctest::Approx(4));
}

TEST_CASE("shares: a delegate passes on what other cells have used")
{
    FairShares delegate = sharesOf(1);
    FairShares node = sharesOf(2);
    delegate.recordCompetition(start);
    delegate.applySum({ CellId(2), false, Incarnation(7), 1, { { large, 6 } }, {} }, start);
    const auto sums = delegate.nextSums(CellId(1), start);
    REQUIRE(sums);
    CHECK(sums->ofCell_.workspaces_.empty());
    node.applySum(delegate.sumFor(NodeId(2)), start);
    CHECK(node.slotsOf(large, start) == doctest::Approx(6));
    CHECK(delegate.slotsOf(large, start) == doctest::Approx(6));
}

TEST_CASE("shares: nothing is sent while no request waits")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 3, start);
    CHECK_FALSE(shares.nextReport(start + 1s));
    shares.recordCompetition(start + 1s);
    CHECK(shares.nextReport(start + 1s));
    CHECK_FALSE(shares.nextReport(start + 1s + 100ms));
    CHECK_FALSE(shares.nextReport(start + 10s));
}

// Guards against usage that outlives the node that reported it.
TEST_CASE("shares: sums and reports expire")
{
    FairShares shares = sharesOf(1);
    shares.recordCompetition(start);
    shares.applySum({ CellId(1), true, Incarnation(9), 1, { { large, 6 } }, {} }, start);
    CHECK(shares.slotsOf(large, start) == doctest::Approx(6));
    shares.recordCompetition(start + 3s);
    shares.nextReport(start + 3s);
    CHECK(shares.slotsOf(large, start + 3s) == doctest::Approx(0));
}

TEST_CASE("shares: an older sum doesn't replace a newer one")
{
    FairShares shares = sharesOf(1);
    shares.applySum({ CellId(1), true, Incarnation(9), 5, { { large, 6 } }, {} }, start);
    shares.applySum({ CellId(1), true, Incarnation(9), 4, { { large, 1 } }, {} }, start);
    shares.applySum({ CellId(1), true, Incarnation(8), 9, { { large, 2 } }, {} }, start);
    CHECK(shares.slotsOf(large, start) == doctest::Approx(6));
}

TEST_CASE("shares: the rank goes before usage, where ranks differ")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 4, start);
    shares.started(small, 3, start);
    shares.started(small, 3, start);
    const TimePoint later = start + 2s;
    CHECK(shares.claim(small, 3, later) < shares.claim(large, 0, later));
    shares.setRanksDiffer(true);
    CHECK(shares.claim(large, 0, later) < shares.claim(small, 3, later));
}

// Guards against lower ranks that get nothing while the most urgent one takes all slots.
TEST_CASE("shares: the lower ranks together get a tenth of the slot time")
{
    FairShares shares = sharesOf(1);
    shares.setRanksDiffer(true);
    for (int count = 0; count < 20; ++count)
        shares.started(large, 0, start);
    const TimePoint later = start + 2s;
    CHECK(shares.claim(small, 3, later).rank_ == 0);
    shares.started(small, 3, later);
    shares.started(small, 3, later);
    shares.started(small, 3, later);
    CHECK(shares.claim(small, 3, later + 10s).rank_ == 3);
}

TEST_CASE("shares: settings without a half-life are refused")
{
    FairShareSettings settings;
    settings.halfLife_ = 0s;
    CHECK(FairShares::create(settings, NodeId(1), Incarnation(1)).error() == ShareError::BadSettings);
}

// Guards against a node's own part that is subtracted from a sum which doesn't contain it, because its report was lost.
TEST_CASE("shares: a sum that a node's report has missed counts all others")
{
    FairShares delegate = sharesOf(1);
    FairShares node = sharesOf(2);
    useSlots(delegate, large, 8, start);
    useSlots(node, large, 4, start);
    const TimePoint later = start + 2s;
    delegate.recordCompetition(later);
    node.recordCompetition(later);
    REQUIRE(node.nextReport(later)); // lost
    REQUIRE(delegate.nextSums(CellId(1), later));
    node.applySum(delegate.sumFor(NodeId(2)), later);
    CHECK(node.slotsOf(large, later) == doctest::Approx(6));
}

// Guards against sums that are refused for seconds after a change of the delegate, because another process's numbers are higher.
TEST_CASE("shares: the sum of another delegate replaces that of the last one")
{
    FairShares node = sharesOf(3);
    node.applySum({ CellId(1), true, Incarnation(9), 50, { { large, 6 } }, {}, NodeId(1) }, start);
    node.applySum({ CellId(1), true, Incarnation(8), 1, { { large, 2 } }, {}, NodeId(2) }, start);
    CHECK(node.slotsOf(large, start) == doctest::Approx(2));
}

// Guards against usage that counts twice while two nodes take themselves for the delegate of their cell.
TEST_CASE("shares: a delegate doesn't add another delegate's sums to its own")
{
    FairShares delegate = sharesOf(1);
    delegate.recordCompetition(start);
    delegate.applyReport({ NodeId(3), Incarnation(1), 1, { { large, 4 } }, {} }, start);
    delegate.applySum({ CellId(2), false, Incarnation(1), 1, { { large, 2 } }, {}, NodeId(9) }, start);
    REQUIRE(delegate.nextSums(CellId(1), start));
    delegate.applySum({ CellId(1), true, Incarnation(1), 1, { { large, 6 } }, {}, NodeId(2) }, start);
    delegate.applySum({ CellId(1), false, Incarnation(1), 1, { { large, 4 } }, {}, NodeId(2) }, start);
    CHECK(delegate.slotsOf(large, start) == doctest::Approx(6));
}

// Guards against hosts that all serve the same workspace until the next sums arrive.
TEST_CASE("shares: between two sums the claims follow what the node itself has used")
{
    FairShares shares = sharesOf(1, 1s);
    useSlots(shares, large, 2, start);
    useSlots(shares, small, 2, start);
    shares.applySum({ CellId(1), true, Incarnation(1), 1, { { large, 11 }, { small, 10 } }, { { 0, 21 } }, NodeId(2) }, start + 4s);
    CHECK(shares.claim(small, 0, start + 4s) < shares.claim(large, 0, start + 4s));
    shares.started(small, 0, start + 4s);
    CHECK(shares.claim(large, 0, start + 4s) < shares.claim(small, 0, start + 4s));
}

// Guards against a workspace that begins anew at each host at which it appears.
TEST_CASE("shares: workspaces that a node hasn't served are ordered by what they use elsewhere")
{
    FairShares shares = sharesOf(1, 1s);
    shares.applySum({ CellId(1), true, Incarnation(1), 1, { { large, 20 }, { small, 10 } }, { { 0, 30 } }, NodeId(2) }, start);
    CHECK(shares.claim(small, 0, start) < shares.claim(large, 0, start));
}

// Guards against a lasting difference where a workspace has callers at few hosts only.
TEST_CASE("shares: a workspace that stays above its share falls back with each sum, up to a limit")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 2, start);
    useSlots(shares, small, 2, start);
    TimePoint now = start;
    std::uint32_t sequence = 0;
    const auto ratioAfter = [&](int sums) {
        for (int sum = 0; sum < sums; ++sum) {
            now += 1s;
            shares.applySum({ CellId(1), true, Incarnation(1), ++sequence, { { large, 12 }, { small, 8 } }, { { 0, 20 } }, NodeId(2) }, now);
        }
        return shares.claim(large, 0, now).usage_ / shares.claim(small, 0, now).usage_;
    };
    const float first = ratioAfter(1);
    CHECK(first > 1);
    const float later = ratioAfter(5);
    CHECK(later > first * 1.2F);
    const float last = ratioAfter(100);
    CHECK(last < first * 20);
    CHECK(ratioAfter(20) == doctest::Approx(last).epsilon(0.05));
}

// Guards against a share that thousands of workspaces with a request a minute make so small that a starved one seems to have it.
TEST_CASE("shares: workspaces that want almost nothing don't lower the shares of others")
{
    FairShares shares = sharesOf(1);
    std::vector<WorkspaceUsage> usages { { large, 50 }, { small, 10 } };
    for (std::uint64_t other = 0; other < 2000; ++other)
        usages.push_back({ WorkspaceId(100 + other), 0.05F });
    shares.applySum({ CellId(1), true, Incarnation(1), 1, usages, {}, NodeId(2) }, start);
    CHECK(shares.isBelowShare(small, start));
    CHECK_FALSE(shares.isBelowShare(large, start));
}

// Guards against a lower rank that is promoted to the most urgent one, and there loses to every workspace that has used less.
TEST_CASE("shares: a starved lower rank goes before the most urgent one, whatever its workspace has used")
{
    FairShares shares = sharesOf(1);
    shares.setRanksDiffer(true);
    useSlots(shares, large, 20, start);
    const TimePoint later = start + 2s;
    CHECK(shares.claim(large, 3, later) < shares.claim(small, 0, later));
    CHECK(shares.claim(small, 3, later) < shares.claim(large, 3, later));
    // Among starved ranks the more urgent one goes first.
    CHECK(shares.claim(large, 1, later) < shares.claim(small, 3, later));
}

// Guards against ends of runs from before the configuration had shares that are taken for ends of later runs.
TEST_CASE("shares: runs that started before shares were in force end only once")
{
    FairShares shares = FairShares::create(settingsOfTests(), NodeId(1), Incarnation(1)).value();
    shares.setExpectedRun(Duration::zero());
    shares.started(large, 0, start);
    shares.setWorkspaces({ { small, 1 }, { large, 1 } });
    shares.started(large, 0, start);
    shares.ended(large, 0, start);
    CHECK(shares.claim(large, 0, start + 60s).usage_ == doctest::Approx(1));
}

// Guards against figures of a faulty sender that make all comparisons of claims false.
TEST_CASE("shares: figures that aren't positive numbers are ignored")
{
    FairShares shares = sharesOf(1);
    shares.applySum({ CellId(1), true, Incarnation(1), 1, { { large, std::numeric_limits<float>::quiet_NaN() }, { small, -4 } }, { { 0, std::numeric_limits<float>::infinity() } }, NodeId(2) }, start);
    CHECK(shares.claim(large, 0, start).usage_ == 0);
    CHECK(shares.claim(small, 0, start).usage_ == 0);
}

// Guards against small workspaces that are refused: the workspace that uses nearly all slots counts as below its share whenever it uses a
// little less than a moment ago, and its waiting requests then go before theirs.
TEST_CASE("shares: a workspace that uses nearly all slots is never below its share")
{
    FairShares shares = sharesOf(1);
    useSlots(shares, large, 20, start);
    useSlots(shares, small, 1, start);
    TimePoint now = start + 10s;
    for (int step = 0; step < 200; ++step) {
        now += 7ms;
        step % 2 == 0 ? shares.ended(large, 0, now) : shares.started(large, 0, now);
        CHECK_FALSE(shares.isBelowShare(large, now));
        now += 7ms;
        CHECK_FALSE(shares.isBelowShare(large, now));
        CHECK(shares.isBelowShare(small, now));
    }
}
