// Prints how fairly each way divides slot time on a simulated fleet, what its messages take, and what a claim and a report cost.
#include "ShareFleet.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace jj;

namespace {

struct Way {
    const char* name_;
    ShareWay way_;
    FairShareSettings settings_ {};
    bool isRunCharged_ = true;
};

std::vector<Way> allWays()
{
    // Claims that follow the sums.
    FairShareSettings plain;
    plain.halfLife_ = 2s;
    plain.isOwnUsageLeading_ = false;
    // Without a half-life and without a charge, usage is the number of slots that are occupied now.
    FairShareSettings now;
    now.halfLife_ = 1ms;
    now.isOwnUsageLeading_ = false;
    return {
        { "today", ShareWay::Fifo },
        { "A plain", ShareWay::Exchanged, plain },
        { "kept", ShareWay::Exchanged },
        { "B now", ShareWay::Exchanged, now, false },
        { "C local", ShareWay::Local },
        { "optimum", ShareWay::Optimum },
    };
}

ShareFleetShape shapeOf(const Way& way, std::size_t hosts)
{
    ShareFleetShape shape;
    shape.hosts_ = hosts;
    shape.cells_ = std::max<std::size_t>(1, hosts / 50);
    shape.engines_ = hosts * 8 / 3;
    shape.settings_ = way.settings_;
    shape.isRunCharged_ = way.isRunCharged_;
    return shape;
}

void print(const char* pattern, const Way& way, const ShareFleet::Figures& figures)
{
    std::printf("%-22s %-10s worst %.3f  Jain %.3f  others ran %.3f  slots used %.3f  bytes/s sent %.0f, busiest %.0f, received by busiest %.0f  ranks %.3f %.3f %.3f\n", pattern, way.name_, figures.worst_, figures.jain_, figures.background_, figures.used_, figures.sent_, figures.busiestSent_, figures.busiestReceived_, figures.ofRank_[0], figures.ofRank_[1], figures.ofRank_[2]);
    std::fflush(stdout);
}

// Of Jain's index. In two seconds a workspace of ten slots runs about 25 requests, so the worst workspace varies even with the optimum.
constexpr double fairBound = 0.95;
constexpr Duration step = 2s;
constexpr Duration limit = 12s;

void printTime(const char* pattern, const Way& way, Duration time)
{
    std::printf("%-22s %-10s fair after %s%.1f s\n", pattern, way.name_, time == limit ? "more than " : "", toSeconds(time));
    std::fflush(stdout);
}

void measureSteady(const Way& way, std::size_t hosts, std::uint64_t seed)
{
    const auto run = [&](const char* pattern, const ShareFleetShape& shape) {
        ShareFleet fleet(way.way_, shape, seed);
        fleet.advance(6s);
        fleet.take();
        fleet.advance(10s);
        print(pattern, way, fleet.take());
    };
    const ShareFleetShape usual = shapeOf(way, hosts);
    run("even", usual);
    ShareFleetShape shape = usual;
    shape.unevenFactor_ = 10;
    run("one host at ten times", shape);
    shape = usual;
    shape.isUnequal_ = true;
    run("weights 1, 2, 4", shape);
    shape = usual;
    shape.loss_ = 0.1;
    shape.duplicates_ = 0.1;
    shape.jitter_ = 800ms;
    run("bad network", shape);
    shape = usual;
    shape.ranks_ = 3;
    run("three ranks", shape);
    shape = usual;
    shape.load_ = 0.5;
    run("room for all", shape);
}

void measureEvents(const Way& way, std::size_t hosts, std::uint64_t seed)
{
    ShareFleet fleet(way.way_, shapeOf(way, hosts), seed);
    fleet.advance(10s);
    const double demand = fleet.demand(0);
    fleet.setDemand(0, fleet.slots());
    printTime("step up", way, fleet.timeToFairness(fairBound, step, limit));
    fleet.setDemand(0, demand);
    printTime("step down", way, fleet.timeToFairness(fairBound, step, limit));
    for (std::size_t host = 0; host < hosts; host += 3)
        fleet.kill(host);
    printTime("a third killed", way, fleet.timeToFairness(fairBound, step, limit));
    for (std::size_t host = 0; host < hosts; host += 3)
        fleet.restart(host);
    printTime("a third restarted", way, fleet.timeToFairness(fairBound, step, limit));
    for (std::size_t host = 0; host < hosts; ++host)
        fleet.kill(host);
    fleet.advance(1s);
    for (std::size_t host = 0; host < hosts; ++host)
        fleet.restart(host);
    printTime("all killed", way, fleet.timeToFairness(fairBound, step, limit));
    for (std::size_t host = 0; host < hosts; host += 3)
        fleet.setCut(host, true);
    printTime("a third cut off", way, fleet.timeToFairness(fairBound, step, limit));
    for (std::size_t host = 0; host < hosts; host += 3)
        fleet.setCut(host, false);
    fleet.advance(3s);
    fleet.setPaused(0, true);
    printTime("a delegate paused", way, fleet.timeToFairness(fairBound, step, limit));
}

template <class Work>
double nanoseconds(std::size_t count, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t one = 0; one < count; ++one)
        work(one);
    return static_cast<double>(std::chrono::nanoseconds(std::chrono::steady_clock::now() - start).count()) / static_cast<double>(count);
}

