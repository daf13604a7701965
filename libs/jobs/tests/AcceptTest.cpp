// What accepting promises: one job for one key and content, and a refusal that leaves nothing behind but collectable chunks.
#include "JobWorld.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("the same key and content is the same job, other content a conflict")
{
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(5), "k");
    REQUIRE(refused(world, 1) == nullptr);
    world.upload(1, 2, JobWorld::lines(5), "k");
    REQUIRE(refused(world, 2) == nullptr);
    CHECK(world.seen<Acknowledge>(2)->job_ == world.seen<Acknowledge>(1)->job_);
    CHECK(world.seen<Acknowledge>(2)->known_);
    world.upload(1, 3, JobWorld::lines(6), "k");
    REQUIRE(refused(world, 3) != nullptr);
    CHECK(refused(world, 3)->error_ == JobError::KeyReused);
    CHECK((refused(world, 3)->ran_ == RunState::NotRun));
}

TEST_CASE("two contents sent under one key at once are one job and one conflict")
{
    // Two clerks use the same key on two hosts. If both were acknowledged, the first one's letters would be lost.
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(9), "k");
    world.upload(1, 2, JobWorld::lines(9, 100), "k");
    refused(world, 1);
    refused(world, 2);
    CHECK(world.count<Acknowledge>() == 1);
    REQUIRE(world.count<RefuseUpload>() == 1);
    CHECK((world.seen<RefuseUpload>(1) ? world.seen<RefuseUpload>(1) : world.seen<RefuseUpload>(2))->error_ == JobError::KeyReused);
    REQUIRE(world.runUntil([&] { return world.isEnded(JobWorld::jobOf("k")); }, 30s));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("without a key the content is the key, in whatever pieces it comes")
{
    JobWorld world(quickOptions());
    const std::string text = JobWorld::lines(9);
    world.upload(0, 1, text, "");
    REQUIRE(refused(world, 1) == nullptr);
    const WallTime due = world.wall() + 1h;
    world.send(1, UploadBegun { UploadId(2), "clerks", "letters", "", due, false });
    for (const char character : text)
        world.send(1, UploadBytes { UploadId(2), std::string(1, character) });
    world.send(1, UploadEnded { UploadId(2) });
    REQUIRE(refused(world, 2) == nullptr);
    CHECK(world.seen<Acknowledge>(2)->job_ == world.seen<Acknowledge>(1)->job_);
    REQUIRE(world.runUntil([&] { return world.isEnded(world.seen<Acknowledge>(1)->job_); }, 30s));
    CHECK(world.starts() == 9);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a job with bad lines is refused whole, with their numbers")
{
    JobWorld world(quickOptions());
    const std::string text = JobWorld::lines(6) + "not json\n" + JobWorld::lines(1, 2) + "{\"custom_id\":\"x\"}\n\n" + "{\"custom_id\":7,\"body\":{}}\n" + std::string(300'000, 'x') + "\n";
    world.upload(0, 1, text, "bad");
    const RefuseUpload* refusal = refused(world, 1);
    REQUIRE(refusal != nullptr);
    CHECK((refusal->ran_ == RunState::NotRun));
    REQUIRE(refusal->lines_.size() == 5);
    CHECK(refusal->lines_[0].line_ == 7);
    CHECK(make_error_code(refusal->lines_[0].error_) == JobError::BadLine);
    CHECK(refusal->lines_[1].line_ == 8);
    CHECK(make_error_code(refusal->lines_[1].error_) == JobError::DuplicateCustomId);
    CHECK(refusal->lines_[2].line_ == 9);
    CHECK(refusal->lines_[3].line_ == 11);
    CHECK(refusal->lines_[4].line_ == 12);
    CHECK(make_error_code(refusal->lines_[4].error_) == JobError::LineTooLong);
    world.run(10s);
    CHECK_FALSE(world.anyUnder("jobs/m/"));
    CHECK_FALSE(world.anyUnder("jobs/open/"));
    CHECK(world.starts() == 0);
}

TEST_CASE("empty jobs, too many items and deadlines that cannot be met are refused")
{
    WorldOptions options = quickOptions();
    options.settings_.maxItems_ = 20;
    options.settings_.itemsPerSecond_ = 1;
    JobWorld world(options);
    world.upload(0, 1, "\n\n", "empty");
    CHECK(refused(world, 1)->error_ == JobError::NoItems);
    world.upload(0, 2, JobWorld::lines(21), "many");
    CHECK(refused(world, 2)->error_ == JobError::TooManyItems);
    world.upload(0, 3, JobWorld::lines(2), "late", false, -1s);
    CHECK(refused(world, 3)->error_ == JobError::DeadlinePassed);
    world.upload(0, 4, JobWorld::lines(2), "far", false, 31 * 24h);
    CHECK(refused(world, 4)->error_ == JobError::DeadlineOutOfReach);
    world.upload(0, 5, JobWorld::lines(10), "soon", false, 5s);
    CHECK(refused(world, 5)->error_ == JobError::DeadlineOutOfReach);
    world.upload(0, 6, JobWorld::lines(10), "fine", false, 60s);
    CHECK(refused(world, 6) == nullptr);
}

TEST_CASE("while the store is out nothing is acknowledged and each refusal names a time")
{
    // A clerk sends a batch during an outage. An acknowledgement would be a promise that nobody can keep; silence would make the
    // client send again and again.
    JobWorld world(quickOptions());
    world.run(2s);
    world.store().core().setOutage(true);
    world.upload(0, 1, JobWorld::lines(5), "k");
    const RefuseUpload* first = refused(world, 1);
    REQUIRE(first != nullptr);
    CHECK(first->error_ == JobError::StoreUnavailable);
    CHECK((first->ran_ == RunState::NotRun));
    CHECK(first->retryAfter_ >= 1s);
    world.upload(0, 2, JobWorld::lines(5), "k");
    REQUIRE(world.seen<RefuseUpload>(2) != nullptr);
    world.store().core().setOutage(false);
    world.run(5s);
    world.upload(0, 3, JobWorld::lines(5), "k");
    REQUIRE(refused(world, 3) == nullptr);
    CHECK_FALSE(world.seen<Acknowledge>(3)->known_);
}

TEST_CASE("an upload that gives up leaves only chunks, and collection removes them")
{
    WorldOptions options = quickOptions();
    options.settings_.uploadBound_ = 10s;
    options.settings_.orphanAge_ = 60s;
    options.settings_.collectEvery_ = 10s;
    JobWorld world(options);
    world.send(0, UploadBegun { UploadId(1), "clerks", "letters", "k", world.wall() + 1h, false });
    world.send(0, UploadBytes { UploadId(1), JobWorld::lines(20) });
    world.run(2s);
    CHECK(world.anyUnder("jobs/c/"));
    world.send(0, UploadAborted { UploadId(1) });
    world.run(30s);
    CHECK(world.anyUnder("jobs/c/"));
    world.run(90s);
    CHECK_FALSE(world.anyUnder("jobs/c/"));
    CHECK_FALSE(world.anyUnder("jobs/u/"));
    CHECK_FALSE(world.anyUnder("jobs/m/"));
}

TEST_CASE("ended jobs go when their retention is over and may then be sent anew")
{
    WorldOptions options = quickOptions();
    options.settings_.retention_ = 1h;
    options.step_ = 100ms;
    JobWorld world(options);
    world.upload(0, 1, JobWorld::lines(9), "k", false, 24h);
    REQUIRE(refused(world, 1) == nullptr);
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(1800s);
    CHECK(world.readAll(1, job).size() == 9);
    world.run(3 * 3600s);
    for (const char* prefix : { "jobs/m/", "jobs/s/", "jobs/c/", "jobs/r/", "jobs/x/", "jobs/open/", "jobs/u/" })
        CHECK_MESSAGE(!world.anyUnder(prefix), prefix);
    world.upload(1, 2, JobWorld::lines(9), "k", false, 24h);
    REQUIRE(refused(world, 2) == nullptr);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.starts() == 18);
}

TEST_CASE("collection spares the chunks of an accepted job whose upload record was left behind")
{
    // The host dies between the manifest and the removal of its upload record. A day later the collector meets the record; if it took the
    // chunks for an orphan's, the accepted job would be lost.
    WorldOptions options = quickOptions();
    options.settings_.uploadBound_ = 10s;
    options.settings_.orphanAge_ = 60s;
    options.settings_.collectEvery_ = 10s;
    JobWorld world(options);
    world.fate_ = [](std::uint32_t, const ObjectCall& call) { return call.verb_ == ObjectVerb::Remove && call.key_.starts_with("jobs/u/") ? JobWorld::Fate::KilledBefore : JobWorld::Fate::Goes; };
    world.upload(0, 1, JobWorld::lines(9), "k");
    REQUIRE(world.runUntil([&] { return !world.isAlive(0); }, 10s));
    world.fate_ = nullptr;
    REQUIRE(world.anyUnder("jobs/u/"));
    world.run(100s);
    CHECK_FALSE(world.anyUnder("jobs/u/"));
    CHECK(world.anyUnder("jobs/c/"));
    CHECK(world.firstFinding() == "");
}

// Guards against an accepted job whose items have been removed: a try of its upload record that was given up reaches the store after the record
// was removed, and a record that names no job is collected with its chunks.
TEST_CASE("collection spares the chunks of an accepted job whose upload record lands late")
{
    WorldOptions options = quickOptions();
    options.settings_.uploadBound_ = 10s;
    options.settings_.orphanAge_ = 60s;
    options.settings_.collectEvery_ = 10s;
    options.itemTime_ = 20s;
    JobWorld world(options);
    world.run(2s);
    std::optional<ObjectCall> late;
    world.fate_ = [&](std::uint32_t, const ObjectCall& call) {
        if (late || call.verb_ != ObjectVerb::Create || !call.key_.starts_with("jobs/u/"))
            return JobWorld::Fate::Goes;
        late = call;
        return JobWorld::Fate::CallLost;
    };
    world.upload(0, 1, JobWorld::lines(80), "");
    REQUIRE(refused(world, 1) == nullptr);
    world.run(1s);
    REQUIRE(late);
    world.store().core().apply(*late, world.now());
    const JobId job = world.seen<Acknowledge>(1)->job_;
    CHECK(world.runUntil([&] { return world.isEnded(job); }, 400s));
    CHECK(world.readAll(1, job).size() == 80);
}

// Guards against a job that is shown as waiting and without results after its end was read: it is removed between the two reads of an answer.
TEST_CASE("an ended job that is removed while it is read is ended or unknown")
{
    JobWorld world(quickOptions());
    const std::string key = world.keyOwnedBy(0);
    const JobId job = JobWorld::jobOf(key);
    world.upload(0, 1, JobWorld::lines(9), key);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    std::uint32_t reads = 0;
    world.fate_ = [&](std::uint32_t node, const ObjectCall& call) {
        const bool isRead = node == 1 && (call.key_.starts_with("jobs/m/") || call.key_.starts_with("jobs/s/"));
        if (isRead && ++reads == 2) {
            for (const std::string& record : { manifestKey(partitionOf(job, 2), job), ledgerKey(partitionOf(job, 2), job) })
                world.store().core().apply(ObjectCall::remove(record), world.now());
        }
        return JobWorld::Fate::Goes;
    };
    SUBCASE("its status")
    {
        world.send(1, StatusAsked { AskId(1), "clerks", job });
        world.run(1s);
        const StatusAnswered* status = world.seen<StatusAnswered>(1);
        CHECK((!status || status->status_.state_ == JobState::Done));
    }
    SUBCASE("its results")
    {
        world.send(1, ResultsAsked { AskId(1), "clerks", job, 0 });
        world.run(1s);
        const ResultsPage* page = world.seen<ResultsPage>(1);
        CHECK((!page || !page->lines_.empty()));
    }
    const AskRefused* refusal = world.seen<AskRefused>(1);
    CHECK((!refusal || refusal->error_ == JobError::NoSuchJob));
    CHECK(reads == 2);
}

TEST_CASE("an upload faster than the store is paused, not buffered")
{
    JobWorld world(quickOptions());
    world.run(2s);
    world.store().faults().delay_ = 200ms;
    world.send(0, UploadBegun { UploadId(1), "clerks", "letters", "k", world.wall() + 1h, false });
    world.send(0, UploadBytes { UploadId(1), JobWorld::lines(40) });
    CHECK(world.count<PauseUpload>() == 1);
    world.run(5s);
    CHECK(world.count<ResumeUpload>() == 1);
    world.send(0, UploadEnded { UploadId(1) });
    CHECK(refused(world, 1) == nullptr);
}

TEST_CASE("results can be read while the job runs and after its holder was replaced")
{
    WorldOptions options = quickOptions();
    options.itemTime_ = 500ms;
    JobWorld world(options);
    const std::string key = world.keyOwnedBy(0);
    const JobId job = JobWorld::jobOf(key);
    world.upload(0, 1, JobWorld::lines(40), key);
    REQUIRE(world.runUntil([&] { return world.ledger(job) && world.ledger(job)->done_ >= 8; }, 20s));
    const std::vector<std::string> early = world.readAll(1, job);
    CHECK(early.size() >= 4);
    CHECK(early.size() < 40);
    world.kill(0);
    world.start(0);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    const std::vector<std::string> late = world.readAll(0, job);
    REQUIRE(late.size() == 40);
    CHECK(std::equal(early.begin(), early.end(), late.begin()));
}
