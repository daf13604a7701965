// Life cycle of a job: submission, runs, reads, handover, removal.
#include "LedgerWorld.h"

#include <boost/json.hpp>

using namespace jj;

TEST_CASE("ledger: a job is accepted, runs, and completes with all results listed")
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
    // Any node can return the results from the store.
    CHECK(world.read(0, "j", 4, {}, true).results_.size() == 6);
}

TEST_CASE("ledger: a waiting reader receives the next result")
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

TEST_CASE("ledger: a job submitted twice is the same job")
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

TEST_CASE("ledger: invalid submissions are refused with their error")
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

// Guards against pages that the store refuses for good because the characters of their items are escaped twice.
TEST_CASE("ledger: each page of items fits into a value of the store, whatever characters its items hold")
{
    constexpr std::size_t valueBytes = 64UL * 1024;
    constexpr std::size_t headerBytes = 5000;
    JobSubmission job = LedgerWorld::submission("j", 40);
    for (JobItem& item : job.items_)
        item.headers_.push_back({ "X-Quoted", std::string(headerBytes, '"') });
    const auto pages = splitIntoPages(job.items_, valueBytes);
    REQUIRE(pages.has_value());
    std::size_t items = 0;
    for (const std::vector<JobItem>& page : pages.value()) {
        items += page.size();
        CHECK(boost::json::serialize(boost::json::string(encode(page))).size() <= valueBytes);
    }
    CHECK(items == 40);
    job.items_[7].body_.assign(valueBytes, 'A');
    CHECK(splitIntoPages(job.items_, valueBytes).error().code_ == LedgerError::ItemTooLarge);
}

