// A job's way: taken in, run, read, ended, handed over, taken over.
#include "LedgerWorld.h"

using namespace jj;

TEST_CASE("ledger: a job is accepted, run, listed and done")
{
    LedgerWorld world(1);
    world.submit(0, "j", 10, 1);
    world.advance(50ms);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted });
    world.advance(2s);
    const ReadAnswer answer = world.read(1, "j");
    CHECK(answer.outcome_ == ReadOutcome::Found);
    CHECK(answer.total_ == 10);
    CHECK(answer.next_ == 10);
    world.checkResults("j");
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
    // Results come back from any node, by way of the store.
    CHECK(world.read(0, "j", 4, {}, true).results_.size() == 6);
}

TEST_CASE("ledger: a reader that waits hears of the next result")
{
    LedgerWorld world(2);
    world.submit(0, "j", 1, 1);
    world.advance(30ms);
    const ReadAnswer answer = world.read(1, "j", 0, 1s);
    CHECK(answer.results_.size() == 1);
    const ReadAnswer empty = world.read(1, "j", 1, 1s);
    CHECK(empty.outcome_ == ReadOutcome::Found);
    CHECK(empty.results_.empty());
}

TEST_CASE("ledger: a job that comes again is the same job")
{
    LedgerWorld world(3);
    world.submit(0, "j", 3, 1);
    world.advance(100ms);
    world.submit(1, "j", 3, 0);
    world.advance(2s);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted, AcceptOutcome::AlreadyAccepted });
    CHECK(world.stored("j").size() == 3);
    world.checkResults("j");
}

TEST_CASE("ledger: submissions that can't be taken are refused with their fault")
{
    LedgerWorld world(4);
    const auto outcomeOf = [&world](JobSubmission job) {
        std::optional<Acceptance> got;
        world.host(0).acceptor_->accept(std::move(job), NodeId(100), 1s, world.now(), world.wall(), [&got](const Acceptance& acceptance, TimePoint) { got = acceptance; });
        REQUIRE(got);
        return *got;
    };
    CHECK(outcomeOf(LedgerWorld::submission("no/slash", 1)).failure_.code_ == LedgerError::BadJobName);
    CHECK(outcomeOf(LedgerWorld::submission("j", 0)).failure_.code_ == LedgerError::NoItems);
    JobSubmission twice = LedgerWorld::submission("j", 2);
    twice.items_[1].id_ = twice.items_[0].id_;
    CHECK(outcomeOf(twice).failure_.code_ == LedgerError::DuplicateItem);
    JobSubmission large = LedgerWorld::submission("j", 1);
    large.items_[0].body_.assign(maxObjectBytes, 'A');
    CHECK(outcomeOf(large).failure_.code_ == LedgerError::ItemTooLarge);
}

TEST_CASE("ledger: an item that fails is listed as errored after its attempts, one that is impossible at once")
{
    LedgerWorld world(8);
    std::map<std::string, int> runs;
    world.endOf_ = [&runs](const ItemRun& run) {
        ++runs[run.item_];
        return run.item_ == "j-0" ? RunEnd::Failed : run.item_ == "j-1" ? RunEnd::Impossible
                                                                        : RunEnd::Completed;
    };
    world.submit(0, "j", 3, 1);
    world.advance(5s);
    CHECK(runs["j-0"] == 3);
    CHECK(runs["j-1"] == 1);
    int errored = 0;
    for (const JobResult& result : world.stored("j"))
        errored += result.state_ == ResultState::Errored ? 1 : 0;
    CHECK(errored == 2);
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
}

TEST_CASE("ledger: an item goes on behind its last event, or begins anew when the engine is out of step")
{
    LedgerWorld world(9);
    std::vector<std::optional<std::uint64_t>> resumes;
    world.submit(0, "j", 1, 1);
    world.advance(30ms);
    world.slots_ = 0;
    world.advance(30ms);
    REQUIRE(world.host(1).runs_.size() == 1);
    const ItemRun first = world.host(1).runs_[0];
    world.host(1).runs_.clear();
    world.scheduler(1).ended(first.id_, RunEnd::Broken, world.now());
    world.advance(500ms);
    const auto second = world.scheduler(1).startNext("s", world.now());
    REQUIRE(second);
    CHECK(second->resumeAfter_);
    world.scheduler(1).ended(second->id_, RunEnd::OutOfStep, world.now());
    world.advance(2s);
    const auto third = world.scheduler(1).startNext("s", world.now());
    REQUIRE(third);
    CHECK_FALSE(third->resumeAfter_);
    world.scheduler(1).ended(third->id_, RunEnd::GivenWay, world.now());
    world.slots_ = 1;
    world.advance(3s);
    CHECK(world.stored("j").size() == 1);
    world.checkResults("j");
}

