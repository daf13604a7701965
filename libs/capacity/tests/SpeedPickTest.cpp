// Tests of the picks among engines of different speeds. Bounds are the targets of docs/HARD-LOAD.md, not measured figures.
#include "SpeedSimulation.h"

#include <chrono>
#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace jj;
using namespace jj::speedtest;

namespace {

constexpr Policy policies[] = { Policy::LoadOnly, Policy::TwoChoices, Policy::Bands, Policy::Optimum };
const std::string names[] = { "load only", "bands", "two choices", "optimum" };

// Returns the mean of several seeds.
Outcome play(const std::string& what, const Scenario& scenario, Policy policy)
{
    constexpr int seeds = 4;
    Outcome mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Outcome one = Simulation(scenario, policy, seed).run(20s);
        mean.meanSeconds_ += one.meanSeconds_ / seeds;
        mean.p99Seconds_ += one.p99Seconds_ / seeds;
        mean.atSlow_ += one.atSlow_ / seeds;
        for (std::size_t speed = 0; speed < one.slotSeconds_.size(); ++speed)
            mean.slotSeconds_[speed] += one.slotSeconds_[speed] / seeds;
        mean.herd_ = std::max(mean.herd_, one.herd_);
        mean.requests_ += one.requests_;
    }
    MESSAGE(what << ", " << names[static_cast<std::size_t>(policy)] << ": mean " << mean.meanSeconds_ << " s, p99 " << mean.p99Seconds_ << " s, at slow engines " << mean.atSlow_ << ", slot seconds " << mean.slotSeconds_[0] << " " << mean.slotSeconds_[1] << " " << mean.slotSeconds_[2] << ", herd " << mean.herd_ << ", requests " << mean.requests_);
    return mean;
}

constexpr std::array<double, 3> threeSpeeds { 0.5, 1, 2 };
constexpr std::array<double, 3> sameSpeed { 1, 1, 1 };

} // namespace

TEST_CASE("speeds: at half of the load the mean answer of engines of speed 0.5, 1 and 2 meets its target")
{
    std::map<Policy, Outcome> outcomes;
    for (const Policy policy : policies)
        outcomes[policy] = play("three speeds, load 0.5", { threeSpeeds, 0.5 }, policy);
    CHECK(outcomes[Policy::Bands].meanSeconds_ <= 0.42);
    CHECK(outcomes[Policy::Bands].slotSeconds_[2] > outcomes[Policy::Bands].slotSeconds_[0]);
}

// Guards against fast engines that are preferred at the price of slots that stay empty.
TEST_CASE("speeds: under high load all engines are used, and answers are no later than with the order by load")
{
    for (const double load : { 0.8, 1.0 }) {
        std::map<Policy, Outcome> outcomes;
        for (const Policy policy : policies)
            outcomes[policy] = play("three speeds, load " + std::to_string(load), { threeSpeeds, load }, policy);
        CHECK(outcomes[Policy::Bands].meanSeconds_ <= outcomes[Policy::LoadOnly].meanSeconds_ * 1.02);
        CHECK(outcomes[Policy::Bands].slotSeconds_[0] > 0);
    }
}

TEST_CASE("speeds: requests avoid engines that are four times slower for a second at a time, without and with the header")
{
    for (const Trouble trouble : { Trouble::ByTurns, Trouble::ByTurnsWithHeader }) {
        const bool hasHeader = trouble == Trouble::ByTurnsWithHeader;
        std::map<Policy, Outcome> outcomes;
        for (const Policy policy : policies)
            outcomes[policy] = play(hasHeader ? "slow by turns, header" : "slow by turns", { sameSpeed, 0.5, trouble }, policy);
        CHECK(outcomes[Policy::Bands].atSlow_ <= (hasHeader ? 0.05 : 0.10));
        CHECK(outcomes[Policy::Bands].meanSeconds_ < outcomes[Policy::LoadOnly].meanSeconds_);
    }
}

// Guards against hosts that avoid each engine in turn although none is better.
TEST_CASE("speeds: engines that are all slow at once are used as evenly as without speeds")
{
    std::map<Policy, Outcome> outcomes;
    for (const Policy policy : policies)
        outcomes[policy] = play("all slow at once", { sameSpeed, 0.3, Trouble::AllAtOnce }, policy);
    CHECK(outcomes[Policy::Bands].meanSeconds_ <= outcomes[Policy::LoadOnly].meanSeconds_ * 1.05);
}

