// Cancellation of jobs by their callers: by the owner, bypassing the owner, and concurrent with other changes of the job.
#include "LedgerWorld.h"

using namespace jj;

// Guards against starting items of a job while the update of the head that cancels it is in flight. Slots are free during that time. When
// the update was written, the items were deleted, and the next event of such a run referred to a deleted item and crashed the process.
TEST_CASE("ledger: no item of a job starts while its cancellation is being written")
{
    LedgerWorld world(5, 1);
    world.store_.faults().delay_ = 30ms;
    world.slots_ = 2;
    world.submit(0, "j", 20, 0);
    world.advance(150ms);
    std::optional<CancelAnswer> cancelAnswer;
    const std::size_t startedBefore = world.starts_.size();
    world.scheduler(0).end("j", false, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(1s);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    CHECK(world.starts_.size() == startedBefore);
    CHECK(world.host(0).runs_.empty());
    CHECK(world.read(0, "j").total_ == 20);
}

// Guards against answering a cancellation with Unavailable while the owner is writing the head that marks the job as done. The store
// answers, and nothing of the job is left to run.
TEST_CASE("ledger: a cancellation concurrent with the owner's update of the head is acknowledged")
{
    LedgerWorld world(14, 1);
    world.submit(0, "j", 2, 0);
    world.advance(30ms);
    world.store_.faults().delay_ = 200ms;
    while (world.notes_[SchedulerNote::Listed] == 0)
        world.advance(LedgerWorld::step);
    REQUIRE(world.notes_[SchedulerNote::JobDone] == 0);
    std::vector<ReadOutcome> outcomes;
    for (int call = 0; call < 2; ++call)
        world.scheduler(0).end("j", false, world.now(), [&outcomes](const CancelAnswer& answer) { outcomes.push_back(answer.outcome_); });
    world.advance(1s);
    CHECK(outcomes == std::vector { ReadOutcome::Found, ReadOutcome::Found });
    world.checkResults("j");
}

// Guards against answering a repeated cancellation with Unavailable while the first one is still being written, which made the client
// repeat the call.
TEST_CASE("ledger: a repeated cancellation waits for the first one")
{
    LedgerWorld world(15, 1);
    world.store_.faults().delay_ = 200ms;
    world.submit(0, "j", 20, 0);
    world.advance(1s);
    std::vector<ReadOutcome> outcomes;
    for (int call = 0; call < 2; ++call)
        world.scheduler(0).end("j", false, world.now(), [&outcomes](const CancelAnswer& answer) { outcomes.push_back(answer.outcome_); });
    world.advance(1s);
    CHECK(outcomes == std::vector { ReadOutcome::Found, ReadOutcome::Found });
    CHECK(world.notes_[SchedulerNote::JobCancelled] == 1);
}

// The owner is handing the job over when the cancellation arrives. The caller is directed to the new owner. If the store stops answering
// during the handover, the caller gets Unavailable after the timeout of a read.
TEST_CASE("ledger: a cancellation during a handover is redirected to the new owner or answered in time")
{
    LedgerWorld world(16);
    world.store_.faults().delay_ = 200ms;
    world.stepsPerEvent_ = 1000; // no result is pending, so the handover begins at once
    world.submit(1, "j", 20, 0);
    for (int waits = 0; waits < 20 && world.starts_.empty(); ++waits)
        world.advance(100ms);
    REQUIRE_FALSE(world.starts_.empty());
    world.advance(SchedulerSettings().firstAnswerTimeout_);
    world.leaving_.insert(world.host(0).id_);
    world.scheduler(0).beginLeaving(world.now());
    std::optional<CancelAnswer> cancelAnswer;
    const auto end = [&] { world.scheduler(0).end("j", false, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; }); };
    SUBCASE("the change arrives")
    {
        end();
        world.advance(1s);
        REQUIRE(cancelAnswer);
        CHECK(cancelAnswer->outcome_ == ReadOutcome::OtherOwner);
        CHECK(cancelAnswer->owner_ == world.host(1).id_);
    }
    SUBCASE("the store is silent")
    {
        world.host(0).isStoreUnreachable_ = true;
        end();
        world.advance(SchedulerSettings().readTimeout_ + 50ms);
        REQUIRE(cancelAnswer);
        CHECK(cancelAnswer->outcome_ == ReadOutcome::Unavailable);
    }
}

