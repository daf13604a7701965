// Items that must not start after the end of their job was acknowledged, whatever their owner learns late or never.
#include "LateStarts.h"
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = 20;
constexpr Duration observed = 10s;

// A job of which one host runs one item after the other, 0.8 s each, while another host takes the calls of its callers.
class BusyOwner {
public:
    static constexpr std::size_t entry = 0;
    static constexpr std::size_t owner = 1;

    explicit BusyOwner(std::uint64_t seed, std::size_t hosts = 2)
        : world_(seed, hosts)
        , late_(world_)
    {
        world_.slots_ = 1;
        world_.stepsPerEvent_ = 40;
        // Nodes that were available throughout don't confirm their ownership by themselves.
        world_.advance(SchedulerSettings().replacementWindow_ + 1s);
    }

    void submit()
    {
        world_.submit(entry, "j", items, owner);
        world_.advance(1s);
        REQUIRE(world_.starts_.size() > 1);
    }

    std::optional<ReadOutcome> end(std::size_t index, bool force)
    {
        std::optional<ReadOutcome> outcome;
        world_.scheduler(index).end("j", force, world_.now(), [this, &outcome](const CancelAnswer& answer) {
            outcome = answer.outcome_;
            if (answer.outcome_ == ReadOutcome::Found)
                late_.acknowledged("j");
        });
        for (int steps = 0; steps < 400 && !outcome; ++steps)
            world_.advance(LedgerWorld::step);
        return outcome;
    }

    void check()
    {
        REQUIRE(late_.isAcknowledged("j"));
        world_.advance(observed);
        CHECK(late_.count() == 0);
        CHECK(late_.latest() <= SchedulerSettings().startConfirmationLifetime_);
    }

    LedgerWorld world_;
    LateStarts late_;
};

} // namespace

// Guards against an owner that never learns of the end: nothing reaches it, and it doesn't scan the heads.
TEST_CASE("ledger: late starts: an owner that isn't notified of its job's end starts no item")
{
    BusyOwner busy(1);
    busy.submit();
    busy.end(BusyOwner::entry, true);
    busy.check();
}

// Guards against a mark that is consumed by a host that doesn't have the job.
TEST_CASE("ledger: late starts: a mark that another host has handled first")
{
    BusyOwner busy(2);
    busy.submit();
    busy.end(BusyOwner::entry, true);
    busy.world_.scheduler(BusyOwner::entry).handleCancelMark("j", busy.world_.now());
    busy.world_.advance(100ms);
    busy.check();
}

// Guards against a mark that is removed before the host that it is meant for has seen it.
TEST_CASE("ledger: late starts: a mark stays until the job's owner has read the head")
{
    BusyOwner busy(3);
    busy.submit();
    busy.end(BusyOwner::entry, true);
    busy.world_.scheduler(BusyOwner::entry).handleCancelMark("j", busy.world_.now());
    busy.world_.advance(100ms);
    CHECK(busy.world_.store_.core().objects().contains(cancelMarkKey("j")));
    busy.world_.scheduler(BusyOwner::owner).handleCancelMark("j", busy.world_.now());
    busy.world_.advance(100ms);
    CHECK(busy.world_.host(BusyOwner::owner).runs_.empty());
    CHECK_FALSE(busy.world_.store_.core().objects().contains(cancelMarkKey("j")));
}

// Guards against a mark that is meant for a former owner, and that its successor removes.
TEST_CASE("ledger: late starts: a mark stays until the job's former owner has seen it")
{
    BusyOwner busy(10);
    LedgerWorld& world = busy.world_;
    world.stepsPerEvent_ = 400; // no run ends meanwhile, whose result would show the former owner that it was replaced
    world.submit(BusyOwner::entry, "j", items, BusyOwner::owner);
    world.advance(100ms);
    world.markDead(BusyOwner::owner);
    world.scheduler(BusyOwner::entry).scan(false, world.now());
    world.advance(200ms);
    REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
    busy.end(BusyOwner::entry, false);
    world.scheduler(BusyOwner::entry).handleCancelMark("j", world.now());
    world.advance(100ms);
    CHECK(world.store_.core().objects().contains(cancelMarkKey("j")));
    REQUIRE_FALSE(world.host(BusyOwner::owner).runs_.empty());
    world.scheduler(BusyOwner::owner).handleCancelMark("j", world.now());
    world.advance(100ms);
    CHECK(world.host(BusyOwner::owner).runs_.empty());
}