// The owner dies. The other node lists the heads, finds the job without a live owner, takes it, and lists the rest behind what the
// dead owner had listed. A reader sees the same positions as before.
TEST_CASE("ledger: a dead owner's job is taken over behind what it had listed")
{
    LedgerWorld world(10);
    world.pace_ = 12;
    world.slots_ = 2;
    world.submit(0, "j", 12, 1);
    world.advance(700ms);
    const auto before = world.stored("j");
    REQUIRE_FALSE(before.empty());
    REQUIRE(before.size() < 12);
    world.kill(1);
    world.bury(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(4s);
    const auto after = world.stored("j");
    CHECK(after.size() == 12);
    CHECK(std::equal(before.begin(), before.end(), after.begin()));
    world.checkResults("j");
    CHECK(world.notes_[SchedulerNote::TakenOver] == 1);
}

// The owner stands still for seconds; another node takes its job and lists results. The owner wakes with finished items in hand and
// writes them. An item with two results, or another order of positions on each node, is what a caller would see.
TEST_CASE("ledger: a paused owner that wakes changes nothing that another has listed")
{
    LedgerWorld world(11);
    world.slots_ = 3;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.bury(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(600ms);
    const auto byOther = world.stored("j");
    world.bury(1, false);
    world.wake(1);
    world.advance(5s);
    const auto all = world.stored("j");
    CHECK(all.size() == 12);
    CHECK(std::equal(byOther.begin(), byOther.end(), all.begin()));
    world.checkResults("j");
}

// The same, and a reader asks the owner right after it has woken, for what the other node had already shown.
TEST_CASE("ledger: a paused owner that wakes asks the store before it answers a read")
{
    LedgerWorld world(12);
    world.slots_ = 3;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.bury(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(5s);
    REQUIRE(world.stored("j").size() == 12);
    world.wake(1);
    const ReadAnswer answer = world.read(1, "j", 0);
    CHECK(answer.outcome_ == ReadOutcome::Found);
    CHECK(answer.next_ == 12);
}

TEST_CASE("ledger: a restarted owner finds its jobs, and the store's answer is enough")
{
    LedgerWorld world(13);
    world.slots_ = 2;
    world.submit(0, "j", 12, 1);
    world.advance(400ms);
    world.kill(1);
    world.advance(500ms);
    world.start(1);
    world.scheduler(1).tick(world.now(), world.wall());
    world.scheduler(1).scan(false, world.now());
    world.advance(5s);
    CHECK(world.stored("j").size() == 12);
    world.checkResults("j");
}

// The accepting node dies right after its acknowledgement, and the owner never heard of the job.
TEST_CASE("ledger: an owner finds a job that nobody sent it")
{
    LedgerWorld world(14);
    world.loseTransfers_ = true;
    world.submit(0, "j", 3, 1);
    world.advance(100ms);
    REQUIRE(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted });
    world.kill(0);
    world.scheduler(1).scan(true, world.now());
    world.advance(3s);
    CHECK(world.stored("j").size() == 3);
}

TEST_CASE("ledger: a node that leaves hands its jobs on with what their runs have brought")
{
    LedgerWorld world(15);
    world.pace_ = 30;
    world.submit(0, "j", 4, 1);
    world.advance(250ms);
    world.leaving_.insert(world.host(1).id_);
    world.scheduler(1).beginLeaving(world.now());
    world.advance(300ms);
    CHECK(world.scheduler(1).hasLeft());
    CHECK(world.scheduler(0).openJobs() == 1);
    bool resumed = false;
    for (const ItemRun& run : world.host(0).runs_)
        resumed = resumed || run.resumeAfter_.has_value();
    CHECK(resumed);
    world.advance(5s);
    CHECK(world.stored("j").size() == 4);
    world.checkResults("j");
}

// The store is away when a job comes. "Not run" must be true: nothing of the job runs when the store is back.
TEST_CASE("ledger: a job that the store refused never runs")
{
    LedgerWorld world(16);
    world.store_.core().setOutage(true);
    world.submit(0, "j", 3, 1);
    world.advance(4s);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::NotAccepted });
    world.store_.core().setOutage(false);
    world.scheduler(0).scan(false, world.now());
    world.scheduler(1).scan(false, world.now());
    world.advance(5s);
    CHECK(world.starts_.empty());
}