TEST_CASE("ledger: a repeated cancellation is acknowledged by every node")
{
    LedgerWorld world(6);
    world.submit(0, "j", 20, 1);
    world.advance(60ms);
    for (const bool force : { false, true, true }) {
        std::optional<CancelAnswer> cancelAnswer;
        world.scheduler(force ? 0 : 1).end("j", force, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
        world.advance(500ms);
        REQUIRE(cancelAnswer);
        CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    }
    std::optional<CancelAnswer> unknown;
    world.scheduler(0).end("none", false, world.now(), [&unknown](const CancelAnswer& answer) { unknown = answer; });
    world.advance(500ms);
    CHECK(unknown->outcome_ == ReadOutcome::Missing);
}

// Guards against an owner that goes on running items of a cancelled job until its next scan, seconds after the acknowledgement, because the
// node that took the call couldn't reach it. The mark of the cancellation makes the owner stop at once.
TEST_CASE("ledger: an owner that sees a cancellation mark stops the job's runs and removes the mark")
{
    LedgerWorld world(18);
    world.slots_ = 1;
    world.stepsPerEvent_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<CancelAnswer> cancelAnswer;
    world.scheduler(0).end("j", true, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(100ms);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    REQUIRE(world.store_.core().objects().contains(cancelMarkKey("j")));
    world.scheduler(1).handleCancelMark("j", world.now());
    world.advance(50ms);
    CHECK(world.host(1).runs_.empty());
    CHECK_FALSE(world.store_.core().objects().contains(cancelMarkKey("j")));
    // If the first answer was lost, the repeated call writes the mark again, because the owner may have missed the first mark.
    cancelAnswer.reset();
    world.scheduler(0).end("j", true, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(100ms);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    CHECK(world.store_.core().objects().contains(cancelMarkKey("j")));
}

// Guards against an owner that was considered dead but is alive, and goes on running items of a job after its successor acknowledged a
// cancellation.
TEST_CASE("ledger: a cancellation after a takeover stops the former owner")
{
    LedgerWorld world(21);
    world.slots_ = 1;
    world.stepsPerEvent_ = 400;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    REQUIRE_FALSE(world.host(1).runs_.empty());
    world.markDeadFor(0, 1);
    world.scheduler(0).scan(false, world.now());
    world.advance(200ms);
    REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
    std::optional<CancelAnswer> cancelAnswer;
    world.scheduler(0).end("j", false, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(200ms);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    REQUIRE(world.store_.core().objects().contains(cancelMarkKey("j")));
    world.scheduler(1).handleCancelMark("j", world.now());
    world.advance(100ms);
    CHECK(world.host(1).runs_.empty());
}

// Guards against the same after the successor has been restarted, or has handed the job over: the new process or owner didn't know that the
// job had been taken over.
TEST_CASE("ledger: a cancellation stops the former owner also if its successor is replaced")
{
    for (const bool isHandedOver : { false, true }) {
        LedgerWorld world(21, 3);
        world.slots_ = 1;
        world.stepsPerEvent_ = 400;
        world.submit(0, "j", 20, 1);
        world.advance(100ms);
        REQUIRE_FALSE(world.host(1).runs_.empty());
        world.markDeadFor(0, 1);
        world.scheduler(0).scan(false, world.now());
        world.advance(200ms);
        REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
        std::size_t owner = 0;
        if (isHandedOver) {
            world.leaving_.insert(world.host(1).id_);
            world.leave(0);
            owner = 2;
        } else {
            world.kill(0);
            world.start(0);
            world.scheduler(0).scan(false, world.now());
        }
        world.advance(1s);
        REQUIRE(world.scheduler(owner).openJobs() == 1);
        std::optional<CancelAnswer> cancelAnswer;
        world.scheduler(owner).end("j", false, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
        world.advance(200ms);
        REQUIRE(cancelAnswer);
        CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
        CHECK(world.store_.core().objects().contains(cancelMarkKey("j")));
    }
}

// Guards against acknowledging a cancellation whose mark can't be written: the owner may still start items, so the caller must get
// Unavailable and repeat the call.
TEST_CASE("ledger: a cancellation that bypasses the owner is not acknowledged without its mark")
{
    LedgerWorld world(19);
    world.stepsPerEvent_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<CancelAnswer> cancelAnswer;
    world.store_.faults().delay_ = 100ms;
    world.scheduler(0).end("j", true, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    const auto storedState = [&world] { return decodeHead(world.store_.core().objects().find(headKey("j"))->second.value_).value().state_; };
    while (storedState() == JobState::Open)
        world.advance(LedgerWorld::step);
    REQUIRE(world.notes_[SchedulerNote::JobCancelled] == 0);
    world.host(0).isStoreUnreachable_ = true; // the answer to the pending call arrives, but no further call reaches the store
    world.advance(2s);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Unavailable);
}

// Guards against acknowledging the repeated call without the mark that the first one couldn't write.
TEST_CASE("ledger: a repeated cancellation after a takeover is not acknowledged without its mark either")
{
    LedgerWorld world(23);
    world.stepsPerEvent_ = 400;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    world.markDeadFor(0, 1);
    world.scheduler(0).scan(false, world.now());
    world.advance(200ms);
    REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
    std::vector<ReadOutcome> outcomes;
    const auto cancel = [&] { world.scheduler(0).end("j", false, world.now(), [&outcomes](const CancelAnswer& answer) { outcomes.push_back(answer.outcome_); }); };
    world.store_.faults().delay_ = 100ms;
    cancel();
    const auto storedState = [&world] { return decodeHead(world.store_.core().objects().find(headKey("j"))->second.value_).value().state_; };
    while (storedState() == JobState::Open)
        world.advance(LedgerWorld::step);
    world.host(0).isStoreUnreachable_ = true; // the answer to the pending call arrives, but no further call reaches the store
    world.advance(3s);
    REQUIRE(outcomes.size() == 1);
    REQUIRE(static_cast<int>(outcomes.front()) == static_cast<int>(ReadOutcome::Unavailable));
    world.host(0).isStoreUnreachable_ = false;
    cancel();
    world.advance(3s);
    CHECK(outcomes == std::vector { ReadOutcome::Unavailable, ReadOutcome::Found });
    CHECK(world.store_.core().objects().contains(cancelMarkKey("j")));
}

// The node that takes the cancellation can't reach the owner and updates the head in the store. The owner is still running items, and stops
// them at its next scan or its next update of the head.
TEST_CASE("ledger: an owner stops a job that was cancelled bypassing it")
{
    LedgerWorld world(7);
    world.slots_ = 1;
    world.stepsPerEvent_ = 40;
    world.submit(0, "j", 20, 1);
    world.advance(100ms);
    std::optional<CancelAnswer> cancelAnswer;
    world.scheduler(0).end("j", true, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(100ms);
    REQUIRE(cancelAnswer);
    CHECK(cancelAnswer->outcome_ == ReadOutcome::Found);
    world.scheduler(1).scan(true, world.now());
    world.advance(100ms);
    CHECK(world.host(1).runs_.empty());
    const std::size_t startedBefore = world.starts_.size();
    world.advance(3s);
    CHECK(world.starts_.size() == startedBefore);
}

// Guards against results at two positions, and items that run and are listed twice: a cancellation failed while the job was being loaded, and
// the loading was started a second time beside the first one.
TEST_CASE("ledger: a cancellation that fails while the job is being loaded doesn't load it twice")
{
    constexpr std::uint32_t items = 5;
    LedgerWorld world(61, 1);
    world.slots_ = 1;
    world.submit(0, "j", items, 0);
    while (world.stored("j").empty())
        world.advance(100ms);
    const auto listed = world.stored("j");
    REQUIRE(listed.size() < items);
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    JobTransfer transfer { "j", decodeHead(head.value_).value(), head.version_, {}, 0, true, {} };
    SUBCASE("its results") { transfer.items_ = LedgerWorld::submission("j", items).items_; }
    SUBCASE("its items") { }
    world.kill(0);
    world.start(0);
    world.host(0).isStoreUnreachable_ = true;
    world.scheduler(0).adopt(transfer, world.now(), world.wall());
    std::optional<CancelAnswer> cancelAnswer;
    world.scheduler(0).end("j", false, world.now(), [&cancelAnswer](const CancelAnswer& answer) { cancelAnswer = answer; });
    world.advance(SchedulerSettings().itemsTimeout_ + 3s);
    REQUIRE(cancelAnswer);
    REQUIRE(cancelAnswer->outcome_ == ReadOutcome::Unavailable);
    world.host(0).isStoreUnreachable_ = false;
    world.advance(5s);
    CHECK(world.read(0, "j").results_ == world.stored("j"));
    CHECK(world.stored("j").size() == items);
    world.checkResults("j");
}
