// Tests that verdicts and spent trials outlast all processes, and that the store's troubles neither lose nor double one.
#include "crashes/VerdictStore.h"

#include "objects/MemoryStore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace jj;

namespace {

constexpr Fingerprint deadly { 0xdead };
constexpr Fingerprint content { 0xc0de };

enum class StoreState : std::uint8_t {
    Sound,
    Away, // refuses each call
    LosesAnswers, // calls take effect, and nobody learns it
    RefusesByRate,
    Slow, // calls take effect, and their answers wait until they are let go
};

// The store and the clock that several hosts share.
struct World {
    MemoryStore store_;
    StoreState state_ = StoreState::Sound;
    ManualClock clock_;
    std::vector<std::function<void()>> held_; // calls that a slow store hasn't answered

    void answerHeld()
    {
        for (const auto& one : std::exchange(held_, {}))
            one();
    }

    void call(const ObjectCall& call, const SettledCompletion& done)
    {
        SettledAnswer answer;
        if (state_ == StoreState::Slow)
            return held_.push_back([this, call, done] { done({ store_.apply(call, clock_.now()) }, clock_.now()); });
        if (state_ == StoreState::RefusesByRate) {
            answer.answer_ = ObjectAnswer::failed(ObjectError::RateLimited);
            return done(answer, clock_.now());
        }
        answer.answer_ = state_ == StoreState::Away ? ObjectAnswer::failed(ObjectError::Unavailable) : store_.apply(call, clock_.now());
        if (state_ == StoreState::LosesAnswers)
            answer.answer_ = ObjectAnswer::failed(call.isWrite() ? ObjectError::OutcomeUnknown : ObjectError::Unavailable);
        done(answer, clock_.now());
    }

    bool isStored(Fingerprint suspect) const { return store_.objects().contains(verdictKey(suspect)); }
};

// What a process knows of crashes. A new one knows nothing.
class Host {
public:
    explicit Host(World& world, bool isKeeper = false, std::uint64_t seed = 1, bool isFirstStart = false)
        : world_(world)
        , verdicts_(suspects_, seed, isFirstStart, outlets(isKeeper))
    {
    }

    void runFor(Duration time)
    {
        for (Duration passed {}; passed < time; passed += 500ms) {
            world_.clock_.advance(500ms);
            suspects_.tick(now());
            verdicts_.tick(now());
            applyChanges(false);
        }
    }

    void crash(const RequestFingerprints& request, std::uint64_t engines, bool isOwnEvidence = true)
    {
        for (std::uint64_t engine = 1; engine <= engines; ++engine) {
            suspects_.lost(request, UpstreamId(engine), LossPoint::BeforeAnswer, now());
            suspects_.engineCrashed(UpstreamId(engine), now());
        }
        applyChanges(isOwnEvidence);
    }

    void answer(const RequestFingerprints& request)
    {
        suspects_.recordAnswer(request, now());
        applyChanges(true);
    }

    bool claim(Fingerprint suspect)
    {
        std::optional<bool> granted;
        verdicts_.claimTrial(suspect, now(), [&granted](bool isGranted) { granted = isGranted; });
        REQUIRE(granted);
        return *granted;
    }

    bool isBlocked(const RequestFingerprints& request) { return suspects_.findBlocked(request, now()).has_value(); }
    CrashSuspects& suspects() { return suspects_; }
    VerdictStore& verdicts() { return verdicts_; }
    std::size_t notes(VerdictNote note) const { return static_cast<std::size_t>(std::count(notes_.begin(), notes_.end(), note)); }
    TimePoint now() const { return world_.clock_.now(); }

private:
    VerdictStoreOutlets outlets(bool isKeeper)
    {
        VerdictStoreOutlets outlets;
        outlets.store_ = [this](const ObjectCall& call, CallClass, TimePoint, const SettledCompletion& done) { world_.call(call, done); };
        outlets.wallNow_ = [this] { return world_.clock_.wallNow(); };
        outlets.isKeeper_ = [isKeeper](Fingerprint) { return isKeeper; };
        outlets.note_ = [this](VerdictNote note, std::string_view, std::error_code) { notes_.push_back(note); };
        return outlets;
    }

