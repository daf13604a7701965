// Cancel: what its acknowledgement promises, and its races with completion, takeover and re-application.
#include "JobWorld.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

JobId accept(JobWorld& world, std::uint32_t owner, std::uint32_t items)
{
    const std::string key = world.keyOwnedBy(owner);
    world.upload(owner, 1, JobWorld::lines(items), key);
    REQUIRE(world.runUntil([&] { return world.seen<Acknowledge>(1) != nullptr; }, 20s));
    return JobWorld::jobOf(key);
}

void cancel(JobWorld& world, std::uint32_t node, std::uint64_t ask, JobId job) { world.send(node, CancelAsked { AskId(ask), "clerks", job }); }

} // namespace

TEST_CASE("a cancel on another node stops the holder's streams within a second")
{
    WorldOptions options = quickOptions();
    options.itemTime_ = 60s;
    JobWorld world(options);
    const JobId job = accept(world, 0, 40);
    REQUIRE(world.runUntil([&] { return world.runningOn(0) == 8; }, 10s));
    cancel(world, 1, 1, job);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 1s));
    CHECK(world.runningOn(0) == 0);
    const std::uint64_t before = world.starts();
    world.run(30s);
    CHECK(world.starts() == before);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a cancel stops a holder that no message reaches")
{
    // The operator cancels a wrong batch and it goes on: the link between the two nodes is cut. Cause: a holder that hears of a
    // cancel by message only. It finds it in the ledger, and says there that it stopped.
    WorldOptions options = quickOptions();
    options.itemTime_ = 60s;
    JobWorld world(options);
    const JobId job = accept(world, 0, 40);
    REQUIRE(world.runUntil([&] { return world.runningOn(0) == 8; }, 10s));
    world.cutMessages(true);
    cancel(world, 1, 1, job);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 4s));
    CHECK(world.runningOn(0) == 0);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("no item starts after a cancel was acknowledged while its holder was paused")
{
    // The clerk cancels, gets the acknowledgement, and a letter goes out a minute later: its holder was paused between its check
    // and its send. Cause: an acknowledgement that doesn't wait for the holder to be stopped, or for its lease to lapse.
    JobWorld world(quickOptions());
    world.run(3s); // the lease has been renewed since it was taken
    const JobId job = accept(world, 0, 8);
    world.pauseBefore<RunItem>(0);
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 10s));
    cancel(world, 1, 1, job);
    world.run(1s);
    CHECK(world.seen<CancelAcknowledged>(1) == nullptr);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 20s));
    world.wake(0);
    world.run(20s);
    CHECK(world.starts() == 0);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a holder that wakes after a cancel may neither commit nor go on, and what was committed stays readable")
{
    WorldOptions options = quickOptions();
    options.itemTime_ = 300ms;
    JobWorld world(options);
    const JobId job = accept(world, 0, 60);
    REQUIRE(world.runUntil([&] { return world.ledger(job) && world.ledger(job)->done_ >= 12; }, 20s));
    for (std::string& line : world.readAll(1, job))
        world.events().emplace_back(ResultWasRead { job, std::move(line) });
    world.pause(0);
    cancel(world, 1, 1, job);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 20s));
    const std::uint32_t done = world.ledger(job)->done_;
    const std::uint64_t starts = world.starts();
    world.wake(0);
    world.run(20s);
    CHECK(world.ledger(job)->done_ == done);
    CHECK((world.ledger(job)->state_ == JobState::Cancelled));
    CHECK(world.starts() == starts);
    CHECK(world.readAll(0, job).size() == done);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a lease that lapsed unseen is not simply renewed")
{
    // Nobody stands by for a paused holder. A cancel is acknowledged because its lease has lapsed; then the holder wakes, finds its
    // lease object as it left it, renews it and starts the next items. Cause: a renewal that undoes a lapse on which others have acted.
    WorldOptions options = quickOptions();
    options.itemTime_ = 3s;
    options.settings_.ledgerCheck_ = 60s; // not what saves it here
    JobWorld world(options);
    world.send(1, PartitionsAssigned {});
    world.run(3s);
    const JobId job = accept(world, 0, 60);
    world.run(200ms);
    world.cutMessages(true); // nor is this
    world.pause(0);
    cancel(world, 1, 1, job);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 20s));
    const std::uint64_t starts = world.starts();
    CHECK(starts > 0);
    world.wake(0);
    world.run(20s);
    CHECK(world.starts() == starts);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("cancel and completion have one order")
{
    // The operator learns that the job was cancelled, and the clerk that it is done. Both writes were on their way at once.
    // Cause: two objects, one for each.
    for (std::uint32_t ms = 0; ms < 700; ms += 20) {
        JobWorld world(quickOptions());
        const JobId job = accept(world, 0, 4);
        world.run(std::chrono::milliseconds(ms));
        cancel(world, 1, 1, job);
        REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) || world.seen<AskRefused>(1); }, 20s));
        world.run(3s);
        const bool cancelled = world.seen<CancelAcknowledged>(1) != nullptr;
        CHECK((world.ledger(job)->state_ == (cancelled ? JobState::Cancelled : JobState::Done)));
        if (!cancelled)
            CHECK(world.seen<AskRefused>(1)->error_ == JobError::AlreadyDone);
        CHECK(world.firstFinding() == "");
    }
}