TEST_CASE("ledger: an item that fails is listed as errored after its attempts, one that can never succeed at once")
{
    LedgerWorld world(8);
    std::map<std::string, int> runs;
    world.runOutcome_ = [&runs](const ItemRun& run) {
        ++runs[run.item_];
        return run.item_ == "j-0" ? RunResult::Failed : run.item_ == "j-1" ? RunResult::Unprocessable
                                                                           : RunResult::Completed;
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

TEST_CASE("ledger: an item resumes after its last event, or starts over when the engine can't resume there")
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
    world.scheduler(1).ended(first.id_, RunResult::Interrupted, world.now());
    world.advance(500ms);
    const auto second = world.scheduler(1).startNext("s", world.now());
    REQUIRE(second);
    CHECK(second->resumeAfter_);
    world.scheduler(1).ended(second->id_, RunResult::ResumeMismatch, world.now());
    world.advance(2s);
    const auto third = world.startNext(1);
    REQUIRE(third);
    CHECK_FALSE(third->resumeAfter_);
    world.scheduler(1).ended(third->id_, RunResult::Preempted, world.now());
    world.slots_ = 1;
    world.advance(3s);
    CHECK(world.stored("j").size() == 1);
    world.checkResults("j");
}

// Guards against an item whose text was written by engines of two software versions, also after a handover.
TEST_CASE("ledger: an item goes on at the software version that began it, and starts over once no engine of it serves")
{
    const SoftwareVersionId v1 = SoftwareVersion("v1").id();
    const SoftwareVersionId v2 = SoftwareVersion("v2").id();
    LedgerWorld world(9);
    world.slots_ = 0;
    world.versionsServing_ = { v1, v2 };
    world.submit(0, "j", 1, 1);
    world.advance(60ms);
    const auto first = world.scheduler(1).startNext("s", world.now(), v1);
    REQUIRE(first);
    world.scheduler(1).event(first->id_, 1, "one");
    world.scheduler(1).ended(first->id_, RunResult::Released, world.now());
    CHECK_FALSE(world.scheduler(1).startNext("s", world.now(), v2));
    CHECK(world.scheduler(1).waiting(world.now()).at("s").versions_ == std::set<SoftwareVersionId> { v1 });
    world.scheduler(1).beginLeaving(world.now());
    world.advance(1s);
    REQUIRE(world.scheduler(0).openJobs() == 1);
    CHECK_FALSE(world.scheduler(0).startNext("s", world.now(), v2));
    const auto second = world.scheduler(0).startNext("s", world.now(), v1);
    REQUIRE(second);
    CHECK(second->resumeAfter_ == 1);
    world.scheduler(0).ended(second->id_, RunResult::Released, world.now());
    world.versionsServing_ = { v2 };
    const auto third = world.scheduler(0).startNext("s", world.now(), v2);
    REQUIRE(third);
    CHECK_FALSE(third->resumeAfter_);
    CHECK(world.notes_[SchedulerNote::ItemRestarted] == 1);
    world.scheduler(0).event(third->id_, 1, "new");
    world.scheduler(0).ended(third->id_, RunResult::Completed, world.now());
    world.advance(1s);
    REQUIRE(world.stored("j").size() == 1);
    CHECK(world.stored("j")[0].text_ == "new");
}

TEST_CASE("ledger: a restarted owner restores its jobs from the store alone")
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

// The accepting node dies right after its acknowledgement, and the owner hasn't received the job's transfer.
TEST_CASE("ledger: an owner finds a job whose transfer was lost")
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

TEST_CASE("ledger: a leaving node hands over its jobs with the progress of their runs")
{
    LedgerWorld world(15);
    world.stepsPerEvent_ = 30;
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

// A job that is submitted during an outage of the store and refused as "not run" must not run after the outage.
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

// The store is unavailable while the owner has finished results. They must be listed once each after the outage.
TEST_CASE("ledger: results are committed after an outage of the store")
{
    LedgerWorld world(17);
    bool isRecentlyStarted = false;
    SUBCASE("of an owner that was available throughout") { world.advance(11s); }
    SUBCASE("of one that has just started, and may have been replaced") { isRecentlyStarted = true; }
    world.submit(0, "j", 6, 1);
    world.advance(30ms);
    world.store_.core().setOutage(true);
    world.advance(3s);
    CHECK(world.stored("j").empty());
    CHECK(world.read(1, "j").outcome_ == (isRecentlyStarted ? ReadOutcome::Unavailable : ReadOutcome::Found));
    world.store_.core().setOutage(false);
    world.advance(3s);
    CHECK(world.stored("j").size() == 6);
    world.checkResults("j");
}

// Guards against a job that stays open forever because its head is in the store but its items never arrive. The submission was not
// acknowledged.
TEST_CASE("ledger: a head without items is voided, and reopened by the next submission")
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

TEST_CASE("ledger: bodies are returned until their items are listed")
{
    LedgerWorld world(19);
    world.stepsPerEvent_ = 200;
    world.submit(0, "j", 2, 1);
    world.advance(50ms);
    const auto body = [&world](std::size_t index, const std::string& item, bool force) {
        std::optional<BodyAnswer> got;
        world.scheduler(index).body("j", item, force, world.now(), [&got](BodyAnswer answer) { got = std::move(answer); });
        world.advance(300ms);
        REQUIRE(got);
        return *got;
    };
    CHECK(body(1, "j-0", false).body_ == "a");
    CHECK(body(0, "j-1", true).body_ == "a");
    CHECK(body(0, "j-1", false).outcome_ == ReadOutcome::OtherOwner);
    CHECK(body(1, "j-9", false).outcome_ == ReadOutcome::Missing);
    CHECK(body(0, "j-9", true).outcome_ == ReadOutcome::Missing);
}

TEST_CASE("ledger: items without a route are listed as errored, and wait while no configuration is known")
{
    LedgerWorld world(20);
    world.slots_ = 0;
    world.service_ = std::nullopt;
    world.submit(0, "j", 2, 1);
    world.advance(500ms);
    CHECK(world.scheduler(1).waiting(world.now()).empty());
    world.service_ = "";
    CHECK(world.scheduler(1).waiting(world.now()).empty());
    world.advance(SchedulerSettings().routeGrace_);
    CHECK(world.stored("j").empty());
    CHECK(world.scheduler(1).waiting(world.now()).at("").count_ == 2);
    world.scheduler(1).startNext("", world.now());
    world.scheduler(1).startNext("", world.now());
    world.advance(1s);
    CHECK(world.stored("j").size() == 2);
    CHECK(world.stored("j")[0].state_ == ResultState::Errored);
}

// Guards against items that are given up by a host that learns of their route later than the host that accepted the job.
TEST_CASE("ledger: items wait for a route that is missing for a short time")
{
    LedgerWorld world(20);
    world.slots_ = 0;
    world.service_ = "";
    world.submit(0, "j", 2, 1);
    world.advance(500ms);
    for (int round = 0; round < 2; ++round) {
        world.service_ = "";
        world.scheduler(1).startNext("", world.now());
        world.advance(SchedulerSettings().routeGrace_ - 100ms);
        world.scheduler(1).startNext("", world.now());
        world.advance(200ms);
        CHECK(world.stored("j").empty());
        world.service_ = "s";
        CHECK(world.scheduler(1).waiting(world.now()).at("s").count_ == 2);
    }
    world.slots_ = 2;
    world.advance(5s);
    REQUIRE(world.stored("j").size() == 2);
    CHECK(world.stored("j")[0].state_ == ResultState::Completed);
    CHECK(world.stored("j")[1].state_ == ResultState::Completed);
}

// Guards against jumps of a host's wall clock by a few seconds in both directions. They made waiting items be listed as errored too early,
// and results be removed while callers could still read them.
TEST_CASE("ledger: jumps of the wall clock neither abandon items nor remove results early")
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
    SUBCASE("back and forth")
    {
        for (int jump = 0; jump < 10; ++jump) {
            world.wallShift_ = jump % 2 == 0 ? 4s : -4s;
            world.advance(1s);
        }
    }
    world.advance(abandonAfter - 13s);
    CHECK(world.notes_[SchedulerNote::ItemErrored] == 0);
    // By now the items' time has passed even on a clock that is 4 s behind.
    world.advance(30s);
    CHECK(world.notes_[SchedulerNote::ItemErrored] == 3);
    CHECK(world.read(0, "j").results_.size() == 3);
    world.advance(SchedulerSettings().retention_ - abandonAfter - 25s);
    CHECK(world.read(0, "j").results_.size() == 3);
}

// Guards against items of many jobs that aren't listed in time, because each job takes two pages for those whose time is over.
TEST_CASE("ledger: the items of a job whose time is over at once are listed on one page")
{
    LedgerWorld world(18, 1);
    world.service_ = std::nullopt; // nothing runs: no configuration is known
    world.submit(0, "j", 8, 0);
    world.advance(1s);
    world.advance(LedgerWorld::submission("j", 8).head_.abandonAfter_ + 20s);
    CHECK(world.notes_[SchedulerNote::ItemErrored] == 8);
    CHECK(world.stored("j").size() == 8);
    CHECK(world.notes_[SchedulerNote::Listed] == 1);
}

TEST_CASE("ledger: a job's objects are removed after its retention")
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
