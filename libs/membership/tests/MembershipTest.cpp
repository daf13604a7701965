// Membership under loss, cuts, pauses and clocks that jump.
#include "DatagramFleet.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr Duration settleLimit = 10s;

template <class Command>
std::size_t countOf(const DatagramFleet::Node& node)
{
    return static_cast<std::size_t>(std::count_if(node.told_.begin(), node.told_.end(), [](const MembershipCommand& command) { return std::holds_alternative<Command>(command); }));
}

bool everWas(const DatagramFleet::Node& node, NodeId member, MemberState state)
{
    return std::any_of(node.told_.begin(), node.told_.end(), [=](const MembershipCommand& command) {
        const auto* changed = std::get_if<MemberChanged>(&command);
        return changed && changed->member_.node_ == member && changed->member_.state_ == state;
    });
}

std::size_t falseDeaths(DatagramFleet& fleet)
{
    std::size_t deaths = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (std::size_t j = 0; j < fleet.size(); ++j)
            deaths += everWas(fleet.at(i), fleet.id(j), MemberState::Dead) ? 1 : 0;
    }
    return deaths;
}

DatagramFleet settled(std::size_t count, std::size_t regions, std::uint64_t seed)
{
    DatagramFleet fleet(count, regions, seed);
    REQUIRE(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
    return fleet;
}

// All live nodes but the subject hold it in this state.
bool allSee(DatagramFleet& fleet, std::size_t subject, MemberState state)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != subject && fleet.at(i).up_ && fleet.stateAt(i, subject) != state)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("nodes that start together from the platform list find each other")
{
    DatagramFleet fleet = settled(8, 2, 1);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.core(i).homeCandidates().size() == 8);
        CHECK(fleet.at(i).oversized_ == 0);
    }
}

// Power is lost everywhere: jobs have no owner, and callers no answer, until the hosts know each other again.
TEST_CASE("300 hosts that all start at once and know three of them know each other within two seconds")
{
    constexpr Duration joined = 2s;
    DatagramFleet fleet(300, 2, 9, {}, 3);
    fleet.faults_.loss_ = 0.01;
    const auto took = fleet.runUntil([&] { return fleet.isSettled(); }, joined);
    CHECK(took);
    std::uint64_t bytes = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.at(i).oversized_ == 0);
        bytes += fleet.at(i).bytes_;
    }
    // Of a link of 30 Mbit/s, over the time that it took.
    constexpr double linkBytes = 3.75e6;
    CHECK(static_cast<double>(bytes) / static_cast<double>(fleet.size()) < 0.1 * linkBytes * toSeconds(joined));
}

// Story: a host loses power. Callers that reach another entry node must not wait for its engines for long.
// Nobody says goodbye; probes stop being answered, datagrams are lost on top.
// Guards against datagrams that are full of the same rumors for minutes after a fleet has started: each of n hosts has updates of n members.
TEST_CASE("soon after 200 hosts have started at once they send as little as long after")
{
    DatagramFleet fleet(200, 2, 5, {}, 3);
    const auto sentIn = [&fleet](Duration time) {
        const auto bytes = [&fleet] {
            std::uint64_t sum = 0;
            for (std::size_t host = 0; host < fleet.size(); ++host)
                sum += fleet.at(host).bytes_;
            return static_cast<double>(sum);
        };
        const double before = bytes();
        fleet.run(time);
        return (bytes() - before) / toSeconds(time) / 1000 / static_cast<double>(fleet.size());
    };
    fleet.run(10s);
    const double soon = sentIn(3s);
    fleet.run(40s);
    const double later = sentIn(3s);
    MESSAGE("KB/s a host: ", soon, " after 10 s, ", later, " after 53 s");
    CHECK(soon < 1.1 * later);
}

TEST_CASE("a host that stops is declared dead by all")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        DatagramFleet fleet = settled(8, 1, seed);
        fleet.faults_.loss_ = 0.05;
        fleet.at(3).up_ = false;
        const auto took = fleet.runUntil([&] { return allSee(fleet, 3, MemberState::Dead); }, settleLimit);
        REQUIRE(took);
        CHECK(*took < 4s);
        CHECK(fleet.stateAt(0, 1) != MemberState::Dead);
    }
}

// Story: the network loses a fifth of all datagrams, doubles some and delivers others late.
// No node may be taken for dead, or its requests would be moved for nothing.
TEST_CASE("loss, doubling and reordering kill nobody")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        DatagramFleet fleet = settled(8, 1, seed);
        fleet.faults_ = { 0.19, 0.1, 500us, 40ms };
        fleet.run(60s);
        CHECK(falseDeaths(fleet) == 0);
        fleet.faults_ = {};
        CHECK(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
    }
}

// Story: a switch forgets one direction between two hosts; each still reaches everybody else.
// Direct probes fail for good, the helpers' answers show that both live.
TEST_CASE("a one-way cut between two nodes kills nobody")
{
    DatagramFleet fleet = settled(6, 1, 4);
    fleet.cut_ = [](std::size_t from, std::size_t to) { return from == 0 && to == 1; };
    fleet.run(30s);
    CHECK(falseDeaths(fleet) == 0);
}

