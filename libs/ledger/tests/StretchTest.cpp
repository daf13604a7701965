// Choice of the items that start under overload.
#include "LedgerWorld.h"

using namespace jj;

namespace {

// A host whose runs are made by the test. A run takes 5 s, but 10 s if it is interrupted as often as the last eight runs were.
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
            scheduler(0).ended(run, RunResult::Completed, now());
    }

    std::string next()
    {
        const auto run = startNext(0);
        return run ? run->item_ : std::string();
    }
};

} // namespace

// Guards against items finishing slightly late under an overload of ten percent. Items started when the time left just exceeded the
// duration of a run, yielded to a burst of online requests, and finished a second late; a quarter of all items were late, all of them by a
// little. If runs recently took twice their uninterrupted duration, an item with less time left than that must start after all items that
// can finish in time.
TEST_CASE("ledger: an item that would finish late at the recent pace doesn't start before one that can finish in time")
{
    BusyWorld world(31);
    world.submit(0, "first", 1, 0);
    world.advance(11500ms); // 6.5 s are left until the job is due
    world.submit(0, "later", 1, 0);
    world.advance(200ms);
    const auto waiting = world.scheduler(0).waiting(world.now());
    REQUIRE(waiting.contains("s"));
    CHECK(waiting.at("s").count_ == 2);
    CHECK(waiting.at("s").inTime_ == 1);
    CHECK(world.next() == "later-0");
    // It is tried nevertheless when nothing else is waiting.
    CHECK(world.next() == "first-0");
}

TEST_CASE("ledger: an item that has started is finished first although it was preempted")
{
    BusyWorld world(32);
    world.submit(0, "first", 1, 0);
    world.advance(500ms);
    const auto run = world.startNext(0);
    REQUIRE(run);
    world.scheduler(0).event(run->id_, 1, "e1");
    world.scheduler(0).ended(run->id_, RunResult::Preempted, world.now());
    world.advance(11s);
    world.submit(0, "later", 1, 0);
    world.advance(200ms);
    CHECK(world.next() == "first-0");
}

// Guards against an item that takes a slot which only another, urgent item may have, and gives it back in the next turn.
TEST_CASE("ledger: a slot for urgent items doesn't go to an item that is due earlier and can wait")
{
    LedgerWorld world(34, 1);
    world.slots_ = 0;
    world.scheduler(0).setRunTime(5s);
    // Items have ten events.
    world.submit(0, "first", 1, 0);
    world.advance(500ms);
    const auto first = world.startNext(0);
    REQUIRE(first);
    for (std::uint64_t event = 1; event <= 10; ++event)
        world.scheduler(0).event(first->id_, event, "e");
    world.scheduler(0).ended(first->id_, RunResult::Completed, world.now());
    world.submit(0, "a", 1, 0);
    world.advance(2s);
    world.submit(0, "b", 1, 0);
    world.advance(9s);
    // "a" has 7 s left and has nearly finished, "b" has 9 s left and hasn't started.
    const auto run = world.startNext(0);
    REQUIRE(run);
    REQUIRE(run->item_ == "a-0");
    for (std::uint64_t event = 1; event <= 8; ++event)
        world.scheduler(0).event(run->id_, event, "e");
    world.scheduler(0).ended(run->id_, RunResult::Released, world.now());
    world.scheduler(0).setRunTime(8s);
    const auto waiting = world.scheduler(0).waiting(world.now()).at("s");
    CHECK(waiting.urgency_ == ItemUrgency::Urgent);
    CHECK(waiting.firstDue_ < waiting.firstUrgentDue_);
    const auto urgent = world.startNext(0, true);
    REQUIRE(urgent);
    CHECK(urgent->item_ == "b-0");
    CHECK_FALSE(world.scheduler(0).startNext("s", world.now(), SoftwareVersion().id(), true));
    CHECK(world.scheduler(0).startNext("s", world.now())->item_ == "a-0");
}

// Guards against a workspace whose items take all slots that become free because its job is due a little earlier, while the items of another
// one are late; and against usage that reorders items which can wait, which would make them urgent needlessly.
TEST_CASE("ledger: of items that must run now those of the workspace that has used least go first, of others those that are due first")
{
    LedgerWorld world(35, 1);
    world.slots_ = 0;
    world.workspaces_ = { { "a", "much" }, { "b", "little" }, { "c", "much" } };
    world.usages_ = { { "much", 7.5 }, { "little", 0.5 } };
    world.scheduler(0).setRunTime(12s);
    world.submit(0, "a", 1, 0);
    world.advance(500ms);
    world.submit(0, "b", 1, 0);
    world.advance(500ms);
    const auto next = [&world] {
        const auto run = world.startNext(0);
        REQUIRE(run);
        world.scheduler(0).ended(run->id_, RunResult::Released, world.now());
        return run->item_;
    };
    REQUIRE(world.scheduler(0).waiting(world.now()).at("s").urgency_ == ItemUrgency::Relaxed);
    CHECK(next() == "a-0");
    world.advance(4s);
    REQUIRE(world.scheduler(0).waiting(world.now()).at("s").urgency_ == ItemUrgency::Urgent);
    CHECK(next() == "b-0");
    world.usages_["little"] = 7.5;
    CHECK(next() == "a-0");
    // An item that can wait goes by its due time also beside urgent ones.
    world.submit(0, "c", 1, 0);
    world.advance(200ms);
    world.usages_ = { { "much", 0 }, { "little", 9 } };
    CHECK(next() == "a-0");
    CHECK(world.scheduler(0).startNext("s", world.now(), SoftwareVersion().id(), true)->item_ == "a-0");
    CHECK(world.scheduler(0).startNext("s", world.now(), SoftwareVersion().id(), true)->item_ == "b-0");
    CHECK_FALSE(world.scheduler(0).startNext("s", world.now(), SoftwareVersion().id(), true));
}