// Guards against all hosts sending to the engine that seems fastest.
TEST_CASE("speeds: at half of the load no engine gets more requests within 20 ms than it has slots")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
        CHECK(Simulation({ threeSpeeds, 0.5 }, Policy::Bands, seed).run(10s).herd_ <= 8);
}

namespace {

EngineEntry entryOf(std::size_t index)
{
    EngineEntry entry;
    entry.id_ = UpstreamId(index + 1);
    entry.service_ = "s";
    entry.cell_ = CellId(1);
    entry.region_ = RegionId(1);
    entry.domain_ = FailureDomainId(index % 3);
    entry.slots_ = 8;
    return entry;
}

// Two boards with the same seed and the same work; only the second one sees events.
struct TwinBoards {
    explicit TwinBoards(std::uint64_t seed, std::size_t engines)
        : plain_({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, seed)
        , seeing_({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, seed)
    {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            plain_.upsert(entryOf(engine));
            seeing_.upsert(entryOf(engine));
        }
    }

    CapacityBoard plain_;
    CapacityBoard seeing_;
};

} // namespace

// Guards against noise that changes the order of picks. New prompts delay one step of all streams of an engine by up to a half more than
// the usual time between events, in one step of five.
TEST_CASE("speeds: engines without real differences are picked in exactly the order of before, also with noisy gaps")
{
    constexpr std::size_t engines = 20;
    int differentPicks = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        TwinBoards boards(seed, engines);
        std::mt19937_64 random(seed);
        TimePoint now { 10s };
        std::vector<std::pair<TimePoint, UpstreamId>> runs;
        std::array<TimePoint, engines> steps;
        steps.fill(now);
        while (now < TimePoint(30s)) {
            now += 1ms;
            for (std::size_t engine = 0; engine < engines; ++engine) {
                const std::uint32_t running = static_cast<std::uint32_t>(std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.second == UpstreamId(engine + 1); }));
                if (running == 0 || now < steps[engine])
                    continue;
                const bool hasPrompt = std::bernoulli_distribution(0.2)(random);
                const Duration delay = hasPrompt ? fromSeconds(std::uniform_real_distribution<double>(0.005, 0.012)(random)) : Duration::zero();
                const Duration gap = fromSeconds(std::uniform_real_distribution<double>(0.9, 1.1)(random) * (0.020 + 0.0005 * running)) + delay;
                for (std::uint32_t stream = 0; stream < running; ++stream)
                    boards.seeing_.recordEventGap(UpstreamId(engine + 1), gap, now);
                steps[engine] = now + gap;
            }
            if (std::bernoulli_distribution(0.1)(random)) {
                const EnginePick plain = boards.plain_.pickOnline("s", 1s, false, {}, now);
                const EnginePick seeing = boards.seeing_.pickOnline("s", 1s, false, {}, now);
                differentPicks += plain.engine_ == seeing.engine_ && plain.kind_ == seeing.kind_ ? 0 : 1;
                const EnginePick plainItem = boards.plain_.pickBatch("s", false, now + 10s, {}, now);
                const EnginePick seeingItem = boards.seeing_.pickBatch("s", false, now + 10s, {}, now);
                differentPicks += plainItem.engine_ == seeingItem.engine_ ? 0 : 1;
                if (plain.kind_ == PickKind::Free) {
                    runs.push_back({ now + 700ms, plain.engine_ });
                    boards.plain_.started(plain.engine_, WorkClass::OnlineRequest);
                    boards.seeing_.started(plain.engine_, WorkClass::OnlineRequest);
                }
            }
            std::erase_if(runs, [&](const auto& run) {
                if (run.first > now)
                    return false;
                boards.plain_.ended(run.second, WorkClass::OnlineRequest);
                boards.seeing_.ended(run.second, WorkClass::OnlineRequest);
                return true;
            });
        }
        CHECK(boards.seeing_.ownUse(now).speeds_.empty());
    }
    CHECK(differentPicks == 0);
}

// Guards against urgent items on slow engines, and items that can wait on the fast ones.
TEST_CASE("speeds: urgent items go to fast engines, and items that can wait leave them free")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, 1);
    for (std::size_t engine = 0; engine < 5; ++engine)
        board.upsert(entryOf(engine));
    TimePoint now { 10s };
    for (int step = 0; step < 100; ++step) {
        now += 40ms;
        for (std::size_t engine = 0; engine < 5; ++engine)
            board.recordEventGap(UpstreamId(engine + 1), engine == 0 ? 10ms : engine == 1 ? 80ms
                                                                                          : 20ms,
                now);
    }
    for (int round = 0; round < 20; ++round) {
        CHECK(board.pickBatch("s", true, now + 1s, {}, now).engine_ == UpstreamId(1));
        CHECK(board.pickBatch("s", false, now + 9s, {}, now).engine_.value() > 2);
        CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ == UpstreamId(1));
    }
}

