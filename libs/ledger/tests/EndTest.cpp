// Jobs that their callers end: by their owner, past it, and while something else happens to the job.
#include "LedgerWorld.h"

using namespace jj;

// A clerk ends a job. While the end is on its way to the store, slots are free, and the owner starts items of the job again. When the
// end is written, the job's items go, and the next event of such a run speaks of an item that isn't there: the process crashes.
TEST_CASE("ledger: nothing of a job starts while its end is on its way to the store")
{
    LedgerWorld world(5, 1);
    world.store_.faults().delay_ = 30ms;
    world.slots_ = 2;
    world.submit(0, "j", 20, 0);
    world.advance(150ms);
    std::optional<EndAnswer> ended;
    const std::size_t startedBefore = world.starts_.size();
    world.scheduler(0).end("j", false, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    world.advance(1s);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Found);
    CHECK(world.starts_.size() == startedBefore);
    CHECK(world.host(0).runs_.empty());
    CHECK(world.read(0, "j").total_ == 20);
}

// A clerk reads the last results of a job and ends it in the same moment. Its owner is just then writing the head that says the job is
// done, so it turned the end away as "can't be asked now", though nothing of the job is left to run and the store answers.
TEST_CASE("ledger: an end that meets the owner's own change of the head is acknowledged")
{
    LedgerWorld world(14, 1);
    world.submit(0, "j", 2, 0);
    world.advance(30ms);
    world.store_.faults().delay_ = 200ms;
    while (world.notes_[SchedulerNote::Listed] == 0)
        world.advance(LedgerWorld::step);
    REQUIRE(world.notes_[SchedulerNote::JobDone] == 0);
    std::vector<ReadOutcome> ends;
    for (int call = 0; call < 2; ++call)
        world.scheduler(0).end("j", false, world.now(), [&ends](const EndAnswer& answer) { ends.push_back(answer.outcome_); });
    world.advance(1s);
    CHECK(ends == std::vector { ReadOutcome::Found, ReadOutcome::Found });
    world.checkResults("j");
}

// A clerk's end of a job is on its way to the store when the same call comes again, since the first answer took long. The second caller
// was told that the job can't be asked for, and its client went on asking.
TEST_CASE("ledger: a second end waits for the first")
{
    LedgerWorld world(15, 1);
    world.store_.faults().delay_ = 200ms;
    world.submit(0, "j", 20, 0);
    world.advance(1s);
    std::vector<ReadOutcome> ends;
    for (int call = 0; call < 2; ++call)
        world.scheduler(0).end("j", false, world.now(), [&ends](const EndAnswer& answer) { ends.push_back(answer.outcome_); });
    world.advance(1s);
    CHECK(ends == std::vector { ReadOutcome::Found, ReadOutcome::Found });
    CHECK(world.notes_[SchedulerNote::JobEnded] == 1);
}

// The job's owner leaves and hands the job to another host when its end arrives: the end follows the job to its new owner. When the store
// goes silent under that change, the caller hears within the bound of a read that nobody can tell.
TEST_CASE("ledger: an end that meets a handover is sent on, or answered in time")
{
    LedgerWorld world(16);
    world.store_.faults().delay_ = 200ms;
    world.pace_ = 1000; // no result is under way, so the handover begins at once
    world.submit(1, "j", 20, 0);
    world.advance(1s);
    world.leaving_.insert(world.host(0).id_);
    world.scheduler(0).beginLeaving(world.now());
    std::optional<EndAnswer> ended;
    const auto end = [&] { world.scheduler(0).end("j", false, world.now(), [&ended](const EndAnswer& answer) { ended = answer; }); };
    SUBCASE("the change arrives")
    {
        end();
        world.advance(1s);
        REQUIRE(ended);
        CHECK(ended->outcome_ == ReadOutcome::Elsewhere);
        CHECK(ended->owner_ == world.host(1).id_);
    }
    SUBCASE("the store is silent")
    {
        world.host(0).storeCut_ = true;
        end();
        world.advance(SchedulerSettings().readBound_ + 50ms);
        REQUIRE(ended);
        CHECK(ended->outcome_ == ReadOutcome::Unsure);
    }
}

