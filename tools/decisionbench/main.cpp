// CPU time of decisions: one request from its arrival to its last answer, with the core as entry and home, over the number of
// engines, of waiting requests and of workspaces.
#include "decisions/Decisions.h"

#include <benchmark/benchmark.h>

using namespace jj;

namespace {

constexpr ServiceId service { 1 };
constexpr RegionId region { 1 };
constexpr NodeId self { 1 };

// A core before `engines` engines that is home of all of them, so that nothing is hidden in another process.
class Rig {
public:
    Rig(std::int64_t engines, std::uint32_t slots)
        : core_(Decisions::create({ self, region, 1, {} }).value())
    {
        feed(NodeChanged { self, region, NodeState::Live });
        ServicePolicy policy;
        policy.service_ = service;
        policy.slots_ = slots;
        policy.queueItems_ = 1U << 20U;
        policy.queueBytes_ = 1ULL << 40U;
        feed(ConfigurationApplied { ConfigVersion(1), { policy } });
        for (std::int64_t i = 0; i < engines; ++i) {
            UpstreamChanged engine;
            engine.upstream_ = UpstreamId(static_cast<std::uint64_t>(i) + 1);
            engine.service_ = service;
            engine.region_ = region;
            engine.kvTokens_ = 1U << 30U;
            feed(engine);
        }
        out_.clear();
    }

    void feed(const Event& event) { core_.handle(event, now_, out_); }

    RequestSpec spec(std::uint64_t id, std::uint64_t workspace) const
    {
        RequestSpec made;
        made.id_ = RequestId(id);
        made.service_ = service;
        made.workspace_ = WorkspaceId(workspace);
        made.promptTokens_ = 300;
        made.prefix_ = PrefixId(1 + id % 64);
        made.prefixTokens_ = 160;
        made.maxOutputTokens_ = 100;
        made.fingerprint_ = Fingerprint(id);
        made.deadline_ = neverTime;
        return made;
    }

    // Arrival, hand-over, dispatch, first token, end, answer; each is one call of handle.
    void whole(std::uint64_t id, std::uint64_t workspace)
    {
        now_ += 100us;
        const RequestSpec made = spec(id, workspace);
        out_.clear();
        feed(RequestArrived { made });
        const auto send = std::get<SendToHome>(out_.front());
        out_.clear();
        feed(HandedOver { made, send.handOver_.number_, self, send.upstream_, 0, Duration::max() });
        const AttemptId attempt { made.id_, send.handOver_.number_, 1 };
        feed(AttemptsProgressed { { { attempt, 1 } } });
        out_.clear();
        feed(AttemptFinished { attempt, 100 });
        for (const Command& command : Commands(out_)) {
            if (const auto* back = std::get_if<HandBack>(&command))
                feed(back->handedBack_);
        }
    }

    // Queues one request and leaves it there, or dispatched while slots are free.
    void wait(std::uint64_t id, std::uint64_t workspace)
    {
        const RequestSpec made = spec(id, workspace);
        feed(HandedOver { made, 1, self, UpstreamId(1), 0, Duration::max() });
        out_.clear();
    }

    Decisions core_;
    TimePoint now_ { 1s };
    Commands out_;
};

constexpr int callsEach = 5;

void perEngines(benchmark::State& state)
{
    Rig rig(state.range(0), 64);
    std::uint64_t id = 1;
    for (auto _ : state) {
        rig.whole(id, id % 100);
        ++id;
    }
    state.SetItemsProcessed(state.iterations() * callsEach);
}

void perQueueLength(benchmark::State& state)
{
    Rig rig(1, 1);
    std::uint64_t id = 1;
    for (; id <= static_cast<std::uint64_t>(state.range(0)); ++id)
        rig.wait(id, id % 100);
    // The running request ends and the next of the queue starts; a new one comes in.
    std::uint64_t running = 1;
    for (auto _ : state) {
        rig.now_ += 100us;
        rig.out_.clear();
        rig.feed(HandedOver { rig.spec(id, id % 100), 1, self, UpstreamId(1), 0, Duration::max() });
        ++id;
        rig.feed(AttemptFinished { { RequestId(running), 1, 1 }, 100 });
        for (const Command& command : rig.out_) {
            if (const auto* dispatch = std::get_if<Dispatch>(&command))
                running = dispatch->attempt_.request_.value();
        }
    }
    state.SetItemsProcessed(state.iterations() * 2);
}

void perWorkspaces(benchmark::State& state)
{
    Rig rig(1, 1);
    const auto workspaces = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t id = 1;
    for (; id <= 8192; ++id)
        rig.wait(id, id % workspaces);
    std::uint64_t running = 1;
    for (auto _ : state) {
        rig.now_ += 100us;
        rig.out_.clear();
        rig.feed(HandedOver { rig.spec(id, id % workspaces), 1, self, UpstreamId(1), 0, Duration::max() });
        ++id;
        rig.feed(AttemptFinished { { RequestId(running), 1, 1 }, 100 });
        for (const Command& command : rig.out_) {
            if (const auto* dispatch = std::get_if<Dispatch>(&command))
                running = dispatch->attempt_.request_.value();
        }
    }
    state.SetItemsProcessed(state.iterations() * 2);
}

BENCHMARK(perEngines)->Arg(9)->Arg(18)->Arg(90)->Arg(790);
BENCHMARK(perQueueLength)->Arg(16)->Arg(256)->Arg(4096)->Arg(65536);
BENCHMARK(perWorkspaces)->Arg(1)->Arg(40)->Arg(790)->Arg(7900);

} // namespace

BENCHMARK_MAIN();
