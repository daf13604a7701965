// Quotas over a whole fleet: each test is a pattern of load or failure. What ran is held against the bound in every window, and what was
// refused against one bucket that knows everything.
#include "QuotaFleet.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr double workPerSecond = 380;
constexpr double headroom = 1.6;

QuotaFleetShape shapeOf(std::size_t hosts)
{
    QuotaFleetShape shape;
    shape.hosts_ = hosts;
    return shape;
}

// A fleet whose hosts have been up for a while, with workspaces that send less than their quotas.
class UsualFleet : public QuotaFleet {
public:
    UsualFleet(std::size_t hosts, std::uint64_t seed)
        : QuotaFleet(shapeOf(hosts), {}, seed)
    {
        advance(2s);
        addWorkspaces(80, workPerSecond, headroom);
    }
};

// Steps of traffic as callers send it through the day: 3.8 s of little, 2.8 s of much.
void advanceInSteps(QuotaFleet& fleet, int steps)
{
    for (int step = 0; step < steps; ++step) {
        fleet.setLoad(0.38);
        fleet.advance(3800ms);
        fleet.setLoad(1.84);
        fleet.advance(2800ms);
    }
    fleet.setLoad(1);
}

void print(const std::string& name, const QuotaFleet::Report& report)
{
    MESSAGE(name, ": arrived ", report.arrived_, ", owed ", report.owed_, ", ran ", report.ran_, "; refused of owed ", report.refusedShare_, ", worst workspace ", report.worstRefusedShare_, "; worst window ", report.worstWindow_, " of the bound (", report.worstWorkspace_, "); a host and second: ", report.datagramsPerHostSecond_, " datagrams, ", report.bytesPerHostSecond_, " bytes; decisions requested ", report.totals_.requested_, ", unanswered ", report.totals_.unanswered_);
}

} // namespace

TEST_CASE("quotas: traffic in steps within the quotas is admitted on 6, 64 and 360 hosts")
{
    for (const std::size_t hosts : { 6, 64, 360 }) {
        UsualFleet fleet(hosts, 3);
        advanceInSteps(fleet, 3);
        const auto report = fleet.report();
        print("steps", report);
        CHECK(report.worstWindow_ <= 1);
        CHECK(report.refusedShare_ < 0.005);
        CHECK(report.worstRefusedShare_ < 0.05);
        if (hosts >= 64)
            CHECK(report.bytesPerHostSecond_ < 7000);
    }
}

TEST_CASE("quotas: one workspace at ten times its usual is held to its quota, and the others are not refused")
{
    for (const std::size_t hot : { 0, 5, 79 }) {
        UsualFleet fleet(64, 7 + hot);
        fleet.advance(3s);
        fleet.setLoad(hot, 10);
        fleet.advance(8s);
        fleet.setLoad(hot, 1);
        fleet.advance(4s);
        const auto report = fleet.report();
        print("hot workspace", report);
        CHECK(report.worstWindow_ <= 1);
        CHECK(report.refusedShare_ < 0.005);
        CHECK(report.worstRefusedShare_ < 0.05);
    }
}

// Guards against an accountant that is flooded with requests for decisions by a caller that doesn't wait.
TEST_CASE("quotas: a flood of one workspace costs each host few messages")
{
    UsualFleet fleet(64, 5);
    const std::size_t flood = fleet.addWorkspace(10, { 16, 16 });
    fleet.advance(2s);
    fleet.setLoad(flood, 300);
    fleet.advance(5s);
    const auto report = fleet.report();
    print("flood", report);
    CHECK(report.worstWindow_ <= 1);
    CHECK(report.refusedShare_ < 0.005);
    CHECK(report.datagramsPerHostSecond_ < 120);
}

TEST_CASE("quotas: single hosts killed and frozen while a workspace is over its quota")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        UsualFleet fleet(64, seed);
        fleet.setLoad(0, 5);
        for (std::size_t round = 0; round < 8; ++round) {
            fleet.kill(round * 7);
            fleet.freeze(round * 7 + 1, true);
            fleet.advance(2s);
            fleet.restart(round * 7);
            fleet.freeze(round * 7 + 1, false);
            fleet.advance(1s);
        }
        const auto report = fleet.report();
        print("kills and freezes", report);
        CHECK(report.worstWindow_ <= 1);
        CHECK(report.refusedShare_ < 0.03);
        CHECK(report.worstRefusedShare_ < 0.08);
    }
}