TEST_CASE("cancel and takeover have one order")
{
    // A cancelled batch starts again on another host: the cancel was written while that host took the partition over.
    for (std::uint32_t ms = 0; ms < 1600; ms += 50) {
        WorldOptions options = quickOptions(3);
        options.itemTime_ = 900ms;
        JobWorld world(options);
        const JobId job = accept(world, 0, 60);
        world.run(500ms);
        world.kill(0);
        world.run(3500ms + std::chrono::milliseconds(ms));
        cancel(world, 2, 1, job);
        REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 20s));
        const std::uint64_t starts = world.starts();
        world.run(10s);
        CHECK(world.starts() == starts);
        CHECK(world.firstFinding() == "");
    }
}

TEST_CASE("two operators cancel and apply the same job at once")
{
    // One operator cancels a batch while another sends the same one again. Both must see one truth: the same job, cancelled. A
    // batch that is wanted after all needs a key of its own.
    JobWorld world(quickOptions(3));
    const JobId job = accept(world, 0, 40);
    const std::string key = world.keyOwnedBy(0);
    cancel(world, 1, 1, job);
    cancel(world, 2, 2, job);
    world.upload(2, 2, JobWorld::lines(40), key);
    world.upload(1, 3, JobWorld::lines(40), key);
    REQUIRE(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) && world.seen<CancelAcknowledged>(2) && world.seen<Acknowledge>(2) && world.seen<Acknowledge>(3); }, 20s));
    CHECK(world.seen<Acknowledge>(2)->known_);
    const std::uint64_t starts = world.starts();
    world.run(20s);
    CHECK(world.starts() == starts);
    CHECK((world.ledger(job)->state_ == JobState::Cancelled));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a cancel of another workspace's job finds no job")
{
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 4);
    world.send(1, CancelAsked { AskId(1), "strangers", job });
    REQUIRE(world.runUntil([&] { return world.seen<AskRefused>(1) != nullptr; }, 5s));
    CHECK(world.seen<AskRefused>(1)->error_ == JobError::NoSuchJob);
}

// Guards against results that were read and are gone: a cancel that was paused between its reads of a job's two records takes the ledger of
// a job that was accepted anew under the id for an older one, and replaces it.
TEST_CASE("a paused cancel spares the results of a job that was accepted anew")
{
    WorldOptions options = quickOptions();
    options.itemTime_ = 500ms;
    JobWorld world(options);
    const JobId job = accept(world, 0, 9);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    std::uint32_t reads = 0;
    world.pauseBeforeCommand(1, [&](const JobCommand& command) {
        const auto* call = std::get_if<StoreCall>(&command);
        return call && (call->request_.key_.starts_with("jobs/m/") || call->request_.key_.starts_with("jobs/s/")) && ++reads == 2;
    });
    cancel(world, 1, 1, job);
    REQUIRE(world.runUntil([&] { return world.isPaused(1); }, 2s));
    for (const std::string& key : { manifestKey(partitionOf(job, 2), job), ledgerKey(partitionOf(job, 2), job) })
        REQUIRE(world.store().core().apply(ObjectCall::remove(key), world.now()).ok());
    world.upload(0, 2, JobWorld::lines(40), world.keyOwnedBy(0));
    REQUIRE(world.runUntil([&] { return world.ledger(job) && world.ledger(job)->done_ >= 8; }, 20s));
    const std::vector<std::string> early = world.readAll(0, job);
    REQUIRE(early.size() >= 8);
    world.wake(1);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    const std::vector<std::string> late = world.readAll(0, job);
    REQUIRE(late.size() >= early.size());
    CHECK(std::equal(early.begin(), early.end(), late.begin()));
}
