// The number of result pages that a job costs, and the delay that page sharing causes.
//
// The first test's load: ten items of 5 s each, four at a time, which is what engines with 8 slots complete between bursts of online
// requests. All jobs are due 18 s after their submission. The store's write rate is shared by the whole fleet.
#include "SingleOwner.h"

#include <algorithm>

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

// Completes all items at the same moment, with texts of these sizes.
void completeItems(SingleOwner& owner, const std::vector<std::string>& texts)
{
    std::vector<RunId> runs;
    for (const std::string& text : texts) {
        const auto run = owner.scheduler_.startNext("s", owner.now_);
        REQUIRE(run);
        owner.scheduler_.event(run->id_, 1, text);
        runs.push_back(run->id_);
    }
    for (const RunId run : runs)
        owner.scheduler_.ended(run, RunResult::Completed, owner.now_);
    owner.advance(3s);
}

} // namespace

// Guards against results of an outage that are on one page over the store's limit, which is refused and sent again without end.
TEST_CASE("ledger: results that don't fit into one value of the store are listed on several pages")
{
    SingleOwner owner;
    owner.load();
    completeItems(owner, std::vector<std::string>(SingleOwner::items, std::string(400'000, 'x')));
    CHECK(owner.notes_[SchedulerNote::JobDone] == 1);
    CHECK(owner.notes_[SchedulerNote::StoreFailed] == 0);
    CHECK(owner.hasResultPage(2));
}

// Guards against one text that no page can hold, which keeps all other items of its job from being listed.
TEST_CASE("ledger: a text that the store can't hold is listed as errored, and the others as completed")
{
    SingleOwner owner;
    owner.load();
    std::vector<std::string> texts(SingleOwner::items, "text");
    texts[2] = std::string(700'000, '"'); // escaped twice, it has four times as many bytes
    completeItems(owner, texts);
    const std::vector<JobResult> results = owner.read().results_;
    REQUIRE(results.size() == SingleOwner::items);
    CHECK(std::count_if(results.begin(), results.end(), [](const JobResult& result) { return result.state_ == ResultState::Completed && result.text_ == "text"; }) == SingleOwner::items - 1);
    CHECK(owner.notes_[SchedulerNote::TextRefused] == 1);
}

// Guards against a page that the store refuses for good and that is sent again as it is.
TEST_CASE("ledger: a page that the store refuses is split until the text that it can't hold is alone")
{
    SingleOwner owner;
    owner.load();
    owner.refusedText_ = "odd";
    completeItems(owner, { "text", "text", "text", "odd", "text" });
    const std::vector<JobResult> results = owner.read().results_;
    REQUIRE(results.size() == SingleOwner::items);
    CHECK(std::count_if(results.begin(), results.end(), [](const JobResult& result) { return result.state_ == ResultState::Completed; }) == SingleOwner::items - 1);
    CHECK(owner.notes_[SchedulerNote::TextRefused] == 1);
    CHECK(owner.notes_[SchedulerNote::StoreFailed] <= 4);
}

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
