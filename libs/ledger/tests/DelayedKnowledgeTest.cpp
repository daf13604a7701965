// Messages and updates of a job's head that take effect, or are delivered, long after they were sent.
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = SingleOwner::items;

const std::vector<JobResult> listed { { "j-3", ResultState::Completed, "e1" } };

} // namespace

// Guards against reads that miss results: an entry that was suspended sends its first message after the job's end and its owner's restart.
TEST_CASE("ledger: a message of an entry that was suspended doesn't hide the results of a job that is done")
{
    LedgerWorld world(61, 2, SchedulerSettings());
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.submit(1, "j", items, 0);
    world.advance(LedgerWorld::step);
    world.pause(1);
    world.advance(100ms);
    world.scheduler(0).scan(false, world.now());
    world.advance(3s);
    REQUIRE(world.read(0, "j").results_.size() == items);
    world.kill(0);
    world.start(0);
    world.scheduler(0).scan(false, world.now());
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.slots_ = 0;
    world.resume(1);
    REQUIRE(world.notes_[SchedulerNote::Adopted] == 1);
    const ReadAnswer answer = world.read(0, "j");
    CHECK((answer.outcome_ != ReadOutcome::Found || answer.results_.size() == items));
}

// Guards against reads that miss results: an entry that was suspended sends its first message to an owner that has been replaced meanwhile.
TEST_CASE("ledger: a message of an entry that was suspended doesn't make a replaced owner take the job for new")
{
    LedgerWorld world(62, 3, SchedulerSettings());
    world.slots_ = 1;
    world.stepsPerEvent_ = 200; // runs of 4 s
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.submit(1, "j", items, 0);
    world.advance(LedgerWorld::step);
    world.pause(1);
    world.pause(0);
    world.markDead(0);
    world.markDead(1);
    world.advance(3s);
    world.scheduler(2).scan(false, world.now());
    world.advance(6s);
    world.resume(0);
    world.markDead(0, false);
    world.markDead(1, false);
    world.scheduler(0).scan(false, world.now());
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    REQUIRE(world.notes_[SchedulerNote::TakenOver] == 1);
    const auto known = world.read(2, "j").results_;
    REQUIRE_FALSE(known.empty());
    world.resume(1);
    world.advance(500ms);
    const ReadAnswer answer = world.read(0, "j");
    CHECK((answer.outcome_ != ReadOutcome::Found || answer.results_.size() >= known.size()));
}

// Guards against items that start after a cancellation was acknowledged: a late message reaches a process that began after the cancellation.
TEST_CASE("ledger: a late message of an acceptance doesn't start items of a cancelled job")
{
    SingleOwner owner;
    const ObjectEntry head = owner.store_.objects().at(headKey("j"));
    JobHead cancelled = owner.storedHead();
    cancelled.state_ = JobState::Cancelled;
    owner.writeHead(cancelled);
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(1s);
    owner.scheduler_.adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, owner.now_, owner.wall());
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}
