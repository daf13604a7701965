// Tests of what is learned of the speeds of engines.
#include "capacity/EngineSpeeds.h"

#include <doctest/doctest.h>
#include <functional>
#include <vector>

using namespace jj;

namespace {

constexpr ServiceId service { 7 };
constexpr std::uint64_t engines = 6;
constexpr Duration usualGap = 20ms;
constexpr double slowFactor = 4;

// One node that sees one stream of each engine.
class Watcher {
public:
    Watcher()
    {
        for (std::uint64_t engine = 1; engine <= engines; ++engine)
            speeds_.insert(UpstreamId(engine), service);
    }

    // Lets time pass. `factorOf`: how much slower than usual each engine works.
    template <class FactorOf>
    void watch(Duration length, FactorOf factorOf, std::uint64_t silentEngine = 0)
    {
        const TimePoint end = now_ + length;
        while (now_ < end) {
            now_ += 1ms;
            for (std::uint64_t engine = 1; engine <= engines; ++engine) {
                if (engine == silentEngine || now_ < nextAt_[engine])
                    continue;
                const Duration gap = fromSeconds(toSeconds(usualGap) * factorOf(engine));
                if (nextAt_[engine] != TimePoint())
                    speeds_.recordEventGap(UpstreamId(engine), service, 4, now_ - lastAt_[engine], now_);
                lastAt_[engine] = now_;
                nextAt_[engine] = now_ + gap;
            }
        }
    }

    double slowdown(std::uint64_t engine) const { return speeds_.slowdown(UpstreamId(engine), now_); }

    EngineSpeeds speeds_ = EngineSpeeds::create({}).value();
    TimePoint now_ { 10s };

private:
    TimePoint nextAt_[engines + 1] {};
    TimePoint lastAt_[engines + 1] {};
};

double usual(std::uint64_t /*engine*/) { return 1; }
double firstIsSlow(std::uint64_t engine) { return engine == 1 ? slowFactor : 1; }

} // namespace

TEST_CASE("engine speeds: settings without effect are refused")
{
    CHECK(EngineSpeeds::create({ .lastingGain_ = 0 }).error() == SpeedError::BadSettings);
    CHECK(EngineSpeeds::create({ .momentaryHalfLife_ = Duration::zero() }).error() == SpeedError::BadSettings);
}

// Guards against learning that needs more events than one host sees.
TEST_CASE("engine speeds: engines of half and double speed are known after the events of one answer")
{
    Watcher watcher;
    const auto factorOf = [](std::uint64_t engine) { return engine == 1 ? 2.0 : engine == 2 ? 0.5
                                                                                            : 1.0; };
    watcher.watch(1s, factorOf);
    CHECK(watcher.slowdown(1) == doctest::Approx(2).epsilon(0.2));
    CHECK(watcher.slowdown(2) == doctest::Approx(0.5).epsilon(0.2));
    CHECK(watcher.slowdown(3) == 1);
    watcher.watch(10s, factorOf);
    CHECK(watcher.slowdown(1) == doctest::Approx(2).epsilon(0.1));
    CHECK(watcher.slowdown(2) == doctest::Approx(0.5).epsilon(0.1));
}

// Guards against a difference that is forgotten because the fast engines are full and the slow ones idle.
TEST_CASE("engine speeds: a difference stays when fast engines are always full and slow ones always idle")
{
    EngineSpeeds speeds = EngineSpeeds::create({}).value();
    TimePoint now { 10s };
    const auto watch = [&](int steps, std::uint32_t runningAtFast, std::uint32_t runningAtSlow) {
        for (int step = 0; step < steps; ++step) {
            now += 40ms;
            for (std::uint64_t engine = 1; engine <= engines; ++engine) {
                const bool isSlow = engine > 3;
                speeds.recordEventGap(UpstreamId(engine), service, isSlow ? runningAtSlow : runningAtFast, isSlow ? 40ms : 20ms, now);
            }
        }
    };
    watch(50, 4, 4);
    watch(2000, 8, 1);
    CHECK(speeds.slowdown(UpstreamId(6), now) / speeds.slowdown(UpstreamId(1), now) == doctest::Approx(2).epsilon(0.2));
}

