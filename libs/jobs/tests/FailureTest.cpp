// Exactly one result for each item, whatever fails. Each test tells its story; each was seen to fail with its guard taken out.
#include "JobWorld.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

using Fate = JobWorld::Fate;

bool isCommit(const JobCommand& command)
{
    const auto* call = std::get_if<StoreCall>(&command);
    return call && call->request_.verb_ == ObjectVerb::Update && call->request_.key_.starts_with("jobs/s/") && call->request_.value_.find("\"committed\":[[") != std::string::npos;
}

// Uploads to the owner of the job's partition and waits for the acknowledgement.
JobId accept(JobWorld& world, std::uint32_t owner, std::uint32_t items, bool atMostOnce = false)
{
    const std::string key = world.keyOwnedBy(owner);
    world.upload(owner, 1, JobWorld::lines(items), key, atMostOnce);
    REQUIRE(world.runUntil([&] { return world.seen<Acknowledge>(1) != nullptr; }, 20s));
    return JobWorld::jobOf(key);
}

// Runs one job whose owner meets `fate` at its n-th store call. False when it makes fewer calls.
bool runWithFate(std::uint32_t n, Fate fate, bool atMostOnce)
{
    JobWorld world(quickOptions());
    std::uint32_t calls = 0;
    bool met = false;
    world.fate_ = [&](std::uint32_t node, const ObjectCall&) {
        if (node != 0 || met || calls++ != n)
            return Fate::Goes;
        met = true;
        return fate;
    };
    const std::string key = world.keyOwnedBy(0);
    const std::string text = JobWorld::lines(10);
    world.upload(0, 1, text, key, atMostOnce);
    world.runUntil([&] { return world.seen<Acknowledge>(1) != nullptr || !world.isAlive(0); }, 20s);
    // The caller that got no acknowledgement sends the job again, to another host.
    if (!world.seen<Acknowledge>(1))
        world.upload(1, 2, text, key, atMostOnce);
    const JobId job = JobWorld::jobOf(key);
    CHECK_MESSAGE(world.runUntil([&] { return world.isEnded(job) && (world.seen<Acknowledge>(1) || world.seen<Acknowledge>(2)); }, 60s), "call ", n, " fate ", static_cast<int>(fate));
    world.run(1s);
    CHECK_MESSAGE(world.firstFinding() == "", "call ", n, " fate ", static_cast<int>(fate));
    CHECK(world.readAll(1, job).size() == 10);
    return met;
}

} // namespace

TEST_CASE("a holder killed before, within or after any of its store calls loses and doubles nothing")
{
    // A clerk's letters stay unsent, or go out twice. The holder dies at a store call: the call never left, or took effect unseen, or
    // was the last thing it knew. Cause: work that lives only in the dead process, or that its successor can't tell from undone.
    for (const bool atMostOnce : { false, true }) {
        for (const Fate fate : { Fate::KilledBefore, Fate::KilledWithin, Fate::KilledAfter }) {
            std::uint32_t n = 0;
            while (n < 200 && runWithFate(n, fate, atMostOnce))
                ++n;
            CHECK(n > 15);
            CHECK(n < 200);
        }
    }
}

TEST_CASE("an answer lost after the effect of any store call loses and doubles nothing")
{
    // A clerk's resend is refused as somebody else's job, or a holder throws its own results away. The store did what it was asked
    // and its answer was lost; the repeated call meets the first one's effect. Cause: an own effect taken for another's.
    std::uint32_t n = 0;
    while (n < 200 && runWithFate(n, Fate::AnswerLost, false))
        ++n;
    CHECK(n > 15);
    CHECK(n < 200);
}

