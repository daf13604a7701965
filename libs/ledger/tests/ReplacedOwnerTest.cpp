// Reads from an owner that was replaced without noticing.
#include "SingleOwner.h"

using namespace jj;

// Guards against a read that misses results which the caller has already seen. A node doesn't receive some of its peers' messages; they
// consider it dead, take over its job and list results. The caller sees these at the new owner, and its next read reaches the former owner.
TEST_CASE("ledger: the former owner returns results of the new owner within a second")
{
    constexpr Duration settled = 1s;
    LedgerWorld world(41, 2, SchedulerSettings());
    world.stepsPerEvent_ = 5; // runs of 100 ms
    world.slots_ = 0;
    // An owner that was available throughout doesn't query the store unless its fleet view reports that it may have been replaced.
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.submit(0, "j", 2, 1);
    world.advance(60ms);
    world.host(1).mayBeReplaced_ = true;
    // The former owner's runs never end, so it learns nothing from commits of its own.
    const auto readAtOld = [&world] {
        world.host(1).runs_.clear();
        return world.read(1, "j");
    };
    // The previous confirmation has expired, so this read makes the owner confirm its ownership in the store.
    world.advance(SchedulerSettings().confirmationLifetime_ + 50ms);
    REQUIRE(readAtOld().outcome_ == ReadOutcome::Found);
    world.markDead(1);
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

// Guards against querying the store for every second read of every job during the ten seconds after a simultaneous start of all processes.
TEST_CASE("ledger: a restarted owner stops querying the store after it has rewritten the head")
{
    LedgerWorld world(43, 2, SchedulerSettings());
    world.stepsPerEvent_ = 5000;
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
    CHECK(callsOf(SchedulerSettings().announcedAfter_) >= 4);
    callsOf(500ms);
    CHECK(callsOf(4s) == 0);
}

// Guards against a claim that was sent while its sender considered the owner dead, and arrives after the owner has stopped querying the
// store.
TEST_CASE("ledger: a claim in flight fails after the owner has rewritten the head")
{
    LedgerWorld world(44, 2, SchedulerSettings());
    world.stepsPerEvent_ = 5000;
    world.submit(0, "j", 8, 1);
    world.advance(100ms);
    const ObjectEntry before = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    world.kill(1);
    world.start(1);
    world.scheduler(1).tick(world.now(), world.wall());
    world.scheduler(1).scan(false, world.now());
    world.advance(SchedulerSettings().announcedAfter_ + 200ms);
    JobHead claimed = decodeHead(before.value_).value();
    claimed.owner_ = world.host(0).id_;
    CHECK(world.store_.core().apply(ObjectCall::update(headKey("j"), encode(claimed), before.version_), world.now()).error_ == ObjectError::Conflict);
    CHECK(world.read(1, "j").outcome_ == ReadOutcome::Found);
}

// Guards against reads that miss results which have been read: the owner is suspended while the answer to a commit is lost, and meanwhile
// other nodes read from the store.
TEST_CASE("ledger: an owner that was suspended during a commit returns the results that others have read")
{
    LedgerWorld world(45, 2);
    world.slots_ = 1;
    world.stepsPerEvent_ = 10; // runs of 200 ms
    world.submit(0, "j", 8, 1);
    world.advance(100ms);
    world.store_.faults().lostAfter_ = 1;
    while (world.stored("j").empty())
        world.advance(LedgerWorld::step);
    world.pause(1);
    world.store_.faults().lostAfter_ = 0;
    world.advance(2s);
    const auto listed = world.read(0, "j", 0, {}, true).results_;
    REQUIRE_FALSE(listed.empty());
    world.resume(1);
    for (int reads = 0; reads < 20; ++reads) {
        const ReadAnswer answer = world.read(1, "j");
        if (answer.outcome_ == ReadOutcome::Found)
            CHECK(answer.results_.size() >= listed.size());
    }
}

// Guards against an item that runs at two hosts: its owner wakes from a pause by the end of a run, before its first tick, and starts the
// next item of a job that another host has taken over.
TEST_CASE("ledger: an owner that wakes from a pause starts no item of a job that was taken over")
{
    SingleOwner owner;
    owner.load();
    const auto run = owner.scheduler_.startNext("s", owner.now_);
    REQUIRE(run);
    owner.writeOwner(SingleOwner::other);
    owner.now_ += SchedulerSettings().pauseThreshold_ + 1s;
    owner.scheduler_.ended(run->id_, RunResult::Interrupted, owner.now_);
    CHECK(owner.scheduler_.waiting(owner.now_).empty());
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    owner.advance(200ms);
    CHECK(owner.notes_[SchedulerNote::OwnershipLost] == 1);
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against items that wait for good after a pause, or for longer than the store needs to confirm the ownership.
TEST_CASE("ledger: an owner that wakes from a pause goes on once the store has confirmed its ownership")
{
    SingleOwner owner;
    owner.load();
    owner.now_ += SchedulerSettings().pauseThreshold_ + 1s;
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    owner.advance(100ms);
    CHECK(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against items that start after their job's end was acknowledged: the store may be away for this node alone.
TEST_CASE("ledger: an owner that wakes from a pause starts no item while the store is away, and goes on once it is back")
{
    SingleOwner owner;
    owner.load();
    owner.areHeadReadsLost_ = true;
    owner.now_ += SchedulerSettings().pauseThreshold_ + 1s;
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    for (int seconds = 0; seconds < 10; ++seconds) {
        owner.advance(1s);
        CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    }
    owner.areHeadReadsLost_ = false;
    owner.advance(SchedulerSettings().storeRetryDelay_ + SingleOwner::tickInterval);
    CHECK(owner.scheduler_.startNext("s", owner.now_));
}
