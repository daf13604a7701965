// Which items begin when more is wanted than can be done.
#include "LedgerWorld.h"

using namespace jj;

namespace {

// A host whose runs the test makes itself. They take 5 s, and ten when they give way as often as the last eight did.
struct BusyWorld : LedgerWorld {
    explicit BusyWorld(std::uint64_t seed)
        : LedgerWorld(seed, 1)
    {
        slots_ = 0;
        scheduler(0).setRunTime(5s);
        submit(0, "a", 8, 0);
        advance(500ms);
        std::vector<RunId> runs;
        while (auto run = scheduler(0).startNext("s", now())) {
            runs.push_back(run->id_);
            scheduler(0).event(run->id_, 1, "e1");
        }
        REQUIRE(runs.size() == 8);
        advance(10s);
        for (const RunId run : runs)
            scheduler(0).ended(run, RunEnd::Completed, now());
    }

    std::string next()
    {
        const auto run = scheduler(0).startNext("s", now());
        return run ? run->item_ : std::string();
    }
};

} // namespace

// Clerks send a tenth more than can be done. Each item begins when it is due in a run's length and a little, gives way to a burst of questions,
// and ends a second too late; a quarter of them were late, all by a little. What takes twice a run's length of late, and has
// less than that left, goes after all that can be in time.
TEST_CASE("ledger: an item that would be late at the pace of late doesn't begin before one that can be in time")
{
    BusyWorld world(31);
    world.submit(0, "first", 1, 0);
    world.advance(11500ms); // 6.5 s are left
    world.submit(0, "later", 1, 0);
    world.advance(200ms);
    const auto waiting = world.scheduler(0).waiting(world.now());
    REQUIRE(waiting.contains("s"));
    CHECK(waiting.at("s").count_ == 2);
    CHECK(waiting.at("s").inTime_ == 1);
    CHECK(world.next() == "later-0");
    // With nothing else to do it is tried all the same.
    CHECK(world.next() == "first-0");
}

TEST_CASE("ledger: an item that has begun is finished first, though it gave way")
{
    BusyWorld world(32);
    world.submit(0, "first", 1, 0);
    world.advance(500ms);
    const auto run = world.scheduler(0).startNext("s", world.now());
    REQUIRE(run);
    world.scheduler(0).event(run->id_, 1, "e1");
    world.scheduler(0).ended(run->id_, RunEnd::GivenWay, world.now());
    world.advance(11s);
    world.submit(0, "later", 1, 0);
    world.advance(200ms);
    CHECK(world.next() == "first-0");
}
