// Measures what workspaces cost a host: looking up a caller's key, admitting a request, and applying a configuration of 7,900 workspaces
// with 24,000 keys.
#include "ConfigCodec.h"
#include "routes/RouteTable.h"
#include "workspaces/QuotaAccountant.h"
#include "workspaces/QuotaGate.h"

#include <benchmark/benchmark.h>

using namespace jj;

namespace {

constexpr int keysOfWorkspace = 3;

std::string keyOf(std::int64_t workspace, int key) { return "key-of-20-characters-" + std::to_string(workspace) + "-" + std::to_string(key); }

RouteConfig configOf(std::int64_t workspaces)
{
    RouteConfig config;
    config.version_ = 1;
    config.services_ = { { "s", "/health", 64 } };
    Route route;
    route.name_ = "ask";
    route.host_ = "shop.example";
    route.pathPrefix_ = "/ask/";
    route.targets_ = { { "s", 1 } };
    config.routes_.push_back(route);
    config.workspaces_.emplace();
    for (std::int64_t row = 0; row < workspaces; ++row) {
        Workspace workspace;
        workspace.name_ = "workspace-" + std::to_string(row);
        workspace.quota_ = { 10, 10 };
        for (int key = 0; key < keysOfWorkspace; ++key)
            workspace.keys_.push_back(KeyFingerprint::of(keyOf(row, key)));
        config.workspaces_->push_back(std::move(workspace));
    }
    return config;
}

void lookUpKey(benchmark::State& state)
{
    const RouteTable table = RouteTable::create(configOf(state.range(0))).value();
    std::int64_t next = 0;
    for (auto _ : state) {
        const KeyFingerprint key = KeyFingerprint::of(keyOf(next++ % state.range(0), 1));
        benchmark::DoNotOptimize(table.workspaces()->findByKey(key));
    }
}
BENCHMARK(lookUpKey)->Arg(80)->Arg(7900);

void lookUpUnknownKey(benchmark::State& state)
{
    const RouteTable table = RouteTable::create(configOf(state.range(0))).value();
    std::int64_t next = 0;
    for (auto _ : state) {
        const KeyFingerprint key = KeyFingerprint::of(keyOf(next++, keysOfWorkspace));
        benchmark::DoNotOptimize(table.workspaces()->findByKey(key));
    }
}
BENCHMARK(lookUpUnknownKey)->Arg(7900);

// Fingerprints of all keys, as the adapter computes them from the stored configuration.
void fingerprintKeys(benchmark::State& state)
{
    for (auto _ : state) {
        for (std::int64_t row = 0; row < state.range(0); ++row) {
            for (int key = 0; key < keysOfWorkspace; ++key)
                benchmark::DoNotOptimize(KeyFingerprint::of(keyOf(row, key)));
        }
    }
}
BENCHMARK(fingerprintKeys)->Arg(7900)->Unit(benchmark::kMillisecond);

// A configuration that a peer has sent.
void applyConfig(benchmark::State& state)
{
    const std::string bytes = encode(configOf(state.range(0)));
    state.counters["bytes"] = static_cast<double>(bytes.size());
    for (auto _ : state)
        benchmark::DoNotOptimize(RouteTable::create(decodeConfig(bytes).value()));
}
BENCHMARK(applyConfig)->Arg(80)->Arg(7900)->Unit(benchmark::kMillisecond);

// Admissions while there is credit, with the reports of every tenth one's tick.
void admit(benchmark::State& state)
{
    const RouteTable table = RouteTable::create(configOf(state.range(0))).value();
    const std::vector<AccountantCandidate> candidates = [] {
        std::vector<AccountantCandidate> all;
        for (std::uint64_t node = 1; node <= 360; ++node)
            all.push_back({ NodeId(node * 7919), true });
        return all;
    }();
    QuotaOutlets outlets;
    outlets.accountantsOf_ = [&candidates](WorkspaceId workspace) { return chooseAccountants(workspace, candidates, 3); };
    outlets.sendReport_ = [](NodeId, const QuotaReport& report) { benchmark::DoNotOptimize(report.sequence_); };
    outlets.sendRequest_ = [](NodeId, const AdmissionRequest&) {};
    outlets.hosts_ = [] { return std::size_t { 360 }; };
    TimePoint now { 100s };
    QuotaGate gate({}, NodeId(1), Incarnation(1), outlets, now);
    constexpr int requestsOfTick = 10;
    for (int tick = 0; tick < 200; ++tick)
        gate.tick(now += 20ms);
    std::size_t next = 0;
    for (auto _ : state) {
        const Workspace& workspace = table.workspaces()->rows()[next++ % table.workspaces()->rows().size()];
        gate.admit(workspace.id(), workspace.quota_, now, [](const QuotaGate::Answer& answer, TimePoint) { benchmark::DoNotOptimize(answer.isAdmitted_); });
        if (next % requestsOfTick == 0)
            gate.tick(now += 20ms);
    }
}
BENCHMARK(admit)->Arg(80)->Arg(7900);

} // namespace

BENCHMARK_MAIN();
