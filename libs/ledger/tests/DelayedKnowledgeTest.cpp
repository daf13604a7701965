// Messages and updates of a job's head that take effect, or are delivered, long after they were sent.
#include "SingleOwner.h"

using namespace jj;

namespace {

constexpr std::uint32_t items = SingleOwner::items;

const std::vector<JobResult> listed { { "j-3", ResultState::Completed, "e1" } };

} // namespace

// Guards against reads that miss results: an owner's handover has taken effect without its knowledge, and the next owner lists results.
TEST_CASE("ledger: an owner whose handover has no answer yet doesn't answer from memory")
{
    SingleOwner owner;
    // A node that was available throughout doesn't confirm its ownership by itself.
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    owner.scheduler_.scan(false, owner.now_);
    owner.preferred_ = SingleOwner::other;
    owner.heldWriteKind_ = "jobs/";
    owner.scheduler_.handOverMisplaced(owner.now_);
    REQUIRE(owner.storedHead().owner_ == SingleOwner::other);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 1), encode(std::vector<JobResult>())), owner.now_);
    owner.store_.apply(ObjectCall::create(resultPageKey("j", 2), encode(listed)), owner.now_);
    REQUIRE(owner.read(true).results_ == listed);
    owner.advance(2s);
    SUBCASE("a read without a wait") { }
    SUBCASE("after a scan") { owner.scheduler_.scan(false, owner.now_); }
    const ReadAnswer answer = owner.read();
    CHECK((answer.outcome_ != ReadOutcome::Found || answer.results_ == listed));
}