    void applyChanges(bool isOwnEvidence)
    {
        for (const VerdictChange& change : suspects_.takeChanges())
            verdicts_.onChange(change, isOwnEvidence, now());
    }

    World& world_;
    CrashSuspects suspects_;
    VerdictStore verdicts_;
    std::vector<VerdictNote> notes_;
};

RequestFingerprints deadlyRequest() { return { { deadly }, content }; }
RequestFingerprints contentRequest() { return { {}, content }; }

} // namespace

// Guards against a request that crashes three more engines after each end of all processes.
TEST_CASE("a verdict outlasts the end of all processes")
{
    World world;
    Host(world).crash(contentRequest(), 3);
    Host later(world);
    CHECK_FALSE(later.isBlocked(contentRequest()));
    later.runFor(500ms);
    CHECK(later.isBlocked(contentRequest()));
}

// Guards against trials that begin anew after each end of all processes.
TEST_CASE("a trial counts also if its process ends while it runs")
{
    World world;
    Host first(world);
    first.crash(contentRequest(), 3);
    REQUIRE(first.claim(content));
    Host later(world);
    later.runFor(500ms);
    CHECK(later.suspects().trials(content) == 1);
    world.clock_.advance(1min);
    CHECK_FALSE(later.suspects().isTrialDue(content, 0, later.now()));
}

// Guards against a sound request that stays blocked for longer because processes end again and again.
TEST_CASE("the end of processes doesn't put off the next trial")
{
    World world;
    Host(world).crash(contentRequest(), 3);
    world.clock_.advance(4s);
    Host later(world);
    later.runFor(500ms);
    CHECK_FALSE(later.suspects().isTrialDue(content, 0, later.now()));
    later.runFor(500ms);
    CHECK(later.suspects().isTrialDue(content, 0, later.now()));
}

TEST_CASE("while the store is away there are no trials, and the verdict is written later")
{
    World world;
    Host host(world);
    world.state_ = StoreState::Away;
    host.crash(contentRequest(), 3);
    host.runFor(5s);
    CHECK_FALSE(host.claim(content));
    CHECK(host.suspects().trials(content) == 0);
    CHECK_FALSE(world.isStored(content));
    world.state_ = StoreState::Sound;
    host.runFor(2s);
    CHECK(world.isStored(content));
    CHECK(host.claim(content));
}

TEST_CASE("a slow store gets one call for a trial, and grants it once")
{
    World world;
    Host host(world);
    host.crash(contentRequest(), 3);
    world.state_ = StoreState::Slow;
    std::vector<bool> granted;
    for (int request = 0; request < 3; ++request)
        host.verdicts().claimTrial(content, host.now(), [&granted](bool isGranted) { granted.push_back(isGranted); });
    CHECK(world.held_.size() == 1);
    CHECK(granted == std::vector { false, false }); // those that came while the first one was waiting
    host.runFor(3s);
    world.answerHeld();
    CHECK(granted == std::vector { false, false, true });
    CHECK(host.suspects().trials(content) == 1);
}

TEST_CASE("a store that refuses calls by rate loses no verdict and grants no trial, and is asked once a second at most")
{
    World world;
    Host host(world, true);
    world.state_ = StoreState::RefusesByRate;
    host.crash(contentRequest(), 3);
    CHECK_FALSE(host.claim(content));
    host.runFor(20s);
    CHECK(host.notes(VerdictNote::CallFailed) + host.notes(VerdictNote::TrialNotCounted) <= 2 * 20 + 2); // the list, and the verdict
    world.state_ = StoreState::Sound;
    host.runFor(2s);
    CHECK(world.isStored(content));
}