// Guards against streams whose events are all late at a slow engine while a sound engine would preempt an item or is in another cell.
TEST_CASE("speeds: a slow engine whose events would be late is picked after the other slots of the cell and the region")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, 1);
    for (std::size_t engine = 0; engine < 3; ++engine) {
        EngineEntry entry = entryOf(engine);
        entry.slots_ = 1;
        board.upsert(entry);
    }
    const auto slow = UpstreamId(1);
    TimePoint now { 10s };
    for (int step = 0; step < 100; ++step) {
        now += 80ms;
        for (std::size_t engine = 0; engine < 3; ++engine)
            board.recordEventGap(UpstreamId(engine + 1), engine == 0 ? 80ms : 20ms, now);
    }
    const auto pickWith = [&](Duration maxEventGap) { return board.pickOnline("s", 1s, true, {}, now, SoftwareVersionId::none(), maxEventGap); };
    board.started(UpstreamId(2), WorkClass::OnlineRequest);
    board.started(UpstreamId(3), WorkClass::BatchItem);
    CHECK(pickWith(Duration::zero()).engine_ == slow);
    CHECK(pickWith(100ms).engine_ == slow);
    CHECK(pickWith(50ms).engine_ == UpstreamId(3));
    CHECK(pickWith(50ms).kind_ == PickKind::PreemptsBatch);
    // Without any other slot it is still used.
    board.ended(UpstreamId(3), WorkClass::BatchItem);
    board.started(UpstreamId(3), WorkClass::OnlineRequest);
    CHECK(pickWith(50ms).engine_ == slow);
    // In another cell of the region; a slot in another region isn't better.
    EngineEntry other = entryOf(3);
    other.cell_ = CellId(2);
    other.region_ = RegionId(2);
    board.upsert(other);
    CHECK(pickWith(50ms).engine_ == slow);
    other.id_ = UpstreamId(5);
    other.region_ = RegionId(1);
    board.upsert(other);
    CHECK(pickWith(50ms).engine_ == UpstreamId(5));
    CHECK(pickWith(Duration::zero()).engine_ == slow);
}

// Guards against a slow engine that gets no request as long as others have room, and against several requests that test it.
TEST_CASE("speeds: one request tests a slow engine without recent evidence, although others have free slots")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, 1);
    for (std::size_t engine = 0; engine < 4; ++engine)
        board.upsert(entryOf(engine));
    const auto slow = UpstreamId(1);
    TimePoint now { 10s };
    const auto playEvents = [&](Duration length, std::size_t first) {
        for (const TimePoint end = now + length; now < end;) {
            now += 80ms;
            for (std::size_t engine = first; engine < 4; ++engine)
                board.recordEventGap(UpstreamId(engine + 1), engine == 0 ? 80ms : 20ms, now);
        }
    };
    playEvents(4s, 0);
    for (std::size_t engine = 1; engine < 4; ++engine)
        board.started(UpstreamId(engine + 1), WorkClass::OnlineRequest);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ != slow);
    playEvents(1500ms, 1);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ == slow);
    board.started(slow, WorkClass::OnlineRequest);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ != slow);
}

// Guards against engines that get no request because nothing is known of them: while the ones known to be fast have room, the others are
// never observed. Engines of a software version that was registered anew got none.
TEST_CASE("speeds: one request observes an engine of unknown speed, although fast engines have free slots")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(0) }, 1);
    for (std::size_t engine = 0; engine < 4; ++engine)
        board.upsert(entryOf(engine));
    TimePoint now { 10s };
    const auto playEvents = [&](Duration length, std::size_t engines) {
        for (const TimePoint end = now + length; now < end;) {
            now += 80ms;
            for (std::size_t engine = 0; engine < engines; ++engine)
                board.recordEventGap(UpstreamId(engine + 1), engine < 2 ? 20ms : 80ms, now);
        }
    };
    playEvents(4s, 4);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_.value() <= 2);
    board.upsert(entryOf(4));
    const auto unknown = UpstreamId(5);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ == unknown);
    board.started(unknown, WorkClass::OnlineRequest);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_ != unknown);
    board.ended(unknown, WorkClass::OnlineRequest);
    for (int event = 0; event < 20; ++event) {
        now += 80ms;
        board.recordEventGap(unknown, 80ms, now);
    }
    playEvents(80ms, 2);
    CHECK(board.pickOnline("s", 1s, false, {}, now).engine_.value() <= 2);
}

