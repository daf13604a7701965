// How many pages of results a job costs, and who waits for them.
//
// The load: a job of ten items that take 5 s each, four of them at a time, as engines with 8 slots work through the gaps between bursts of
// questions; due 18 s after it came. The store's write rate is shared by the whole fleet.
#include "LedgerWorld.h"

using namespace jj;

namespace {

// A run is three events and its end, the same time apart.
constexpr int paceOf(Duration run) { return static_cast<int>(run / LedgerWorld::step / (LedgerWorld::eventsPerItem + 1)); }

std::size_t pagesOf(LedgerWorld& world, const JobName& job)
{
    std::size_t pages = 0;
    while (world.store_.core().objects().contains(resultPageKey(job, static_cast<std::uint32_t>(pages))))
        ++pages;
    return pages;
}

} // namespace

TEST_CASE("ledger: results that finish within a second share a page, and the last one waits for none")
{
    LedgerWorld world(31, 2, SchedulerSettings());
    world.pace_ = paceOf(5s);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    // Slots come free one after the other, so results are ready 250 ms apart, four in a row.
    for (; world.slots_ < 4; ++world.slots_)
        world.advance(250ms);
    world.advance(14700ms);
    CHECK(world.stored("j").size() == 10);
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
    CHECK(pagesOf(world, "j") <= 4);
    world.checkResults("j");
}

// Guards against a write of the store for each second of a job that has much time left.
TEST_CASE("ledger: results that are ready long before their job is due share pages over two seconds")
{
    LedgerWorld world(33, 2, SchedulerSettings());
    world.pace_ = paceOf(1s);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    world.advance(14s);
    CHECK(world.notes_[SchedulerNote::JobDone] == 1);
    CHECK(pagesOf(world, "j") <= 4);
    world.checkResults("j");
}

// Guards against an item that engines refuse for good and that each new owner sends again: its end stands in the store before anything else.
TEST_CASE("ledger: an item that can never be done is listed at once")
{
    LedgerWorld world(34, 2, SchedulerSettings());
    world.pace_ = 5; // runs of 100 ms
    world.slots_ = 1;
    world.endOf_ = [](const ItemRun&) { return RunEnd::Impossible; };
    world.submit(0, "j", 10, 1);
    while (world.notes_[SchedulerNote::ItemErrored] == 0)
        world.advance(LedgerWorld::step);
    world.advance(4 * LedgerWorld::step);
    REQUIRE(world.stored("j").size() == 1);
    CHECK(world.stored("j").front().state_ == ResultState::Errored);
}

// A result is ready just before its job is due. Held back to share a page it would come late, though it was there in time.
TEST_CASE("ledger: a result that is ready just before its job is due is listed at once")
{
    LedgerWorld world(32, 2, SchedulerSettings());
    world.pace_ = paceOf(5800ms);
    world.slots_ = 1;
    world.submit(0, "j", 10, 1);
    // Runs of 5.8 s one after the other: the third ends 0.6 s before the job is due.
    world.advance(17600ms);
    CHECK(world.stored("j").size() == 3);
}
