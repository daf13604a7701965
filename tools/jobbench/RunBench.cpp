// See RunBench.h.
#include "RunBench.h"

#include "JobWorld.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace jj {

namespace {

    WorldOptions benchOptions(std::uint32_t nodes, std::uint64_t seed = 1)
    {
        WorldOptions options;
        options.nodes_ = nodes;
        options.seed_ = seed;
        options.settings_.calls_.budget_.writesPerSecond_ = 400.0 / nodes;
        options.settings_.calls_.budget_.readsPerSecond_ = 2000.0 / nodes;
        options.itemTime_ = 200ms;
        return options;
    }

    bool isBackground(const ObjectCall& call) { return call.key_.starts_with(leasePrefix()) || call.verb_ == ObjectVerb::List; }

    double percentile(std::vector<double> values, double part)
    {
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
    }

    double allocatedBytes() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); }

} // namespace

CallFigures measureCalls(std::uint32_t items, std::uint32_t chunkItems, bool atMostOnce)
{
    WorldOptions options = benchOptions(3);
    options.settings_.chunkItems_ = chunkItems;
    JobWorld world(options);
    CallFigures figures;
    figures.items_ = items;
    bool accepted = false;
    world.fate_ = [&](std::uint32_t, const ObjectCall& call) {
        if (call.key_.starts_with("jobs/s/"))
            figures.largestLedger_ = std::max(figures.largestLedger_, call.value_.size());
        ++(isBackground(call) ? figures.backgroundCalls_ : accepted ? figures.runCalls_
                                                                    : figures.acceptCalls_);
        return JobWorld::Fate::Goes;
    };
    world.run(2s);
    const std::string key = world.keyOwnedBy(0);
    const TimePoint start = world.now();
    world.upload(1, 1, JobWorld::lines(items), key, atMostOnce, 24h);
    world.runUntil([&] { return world.seen<Acknowledge>(1) != nullptr; }, 3600s);
    accepted = true;
    const JobId job = JobWorld::jobOf(key);
    world.runUntil([&] { return world.isEnded(job); }, 24h);
    figures.seconds_ = toSeconds(world.now() - start);
    world.run(2s);
    figures.chunks_ = (items + chunkItems - 1) / chunkItems;
    return figures;
}

RecoveryFigures measureRecovery(std::uint32_t kills)
{
    RecoveryFigures figures;
    std::vector<double> times;
    for (std::uint32_t kill = 0; kill < kills; ++kill) {
        WorldOptions options = benchOptions(3, kill + 1);
        options.settings_.partitions_ = 3;
        figures.leaseTime_ = toSeconds(options.settings_.leaseTime_);
        JobWorld world(options);
        const std::string key = world.keyOwnedBy(0);
        const std::uint32_t items = 12'000;
        world.upload(1, 1, JobWorld::lines(items), key, false, 24h);
        world.runUntil([&] { return world.starts() > 500; }, 120s);
        // Kills fall evenly over the time between two renewals.
        world.run(std::chrono::milliseconds(3000 * kill / kills));
        world.kill(0);
        const TimePoint killedAt = world.now();
        const std::uint64_t before = world.starts();
        world.runUntil([&] { return world.starts() > before; }, 60s);
        times.push_back(toSeconds(world.now() - killedAt));
        world.runUntil([&] { return world.isEnded(JobWorld::jobOf(key)); }, 3600s);
        const double again = static_cast<double>(world.starts() - items);
        figures.itemsAgain_ += again / kills;
        figures.itemsAgainWorst_ = std::max(figures.itemsAgainWorst_, again);
    }
    figures.p50_ = percentile(times, 0.5);
    figures.p99_ = percentile(times, 0.99);
    figures.worst_ = percentile(times, 1);
    return figures;
}

namespace {

    // One holder with so many accepted jobs of one item, none of them running.
    std::unique_ptr<JobWorld> worldWithOpenJobs(std::uint32_t jobs)
    {
        WorldOptions options = benchOptions(1);
        options.settings_.window_ = 0;
        options.settings_.partitions_ = 1;
        options.settings_.calls_.budget_.writesPerSecond_ = 1e6;
        options.settings_.calls_.budget_.readsPerSecond_ = 1e6;
        auto world = std::make_unique<JobWorld>(options);
        world->run(1s);
        for (std::uint32_t i = 0; i < jobs; ++i) {
            world->upload(0, i, JobWorld::lines(1), "job-" + std::to_string(i), false, 24h);
            world->run(20ms);
        }
        world->run(10s);
        return world;
    }

} // namespace

double measureBytesForJobs(std::uint32_t jobs)
{
    const std::unique_ptr<JobWorld> world = worldWithOpenJobs(jobs);
    const double withJobs = allocatedBytes();
    world->kill(0);
    return withJobs - allocatedBytes();
}

double measureTick(std::uint32_t jobs)
{
    constexpr int ticks = 20'000;
    const std::unique_ptr<JobWorld> world = worldWithOpenJobs(jobs);
    const std::clock_t before = std::clock();
    for (int i = 0; i < ticks; ++i)
        world->core(0).tick(world->now(), world->wall());
    return static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / ticks * 1e6;
}

double measureBytesForItems(std::uint32_t items)
{
    WorldOptions options = benchOptions(1);
    options.settings_.window_ = items;
    options.settings_.maxLoadedChunks_ = items;
    options.settings_.partitions_ = 1;
    options.itemTime_ = 24h;
    JobWorld world(options);
    world.upload(0, 1, JobWorld::lines(2 * items), "job", false, 24h);
    world.run(20s);
    const double withItems = allocatedBytes();
    const std::uint32_t running = world.runningOn(0);
    world.kill(0);
    return running == items ? withItems - allocatedBytes() : 0;
}

std::vector<std::uint64_t> measureReturn()
{
    constexpr std::uint32_t nodes = 9;
    constexpr std::size_t seconds = 30;
    WorldOptions options = benchOptions(nodes);
    options.settings_.partitions_ = nodes;
    options.settings_.chunkItems_ = 8; // many store calls
    JobWorld world(options);
    for (std::uint32_t node = 0; node < nodes; ++node)
        world.upload(node, node, JobWorld::lines(12'000), world.keyOwnedBy(node), false, 24h);
    // By then all jobs are accepted and most of their chunks wait.
    world.run(45s);
    world.store().core().setOutage(true);
    world.run(60s);
    world.store().core().setOutage(false);
    std::vector<std::uint64_t> calls;
    for (std::size_t second = 0; second < seconds; ++second) {
        const StoreCounts before = world.store().core().counts();
        world.run(1s);
        const StoreCounts after = world.store().core().counts();
        calls.push_back(after.reads_ + after.writes_ - before.reads_ - before.writes_);
    }
    return calls;
}

} // namespace jj