TEST_CASE("a ledger never names results that are not in the store")
{
    // A clerk's page of results can't be read, for good. The holder's result writes were lost on the way, its commit was not, and it
    // died before it tried again. Cause: a commit sent before the results were known to stand.
    JobWorld world(quickOptions());
    world.fate_ = [](std::uint32_t node, const ObjectCall& call) { return node == 0 && call.isWrite() && call.key_.starts_with("jobs/r/") ? Fate::CallLost : Fate::Goes; };
    const JobId job = accept(world, 0, 4);
    world.run(3s);
    world.kill(0);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    CHECK(world.readAll(1, job).size() == 4);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a job outlives the host that acknowledged it")
{
    // The clerk has the acknowledgement and the letters never come. The host died right after it answered. Cause: an acknowledgement
    // before everything stood in the store.
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 9);
    world.kill(0);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a holder paused between check and send does not start the item after its lease")
{
    // An item runs on two hosts at once. The holder checked its lease, was paused for longer than it, and wakes with the send still
    // to do; meanwhile another host has taken over. Cause: the check is older than the effect.
    JobWorld world(quickOptions());
    world.run(3s); // the lease has been renewed since it was taken
    const JobId job = accept(world, 0, 1);
    world.pauseBefore<RunItem>(0);
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 10s));
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    world.wake(0);
    world.run(5s);
    CHECK(world.startsOf(job, 0) == 1);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("commits of a holder paused past its lease are refused")
{
    // A caller reads one answer for a letter and later another. The first holder is paused right before its commit, the second runs
    // the items and commits, the first wakes and commits too. Cause: two results for one item, both in force.
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 4);
    world.pauseBeforeCommand(0, isCommit);
    REQUIRE(world.runUntil([&] { return world.isPaused(0); }, 10s));
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    for (std::string& line : world.readAll(1, job))
        world.events().emplace_back(ResultWasRead { job, std::move(line) });
    const Epoch epoch = world.ledger(job)->epochOf(0);
    world.wake(0);
    world.run(10s);
    CHECK(world.ledger(job)->epochOf(0) == epoch);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("two holders that both believe in their lease give one result an item")
{
    // Results of one letter differ from read to read. One host's clock runs at a tenth of its speed: it holds on to its lease
    // while another host has taken over, and both run the same items. Cause: time alone can't fence.
    WorldOptions options = quickOptions();
    options.itemTime_ = 900ms;
    JobWorld world(options);
    const JobId job = accept(world, 0, 100);
    world.run(1s);
    world.setClockRate(0, 0.1);
    REQUIRE(world.runUntil([&] { return world.runningOn(0) > 0 && world.runningOn(1) > 0; }, 40s));
    // A claim under an older epoch would hide the newer holder from a cancel.
    Epoch latest(0);
    bool onlyGrows = true;
    REQUIRE(world.runUntil(
        [&] {
            const Epoch epoch = world.ledger(job)->epoch_;
            onlyGrows = onlyGrows && epoch >= latest;
            latest = std::max(latest, epoch);
            return world.isEnded(job);
        },
        60s));
    CHECK(onlyGrows);
    world.run(10s);
    CHECK(world.starts() > 100);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a store that is down for minutes delays a job and loses nothing of it")
{
    // The store is out for three minutes in the middle of a batch. Work in hand is finished and its results are held; nothing is run
    // twice that needn't be, and the job ends soon after the store is back.
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 24);
    REQUIRE(world.runUntil([&] { return world.starts() >= 8; }, 10s));
    world.store().core().setOutage(true);
    world.run(180s);
    const std::uint64_t before = world.starts();
    CHECK(before < 24);
    world.store().core().setOutage(false);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    CHECK(world.starts() <= 24 + 8);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a store that is slow for minutes loses and doubles nothing")
{
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 24);
    world.store().faults() = { 300ms, 900ms, 0, 0, 2s };
    world.run(120s);
    world.store().faults() = {};
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("answers that come late and crossed change nothing")
{
    // Each answer takes up to a second and the client gives a call up after 400 ms, so that effects land after they were given
    // up and answers pass one another. Cause: an answer taken for that of a later call, or a late effect for a refusal.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        WorldOptions options = quickOptions();
        options.seed_ = seed;
        JobWorld world(options);
        const JobId job = accept(world, 0, 12);
        world.store().faults() = { 5ms, 500ms, 0, 0, 400ms };
        world.run(40s);
        world.store().faults() = {};
        REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
        CHECK(world.firstFinding() == "");
    }
}

