// Takeover of jobs from owners that are dead, paused or late: positions and results that readers have seen stay.
#include "LedgerWorld.h"

using namespace jj;

// When the owner dies, another node finds the job by listing the heads, takes it over, and lists further results after those of the dead
// owner. The positions that readers have seen must not change.
TEST_CASE("ledger: a dead owner's job is taken over and continues after its listed results")
{
    LedgerWorld world(10);
    world.stepsPerEvent_ = 12;
    world.slots_ = 2;
    world.submit(0, "j", 12, 1);
    world.advance(700ms);
    const auto before = world.stored("j");
    REQUIRE_FALSE(before.empty());
    REQUIRE(before.size() < 12);
    world.kill(1);
    world.markDead(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(4s);
    const auto after = world.stored("j");
    CHECK(after.size() == 12);
    CHECK(std::equal(before.begin(), before.end(), after.begin()));
    world.checkResults("j");
    CHECK(world.notes_[SchedulerNote::TakenOver] == 1);
}

// Guards against duplicate results, and positions that differ between nodes, when a paused owner resumes. Another node has taken over its
// job and listed results, and the former owner then commits the results that it had in memory.
TEST_CASE("ledger: an owner that resumes after a pause doesn't change results that another owner has listed")
{
    LedgerWorld world(11);
    world.slots_ = 3;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.markDead(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(600ms);
    const auto byOther = world.stored("j");
    world.markDead(1, false);
    world.resume(1);
    world.advance(5s);
    const auto all = world.stored("j");
    CHECK(all.size() == 12);
    CHECK(std::equal(byOther.begin(), byOther.end(), all.begin()));
    world.checkResults("j");
}

// As above, but a reader queries the owner immediately after it resumes. The answer must contain the results that the other node has
// listed.
TEST_CASE("ledger: an owner that resumes after a pause queries the store before it answers a read")
{
    LedgerWorld world(12);
    world.slots_ = 3;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.markDead(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(5s);
    REQUIRE(world.stored("j").size() == 12);
    world.resume(1);
    const ReadAnswer answer = world.read(1, "j", 0);
    CHECK(answer.outcome_ == ReadOutcome::Found);
    CHECK(answer.next_ == 12);
}

// Guards against an answer without results from a node that receives its ownership of a job late. The transfer is lost and sent again;
// meanwhile the other nodes consider this node dead, and one of them takes over the job, runs it, and returns its results to readers. A
// reader that is sent to the late owner must still see them.
TEST_CASE("ledger: a node that receives a job's transfer late queries the store before it answers")
{
    LedgerWorld world(22);
    world.loseTransfers_ = true;
    world.submit(0, "j", 6, 1);
    world.advance(50ms);
    REQUIRE(world.outcomes_["j"] == std::vector { AcceptOutcome::Accepted });
    const auto stored = world.store_.core().objects().find(headKey("j"));
    const JobTransfer late { "j", decodeHead(stored->second.value_).value(), stored->second.version_, LedgerWorld::submission("j", 6).items_, 0, false, {} };
    world.pause(1);
    world.markDead(1);
    world.scheduler(0).scan(false, world.now());
    world.advance(3s);
    REQUIRE(world.read(0, "j").next_ == 6);
    world.markDead(1, false);
    SUBCASE("after a pause") { }
    SUBCASE("after a restart")
    {
        world.kill(1);
        world.start(1);
    }
    world.resume(1);
    const std::size_t startedBefore = world.starts_.size();
    world.scheduler(1).adopt(late, world.now(), world.wall());
    CHECK(world.read(1, "j").next_ == 6);
    world.advance(2s);
    CHECK(world.starts_.size() <= startedBefore + world.slots_);
    CHECK(world.scheduler(1).openJobs() == 0);
    CHECK(world.stored("j").size() == 6);
}

// Guards against an owner that queries the store only once after a pause. The store still names it as the owner, but a moment later another
// node, which hasn't noticed its return, takes over the job and lists results. Reads at the former owner would miss them for seconds.
TEST_CASE("ledger: an owner that resumes after a pause keeps querying the store while others may consider it dead")
{
    LedgerWorld world(23);
    world.slots_ = 3;
    world.stepsPerEvent_ = 400;
    world.submit(0, "j", 12, 1);
    world.advance(300ms);
    world.pause(1);
    world.markDead(1);
    world.advance(3s);
    world.resume(1);
    REQUIRE(world.read(1, "j").outcome_ == ReadOutcome::Found);
    // The former owner's runs produce nothing in the meantime.
    world.service_ = std::nullopt;
    world.host(1).runs_.clear();
    world.advance(100ms);
    world.scheduler(0).scan(false, world.now());
    world.advance(100ms);
    std::uint32_t page = 0;
    while (world.store_.core().objects().contains(resultPageKey("j", page)))
        ++page;
    world.store_.core().apply(ObjectCall::create(resultPageKey("j", page), encode(std::vector<JobResult> { { "j-11", ResultState::Completed, LedgerWorld::completeText() } })), world.now());
    world.advance(900ms);
    CHECK(world.read(1, "j").next_ >= 1);
}

// Guards against a result page of an earlier owner that arrives after a takeover. The earlier owner was paused while the write was in
// flight. If the write succeeded, a reader would find the results in the store, but the new owner, which answers from memory, wouldn't know
// them, so they would be missing from the reader's next answer.
TEST_CASE("ledger: results of an earlier owner that arrive after a takeover are not listed")
{
    LedgerWorld world(24);
    world.slots_ = 2;
    world.stepsPerEvent_ = 12;
    world.submit(0, "j", 12, 1);
    world.advance(700ms);
    REQUIRE_FALSE(world.stored("j").empty());
    SUBCASE("by another node")
    {
        world.kill(1);
        world.markDead(1);
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
    const std::vector<JobResult> late { { "j-11", ResultState::Completed, LedgerWorld::completeText() } };
    const ObjectAnswer written = world.store_.core().apply(ObjectCall::create(resultPageKey("j", page), encode(late)), world.now());
    CHECK(written.error_ == ObjectError::Conflict);
    world.slots_ = 4;
    world.advance(6s);
    CHECK(world.stored("j").size() == 12);
    world.checkResults("j");
}
