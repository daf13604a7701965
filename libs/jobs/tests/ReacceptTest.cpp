// Jobs that are accepted under the id of an ended one, while its objects are still there or are being removed.
#include "JobWorld.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

bool isMarkerCall(const JobCommand& command, ObjectVerb verb)
{
    const auto* call = std::get_if<StoreCall>(&command);
    return call && call->request_.verb_ == verb && call->request_.key_.starts_with("jobs/open/");
}

bool isMarkerRemoval(const JobCommand& command) { return isMarkerCall(command, ObjectVerb::Remove); }

} // namespace

TEST_CASE("a job accepted anew while its old ledger still stands runs anew")
{
    // The clerk's new batch under an old key is done at once and has no results. The collector had removed the old job's manifest
    // and not yet its ledger when the new one was accepted. Cause: the old ledger taken for the new job's.
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(9), "k");
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    world.store().core().apply(ObjectCall::remove(manifestKey(partitionOf(job, 2), job)), world.now());
    world.upload(1, 2, JobWorld::lines(9), "k");
    REQUIRE(refused(world, 2) == nullptr);
    world.run(10s);
    CHECK(world.starts() == 18);
    CHECK(world.readAll(0, job).size() == 9);
    CHECK(world.firstFinding() == "");
}

// Guards against an accepted job that no holder finds: the marker that its upload met was an old stray one, which is removed just then.
TEST_CASE("a job that is accepted under an old stray marker stays marked as open")
{
    WorldOptions options = quickOptions();
    options.settings_.uploadBound_ = 10s;
    options.settings_.orphanAge_ = 60s;
    JobWorld world(options);
    const std::string key = world.keyOwnedBy(0);
    world.fate_ = [](std::uint32_t, const ObjectCall& call) { return call.verb_ == ObjectVerb::Create && call.key_.starts_with("jobs/m/") ? JobWorld::Fate::KilledBefore : JobWorld::Fate::Goes; };
    world.upload(1, 1, JobWorld::lines(9), key);
    REQUIRE(world.runUntil([&] { return !world.isAlive(1); }, 10s));
    world.fate_ = nullptr;
    world.start(1);
    world.pauseBeforeCommand(0, isMarkerRemoval);
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 90s));
    world.cutMessages(true);
    world.upload(1, 2, JobWorld::lines(9), key);
    REQUIRE(world.runUntil([&] { return world.seen<Acknowledge>(2) != nullptr; }, 2s));
    world.wake(0);
    world.run(100ms);
    CHECK(world.anyUnder("jobs/open/"));
    REQUIRE(world.runUntil([&] { return world.isEnded(JobWorld::jobOf(key)); }, 60s));
    CHECK(world.firstFinding() == "");
}

// Guards against an accepted job that no holder finds: a holder that was paused removes the marker of a job that was accepted anew under the
// id of the one that it had ended.
TEST_CASE("a paused holder spares the marker of a job that was accepted anew")
{
    WorldOptions options = quickOptions();
    options.settings_.retention_ = 1h;
    options.step_ = 100ms;
    JobWorld world(options);
    const std::string key = world.keyOwnedBy(0);
    const JobId job = JobWorld::jobOf(key);
    SUBCASE("before it removes one") { world.pauseBeforeCommand(0, isMarkerRemoval); }
    SUBCASE("before it reads one")
    {
        world.pauseBeforeCommand(0, [](const JobCommand& command) { return isMarkerCall(command, ObjectVerb::Get); });
    }
    world.upload(0, 1, JobWorld::lines(9), key, false, 24h);
    REQUIRE(refused(world, 1) == nullptr);
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 60s));
    REQUIRE(world.isEnded(job));
    REQUIRE(world.runUntil([&] { return !world.anyUnder("jobs/m/") && !world.anyUnder("jobs/open/"); }, 3 * 3600s));
    world.cutMessages(true);
    world.upload(1, 2, JobWorld::lines(9), key, false, 24h);
    REQUIRE(world.runUntil([&] { return world.seen<Acknowledge>(2) != nullptr; }, 2s));
    world.kill(1);
    world.wake(0);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.starts() >= 18);
    CHECK(world.readAll(0, job).size() == 9);
}