// Guards against a process that takes the verdicts of years into its memory.
TEST_CASE("of a store that is full of verdicts a process reads a bounded number")
{
    World world;
    constexpr std::uint64_t stored = 5000;
    constexpr std::uint64_t firstEngine = 1000; // no two verdicts have an engine in common
    for (std::uint64_t number = 1; number <= stored; ++number) {
        VerdictRecord old;
        old.suspect_ = { Fingerprint(number), UINT8_MAX, 3, {}, std::nullopt, {} };
        for (std::uint64_t crash = 0; crash < 3; ++crash)
            old.suspect_.crashes_.push_back({ UpstreamId(firstEngine + number * 3 + crash), 1h });
        world.clock_.advance(10ms); // the store has a rate
        REQUIRE(world.store_.apply(ObjectCall::create(verdictKey(Fingerprint(number)), encode(old, world.clock_.wallNow())), world.clock_.now()).ok());
    }
    Host later(world, true);
    later.runFor(2s);
    CHECK(later.suspects().size() <= 2 * CrashSettings().maxSuspects_);
    CHECK(later.suspects().size() >= CrashSettings().maxSuspects_);
    later.crash({ {}, Fingerprint(77'777) }, 3);
    CHECK(later.isBlocked({ {}, Fingerprint(77'777) }));
}

// Guards against a trial that two processes send, because the answer to its count was lost.
TEST_CASE("a trial whose count may have reached the store is not sent and counts")
{
    World world;
    Host host(world);
    host.runFor(500ms);
    host.crash(contentRequest(), 3);
    world.state_ = StoreState::LosesAnswers;
    CHECK_FALSE(host.claim(content));
    world.state_ = StoreState::Sound;
    host.runFor(2s);
    CHECK(host.suspects().trials(content) == 1);
    Host later(world);
    later.runFor(500ms);
    CHECK(later.suspects().trials(content) == 1);
}

TEST_CASE("of two hosts that claim a trial at once, one gets it")
{
    World world;
    Host one(world, false, 1), other(world, false, 2);
    one.crash(contentRequest(), 3);
    other.crash(contentRequest(), 3, false);
    one.runFor(500ms);
    other.runFor(500ms);
    CHECK(one.claim(content));
    CHECK_FALSE(other.claim(content));
    CHECK(other.suspects().trials(content) == 1);
}

TEST_CASE("a trial that wasn't sent goes to the next request, and none when the suspect is free")
{
    World world;
    Host host(world);
    host.crash(contentRequest(), 3);
    REQUIRE(host.claim(content));
    host.verdicts().returnTrial(content);
    CHECK(host.verdicts().hasUnusedTrial(content));
    CHECK(host.claim(content));
    CHECK(host.suspects().trials(content) == 1);
    host.verdicts().returnTrial(content);
    host.answer(contentRequest());
    CHECK_FALSE(host.verdicts().hasUnusedTrial(content));
    host.verdicts().returnTrial(content);
    CHECK_FALSE(host.verdicts().hasUnusedTrial(content));
}

// Guards against a request that an engine has answered and that is blocked again at the next start.
TEST_CASE("the verdict of a suspect that was answered is removed")
{
    World world;
    Host host(world);
    host.crash(contentRequest(), 3);
    REQUIRE(world.isStored(content));
    host.answer(contentRequest());
    CHECK_FALSE(world.isStored(content));
}

TEST_CASE("a verdict is removed later if the store is away when its suspect is answered")
{
    World world;
    Host host(world);
    host.crash(contentRequest(), 3);
    world.state_ = StoreState::Away;
    host.answer(contentRequest());
    host.runFor(3s);
    REQUIRE(world.isStored(content));
    world.state_ = StoreState::Sound;
    host.runFor(2s);
    CHECK_FALSE(world.isStored(content));
}

// Guards against a store that fills up with verdicts about requests that nobody sends any more.
TEST_CASE("the verdict of a suspect that is forgotten is removed, also by processes that have only read it")
{
    World world;
    Host(world).crash(contentRequest(), 3);
    Host keeper(world, true);
    keeper.runFor(9min);
    CHECK(world.isStored(content));
    keeper.runFor(2min);
    CHECK_FALSE(world.isStored(content));
}

// Guards against a verdict that is lost with the host whose evidence led to it.
TEST_CASE("the keeper stores a verdict that its first host didn't")
{
    World world;
    Host keeper(world, true), bystander(world);
    keeper.crash(contentRequest(), 3, false);
    bystander.crash(contentRequest(), 3, false);
    bystander.runFor(3s);
    CHECK_FALSE(world.isStored(content));
    keeper.runFor(3s);
    CHECK(world.isStored(content));
}

TEST_CASE("a request that was answered since the start isn't blocked by a verdict that is read late")
{
    World world;
    Host(world).crash(contentRequest(), 3);
    world.clock_.advance(2s);
    Host later(world, true);
    later.answer(contentRequest());
    later.runFor(3s);
    CHECK_FALSE(later.isBlocked(contentRequest()));
    CHECK_FALSE(world.isStored(content));
}

TEST_CASE("the store's verdicts are read again until it answers")
{
    World world;
    Host(world).crash(deadlyRequest(), 5);
    world.state_ = StoreState::Away;
    Host later(world);
    later.runFor(10s);
    CHECK(later.notes(VerdictNote::CallFailed) > 1);
    world.state_ = StoreState::Sound;
    later.runFor(2s);
    CHECK(later.isBlocked(deadlyRequest()));
    const std::uint64_t reads = world.store_.counts().reads_;
    later.runFor(1min);
    CHECK(world.store_.counts().reads_ == reads);
}

TEST_CASE("at the first start of the whole system nothing is read, and verdicts are written as ever")
{
    World world;
    Host host(world, true, 1, true);
    host.runFor(1min);
    CHECK(world.store_.counts().reads_ + world.store_.counts().writes_ == 0);
    host.crash(contentRequest(), 3);
    CHECK(world.isStored(content));
    Host later(world);
    later.runFor(500ms);
    CHECK(later.isBlocked(contentRequest()));
}

TEST_CASE("objects of another writer are passed over")
{
    World world;
    Host(world).crash(contentRequest(), 3);
    for (const char* text : { "", "{}", "[]", "null", R"({"depth":255,"trials":-1,"blocked":0,"write":1,"crashes":[]})", R"({"depth":255,"trials":1,"blocked":0,"write":1,"crashes":[[1]]})", R"({"depth":255,"trials":1,"blocked":0,"write":1,"crashes":7})" })
        world.store_.apply(ObjectCall::create(std::string(verdictKind).append(std::to_string(world.store_.version().value())), text), world.clock_.now());
    world.store_.apply(ObjectCall::create(std::string(verdictKind).append("no-number"), "{}"), world.clock_.now());
    Host later(world);
    later.runFor(500ms);
    CHECK(later.isBlocked(contentRequest()));
    CHECK(later.notes(VerdictNote::Unreadable) == 8);
    CHECK(later.suspects().size() == 1);
}

TEST_CASE("a verdict is the same after it was stored, and a time of another clock makes no odd age")
{
    VerdictRecord verdict;
    verdict.suspect_ = { deadly, 7, 2, {}, std::nullopt, { { UpstreamId(UINT64_MAX - 1), 1500ms }, { UpstreamId(1), 20s } } };
    verdict.blockedAge_ = 19s;
    verdict.writeId_ = 42;
    const WallTime wall { std::chrono::milliseconds(1'800'000'000'000) };
    const std::string text = encode(verdict, wall);
    const auto same = decodeVerdict(verdictKey(deadly), text, wall);
    REQUIRE(same);
    CHECK(same.value().suspect_.suspect_ == deadly);
    CHECK(same.value().suspect_.depth_ == 7);
    CHECK(same.value().suspect_.trials_ == 2);
    CHECK(same.value().blockedAge_ == 19s);
    CHECK(same.value().suspect_.crashes_.at(0).engine_ == UpstreamId(UINT64_MAX - 1));
    CHECK(same.value().suspect_.crashes_.at(0).age_ == 1500ms);
    const auto earlier = decodeVerdict(verdictKey(deadly), text, wall - 1h);
    REQUIRE(earlier);
    CHECK(earlier.value().blockedAge_ == Duration::zero());
    const auto muchLater = decodeVerdict(verdictKey(deadly), text, wall + std::chrono::hours(24 * 365 * 100));
    REQUIRE(muchLater);
    CHECK(muchLater.value().blockedAge_ <= std::chrono::hours(24 * 366));
}