// The store is away while the owner has results in hand. They are listed when it is back, once each.
TEST_CASE("ledger: results wait for the store to come back")
{
    LedgerWorld world(17);
    bool isNewcomer = false;
    SUBCASE("of an owner that was there all the while") { world.advance(11s); }
    SUBCASE("of one that has just started, and may have been replaced") { isNewcomer = true; }
    world.submit(0, "j", 6, 1);
    world.advance(30ms);
    world.store_.core().setOutage(true);
    world.advance(3s);
    CHECK(world.stored("j").empty());
    CHECK(world.read(1, "j").outcome_ == (isNewcomer ? ReadOutcome::Unsure : ReadOutcome::Found));
    world.store_.core().setOutage(false);
    world.advance(3s);
    CHECK(world.stored("j").size() == 6);
    world.checkResults("j");
}

// A submission's head arrives and its items never do. Nobody was told "accepted"; the job must not stay open for ever.
TEST_CASE("ledger: a head without items is given up, and revived by the next submission")
{
    LedgerWorld world(18);
    JobHead head = LedgerWorld::submission("j", 1).head_;
    head.owner_ = world.host(1).id_;
    head.total_ = 2;
    head.itemPages_ = 1;
    head.acceptedAt_ = world.wall();
    world.store_.core().apply(ObjectCall::create(headKey("j"), encode(head)), world.now());
    world.scheduler(1).tick(world.now(), world.wall());
    world.scheduler(1).scan(false, world.now());
    world.advance(15s);
    CHECK(world.notes_[SchedulerNote::JobVoid] == 1);
    CHECK(world.read(0, "j").outcome_ == ReadOutcome::Missing);
    world.submit(0, "j", 2, 1);
    world.advance(3s);
    CHECK(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted });
    CHECK(world.stored("j").size() == 2);
}

TEST_CASE("ledger: bodies are given until their items are listed")
{
    LedgerWorld world(19);
    world.pace_ = 200;
    world.submit(0, "j", 2, 1);
    world.advance(50ms);
    const auto body = [&world](std::size_t place, const std::string& item, bool force) {
        std::optional<BodyAnswer> got;
        world.scheduler(place).body("j", item, force, world.now(), [&got](BodyAnswer answer) { got = std::move(answer); });
        world.advance(300ms);
        REQUIRE(got);
        return *got;
    };
    CHECK(body(1, "j-0", false).body_ == "a");
    CHECK(body(0, "j-1", true).body_ == "a");
    CHECK(body(0, "j-1", false).outcome_ == ReadOutcome::Elsewhere);
    CHECK(body(1, "j-9", false).outcome_ == ReadOutcome::Missing);
    CHECK(body(0, "j-9", true).outcome_ == ReadOutcome::Missing);
}

TEST_CASE("ledger: items whose route is gone are listed as errored, those of an unknown configuration wait")
{
    LedgerWorld world(20);
    world.slots_ = 0;
    world.service_ = std::nullopt;
    world.submit(0, "j", 2, 1);
    world.advance(500ms);
    CHECK(world.scheduler(1).waiting(world.now()).empty());
    world.service_ = "";
    world.scheduler(1).startNext("", world.now());
    world.scheduler(1).startNext("", world.now());
    world.advance(1s);
    CHECK(world.stored("j").size() == 2);
    CHECK(world.stored("j")[0].state_ == ResultState::Errored);
}

// The time of day of a host jumps ahead by some seconds, and back again. Items that wait for a slot were listed as errored before their
// time, or a job's results removed while callers may still read them.
TEST_CASE("ledger: a time of day that jumps gives nothing up and removes nothing early")
{
    LedgerWorld world(17, 1);
    world.service_ = std::nullopt; // nothing runs: no configuration is known
    world.submit(0, "j", 3, 0);
    world.advance(1s);
    const Duration abandonAfter = LedgerWorld::submission("j", 3).head_.abandonAfter_;
    SUBCASE("ahead")
    {
        world.wallShift_ = 4s;
    }
    SUBCASE("back")
    {
        world.wallShift_ = -4s;
    }
    SUBCASE("to and fro")
    {
        for (int jump = 0; jump < 10; ++jump) {
            world.wallShift_ = jump % 2 == 0 ? 4s : -4s;
            world.advance(1s);
        }
    }
    world.advance(abandonAfter - 13s);
    CHECK(world.notes_[SchedulerNote::ItemErrored] == 0);
    // Listed at last, when its time is over by any clock.
    world.advance(30s);
    CHECK(world.notes_[SchedulerNote::ItemErrored] == 3);
    CHECK(world.read(0, "j").results_.size() == 3);
    world.advance(SchedulerSettings().retention_ - abandonAfter - 25s);
    CHECK(world.read(0, "j").results_.size() == 3);
}

