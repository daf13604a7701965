// The number of result pages that a job costs, and the delay that page sharing causes.
//
// The first test's load: ten items of 5 s each, four at a time, which is what engines with 8 slots complete between bursts of online
// requests. All jobs are due 18 s after their submission. The store's write rate is shared by the whole fleet.
#include "LedgerWorld.h"

using namespace jj;

namespace {

// Returns the number of steps between two events for runs of the given duration. A run consists of three events and its end at equal
// intervals.
constexpr int stepsPerEventOf(Duration run) { return static_cast<int>(run / LedgerWorld::step / (LedgerWorld::eventsPerItem + 1)); }

std::size_t pagesOf(LedgerWorld& world, const JobName& job)
{
    std::size_t pages = 0;
    while (world.store_.core().objects().contains(resultPageKey(job, static_cast<std::uint32_t>(pages))))
        ++pages;
    return pages;
}

} // namespace

TEST_CASE("ledger: results that finish within a second share a page, and the last one is committed at once")
{
    LedgerWorld world(31, 2, SchedulerSettings());
    world.stepsPerEvent_ = stepsPerEventOf(5s);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    // Slots become free one after the other, so results are ready in groups of four, 250 ms apart.
    for (; world.slots_ < 4; ++world.slots_)
        world.advance(250ms);
    world.advance(14700ms);
    CHECK(world.stored("j").size() == 10);
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
    CHECK(pagesOf(world, "j") <= 4);
    world.checkResults("j");
}

// Guards against one store write per second for a job that has much time left.
TEST_CASE("ledger: results that are ready long before their job is due share pages over two seconds")
{
    LedgerWorld world(33, 2, SchedulerSettings());
    world.stepsPerEvent_ = stepsPerEventOf(1s);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    world.advance(14s);
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
    CHECK(pagesOf(world, "j") <= 4);
    world.checkResults("j");
}

// Guards against each new owner sending an item again that engines reject for good: its result must be stored immediately.
TEST_CASE("ledger: an item that can never succeed is listed at once")
{
    LedgerWorld world(34, 2, SchedulerSettings());
    world.stepsPerEvent_ = 5; // runs of 100 ms
    world.slots_ = 1;
    world.runOutcome_ = [](const ItemRun&) { return RunResult::Unprocessable; };
    world.submit(0, "j", 10, 1);
    while (world.notes_[SchedulerNote::ItemErrored] == 0)
        world.advance(LedgerWorld::step);
    world.advance(4 * LedgerWorld::step);
    REQUIRE(world.stored("j").size() == 1);
    CHECK(world.stored("j").front().state_ == ResultState::Errored);
}

// Guards against a result that is ready just before its job is due being delayed, and thus late, because it waits to share a page.
TEST_CASE("ledger: a result that is ready just before its job is due is listed at once")
{
    LedgerWorld world(32, 2, SchedulerSettings());
    world.stepsPerEvent_ = stepsPerEventOf(5800ms);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    // Runs of 5.8 s follow each other, so the third one ends 0.6 s before the job is due.
    world.advance(17600ms);
    CHECK(world.stored("j").size() == 3);
}