// Guards against all nodes of a cell that test a slow engine at once, before any of them can know of the others' requests.
TEST_CASE("speeds: a slow engine is tested by about one node of its cell at a time")
{
    constexpr std::uint32_t nodes = 20;
    constexpr int turns = 40;
    const auto slow = UpstreamId(1);
    TimePoint now { 10s };
    std::vector<std::unique_ptr<CapacityBoard>> boards;
    for (std::uint32_t node = 1; node <= nodes; ++node) {
        boards.push_back(std::make_unique<CapacityBoard>(CapacitySettings {}, NodeId(node), HostLocation { CellId(1), RegionId(1), FailureDomainId(0) }, node));
        for (std::size_t engine = 0; engine < 4; ++engine)
            boards.back()->upsert(entryOf(engine));
    }
    for (const TimePoint end = now + 4s; now < end; now += 80ms) {
        for (const auto& board : boards) {
            for (std::size_t engine = 0; engine < 4; ++engine)
                board->recordEventGap(UpstreamId(engine + 1), engine == 0 ? 80ms : 20ms, now);
        }
    }
    now += 1500ms;
    int tests = 0;
    int mostAtOnce = 0;
    for (int turn = 0; turn < turns; ++turn, now += 250ms) {
        // Each node runs a request on one of the other engines. No node has learned of another one's test.
        NodeUse use;
        use.incarnation_ = Incarnation(1);
        use.sequence_ = static_cast<std::uint32_t>(turn + 1);
        int atOnce = 0;
        for (std::uint32_t node = 1; node <= nodes; ++node) {
            CapacityBoard& board = *boards[node - 1];
            for (std::uint32_t other = 1; other <= nodes; ++other) {
                use.node_ = NodeId(other);
                use.uses_ = { { UpstreamId(2 + other % 3), 1, 0, 0 } };
                if (other != node)
                    board.applyReport(use, now);
            }
            atOnce += board.pickOnline("s", 1s, false, {}, now).engine_ == slow ? 1 : 0;
        }
        tests += atOnce;
        mostAtOnce = std::max(mostAtOnce, atOnce);
    }
    MESSAGE("a slow engine without evidence: " << tests << " tests in " << turns << " turns, at most " << mostAtOnce << " at once");
    CHECK(tests >= turns / 2);
    CHECK(tests <= turns * 2);
    CHECK(mostAtOnce <= 6);
}

// A fleet of 300 hosts has 800 engines. The control work of a host may take 1.4% of a core; 16 picks a second (4,700 requests by 300 hosts)
// may therefore take 14 ms of each second, 900 us each. Half of that is left to all other work.
TEST_CASE("speeds: a pick among 800 engines that all differ, and an event, stay cheap")
{
    constexpr std::size_t engines = 800;
    TwinBoards boards(1, engines);
    TimePoint now { 10s };
    const auto microseconds = [](int count, const auto& work) {
        const auto from = std::chrono::steady_clock::now();
        for (int round = 0; round < count; ++round)
            work();
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count() / count;
    };
    for (std::uint32_t node = 2; node <= 300; ++node) {
        NodeUse use;
        use.node_ = NodeId(node);
        use.incarnation_ = Incarnation(1);
        use.sequence_ = 1;
        for (std::size_t engine = node % 13; engine < engines; engine += 13)
            use.speeds_.push_back({ UpstreamId(engine + 1), static_cast<std::uint8_t>(engine % 2 == 0 ? 112 : 144), 128 });
        boards.seeing_.applyReport(use, now);
    }
    const double plain = microseconds(200, [&] { boards.plain_.pickOnline("s", 1s, false, {}, now); });
    const double seeing = microseconds(200, [&] { boards.seeing_.pickOnline("s", 1s, false, {}, now); });
    std::size_t event = 0;
    const double perEvent = microseconds(20000, [&] {
        now += 1ms;
        boards.seeing_.recordEventGap(UpstreamId(event++ % engines + 1), 20ms, now);
    });
    MESSAGE("a pick among 800 engines: " << plain << " us without speeds, " << seeing << " us where all differ; an event: " << perEvent << " us");
#ifndef JJ_SANITIZED // instrumentation makes a pick ten to forty times as long
    CHECK(seeing < 450);
    CHECK(perEvent < 50);
#endif
}