TEST_CASE("ledger: a job's objects go when its retention is over")
{
    LedgerWorld world(21);
    world.submit(0, "j", 2, 1);
    world.advance(2s);
    REQUIRE(world.notes_[SchedulerNote::JobDone] == 1);
    world.advance(160s);
    world.scheduler(1).scan(true, world.now());
    world.advance(10s);
    CHECK(world.store_.core().objects().empty());
}

// The message that makes a node the owner of a new job is lost on the way and sent again. Meanwhile the others believe that node dead,
// and one of them takes the job, runs it and shows its results. Then the message arrives. The late owner knows of no result: a reader
// that is sent to it would find nothing where it has just read something.
TEST_CASE("ledger: a node that hears late that it owns a job asks the store before it answers")
{
    LedgerWorld world(22);
    world.loseTransfers_ = true;
    world.submit(0, "j", 6, 1);
    world.advance(50ms);
    REQUIRE(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted });
    const auto stored = world.store_.core().objects().find(headKey("j"));
    const JobTransfer late { "j", decodeHead(stored->second.value_).value(), stored->second.version_, LedgerWorld::submission("j", 6).items_, 0, false, {} };
    world.pause(1);
    world.bury(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(3s);
    REQUIRE(world.read(0, "j").next_ == 6);
    world.bury(1, false);
    SUBCASE("after a pause") { }
    SUBCASE("after a restart")
    {
        world.kill(1);
        world.start(1);
    }
    world.wake(1);
    const std::size_t startedBefore = world.starts_.size();
    world.scheduler(1).adopt(late, world.now(), world.wall());
    CHECK(world.read(1, "j").next_ == 6);
    world.advance(2s);
    CHECK(world.starts_.size() <= startedBefore + world.slots_);
    CHECK(world.scheduler(1).openJobs() == 0);
    CHECK(world.stored("j").size() == 6);
}

// A worker stands still and wakes. It asks the store, which still names it as the owner. A moment later another worker, which has not heard
// yet that it woke, takes the job and lists results. Readers of the woken worker would see nothing of them for seconds.
TEST_CASE("ledger: a woken owner goes on asking while others may still believe it dead")
{
    LedgerWorld world(23);
    world.slots_ = 3;
    world.pace_ = 400;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.bury(1);
    world.advance(3s);
    world.wake(1);
    REQUIRE(world.read(1, "j").outcome_ == ReadOutcome::Found);
    // Its own runs bring nothing in the meantime.
    world.service_ = std::nullopt;
    world.host(1).runs_.clear();
    world.advance(100ms);
    world.scheduler(0).scan(false, world.now());
    world.advance(100ms);
    std::uint32_t page = 0;
    while (world.store_.core().objects().contains(resultPageKey("j", page)))
        ++page;
    world.store_.core().apply(ObjectCall::create(resultPageKey("j", page), encode(std::vector<JobResult> { { "j-11", ResultState::Completed, LedgerWorld::wholeText() } })), world.now());
    world.advance(900ms);
    CHECK(world.read(1, "j").next_ >= 1);
}

// A worker finishes items, and stands still with the write of their results on its way. Another one takes the job over. Then the write
// arrives: the results are in the store, where a reader finds them, and the new owner, who answers from memory, knows nothing of them.
// The reader asks again, is sent to the new owner, and what it has read is gone.
TEST_CASE("ledger: results of an earlier owner that arrive after a takeover are not listed behind the new owner's back")
{
    LedgerWorld world(24);
    world.slots_ = 2;
    world.pace_ = 12;
    world.submit(0, "j", 12, 1);
    world.advance(700ms);
    REQUIRE_FALSE(world.stored("j").empty());
    SUBCASE("by another node")
    {
        world.kill(1);
        world.bury(1);
        world.scheduler(0).scan(false, world.now());
    }
    SUBCASE("by the same node's next process")
    {
        world.kill(1);
        world.start(1);
        world.scheduler(1).tick(world.now(), world.wall());
        world.scheduler(1).scan(false, world.now());
    }
    std::uint32_t page = 0;
    while (world.store_.core().objects().contains(resultPageKey("j", page)))
        ++page;
    world.slots_ = 0;
    world.advance(100ms);
    const std::vector<JobResult> late { { "j-11", ResultState::Completed, LedgerWorld::wholeText() } };
    const ObjectAnswer written = world.store_.core().apply(ObjectCall::create(resultPageKey("j", page), encode(late)), world.now());
    CHECK(written.error_ == ObjectError::Conflict);
    world.slots_ = 4;
    world.advance(6s);
    CHECK(world.stored("j").size() == 12);
    world.checkResults("j");
}