TEST_CASE("engine speeds: an engine that turns four times slower is known after two of its steps, and usual again soon after")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    CHECK_FALSE(watcher.speeds_.mayDiffer());
    watcher.watch(2 * 4 * usualGap + usualGap, firstIsSlow);
    CHECK(watcher.slowdown(1) > 1.5);
    watcher.watch(800ms, firstIsSlow);
    CHECK(watcher.slowdown(1) == doctest::Approx(slowFactor).epsilon(0.25));
    watcher.watch(200ms, usual);
    CHECK(watcher.slowdown(1) == 1);
}

// Guards against a single late event, as by a stall of the network, that makes an engine look slow for long.
TEST_CASE("engine speeds: one late event leaves no difference after the next two")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    watcher.now_ += 1ms;
    watcher.speeds_.recordEventGap(UpstreamId(1), service, 4, 400ms, watcher.now_);
    watcher.watch(100ms, usual);
    CHECK(watcher.slowdown(1) == 1);
}

// Guards against an engine that is never used again. Without events the evidence fades, so that a request tries it.
TEST_CASE("engine speeds: an engine that was slow and gets no requests is tried again after a moment")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    watcher.watch(1s, firstIsSlow);
    CHECK(watcher.slowdown(1) > 2);
    watcher.watch(2s, usual, 1);
    CHECK(watcher.slowdown(1) == 1);
    CHECK(watcher.speeds_.slowEngines(watcher.now_).empty());
    CHECK_FALSE(watcher.speeds_.mayDiffer());
}

// Guards against an engine that is given up for a minute since the only events seen of it were those of a slow moment.
TEST_CASE("engine speeds: an engine that was only seen while it was slow for a second is tried again soon")
{
    Watcher watcher;
    watcher.watch(1s, firstIsSlow);
    CHECK(watcher.slowdown(1) > 2);
    watcher.watch(10s, usual, 1);
    CHECK(watcher.slowdown(1) == 1);
}

