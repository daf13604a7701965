// Measures the membership core over the in-memory datagram fake of its tests: detection of a stopped host, false suspicions and deaths,
// cost a node, and the time until marks and configuration versions are on all nodes. Virtual time; only CPU is real.
#include "DatagramFleet.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace jj;

namespace {

constexpr Duration settleLimit = 60s;
// Updates of the common start have spread by then.
constexpr Duration costWarmup = 60s;
// IPv4 and UDP headers.
constexpr std::uint64_t headerBytes = 28;
constexpr double enginesPerNode = 2.2;

struct Options {
    std::vector<std::size_t> sizes_ { 8, 32, 128 };
    std::vector<double> losses_ { 0.01, 0.05, 0.20 };
    std::size_t costSize_ = 360; // also measured for cost alone
    std::size_t regions_ = 2;
    std::size_t trials_ = 20;
    std::size_t costSeconds_ = 30;
    std::uint64_t seed_ = 1;
    std::string only_; // empty: all

    bool wants(const char* part) const { return only_.empty() || only_ == part; }
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    return values[at];
}

// What nodes say of others that are up.
struct FalseClaims {
    std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>> suspicions_; // node, incarnation, refutation: one each
    std::size_t deaths_ = 0;
};

DatagramFleet settledFleet(const Options& options, std::size_t size, std::uint64_t seed)
{
    DatagramFleet fleet(size, options.regions_, seed);
    if (!fleet.runUntil([&] { return fleet.isSettled(); }, settleLimit))
        std::printf("fleet of %zu did not settle\n", size);
    return fleet;
}

void measureDetection(const Options& options, std::size_t size, double loss)
{
    DatagramFleet fleet = settledFleet(options, size, options.seed_);
    fleet.faults_.loss_ = loss;
    FalseClaims word;
    std::vector<double> seconds;
    std::size_t missed = 0;
    std::size_t victim = size;
    TimePoint stoppedAt {};
    fleet.listener_ = [&](std::size_t, const MembershipCommand& command) {
        const auto* changed = std::get_if<MemberChanged>(&command);
        if (!changed)
            return;
        const MemberRumor& member = changed->member_;
        const bool isVictim = victim < size && member.node_ == fleet.id(victim);
        if (isVictim && member.state_ == MemberState::Dead)
            seconds.push_back(toSeconds(fleet.now() - stoppedAt));
        else if (!isVictim && member.state_ == MemberState::Dead)
            ++word.deaths_;
        else if (!isVictim && member.state_ == MemberState::Suspect)
            word.suspicions_.emplace(member.node_.value(), member.incarnation_.value(), member.refutation_);
    };
    const TimePoint from = fleet.now();
    for (std::size_t trial = 0; trial < options.trials_; ++trial) {
        victim = (trial * 7 + 3) % size;
        stoppedAt = fleet.now() + DatagramFleet::step;
        const std::size_t before = seconds.size();
        fleet.at(victim).up_ = false;
        fleet.run(8s);
        missed += (size - 1) - std::min(size - 1, seconds.size() - before);
        fleet.start(victim);
        fleet.run(4s);
    }
    const double nodeMinutes = toSeconds(fleet.now() - from) / 60 * static_cast<double>(size);
    std::printf("detection nodes=%zu loss=%.0f%% trials=%zu p50=%.2fs p99=%.2fs max=%.2fs unseen_in_8s=%zu false_suspicions=%zu (%.3f a node and minute) false_deaths=%zu node_minutes=%.0f\n",
        size, loss * 100, options.trials_, percentile(seconds, 0.5), percentile(seconds, 0.99), percentile(seconds, 1), missed,
        word.suspicions_.size(), static_cast<double>(word.suspicions_.size()) / nodeMinutes, word.deaths_, nodeMinutes);
    std::fflush(stdout);
}

void reportLoads(DatagramFleet& fleet)
{
    std::uint64_t engine = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const auto until = static_cast<std::uint64_t>(enginesPerNode * static_cast<double>(i + 1));
        LoadsMeasured loads;
        for (; engine < until; ++engine)
            loads.loads_.push_back({ UpstreamId(engine), {}, 0, 10, 20, 30, 40 });
        fleet.handle(i, loads);
    }
}