// Story: a host can send but hears nothing. Its peers hear its probes and yet can't use it.
// Its own probes fail too, so it suspects everybody; nobody else may be taken for dead by the others.
TEST_CASE("a node that hears nothing is declared dead by the others and comes back when it hears again")
{
    DatagramFleet fleet = settled(6, 1, 5);
    fleet.cut_ = [](std::size_t, std::size_t to) { return to == 2; };
    REQUIRE(fleet.runUntil([&] { return allSee(fleet, 2, MemberState::Dead); }, settleLimit));
    fleet.cut_ = nullptr;
    CHECK(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
}

// Story: a virtual machine is paused for a minute and wakes. Its peers have moved its engines to other homes.
// It must not go on as if nothing had happened: it takes a new incarnation, and all see it again.
TEST_CASE("a paused node wakes, finds itself out of date and rejoins with a new incarnation")
{
    DatagramFleet fleet = settled(6, 1, 6);
    const Incarnation before = fleet.core(4).incarnation();
    fleet.at(4).paused_ = true;
    REQUIRE(fleet.runUntil([&] { return allSee(fleet, 4, MemberState::Dead); }, settleLimit));
    fleet.run(60s);
    fleet.at(4).paused_ = false;
    REQUIRE(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
    CHECK(fleet.core(4).incarnation() > before);
    CHECK(countOf<Rejoined>(fleet.at(4)) >= 1);
    // Its stale view killed nobody.
    CHECK_FALSE(everWas(fleet.at(0), fleet.id(1), MemberState::Dead));
}

// Story: a busy host holds a process up for half a second, again and again. Its probes' bounds pass while the answers wait unread.
// It must put that down to itself: if it blamed its peers, one slow host would make the fleet suspect everybody.
TEST_CASE("a node that is held up for a moment suspects nobody")
{
    DatagramFleet fleet = settled(6, 1, 15);
    // Slow enough that a probe is often under way when the process stops.
    fleet.faults_.minDelay_ = 40ms;
    fleet.faults_.maxDelay_ = 45ms;
    for (int i = 0; i < 20; ++i) {
        fleet.at(0).paused_ = true;
        fleet.run(505ms); // not a multiple of the tick, so that it wakes at every point of its period
        fleet.at(0).paused_ = false;
        fleet.run(550ms); // into the third probe after it woke
    }
    for (std::size_t i = 1; i < fleet.size(); ++i)
        CHECK_FALSE(everWas(fleet.at(0), fleet.id(i), MemberState::Suspect));
    CHECK(falseDeaths(fleet) == 0);
}

// Story: a process restarts on a host whose clock was set back by an hour, and keeps nothing from before.
// Its incarnation would be lower than the one that its peers hold; they tell it, and it goes on above theirs.
TEST_CASE("a restart with the clock set back ends above the old incarnation")
{
    DatagramFleet fleet = settled(6, 1, 7);
    const Incarnation before = fleet.core(2).incarnation();
    fleet.at(2).up_ = false;
    fleet.run(5s);
    fleet.at(2).wallOffset_ = -1h;
    fleet.start(2);
    CHECK(fleet.core(2).incarnation() < before);
    REQUIRE(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
    CHECK(fleet.core(2).incarnation() > before);
}

// Guards against a host that has started again and gets no records from the others, which take it for the process before.
TEST_CASE("a process that starts in place of another one, before it is missed, is a change of its member")
{
    DatagramFleet fleet = settled(6, 1, 16);
    fleet.at(2).up_ = false;
    fleet.run(100ms);
    fleet.start(2);
    const Incarnation started = fleet.core(2).incarnation();
    const auto knowsStart = [&](std::size_t observer) {
        const auto& commands = fleet.at(observer).told_;
        return std::any_of(commands.begin(), commands.end(), [&](const MembershipCommand& command) {
            const auto* changed = std::get_if<MemberChanged>(&command);
            return changed && changed->member_.node_ == fleet.id(2) && changed->member_.incarnation_ == started;
        });
    };
    for (const std::size_t observer : { 0U, 1U, 3U, 4U, 5U }) {
        CHECK(fleet.runUntil([&] { return knowsStart(observer); }, settleLimit));
        CHECK_FALSE(everWas(fleet.at(observer), fleet.id(2), MemberState::Suspect));
    }
}

TEST_CASE("a clock that jumps while the process runs changes nothing")
{
    DatagramFleet fleet = settled(6, 1, 8);
    const Incarnation before = fleet.core(1).incarnation();
    fleet.at(1).wallOffset_ = 24h;
    fleet.run(10s);
    fleet.at(1).wallOffset_ = -24h;
    fleet.run(10s);
    CHECK(fleet.core(1).incarnation() == before);
    CHECK(falseDeaths(fleet) == 0);
    CHECK(fleet.isSettled());
}

// Story: the network between two failure domains breaks for two minutes and heals.
// Each side goes on with its own nodes; afterwards all see all again, and the rate of datagrams stays what it always is.
TEST_CASE("two sides of a cut go on alone and merge without a storm")
{
    DatagramFleet fleet = settled(8, 1, 9);
    fleet.run(10s);
    const std::uint64_t before = fleet.at(0).datagrams_;
    fleet.run(10s);
    const std::uint64_t usual = fleet.at(0).datagrams_ - before;
    fleet.cut_ = [](std::size_t from, std::size_t to) { return (from < 4) != (to < 4); };
    fleet.run(120s);
    CHECK(fleet.core(0).homeCandidates().size() == 4);
    CHECK(fleet.core(7).homeCandidates().size() == 4);
    fleet.cut_ = nullptr;
    const std::uint64_t healing = fleet.at(0).datagrams_;
    REQUIRE(fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit));
    fleet.run(10s);
    CHECK(fleet.at(0).datagrams_ - healing < 4 * usual);
}

// Story: the two regions lose each other for an hour. Both sides go on with what they reach; nobody takes the others for
// dead, but the region is known to be out of reach, so that no request is sent across.
TEST_CASE("regions that lose each other keep their members and know that they are out of reach")
{
    DatagramFleet fleet = settled(8, 2, 10);
    fleet.run(2s);
    CHECK(fleet.core(0).isReachable(RegionId(1), fleet.now()));
    fleet.cut_ = [](std::size_t from, std::size_t to) { return from % 2 != to % 2; };
    fleet.run(30s);
    CHECK(falseDeaths(fleet) == 0);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK_FALSE(fleet.core(i).isReachable(RegionId(i % 2 == 0 ? 1 : 0), fleet.now()));
    fleet.cut_ = nullptr;
    CHECK(fleet.runUntil([&] { return fleet.core(0).isReachable(RegionId(1), fleet.now()) && fleet.core(7).isReachable(RegionId(0), fleet.now()); }, settleLimit));
}

// Story: an operator drains a node, and an engine says that it leaves. New work must stop everywhere within two seconds.
TEST_CASE("leaving marks of nodes and upstreams reach all nodes within two seconds")
{
    DatagramFleet fleet = settled(12, 2, 11);
    fleet.run(2s);
    fleet.faults_.loss_ = 0.05;
    fleet.handle(1, LeaveStarted {});
    fleet.handle(2, UpstreamMarked { UpstreamId(77), true });
    const auto took = fleet.runUntil([&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto mark = fleet.core(i).board().markOf(UpstreamId(77));
            if (!mark || !mark->leaving_ || fleet.core(i).homeCandidates().size() != 11)
                return false;
        }
        return true;
    },
        settleLimit);
    REQUIRE(took);
    CHECK(*took <= 2s);
    fleet.handle(1, LeaveFinished {});
    fleet.at(1).up_ = false;
    CHECK(fleet.runUntil([&] { return allSee(fleet, 1, MemberState::Left); }, settleLimit));
}

TEST_CASE("a configuration version reaches all nodes and is in force when all report it")
{
    DatagramFleet fleet = settled(12, 2, 12);
    fleet.listener_ = [&](std::size_t node, const MembershipCommand& command) {
        // Node 5 is slow: it doesn't apply the version yet.
        const auto* learned = std::get_if<ConfigVersionLearned>(&command);
        if (learned && node != 5)
            fleet.handle(node, ConfigApplied { learned->version_ });
    };
    fleet.handle(0, ConfigApplied { ConfigVersion(40) });
    fleet.run(3s);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK(fleet.core(i).board().configVersion() == ConfigVersion(40));
    CHECK(fleet.core(0).inForceEverywhere().isNone());
    fleet.handle(5, ConfigApplied { ConfigVersion(40) });
    CHECK(fleet.runUntil([&] { return fleet.core(0).inForceEverywhere() == ConfigVersion(40) && fleet.core(11).inForceEverywhere() == ConfigVersion(40); }, 3s));
}

TEST_CASE("quarantine and load ride on the digest")
{
    DatagramFleet fleet = settled(6, 1, 13);
    fleet.handle(0, QuarantineStarted { Fingerprint(9), 60s });
    fleet.handle(0, LoadsMeasured { { UpstreamLoad { UpstreamId(5), {}, 0, 3, 0, 1, 0, 64, 0, 20, 20, 12'000, false, 50 } } });
    fleet.run(2s);
    for (std::size_t i = 1; i < fleet.size(); ++i) {
        CHECK(fleet.core(i).board().isQuarantined(Fingerprint(9), fleet.now()));
        REQUIRE(fleet.core(i).board().loadOf(UpstreamId(5)));
        CHECK(fleet.core(i).board().loadOf(UpstreamId(5))->home_ == fleet.id(0));
    }
    fleet.run(60s);
    CHECK_FALSE(fleet.core(3).board().isQuarantined(Fingerprint(9), fleet.now()));
}

TEST_CASE("the same events, times and seed give the same commands")
{
    const auto history = [] {
        DatagramFleet fleet(6, 2, 14);
        fleet.faults_ = { 0.1, 0.1, 500us, 20ms };
        fleet.run(10s);
        std::vector<std::uint64_t> sums;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            sums.push_back(fleet.at(i).bytes_);
            sums.push_back(fleet.at(i).told_.size());
        }
        return sums;
    };
    CHECK(history() == history());
}