// Guards against an accepted job that no holder finds: an upload without a key writes its marker while an ended job under its id is still
// there, the holder removes that marker, the collector the old job, and the upload is accepted.
TEST_CASE("an upload that is accepted anew without a key is marked as open")
{
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(9), "");
    REQUIRE(refused(world, 1) == nullptr);
    const JobId job = world.seen<Acknowledge>(1)->job_;
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    world.cutMessages(true);
    const auto removeOld = [&] { world.store().core().apply(ObjectCall::remove(manifestKey(partitionOf(job, 2), job)), world.now()); };
    bool isKnown = false;
    SUBCASE("while it writes its manifest") { isKnown = true; }
    SUBCASE("before it looks for one") { removeOld(); }
    world.pauseBeforeCommand(1, [](const JobCommand& command) {
        const auto* call = std::get_if<StoreCall>(&command);
        return call && call->request_.verb_ == ObjectVerb::Create && call->request_.key_.starts_with("jobs/m/");
    });
    world.upload(1, 2, JobWorld::lines(9), "");
    world.runUntil([&] { return world.isPaused(1) || world.seen<Acknowledge>(2); }, 2s);
    if (world.isPaused(1)) {
        world.run(8s);
        removeOld();
        world.wake(1);
    }
    REQUIRE(world.runUntil([&] { return world.seen<Acknowledge>(2) != nullptr; }, 5s));
    CHECK(world.seen<Acknowledge>(2)->known_ == isKnown);
    const std::uint64_t starts = world.seen<Acknowledge>(2)->known_ ? 9 : 18;
    CHECK(world.runUntil([&] { return world.isEnded(job) && world.starts() == starts; }, 60s));
    CHECK(world.runUntil([&] { return !world.anyUnder("jobs/open/"); }, 10s));
}

// Guards against an accepted job that is never run: the collector removes the old job's ledger while the holder claims the new one on it.
TEST_CASE("a job whose old ledger is removed while it is claimed is claimed anew")
{
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(9), "k");
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    world.store().core().apply(ObjectCall::remove(manifestKey(partitionOf(job, 2), job)), world.now());
    bool isRemoved = false;
    world.fate_ = [&](std::uint32_t, const ObjectCall& call) {
        if (!isRemoved && call.verb_ == ObjectVerb::Update && call.key_.starts_with("jobs/s/")) {
            isRemoved = true;
            world.store().core().apply(ObjectCall::remove(call.key_), world.now());
        }
        return JobWorld::Fate::Goes;
    };
    world.upload(1, 2, JobWorld::lines(9), "k");
    REQUIRE(refused(world, 2) == nullptr);
    REQUIRE(world.runUntil([&] { return isRemoved && world.isEnded(job); }, 60s));
    CHECK(world.starts() == 18);
    CHECK(world.readAll(0, job).size() == 9);
}

// Guards against items that are sent a second time: a collector that was paused removes the intents of a job that was accepted anew
// under the id of the one that it had met.
TEST_CASE("a paused collector spares the intents of a job that was accepted anew")
{
    WorldOptions options = quickOptions();
    options.settings_.retention_ = 1h;
    options.step_ = 100ms;
    JobWorld world(options);
    world.upload(0, 1, JobWorld::lines(9), "k", true, 24h);
    REQUIRE(refused(world, 1) == nullptr);
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.pauseBeforeCommand(0, [](const JobCommand& command) {
        const auto* call = std::get_if<StoreCall>(&command);
        return call && call->request_.verb_ == ObjectVerb::Remove && call->request_.key_.starts_with("jobs/i/");
    });
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 3 * 3600s));
    REQUIRE(world.runUntil([&] { return !world.anyUnder("jobs/m/"); }, 300s));
    REQUIRE_FALSE(world.anyUnder("jobs/i/"));
    world.upload(1, 2, JobWorld::lines(9), "k", true, 24h);
    REQUIRE(refused(world, 2) == nullptr);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    REQUIRE(world.anyUnder("jobs/i/"));
    world.wake(0);
    world.run(1s);
    for (std::uint32_t chunk = 0; chunk < 3; ++chunk)
        CHECK(world.store().core().objects().contains(intentKey(job, chunk, 0)));
}