// Guards against an engine that is given up because it was slow in most of the seconds in which it was seen.
TEST_CASE("engine speeds: an engine without evidence is due for a trial after a quarter of the time for which it was seen")
{
    Watcher watcher;
    watcher.watch(4s, firstIsSlow);
    watcher.watch(500ms, usual, 1);
    CHECK(watcher.slowdown(1) > 2);
    CHECK_FALSE(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
    watcher.watch(1s, usual, 1);
    CHECK(watcher.slowdown(1) > 2);
    CHECK(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
    CHECK_FALSE(watcher.speeds_.isTrialDue(UpstreamId(2), watcher.now_));
    // The engine's own statement that it is slow is evidence, and so is another node's report.
    watcher.speeds_.recordStatedSlowdown(UpstreamId(1), 400, watcher.now_);
    CHECK_FALSE(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
    watcher.watch(1500ms, usual, 1);
    CHECK(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
    const EngineSpeedReport report[] = { { UpstreamId(1), 160, 128 } };
    watcher.speeds_.apply(NodeId(2), report, watcher.now_);
    CHECK_FALSE(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
}

// Guards against an engine that isn't tested because of a figure that events have contradicted.
TEST_CASE("engine speeds: an engine counts as observed for a minute after evidence of any kind")
{
    const auto engine = UpstreamId(1);
    const auto stated = [&](EngineSpeeds& speeds, TimePoint now) { speeds.recordStatedSlowdown(engine, 100, now); };
    const auto heard = [&](EngineSpeeds& speeds, TimePoint now) { speeds.apply(NodeId(2), std::vector<EngineSpeedReport> { { engine, 128, 128 } }, now); };
    const auto seen = [&](EngineSpeeds& speeds, TimePoint now) {
        for (int event = 0; event < 20; ++event)
            speeds.recordEventGap(engine, service, 1, usualGap, now - (20 - event) * usualGap);
    };
    const std::function<void(EngineSpeeds&, TimePoint)> ways[] = { stated, heard, seen };
    for (const auto& observe : ways) {
        EngineSpeeds speeds = EngineSpeeds::create({}).value();
        const TimePoint now { 10s };
        CHECK(speeds.isUnobserved(engine, now));
        speeds.insert(engine, service);
        CHECK(speeds.isUnobserved(engine, now));
        observe(speeds, now);
        CHECK_FALSE(speeds.isUnobserved(engine, now + 59s));
        CHECK(speeds.isUnobserved(engine, now + 61s));
    }
}

TEST_CASE("engine speeds: a stated figure that is ignored doesn't delay the trial")
{
    Watcher watcher;
    const auto state = [&watcher](Duration length, auto factorOf, std::uint64_t silentEngine) {
        for (Duration passed {}; passed < length; passed += 100ms) {
            watcher.speeds_.recordStatedSlowdown(UpstreamId(1), 1600, watcher.now_);
            watcher.watch(100ms, factorOf, silentEngine);
        }
    };
    state(4s, firstIsSlow, 0);
    watcher.watch(100ms, usual, 1);
    REQUIRE(watcher.slowdown(1) < 6); // the figure is ignored, and the events count
    state(2s, usual, 1);
    CHECK(watcher.slowdown(1) > 2);
    CHECK(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
}

// Guards against an engine that one node avoids for as long as others report that it works as usual.
TEST_CASE("engine speeds: a report that an engine works as usual doesn't delay the trial")
{
    Watcher watcher;
    watcher.watch(4s, firstIsSlow);
    const EngineSpeedReport report[] = { { UpstreamId(1), 128, 128 } };
    for (int round = 0; round < 15; ++round) {
        watcher.watch(100ms, usual, 1);
        watcher.speeds_.apply(NodeId(2), report, watcher.now_);
    }
    CHECK(watcher.slowdown(1) > 2);
    CHECK(watcher.speeds_.isTrialDue(UpstreamId(1), watcher.now_));
}

TEST_CASE("engine speeds: engines that all turn slow together count as usual")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    watcher.watch(2s, [](std::uint64_t /*engine*/) { return slowFactor; });
    for (std::uint64_t engine = 1; engine <= engines; ++engine)
        CHECK(watcher.slowdown(engine) == 1);
    watcher.watch(2s, usual);
    for (std::uint64_t engine = 1; engine <= engines; ++engine)
        CHECK(watcher.slowdown(engine) == 1);
}

TEST_CASE("engine speeds: the stated figure counts at once, and less with its age")
{
    Watcher watcher;
    watcher.speeds_.recordStatedSlowdown(UpstreamId(1), 400, watcher.now_);
    CHECK(watcher.slowdown(1) == doctest::Approx(slowFactor));
    watcher.now_ += 300ms;
    CHECK(watcher.slowdown(1) == doctest::Approx(2));
    watcher.now_ += 1s;
    CHECK(watcher.slowdown(1) == 1);
    watcher.speeds_.recordStatedSlowdown(UpstreamId(2), 0, watcher.now_);
    CHECK(watcher.slowdown(2) == 1);
}

// Guards against engines that are avoided, or preferred, for good because of a wrong figure, however often it arrives.
TEST_CASE("engine speeds: a stated figure that events contradict for a second is ignored")
{
    for (const Duration period : { 20ms, 250ms, 450ms }) {
        Watcher watcher;
        watcher.watch(5s, usual);
        for (Duration passed {}; passed < 3s; passed += period) {
            watcher.speeds_.recordStatedSlowdown(UpstreamId(1), 800, watcher.now_);
            watcher.watch(period, usual);
        }
        watcher.speeds_.recordStatedSlowdown(UpstreamId(1), 800, watcher.now_);
        CHECK(watcher.slowdown(1) == 1);
    }
}

TEST_CASE("engine speeds: a node learns from the report of another one, and forgets the momentary part sooner than the lasting one")
{
    Watcher watcher;
    EngineSpeeds other = EngineSpeeds::create({}).value();
    for (int report = 0; report < 50; ++report) {
        watcher.watch(200ms, [](std::uint64_t engine) { return engine == 1 ? 2.0 : 1.0; });
        other.apply(NodeId(1), watcher.speeds_.ownReport(watcher.now_), watcher.now_);
    }
    watcher.watch(800ms, [](std::uint64_t engine) { return engine == 1 ? 2.0 : engine == 2 ? slowFactor
                                                                                           : 1.0; });
    const auto report = watcher.speeds_.ownReport(watcher.now_);
    REQUIRE(report.size() == 2);
    other.apply(NodeId(1), report, watcher.now_);
    CHECK(other.slowdown(UpstreamId(1), watcher.now_) == doctest::Approx(2).epsilon(0.15));
    CHECK(other.slowdown(UpstreamId(2), watcher.now_) > 2);
    const TimePoint later = watcher.now_ + 2s;
    CHECK(other.slowdown(UpstreamId(1), later) == doctest::Approx(2).epsilon(0.15));
    CHECK(other.slowdown(UpstreamId(2), later) == 1);
}

// Guards against nodes that keep a difference alive by repeating each other's reports.
TEST_CASE("engine speeds: a node reports what it has seen itself, not what it has heard, and nothing of usual engines")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    CHECK(watcher.speeds_.ownReport(watcher.now_).empty());
    watcher.watch(1s, firstIsSlow);
    const auto report = watcher.speeds_.ownReport(watcher.now_);
    REQUIRE(report.size() == 1);
    EngineSpeeds other = EngineSpeeds::create({}).value();
    other.apply(NodeId(1), report, watcher.now_);
    CHECK(other.ownReport(watcher.now_).empty());
}

TEST_CASE("engine speeds: a node hears that an engine is usual again")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    watcher.watch(1s, firstIsSlow);
    EngineSpeeds other = EngineSpeeds::create({}).value();
    other.apply(NodeId(1), watcher.speeds_.ownReport(watcher.now_), watcher.now_);
    CHECK(other.slowdown(UpstreamId(1), watcher.now_) > 2);
    for (int step = 0; step < 4; ++step) {
        watcher.watch(100ms, usual);
        other.apply(NodeId(1), watcher.speeds_.ownReport(watcher.now_), watcher.now_);
    }
    CHECK(other.slowdown(UpstreamId(1), watcher.now_) == 1);
}

// Guards against memory that grows with each engine that ever existed.
TEST_CASE("engine speeds: removed engines and their service are forgotten")
{
    Watcher watcher;
    watcher.watch(2s, firstIsSlow);
    CHECK(watcher.speeds_.knownServices() == 1);
    for (std::uint64_t engine = 1; engine <= engines; ++engine)
        watcher.speeds_.remove(UpstreamId(engine));
    CHECK(watcher.speeds_.knownEngines() == 0);
    CHECK(watcher.speeds_.knownServices() == 0);
    CHECK_FALSE(watcher.speeds_.mayDiffer());
    CHECK(watcher.slowdown(1) == 1);
}

TEST_CASE("engine speeds: a slow engine is listed with its factor, its evidence and since when")
{
    Watcher watcher;
    watcher.watch(5s, usual);
    watcher.watch(500ms, firstIsSlow);
    const TimePoint foundAt = watcher.now_;
    REQUIRE(watcher.speeds_.slowEngines(foundAt).size() == 1);
    watcher.watch(200ms, firstIsSlow);
    const auto slow = watcher.speeds_.slowEngines(watcher.now_);
    REQUIRE(slow.size() == 1);
    CHECK(slow[0].engine_ == UpstreamId(1));
    CHECK(slow[0].slowdown_ > 2);
    CHECK_FALSE(slow[0].isStated_);
    CHECK(slow[0].since_ == foundAt);
}

// Guards against engines that are avoided because of the jitter of event loops and connections.
TEST_CASE("engine speeds: differences of single milliseconds count as none")
{
    EngineSpeeds speeds = EngineSpeeds::create({}).value();
    TimePoint now { 10s };
    for (int round = 0; round < 500; ++round) {
        now += 4ms;
        for (std::uint64_t engine = 1; engine <= engines; ++engine)
            speeds.recordEventGap(UpstreamId(engine), service, 4, engine <= engines / 2 ? Duration(500us) : Duration(2ms), now);
    }
    for (std::uint64_t engine = 1; engine <= engines; ++engine)
        CHECK(speeds.slowdown(UpstreamId(engine), now) == 1);
}
