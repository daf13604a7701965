// Measures what a host sends, receives, knows and does in fleets of several sizes, with ten engines per host.
//
// The code is that of the daemon, on simulated hosts in virtual time; messages are encoded and counted. Nothing depends on the speed of
// the machine. Membership has a program of its own, membershipbench.
#include "ExchangeFleet.h"
#include "PeerMessages.h"
#include "SpreadModel.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>
#include <vector>

using namespace jj;

namespace {

constexpr std::size_t enginesPerHost = 10;
constexpr std::uint32_t slotsPerEngine = 8;
constexpr std::size_t regions = 2;
constexpr std::size_t domainsPerRegion = 3;

struct Options {
    std::vector<std::size_t> sizes_ { 100, 300, 1000, 2000 };
    double changesPerSecond_ = 1; // of the load of each host
    std::uint64_t seed_ = 1;
};

// A quantity of all hosts.
struct Spread {
    double middle_ = 0;
    double highest_ = 0;
};

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return { values[values.size() / 2], values.back() };
}

struct Counters {
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t summaryBytes_ = 0;
    std::uint64_t forwardedBytes_ = 0;
};

std::vector<Counters> countersOf(const ExchangeFleet& fleet)
{
    std::vector<Counters> all;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const ExchangeFleet::Node& node = fleet.node(index);
        all.push_back({ node.datagrams_, node.bytes_, node.summaryBytes_, node.forwardedBytes_ });
    }
    return all;
}

void printReceived(const char* kind, const std::vector<Counters>& before, const std::vector<Counters>& after, std::uint64_t Counters::*counter, Duration time)
{
    std::vector<double> kilobytes;
    for (std::size_t index = 0; index < before.size(); ++index)
        kilobytes.push_back(static_cast<double>(after[index].*counter - before[index].*counter) / toSeconds(time) / 1000);
    const Spread spread = spreadOf(kilobytes);
    std::printf("  received, %s: %.2f KB/s a host in the middle, %.2f at most\n", kind, spread.middle_, spread.highest_);
}

void measureReports(ExchangeFleet& fleet)
{
    constexpr Duration measured = 2s;
    fleet.advance(1s);
    const std::vector<Counters> before = countersOf(fleet);
    fleet.advance(measured);
    const std::vector<Counters> after = countersOf(fleet);
    std::printf("  cells: %zu\n", fleet.node(0).exchange_->cells().cells().size());
    printReceived("reports and summaries", before, after, &Counters::bytes_, measured);
    printReceived("summaries of other cells", before, after, &Counters::summaryBytes_, measured);
    printReceived("summaries forwarded within the cell", before, after, &Counters::forwardedBytes_, measured);
}

EngineEntry engineOf(std::size_t number, const Cells& cells)
{
    EngineEntry entry;
    entry.id_ = UpstreamId(mixHash(99, number));
    entry.name_ = "i-" + std::to_string(10'000'000 + number);
    entry.service_ = "s";
    entry.at_ = { "10." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ".7", 8080 };
    entry.slots_ = slotsPerEngine;
    const std::size_t region = number % regions;
    entry.region_ = RegionId(static_cast<std::uint32_t>(region));
    entry.domain_ = FailureDomainId(static_cast<std::uint32_t>(region * 100 + number / regions % domainsPerRegion));
    entry.cell_ = cells.cellOf(entry.region_, entry.domain_, entry.id_.value());
    return entry;
}

// Fills the engines of the host's own cell by reports of another host.
void fillOwnCell(CapacityBoard& board, CellId own)
{
    NodeUse use { NodeId(2), Incarnation(1), 1, {}, {}, {}, {} };
    for (const UpstreamId engine : board.engines()) {
        if (board.find(engine)->cell_ == own)
            use.uses_.push_back({ engine, slotsPerEngine });
    }
    board.applyReport(use, TimePoint() + 10s);
}

void measurePicks(const ExchangeFleet& fleet, std::size_t engines, std::uint64_t seed)
{
    const ExchangeFleet::Node& node = fleet.node(0);
    const Cells& cells = node.exchange_->cells();
    CapacityBoard board({}, node.self_.node_, { node.exchange_->ownCell(), node.self_.region_, node.self_.domain_ }, seed);
    for (std::size_t number = 0; number < engines; ++number)
        board.upsert(engineOf(number, cells));
    const auto visitsOfPick = [&board] {
        const std::uint64_t before = board.visitedEngines();
        board.pickOnline("s", 300ms, false, {}, TimePoint() + 10s);
        return static_cast<unsigned long long>(board.visitedEngines() - before);
    };
    const unsigned long long free = visitsOfPick();
    fillOwnCell(board, node.exchange_->ownCell());
    std::printf("  engines that a pick visits: %llu, and %llu when the own cell is full, of %zu\n", free, visitsOfPick(), engines);
}

void measureFullState(const ExchangeFleet& fleet, std::size_t engines)
{
    UpdateReply reply;
    reply.engines_.version_ = 1;
    reply.engines_.isFullState_ = true;
    for (std::size_t number = 0; number < engines; ++number) {
        const EngineEntry entry = engineOf(number, fleet.node(0).exchange_->cells());
        reply.engines_.entries_.push_back({ "engines/" + entry.name_, ObjectVersion(number + 1), entry });
    }
    const WireKey key = WireKey::fromHex(std::string(64, '0')).value();
    const std::size_t bytes = encode(key, PeerReply(reply)).size();
    const Duration time = testing::timeToAll(testing::SpreadRule::Spread, fleet.size(), bytes);
    std::printf("  all engines, to each host that starts: %.2f MB; on all hosts after %.1f s from four sources (processor time not simulated)\n", static_cast<double>(bytes) / 1e6, toSeconds(time));
}

void measure(const Options& options, std::size_t hosts)
{
    FleetShape shape;
    shape.nodes_ = hosts;
    shape.regions_ = regions;
    shape.domainsPerRegion_ = domainsPerRegion;
    shape.engines_ = 400;
    shape.changesPerSecond_ = options.changesPerSecond_;
    ExchangeFleet fleet(shape, options.seed_);
    std::printf("%zu hosts, %zu engines\n", hosts, hosts * enginesPerHost);
    measureReports(fleet);
    measurePicks(fleet, hosts * enginesPerHost, options.seed_);
    measureFullState(fleet, hosts * enginesPerHost);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Measures what a host sends, receives, knows and does, by the size of the fleet");
    app.add_option("--sizes", options.sizes_, "numbers of hosts");
    app.add_option("--changes", options.changesPerSecond_, "changes of the load of each host per second");
    app.add_option("--seed", options.seed_, "seed");
    CLI11_PARSE(app, argc, argv);
    for (const std::size_t hosts : options.sizes_)
        measure(options, hosts);
    return 0;
}