// Guards against results that are lost: a collector that was cut off from the store goes on and removes the results of a job that was
// accepted anew under the id of the one that it had met.
TEST_CASE("a collector that was cut off spares what a job that was accepted anew has written")
{
    WorldOptions options = quickOptions();
    options.settings_.retention_ = 1h;
    options.step_ = 100ms;
    JobWorld world(options);
    world.upload(0, 1, JobWorld::lines(9), "k", true, 24h);
    REQUIRE(refused(world, 1) == nullptr);
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    std::string listed;
    SUBCASE("its intents") { listed = intentPrefix(job); }
    SUBCASE("its results") { listed = resultPrefix(job); }
    bool isCut = false;
    world.fate_ = [&](std::uint32_t node, const ObjectCall& call) {
        isCut = isCut || (node == 0 && call.verb_ == ObjectVerb::List && call.key_ == listed);
        return node == 0 && isCut ? JobWorld::Fate::CallLost : JobWorld::Fate::Goes;
    };
    REQUIRE(world.runUntil([&] { return isCut; }, 3 * 3600s));
    REQUIRE(world.runUntil([&] { return !world.anyUnder("jobs/m/"); }, 30s));
    world.upload(1, 2, JobWorld::lines(9), "k", true, 24h);
    REQUIRE(refused(world, 2) == nullptr);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 20s));
    world.fate_ = nullptr;
    world.run(30s);
    CHECK(world.readAll(1, job).size() == 9);
    for (std::uint32_t chunk = 0; chunk < 3; ++chunk)
        CHECK(world.store().core().objects().contains(intentKey(job, chunk, 0)));
}

// Guards against results that go long before their retention is over: the entry of an earlier job under the id, which its collector has left
// behind, is taken for the new job's.
TEST_CASE("a job accepted anew is kept for its own retention")
{
    WorldOptions options = quickOptions();
    options.settings_.retention_ = 1h;
    options.step_ = 100ms;
    JobWorld world(options);
    world.upload(0, 1, JobWorld::lines(9), "k", false, 24h);
    REQUIRE(refused(world, 1) == nullptr);
    const JobId job = JobWorld::jobOf("k");
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.fate_ = [](std::uint32_t, const ObjectCall& call) { return call.verb_ == ObjectVerb::Remove && call.key_.starts_with("jobs/s/") ? JobWorld::Fate::KilledBefore : JobWorld::Fate::Goes; };
    REQUIRE(world.runUntil([&] { return !world.isAlive(0); }, 3 * 3600s));
    world.fate_ = nullptr;
    world.upload(1, 2, JobWorld::lines(9), "k", false, 24h);
    REQUIRE(refused(world, 2) == nullptr);
    REQUIRE(world.runUntil([&] { return world.starts() == 18 && world.isEnded(job); }, 60s));
    world.run(300s);
    CHECK(world.readAll(1, job).size() == 9);
    world.run(3 * 3600s);
    for (const char* prefix : { "jobs/m/", "jobs/s/", "jobs/r/", "jobs/x/" })
        CHECK_MESSAGE(!world.anyUnder(prefix), prefix);
}

// Guards against a cancel that waits in vain: the ledger that it met is of an earlier job under the id, and no holder has the new one.
TEST_CASE("a job accepted anew that nobody has claimed is cancelled at once")
{
    JobWorld world(quickOptions());
    const std::string key = world.keyOwnedBy(0);
    world.upload(0, 1, JobWorld::lines(9), key);
    const JobId job = JobWorld::jobOf(key);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    world.run(5s);
    world.store().core().apply(ObjectCall::remove(manifestKey(partitionOf(job, 2), job)), world.now());
    world.send(0, WindowChanged { 0 });
    world.upload(1, 2, JobWorld::lines(9), key);
    REQUIRE(refused(world, 2) == nullptr);
    world.send(1, CancelAsked { AskId(1), "clerks", job });
    CHECK(world.runUntil([&] { return world.seen<CancelAcknowledged>(1) != nullptr; }, 5s));
    CHECK(world.starts() == 9);
}