void measureCost(const Options& options, std::size_t size)
{
    DatagramFleet fleet = settledFleet(options, size, options.seed_);
    fleet.faults_.loss_ = 0.01;
    for (std::size_t i = 0; i < size; ++i)
        fleet.handle(i, ConfigApplied { ConfigVersion(7) });
    reportLoads(fleet);
    fleet.run(costWarmup);
    std::vector<std::uint64_t> bytes;
    std::vector<std::uint64_t> datagrams;
    for (std::size_t i = 0; i < size; ++i) {
        bytes.push_back(fleet.at(i).bytes_);
        datagrams.push_back(fleet.at(i).datagrams_);
    }
    const std::clock_t cpu = std::clock();
    for (std::size_t second = 0; second < options.costSeconds_; ++second) {
        reportLoads(fleet);
        fleet.run(1s);
    }
    const double cpuSeconds = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
    const double nodeSeconds = static_cast<double>(size * options.costSeconds_);
    std::uint64_t allBytes = 0;
    std::uint64_t allDatagrams = 0;
    std::uint64_t mostBytes = 0;
    std::uint64_t oversized = 0;
    for (std::size_t i = 0; i < size; ++i) {
        const std::uint64_t sent = fleet.at(i).datagrams_ - datagrams[i];
        const std::uint64_t sentBytes = fleet.at(i).bytes_ - bytes[i] + sent * headerBytes;
        allBytes += sentBytes;
        allDatagrams += sent;
        mostBytes = std::max(mostBytes, sentBytes);
        oversized += fleet.at(i).oversized_;
    }
    std::printf("cost nodes=%zu sent=%.2f KB/s a node (highest %.2f) datagrams=%.1f/s cpu=%.3f%% of a core a node oversized=%llu\n",
        size, static_cast<double>(allBytes) / nodeSeconds / 1000, static_cast<double>(mostBytes) / static_cast<double>(options.costSeconds_) / 1000,
        static_cast<double>(allDatagrams) / nodeSeconds, 100 * cpuSeconds / nodeSeconds, static_cast<unsigned long long>(oversized));
    std::fflush(stdout);
}

// Times until all nodes know of it.
struct Spread {
    std::vector<double> seconds_;
    std::size_t missed_ = 0;

    void add(const std::optional<Duration>& took)
    {
        if (took)
            seconds_.push_back(toSeconds(*took));
        else
            ++missed_;
    }

    void print(const char* what, std::size_t size, double loss) const
    {
        std::printf("spread %s nodes=%zu loss=%.0f%% p50=%.3fs p99=%.3fs max=%.3fs missed=%zu of %zu\n", what, size, loss * 100,
            percentile(seconds_, 0.5), percentile(seconds_, 0.99), percentile(seconds_, 1), missed_, missed_ + seconds_.size());
        std::fflush(stdout);
    }
};

void measureSpread(const Options& options, std::size_t size, double loss)
{
    DatagramFleet fleet = settledFleet(options, size, options.seed_ + 1);
    fleet.faults_.loss_ = loss;
    fleet.listener_ = [&](std::size_t node, const MembershipCommand& command) {
        if (const auto* learned = std::get_if<ConfigVersionLearned>(&command))
            fleet.handle(node, ConfigApplied { learned->version_ });
    };
    Spread marks;
    Spread versions;
    Spread known;
    const auto all = [&](auto holds) {
        return fleet.runUntil([&] {
            for (std::size_t i = 0; i < size; ++i) {
                if (!holds(i))
                    return false;
            }
            return true;
        },
            20s);
    };
    for (std::size_t trial = 0; trial < options.trials_; ++trial) {
        const std::size_t origin = trial * 5 % size;
        const UpstreamId upstream(trial);
        fleet.handle(origin, UpstreamMarked { upstream, true });
        marks.add(all([&](std::size_t i) { return fleet.core(i).board().markOf(upstream).has_value(); }));
        fleet.run(1s);
        const ConfigVersion version(100 + trial);
        fleet.handle(origin, ConfigApplied { version });
        const TimePoint from = fleet.now();
        versions.add(all([&](std::size_t i) { return fleet.core(i).board().configVersion() == version; }));
        const auto rest = all([&](std::size_t i) { return fleet.core(i).inForceEverywhere() == version; });
        known.add(rest ? std::optional(fleet.now() - from) : std::nullopt);
        fleet.run(1s);
    }
    marks.print("mark-on-all-nodes", size, loss);
    versions.print("configuration-on-all-nodes", size, loss);
    known.print("in-force-known-by-all-nodes", size, loss);
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Measures the membership core over an in-memory datagram fake");
    app.add_option("--sizes", options.sizes_, "fleet sizes");
    app.add_option("--losses", options.losses_, "shares of datagrams lost");
    app.add_option("--cost-size", options.costSize_, "a further size, for cost and spread alone; 0 for none");
    app.add_option("--regions", options.regions_, "regions that the nodes are spread over");
    app.add_option("--trials", options.trials_, "stopped hosts, marks and versions for each figure");
    app.add_option("--cost-seconds", options.costSeconds_, "virtual seconds for each cost figure");
    app.add_option("--seed", options.seed_, "seed");
    app.add_option("--only", options.only_, "one part: detection, cost or spread")->check(CLI::IsMember({ "detection", "cost", "spread" }));
    CLI11_PARSE(app, argc, argv);

    for (std::size_t size : options.sizes_) {
        for (double loss : options.losses_) {
            if (options.wants("detection"))
                measureDetection(options, size, loss);
        }
    }
    std::vector<std::size_t> sizes = options.sizes_;
    if (options.costSize_ > 0)
        sizes.push_back(options.costSize_);
    for (std::size_t size : sizes) {
        if (options.wants("cost"))
            measureCost(options, size);
        if (options.wants("spread"))
            measureSpread(options, size, 0.05);
    }
    return 0;
}