TEST_CASE("ledger: an end is acknowledged again, at any node")
{
    LedgerWorld world(6);
    world.submit(0, "j", 20, 1);
    world.advance(60ms);
    for (const bool force : { false, true, true }) {
        std::optional<EndAnswer> ended;
        world.scheduler(force ? 0 : 1).end("j", force, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
        world.advance(500ms);
        REQUIRE(ended);
        CHECK(ended->outcome_ == ReadOutcome::Found);
    }
    std::optional<EndAnswer> unknown;
    world.scheduler(0).end("none", false, world.now(), [&unknown](const EndAnswer& answer) { unknown = answer; });
    world.advance(500ms);
    CHECK(unknown->outcome_ == ReadOutcome::Missing);
}

// The owner can't be reached by the node that takes the end, and goes on running items until its next look at the heads, seconds after the
// caller was told that nothing runs any more. The mark of such an end tells it at once.
TEST_CASE("ledger: an owner that sees the mark of an end stops at once and clears it")
{
    LedgerWorld world(18);
    world.slots_ = 1;
    world.pace_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<EndAnswer> ended;
    world.scheduler(0).end("j", true, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    world.advance(100ms);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Found);
    REQUIRE(world.store_.core().objects().contains(endMarkKey("j")));
    world.scheduler(1).endMarked("j", world.now());
    world.advance(50ms);
    CHECK(world.host(1).runs_.empty());
    CHECK_FALSE(world.store_.core().objects().contains(endMarkKey("j")));
    // The same call again, when the first answer was lost, marks again: the owner may have missed the first one.
    ended.reset();
    world.scheduler(0).end("j", true, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    world.advance(100ms);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Found);
    CHECK(world.store_.core().objects().contains(endMarkKey("j")));
}

// Guards against an owner that was believed dead, lives, and goes on running items of a job whose end its successor has acknowledged.
TEST_CASE("ledger: an end at a host that took the job over stops the owner before it")
{
    LedgerWorld world(21);
    world.slots_ = 1;
    world.pace_ = 400;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    REQUIRE_FALSE(world.host(1).runs_.empty());
    world.believeDead(0, 1);
    world.scheduler(0).scan(false, world.now());
    world.advance(200ms);
    REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
    std::optional<EndAnswer> ended;
    world.scheduler(0).end("j", false, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    world.advance(200ms);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Found);
    REQUIRE(world.store_.core().objects().contains(endMarkKey("j")));
    world.scheduler(1).endMarked("j", world.now());
    world.advance(100ms);
    CHECK(world.host(1).runs_.empty());
}

// The mark can't be written. "Ended" would promise that nothing starts any more, so the caller hears that nobody can tell and asks again.
TEST_CASE("ledger: an end past the owner without its mark is not acknowledged")
{
    LedgerWorld world(19);
    world.pace_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<EndAnswer> ended;
    world.store_.faults().delay_ = 100ms;
    world.scheduler(0).end("j", true, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    const auto stateInStore = [&world] { return decodeHead(world.store_.core().objects().find(headKey("j"))->second.value_).value().state_; };
    while (stateInStore() == JobState::Open)
        world.advance(LedgerWorld::step);
    REQUIRE(world.notes_[SchedulerNote::JobEnded] == 0);
    world.host(0).storeCut_ = true; // its answer arrives, and nothing leaves any more
    world.advance(2s);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Unsure);
}

// The owner can't be reached by the node that takes the end, so the end is written past it. The owner still runs items: its next look
// at the heads, or its next write, tells it.
TEST_CASE("ledger: an owner stops a job that was ended past it")
{
    LedgerWorld world(7);
    world.slots_ = 1;
    world.pace_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<EndAnswer> ended;
    world.scheduler(0).end("j", true, world.now(), [&ended](const EndAnswer& answer) { ended = answer; });
    world.advance(100ms);
    REQUIRE(ended);
    CHECK(ended->outcome_ == ReadOutcome::Found);
    world.scheduler(1).scan(true, world.now());
    world.advance(100ms);
    CHECK(world.host(1).runs_.empty());
    const std::size_t startedBefore = world.starts_.size();
    world.advance(3s);
    CHECK(world.starts_.size() == startedBefore);
}