// Guards against accounts that start full after a restart of everything, which would grant each burst twice.
TEST_CASE("quotas: a restart of all hosts does not grant a burst twice")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        UsualFleet fleet(64, seed);
        fleet.setLoad(2.5);
        fleet.advance(4s);
        for (int times = 0; times < 2; ++times) {
            for (std::size_t host = 0; host < fleet.hosts(); ++host)
                fleet.kill(host);
            fleet.advance(500ms);
            for (std::size_t host = 0; host < fleet.hosts(); ++host)
                fleet.restart(host);
            fleet.advance(1500ms);
        }
        fleet.advance(4s);
        const auto report = fleet.report();
        print("restart of everything", report);
        CHECK(report.worstWindow_ <= 1);
    }
}

TEST_CASE("quotas: a restart of all hosts in the middle of a step refuses little of what is within the quotas")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        UsualFleet fleet(64, seed);
        advanceInSteps(fleet, 1);
        fleet.setLoad(1.84);
        fleet.advance(1s);
        for (std::size_t host = 0; host < fleet.hosts(); ++host)
            fleet.kill(host);
        fleet.advance(1s);
        for (std::size_t host = 0; host < fleet.hosts(); ++host)
            fleet.restart(host);
        const TimePoint restarted = fleet.now();
        fleet.advance(2s);
        advanceInSteps(fleet, 1);
        const auto report = fleet.report(restarted);
        print("restart in a step", report);
        CHECK(report.worstWindow_ <= 1);
        CHECK(report.refusedShare_ < 0.03);
    }
}

TEST_CASE("quotas: hosts restarted in turn while traffic comes in steps")
{
    UsualFleet fleet(64, 11);
    for (std::size_t host = 0; host < fleet.hosts(); ++host) {
        fleet.setLoad(host % 16 < 9 ? 0.38 : 1.84);
        fleet.kill(host);
        fleet.advance(300ms);
        fleet.restart(host);
        fleet.advance(100ms);
    }
    const auto report = fleet.report();
    print("rolling restart", report);
    CHECK(report.worstWindow_ <= 1);
    CHECK(report.refusedShare_ < 0.03);
    CHECK(report.worstRefusedShare_ < 0.08);
}

TEST_CASE("quotas: hosts that are cut off admit their share, and the bound holds")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        UsualFleet fleet(64, seed);
        fleet.setLoad(0, 5);
        fleet.setLoad(10, 5);
        fleet.advance(3s);
        for (std::size_t host = 0; host < 6; ++host)
            fleet.cut(host * 9, true);
        fleet.advance(5500ms);
        for (std::size_t host = 0; host < 6; ++host)
            fleet.cut(host * 9, false);
        fleet.advance(4s);
        const auto report = fleet.report();
        print("cut off", report);
        CHECK(report.worstWindow_ <= 1);
    }
}

TEST_CASE("quotas: a limit lowered far below what is sent binds within a second, and a raised one at once")
{
    QuotaFleet fleet(shapeOf(64), {}, 13);
    fleet.advance(2s);
    const std::size_t workspace = fleet.addWorkspace(100, { 160, 160 });
    fleet.advance(5s);
    fleet.setQuota(workspace, { 10, 10 });
    fleet.advance(8s);
    CHECK(fleet.worstWindow(workspace, fleet.now() - 7s) <= 1);
    fleet.setQuota(workspace, { 160, 160 });
    fleet.advance(300ms);
    const TimePoint raised = fleet.now();
    fleet.advance(5s);
    const auto report = fleet.report(raised);
    print("lowered and raised", report);
    CHECK(report.refusedShare_ < 0.005);
}

// Guards against credit that is lost with requests that no engine took.
TEST_CASE("quotas: the credit of requests that did not run is returned")
{
    UsualFleet fleet(64, 17);
    fleet.setLoad(2.4); // of which two thirds run: what runs is within the quotas
    fleet.setReturned(0.4);
    fleet.advance(10s);
    const auto report = fleet.report();
    print("returned", report);
    CHECK(report.worstWindow_ <= 1);
    CHECK(static_cast<double>(report.totals_.refused_) < 0.03 * static_cast<double>(report.arrived_));
}

TEST_CASE("quotas: 7900 workspaces on 360 hosts stay within the bound and the bytes of a host")
{
    QuotaFleet fleet(shapeOf(360), {}, 19);
    fleet.advance(2s);
    fleet.addWorkspaces(7900, 4700, headroom);
    fleet.advance(3s);
    const auto report = fleet.report();
    print("7900 workspaces", report);
    CHECK(report.worstWindow_ <= 1);
    CHECK(report.refusedShare_ < 0.005);
    CHECK(report.bytesPerHostSecond_ < 7000);
    CHECK(fleet.accountsOfBusiestHost() < 300);
}