TEST_CASE("the whole job sent to two hosts at once is one job")
{
    // A clerk's client times out and sends its batch again to another host while the first still writes it. Cause: two uploads
    // that both believe to be the first.
    JobWorld world(quickOptions(3));
    const std::string text = JobWorld::lines(20);
    for (std::uint32_t node = 0; node < 3; ++node)
        world.upload(node, node + 1, text, "same");
    REQUIRE(world.runUntil([&] { return world.count<Acknowledge>() == 3; }, 20s));
    const JobId job = JobWorld::jobOf("same");
    CHECK(world.seen<Acknowledge>(1)->job_ == job);
    CHECK(static_cast<int>(world.seen<Acknowledge>(1)->known_) + static_cast<int>(world.seen<Acknowledge>(2)->known_) + static_cast<int>(world.seen<Acknowledge>(3)->known_) == 2);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 30s));
    CHECK(world.starts() == 20);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a drained holder finishes what it began and hands over at once")
{
    // A host is to be replaced. Items that ran must keep their results, those that may not be repeated above all, and the next holder
    // must not wait for a lease to lapse.
    for (const bool atMostOnce : { false, true }) {
        WorldOptions options = quickOptions();
        options.settings_.window_ = 6; // a chunk and a half
        JobWorld world(options);
        const JobId job = accept(world, 0, 120, atMostOnce);
        REQUIRE(world.runUntil([&] { return world.starts() >= 30; }, 20s));
        world.send(0, DrainAsked {});
        world.send(1, PartitionsAssigned { { PartitionId(0), PartitionId(1) }, {} });
        REQUIRE(world.runUntil([&] { return world.core(0).isDrained(); }, 3s));
        REQUIRE(world.runUntil([&] { return world.runningOn(1) > 0; }, 2s));
        REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
        CHECK(world.starts() == 120);
        CHECK(world.ledger(job)->failed_ == 0);
        CHECK(world.firstFinding() == "");
    }
}

// Guards against items that run a second time, though they may not, because a node that leaves took them back as not run.
TEST_CASE("items that may run once are not taken back from their engine when a drain lasts for long")
{
    WorldOptions options = quickOptions();
    options.settings_.window_ = 2;
    JobWorld world(options);
    const JobId job = accept(world, 0, 4, true);
    REQUIRE(world.runUntil([&] { return world.starts() >= 3; }, 20s));
    world.send(0, DrainAsked {});
    world.send(0, AbandonAsked {});
    world.send(1, PartitionsAssigned { { PartitionId(0), PartitionId(1) }, {} });
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    for (std::uint32_t item = 0; item < 4; ++item)
        CHECK(world.startsOf(job, item) == 1);
    CHECK(world.ledger(job)->failed_ == 0);
    CHECK(world.firstFinding() == "");
}

// Guards against items that a node that leaves takes from their engines and starts again at once, in place of the next holder.
TEST_CASE("items that are taken back when a drain lasts for long go to the next holder")
{
    WorldOptions options = quickOptions();
    options.settings_.window_ = 2;
    options.itemTime_ = 1s;
    JobWorld world(options);
    const JobId job = accept(world, 0, 4);
    REQUIRE(world.runUntil([&] { return world.starts() >= 3; }, 20s));
    world.send(0, DrainAsked {});
    world.send(0, AbandonAsked {});
    const std::uint64_t before = world.starts();
    world.send(1, PartitionsAssigned { { PartitionId(0), PartitionId(1) }, {} });
    REQUIRE(world.runUntil([&] { return world.starts() > before; }, 3s));
    CHECK(world.runningOn(0) == 0);
    CHECK(world.core(0).isDrained());
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("a killed holder's work resumes within lease time plus one second")
{
    JobWorld world(quickOptions());
    const JobId job = accept(world, 0, 200);
    REQUIRE(world.runUntil([&] { return world.starts() >= 40; }, 20s));
    world.kill(0);
    const std::uint64_t before = world.starts();
    REQUIRE(world.runUntil([&] { return world.starts() > before; }, world.options().settings_.leaseTime_ + 1s));
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.firstFinding() == "");
}

