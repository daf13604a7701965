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