// Guards against a message that is overtaken by the end of its job: the host that the head names acknowledges the end without having the job.
TEST_CASE("ledger: late starts: the message of an acceptance comes after the end")
{
    BusyOwner busy(4);
    LedgerWorld& world = busy.world_;
    world.loseTransfers_ = true;
    const WallTime acceptedAt = world.wall();
    world.submit(BusyOwner::entry, "j", items, BusyOwner::owner);
    world.advance(20ms);
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    const JobTransfer message { "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} };
    busy.end(BusyOwner::owner, false);
    world.scheduler(BusyOwner::owner).handleCancelMark("j", world.now());
    SUBCASE("at once") { }
    SUBCASE("200 ms later") { world.advance(200ms); }
    SUBCASE("400 ms later") { world.advance(400ms); }
    REQUIRE(world.wall() - acceptedAt <= SchedulerSettings().longestAcceptance_);
    world.scheduler(BusyOwner::owner).adopt(message, world.now(), world.wall());
    busy.check();
}

// Guards against a handover's message that is overtaken by the end of its job.
TEST_CASE("ledger: late starts: the message of a handover comes after the end")
{
    BusyOwner busy(5);
    LedgerWorld& world = busy.world_;
    world.loseTransfers_ = true;
    const WallTime acceptedAt = world.wall();
    world.submit(BusyOwner::owner, "j", items, BusyOwner::entry);
    world.advance(20ms);
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    JobHead handedOver = decodeHead(head.value_).value();
    handedOver.owner_ = world.host(BusyOwner::owner).id_;
    const ObjectAnswer update = world.store_.core().apply(ObjectCall::update(headKey("j"), encode(handedOver), head.version_), world.now());
    REQUIRE(update.ok());
    busy.end(BusyOwner::entry, true);
    world.advance(50ms);
    REQUIRE(world.wall() - acceptedAt <= SchedulerSettings().longestAcceptance_);
    world.scheduler(BusyOwner::owner).adopt({ "j", handedOver, update.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, world.now(), world.wall());
    busy.check();
}

// Guards against a repeated end that is acknowledged although the first one couldn't write its mark.
TEST_CASE("ledger: late starts: a repeated end whose first try wrote the head alone")
{
    BusyOwner busy(6);
    busy.submit();
    LedgerWorld& world = busy.world_;
    world.store_.faults().delay_ = 100ms;
    std::optional<ReadOutcome> first;
    world.scheduler(BusyOwner::entry).end("j", true, world.now(), [&first](const CancelAnswer& answer) { first = answer.outcome_; });
    const auto storedState = [&world] { return decodeHead(world.store_.core().objects().find(headKey("j"))->second.value_).value().state_; };
    while (storedState() == JobState::Open)
        world.advance(LedgerWorld::step);
    world.host(BusyOwner::entry).isStoreUnreachable_ = true; // the answer to the pending call arrives, but no further call reaches the store
    world.advance(1500ms);
    REQUIRE(first);
    REQUIRE((*first == ReadOutcome::Unavailable));
    world.host(BusyOwner::entry).isStoreUnreachable_ = false;
    world.store_.faults().delay_ = 2ms;
    REQUIRE((busy.end(BusyOwner::entry, false) == ReadOutcome::Found));
    busy.check();
}

// Guards against an owner that can't read the store while others acknowledge the end of its job.
TEST_CASE("ledger: late starts: the store is away for the owner alone")
{
    BusyOwner busy(7);
    busy.submit();
    busy.world_.host(BusyOwner::owner).isStoreUnreachable_ = true;
    busy.end(BusyOwner::entry, true);
    SUBCASE("and the owner sees no mark") { }
    SUBCASE("and the owner sees the mark") { busy.world_.scheduler(BusyOwner::owner).handleCancelMark("j", busy.world_.now()); }
    busy.check();
}

// Guards against a former owner that goes on with items of a job that its successor has completed.
TEST_CASE("ledger: late starts: a former owner of a completed job")
{
    BusyOwner busy(8);
    LedgerWorld& world = busy.world_;
    // Without a run it writes no result, whose conflict would show it that it was replaced.
    world.host(BusyOwner::owner).areEnginesBusy_ = true;
    world.submit(BusyOwner::entry, "j", items, BusyOwner::owner);
    world.advance(100ms);
    world.markDead(BusyOwner::owner);
    world.slots_ = items;
    world.scheduler(BusyOwner::entry).scan(false, world.now());
    while (world.stored("j").size() < items)
        world.advance(100ms);
    REQUIRE((busy.end(BusyOwner::entry, false) == ReadOutcome::Found));
    world.host(BusyOwner::owner).areEnginesBusy_ = false;
    busy.check();
}

// Guards against an owner that was suspended while its job ended, and starts items when it goes on.
TEST_CASE("ledger: late starts: an owner that is suspended while its job ends")
{
    BusyOwner busy(9);
    busy.submit();
    LedgerWorld& world = busy.world_;
    world.pause(BusyOwner::owner);
    busy.end(BusyOwner::entry, true);
    world.advance(5s);
    world.host(BusyOwner::owner).isStoreUnreachable_ = true;
    world.resume(BusyOwner::owner);
    busy.check();
}

// Guards against items that a new owner starts although another one has listed them, and may have acknowledged the job's end: the head shows
// that there may be results, and their pages can't be read.
TEST_CASE("ledger: late starts: an owner that may lack results starts no item until it has read them")
{
    SingleOwner owner;
    owner.load();
    REQUIRE(owner.scheduler_.startNext("s", owner.now_));
    owner.replaceForATime(1, { {} }, JobState::Open);
    owner.now_ += SchedulerSettings().pauseThreshold_ + 1s;
    owner.failingKind_ = "job-results/";
    owner.scheduler_.tick(owner.now_, owner.wall());
    REQUIRE(owner.failingKind_.empty());
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    owner.advance(SchedulerSettings().storeRetryDelay_ + SingleOwner::tickInterval);
    CHECK(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against a query that took too long and then holds up the items of other jobs.
TEST_CASE("ledger: late starts: a job whose confirmation comes too late waits for another one and holds up no other job")
{
    SingleOwner owner;
    owner.load();
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    const Duration tooLong = SchedulerSettings().startConfirmationLifetime_ + SingleOwner::tickInterval;
    owner.heldKind_ = "jobs/";
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    REQUIRE(owner.heldAnswer_);
    owner.advance(tooLong);
    std::exchange(owner.heldAnswer_, {})();
    CHECK(owner.scheduler_.waiting(owner.now_).empty());
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
    owner.advance(SchedulerSettings().storeRetryDelay_ + SingleOwner::tickInterval);
    CHECK(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against an end that is acknowledged while the job is marked void: its missing items have arrived, and it is opened again.
TEST_CASE("ledger: late starts: a job that is void for a moment is not reported as ended")
{
    SingleOwner owner(2);
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(SchedulerSettings().itemsTimeout_ - SchedulerSettings().storeRetryDelay_ / 2);
    owner.heldKind_ = itemPageKey("j", 1);
    for (int ticks = 0; ticks < 20 && !owner.heldAnswer_; ++ticks)
        owner.advance(100ms);
    REQUIRE(owner.heldAnswer_);
    owner.writeItemPage(1);
    owner.now_ += 500ms;
    owner.heldWriteKind_ = "jobs/"; // the write that marks the job void
    std::exchange(owner.heldAnswer_, {})();
    REQUIRE(owner.heldAnswer_);
    REQUIRE((owner.storedHead().state_ == JobState::Void));
    owner.heldKind_ = itemPageKey("j", 1);
    std::exchange(owner.heldAnswer_, {})();
    REQUIRE(owner.heldAnswer_);
    std::optional<ReadOutcome> outcome;
    owner.scheduler_.end("j", false, owner.now_, [&outcome](const CancelAnswer& answer) { outcome = answer.outcome_; });
    std::exchange(owner.heldAnswer_, {})();
    owner.advance(3s);
    REQUIRE(outcome);
    CHECK((*outcome == ReadOutcome::Found));
    CHECK((owner.storedHead().state_ == JobState::Cancelled));
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}
