// What callers read of an owner that was replaced without knowing it.
#include "LedgerWorld.h"

using namespace jj;

// A node can't hear some of its peers. They believe it dead, take its job over and list results, which a caller reads. The caller's next
// read reaches the old owner, which knows of nothing: a result that was there would be missing.
TEST_CASE("ledger: what the new owner has listed is known to the old one a second later")
{
    constexpr Duration settled = 1s;
    LedgerWorld world(41, 2, SchedulerSettings());
    world.pace_ = 5; // runs of 100 ms
    world.slots_ = 0;
    // Who was there all the while trusts itself but for what the fleet says.
    world.advance(SchedulerSettings().newcomer_ + 1s);
    world.submit(0, "j", 2, 1);
    world.advance(60ms);
    world.host(1).mayBeReplaced_ = true;
    // Its own runs never end, so it learns nothing from its commits.
    const auto readAtOld = [&world] {
        world.host(1).runs_.clear();
        return world.read(1, "j");
    };
    // The store has just said that the job is still its own.
    world.advance(SchedulerSettings().trustedFor_ + 50ms);
    REQUIRE(readAtOld().outcome_ == ReadOutcome::Found);
    world.bury(1);
    world.slots_ = 4;
    world.scheduler(0).scan(false, world.now());

    std::map<TimePoint, std::size_t> readAtNew;
    std::size_t comparedWithListed = 0;
    for (const TimePoint end = world.now() + 5s; world.now() < end;) {
        const ReadAnswer fresh = world.read(0, "j");
        if (fresh.outcome_ == ReadOutcome::Found)
            readAtNew[world.now()] = fresh.results_.size();
        const TimePoint asked = world.now();
        const ReadAnswer old = readAtOld();
        const auto later = readAtNew.upper_bound(asked - settled);
        const std::size_t mustKnow = later == readAtNew.begin() ? 0 : std::prev(later)->second;
        CHECK((old.outcome_ != ReadOutcome::Found || old.results_.size() >= mustKnow));
        comparedWithListed += mustKnow > 0 ? 1 : 0;
        world.advance(10ms);
    }
    CHECK(world.stored("j").size() == 2);
    CHECK(comparedWithListed > 50);
}

// Guards against a store that is asked for each second read of every job for ten seconds, when all processes have started at once.
TEST_CASE("ledger: an owner that started again asks the store no more once it has written itself into the head anew")
{
    LedgerWorld world(43, 2, SchedulerSettings());
    world.pace_ = 5000;
    world.submit(0, "j", 8, 1);
    world.advance(100ms);
    world.kill(1);
    world.start(1);
    world.scheduler(1).tick(world.now(), world.wall());
    world.scheduler(1).scan(false, world.now());
    const auto callsOf = [&world](Duration time) {
        const std::uint64_t before = world.store_.core().counts().reads_;
        for (const TimePoint end = world.now() + time; world.now() < end; world.advance(500ms))
            CHECK(world.read(1, "j").outcome_ == ReadOutcome::Found);
        return world.store_.core().counts().reads_ - before;
    };
    CHECK(callsOf(SchedulerSettings().knownAfter_) >= 4);
    callsOf(500ms);
    CHECK(callsOf(4s) == 0);
}

// Guards against a claim that was sent while its sender believed the owner dead, and arrives when the owner has stopped asking.
TEST_CASE("ledger: a claim that was on its way fails once the owner has written itself into the head anew")
{
    LedgerWorld world(44, 2, SchedulerSettings());
    world.pace_ = 5000;
    world.submit(0, "j", 8, 1);
    world.advance(100ms);
    const ObjectEntry before = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    world.kill(1);
    world.start(1);
    world.scheduler(1).tick(world.now(), world.wall());
    world.scheduler(1).scan(false, world.now());
    world.advance(SchedulerSettings().knownAfter_ + 200ms);
    JobHead claimed = decodeHead(before.value_).value();
    claimed.owner_ = world.host(0).id_;
    CHECK(world.store_.core().apply(ObjectCall::update(headKey("j"), encode(claimed), before.version_), world.now()).error_ == ObjectError::Conflict);
    CHECK(world.read(1, "j").outcome_ == ReadOutcome::Found);
}