// Guards against reads that miss results: a leaving owner doesn't learn that its handover took effect, because it is cut off from the store.
TEST_CASE("ledger: a leaving owner that is cut off from the store during a handover doesn't hide the next owner's results")
{
    LedgerWorld world(63, 2);
    world.slots_ = 1;
    world.stepsPerEvent_ = 50; // runs of a second
    // A node that was available throughout doesn't confirm its ownership by itself.
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.submit(1, "j", items, 0);
    world.advance(2s);
    const std::size_t before = world.stored("j").size();
    REQUIRE(before < items);
    world.leave(0);
    world.store_.faults().lostAfter_ = 1;
    const auto owner = [&world] { return decodeHead(world.store_.core().objects().at(headKey("j")).value_).value().owner_; };
    while (owner() != world.host(1).id_)
        world.advance(LedgerWorld::step);
    world.host(0).isStoreUnreachable_ = true;
    world.store_.faults().lostAfter_ = 0;
    world.advance(100ms);
    world.scheduler(1).scan(false, world.now());
    world.advance(3s);
    SUBCASE("while the outcome is unknown") { }
    SUBCASE("after the update was given up") { world.advance(SchedulerSettings().itemsTimeout_); }
    const auto known = world.read(1, "j").results_;
    REQUIRE(known.size() > before);
    world.advance(1s);
    const ReadAnswer answer = world.read(0, "j", static_cast<std::uint32_t>(before));
    CHECK((answer.outcome_ != ReadOutcome::Found || !answer.results_.empty()));
}

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
    owner.scheduler_.adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, owner.now_, LedgerWorld::wallStart);
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against a new owner that misses results: the node that hands the job over has seen a changed head and not yet read the pages.
TEST_CASE("ledger: a handover by an owner that lacks pages tells the new owner to load the results")
{
    SingleOwner owner;
    // The owner learns of the job from a message, so that it has no page.
    JobHead head = owner.storedHead();
    head.owner_ = SingleOwner::other;
    owner.writeHead(head);
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(SchedulerSettings().replacementWindow_ + 1s);
    head.owner_ = SingleOwner::self;
    owner.writeHead(head);
    const ObjectEntry stored = owner.store_.objects().at(headKey("j"));
    owner.scheduler_.adopt({ "j", head, stored.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, owner.now_, LedgerWorld::wallStart);
    owner.replaceForATime(0, { listed }, JobState::Open);
    SUBCASE("its read of a page failed") { owner.failingKind_ = "job-results/"; }
    SUBCASE("its read of a page is under way") { owner.heldKind_ = "job-results/"; }
    owner.scheduler_.scan(false, owner.now_);
    owner.preferred_ = SingleOwner::other;
    owner.scheduler_.handOverMisplaced(owner.now_);
    REQUIRE(owner.transfers_.size() == 1);
    const JobTransfer& transfer = owner.transfers_.front();
    CHECK((transfer.mayHaveResults_ || transfer.resultPages_ > 0));
}

// Guards against items that start after a cancellation was acknowledged: the owner has heard of the mark and can't reach the store.
TEST_CASE("ledger: an owner that has heard of a cancellation's mark starts no items while it can't read the head")
{
    SingleOwner owner;
    owner.scheduler_.scan(false, owner.now_);
    JobHead head = owner.storedHead();
    head.state_ = JobState::Cancelled;
    owner.writeHead(head);
    owner.areHeadReadsLost_ = true;
    owner.scheduler_.handleCancelMark("j", owner.now_);
    owner.advance(4s);
    CHECK_FALSE(owner.scheduler_.startNext("s", owner.now_));
}

// Guards against the loss of an accepted job: its owner marks it void after another submission has completed and acknowledged it.
TEST_CASE("ledger: a job whose missing items arrive while its owner marks it void isn't lost")
{
    SingleOwner owner(2);
    owner.scheduler_.scan(false, owner.now_);
    owner.advance(SchedulerSettings().itemsTimeout_ - SchedulerSettings().storeRetryDelay_ / 2);
    REQUIRE((owner.storedHead().state_ == JobState::Open));
    owner.heldKind_ = itemPageKey("j", 1);
    for (int ticks = 0; ticks < 20 && !owner.heldAnswer_; ++ticks)
        owner.advance(100ms);
    REQUIRE(owner.heldAnswer_);
    owner.writeItemPage(1);
    Acceptor acceptor([&owner](const ObjectCall& call, CallClass, TimePoint, const SettledCompletion& done) { done({ owner.store_.apply(call, owner.now_), owner.now_ }, owner.now_); });
    AcceptOutcome outcome = AcceptOutcome::Unknown;
    acceptor.accept(LedgerWorld::submission("j", items), SingleOwner::self, 2s, owner.now_, LedgerWorld::wallStart, [&outcome](const Acceptance& acceptance, TimePoint) { outcome = acceptance.outcome_; });
    REQUIRE((outcome == AcceptOutcome::AlreadyAccepted));
    owner.now_ += 500ms;
    std::exchange(owner.heldAnswer_, {})();
    owner.advance(2s);
    CHECK((owner.storedHead().state_ == JobState::Open));
    CHECK((owner.read(true).outcome_ == ReadOutcome::Found));
}

// Guards against reads that miss results: a node that knows that it may be replaced takes a late message for a confirmation of its ownership.
TEST_CASE("ledger: a node that may have been replaced queries the store before it answers for a job that a message gave it")
{
    LedgerWorld world(64, 2);
    world.advance(SchedulerSettings().replacementWindow_ + 1s);
    world.loseTransfers_ = true;
    world.submit(0, "j", items, 1);
    world.advance(20ms);
    const ObjectEntry head = *world.store_.core().apply(ObjectCall::list(headKey("j"), true), world.now()).entries_.begin();
    world.cutOff(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(1s);
    REQUIRE(world.read(0, "j").results_.size() == items);
    world.slots_ = 0;
    world.advance(1s);
    world.scheduler(1).adopt({ "j", decodeHead(head.value_).value(), head.version_, LedgerWorld::submission("j", items).items_, 0, false, {} }, world.now(), world.wall());
    world.advance(100ms);
    const ReadAnswer answer = world.read(1, "j");
    CHECK((answer.outcome_ != ReadOutcome::Found || answer.results_.size() == items));
}