TEST_CASE("items that cannot be done end with their class and the job completes")
{
    // One letter crashes each engine that writes it, one is refused, one is too large, one always times out: the batch of the
    // others must not wait for them for ever.
    WorldOptions options = quickOptions();
    options.outcome_ = [](const RunItem& run) {
        switch (run.item_.value()) {
        case 1:
            return RunOutcome::Crashed;
        case 2:
            return RunOutcome::Refused;
        case 3:
            return RunOutcome::TooLarge;
        case 4:
            return RunOutcome::TimedOut;
        case 5:
            return run.attempt_ < 3 ? RunOutcome::Failed : RunOutcome::Done;
        case 6:
            return RunOutcome::Quarantined;
        default:
            return RunOutcome::Done;
        }
    };
    JobWorld world(options);
    const JobId job = accept(world, 0, 12);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    const AuditReport report = world.check();
    REQUIRE(report.jobs_.size() == 1);
    const std::vector<AuditedItem>& items = report.jobs_[0].items_;
    CHECK((items[1].end_ == ItemEnd::CrashesUpstream));
    CHECK(world.startsOf(job, 1) == world.options().settings_.maxCrashes_);
    CHECK((items[2].end_ == ItemEnd::Refused));
    CHECK((items[3].end_ == ItemEnd::TooLarge));
    CHECK((items[4].end_ == ItemEnd::TimedOut));
    CHECK((items[5].end_ == ItemEnd::Done));
    CHECK((items[6].end_ == ItemEnd::CrashesUpstream));
    CHECK(world.ledger(job)->failed_ == 5);
    CHECK(world.firstFinding() == "");
}

TEST_CASE("an item that may not be repeated is sent once, and again only when it was not run")
{
    // An order is billed twice: its first sending failed without an answer and the batch sent it again.
    WorldOptions options = quickOptions();
    options.outcome_ = [](const RunItem& run) {
        const std::uint32_t fate = run.item_.value() % 4;
        return fate == 0 ? RunOutcome::Failed : fate == 1 ? RunOutcome::TimedOut
            : fate == 2                                   ? RunOutcome::Crashed
                                                          : RunOutcome::Done;
    };
    JobWorld world(options);
    const JobId job = accept(world, 0, 8, true);
    REQUIRE(world.runUntil([&] { return world.isEnded(job); }, 60s));
    CHECK(world.starts() == 8);
    CHECK(world.ledger(job)->failed_ == 6);
    const AuditReport report = world.check();
    CHECK(report.findings_.empty());
    CHECK((report.jobs_[0].items_[0].end_ == ItemEnd::OutcomeUnknown));
}

TEST_CASE("retries of a failing upstream stay within their budget")
{
    // Every engine of a service fails for a minute. Without a budget each item is tried again as fast as its backoff allows, and
    // the recovering engines meet a storm. Seen as starts beyond the first of each item.
    WorldOptions options = quickOptions();
    options.settings_.chunkItems_ = 64;
    options.settings_.window_ = 256;
    options.settings_.maxAttempts_ = 100;
    options.settings_.retryBurst_ = 20;
    options.outcome_ = [](const RunItem&) { return RunOutcome::Failed; };
    JobWorld world(options);
    accept(world, 0, 256);
    world.run(20s);
    const std::uint64_t retries = world.starts() - 256;
    CHECK(retries >= 20);
    CHECK(retries <= 20 + 2 * 20 + 60);
}