// A delegate of a cell of 56 nodes, 7,900 configured workspaces, 30 of them in use everywhere.
void measureCost()
{
    constexpr std::size_t workspaces = 7900;
    constexpr std::size_t used = 30;
    constexpr std::size_t nodes = 55;
    std::vector<WorkspaceWeight> weights;
    for (std::size_t one = 0; one < workspaces; ++one)
        weights.push_back({ WorkspaceId(one), 1 });
    FairShares shares = FairShares::create({}, NodeId(1), Incarnation(1)).value();
    shares.setWorkspaces(weights);
    shares.setRanksDiffer(true);
    const TimePoint now { 60s };
    std::vector<ShareReport> reports;
    for (std::size_t node = 0; node < nodes; ++node) {
        ShareReport report { NodeId(node + 2), Incarnation(1), 1, {}, { { 0, 5 }, { 3, 5 } } };
        for (std::size_t one = 0; one < used; ++one)
            report.workspaces_.push_back({ WorkspaceId(one), 0.3F });
        reports.push_back(report);
    }
    for (std::size_t one = 0; one < used; ++one)
        shares.started(WorkspaceId(one), one % 2 == 0 ? 0 : 3, now);
    const double apply = nanoseconds(reports.size(), [&](std::size_t one) { shares.applyReport(reports[one], now); });
    double sumTime = 0;
    constexpr std::size_t rounds = 100;
    std::size_t entries = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const TimePoint later = now + Duration(10ms) * static_cast<std::int64_t>(round * 100);
        for (ShareReport& report : reports) {
            ++report.sequence_;
            shares.applyReport(report, later);
        }
        sumTime += nanoseconds(1, [&](std::size_t) {
            shares.nextSums(CellId(1), later);
            for (std::size_t node = 0; node < nodes; ++node)
                entries += shares.sumFor(NodeId(node + 2)).workspaces_.size();
        });
    }
    const TimePoint last = now + 99s;
    const ShareSum sum = shares.sumFor(NodeId(2));
    float usage = 0;
    const double claim = nanoseconds(1000000, [&](std::size_t one) { usage += shares.claim(WorkspaceId(one % used), 0, last).usage_; });
    const double ranked = nanoseconds(1000000, [&](std::size_t one) { usage += shares.claim(WorkspaceId(one % used), 3, last).usage_; });
    FairShares node = FairShares::create({}, NodeId(2), Incarnation(1)).value();
    node.setWorkspaces(weights);
    for (std::size_t one = 0; one < used; ++one)
        node.started(WorkspaceId(one), 0, now);
    double reportTime = 0;
    double applySum = 0;
    ShareSum next = sum;
    for (std::size_t round = 0; round < rounds; ++round) {
        const TimePoint later = now + Duration(1s) * static_cast<std::int64_t>(round);
        node.recordCompetition(later);
        reportTime += nanoseconds(1, [&](std::size_t) { entries += node.nextReport(later)->workspaces_.size(); });
        ++next.sequence_;
        applySum += nanoseconds(1, [&](std::size_t) { node.applySum(next, later); });
    }
    std::printf("claim %.0f ns, of a lower rank %.0f ns; report %.0f ns, applied %.0f ns; sums for 55 nodes %.0f ns, one applied %.0f ns (%zu entries, usage %.1f)\n", claim, ranked, reportTime / rounds, apply, sumTime / rounds, applySum / rounds, entries, static_cast<double>(usage));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Fair shares on a simulated fleet");
    std::size_t hosts = 300;
    std::uint64_t seed = 1;
    std::string only;
    app.add_option("--hosts", hosts, "number of hosts");
    app.add_option("--seed", seed, "seed of the simulation");
    app.add_option("--way", only, "only ways whose name begins so");
    bool eventsOnly = false;
    app.add_flag("--events-only", eventsOnly, "leave out the steady patterns");
    CLI11_PARSE(app, argc, argv);
    for (const Way& way : allWays()) {
        if (!eventsOnly && std::string(way.name_).starts_with(only))
            measureSteady(way, hosts, seed);
    }
    for (const Way& way : allWays()) {
        if (std::string(way.name_).starts_with(only))
            measureEvents(way, hosts, seed);
    }
    measureCost();
    return 0;
}
