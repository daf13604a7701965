// The home role: one queue an engine, online strictly first, batch in what is left over.
//
// Engines know no priorities and run whatever comes, so the queue before the engine is the only place that can protect a
// question. Each event that concerns an engine ends in pump(), which runs the systems over that engine in a fixed order:
// suspects, online, relief (batch gives way), batch.
#pragma once

#include "Fleet.h"
#include "HomeTables.h"
#include "Quarantine.h"

namespace jj {

class HomeRole {
public:
    HomeRole(Fleet& fleet, Quarantine& quarantine)
        : fleet_(fleet)
        , quarantine_(quarantine)
    {
    }

    void handedOver(const HandedOver& event, TimePoint now, Commands& out);
    void cancel(RequestId request, TimePoint now, Commands& out);
    void progressed(const AttemptsProgressed& event, TimePoint now, Commands& out);
    void finished(const AttemptFinished& event, TimePoint now, Commands& out);
    void failed(const AttemptFailed& event, TimePoint now, Commands& out);
    void probeEnded(const ProbeEnded& event, TimePoint now, Commands& out);
    void upstreamChanged(const UpstreamChanged& event, TimePoint now, Commands& out);
    void learned(const FingerprintLearned& event, TimePoint now, Commands& out);
    void tick(TimePoint now, Commands& out);

    std::size_t queued() const { return requests_.size() - running_; }
    std::size_t running() const { return running_; }
    std::uint64_t yields() const { return yields_; }

private:
    static constexpr Duration reportPeriod = std::chrono::milliseconds(100);
    static constexpr Duration scanPeriod = std::chrono::milliseconds(50);

    // Streams that don't yield: those whose prompt work is under way would lose all of it and soon be in nobody's way.
    enum class Spare : std::uint8_t {
        None,
        Unstarted,
    };

    struct Cell {
        RequestSpec& spec_;
        Item& item_;
    };

    Cell cell(RequestId request);
    EngineState& engine(UpstreamId upstream);
    const ServicePolicy& policyOf(UpstreamId upstream) const;

    // ---- the systems, in order
    void pump(UpstreamId upstream, TimePoint now, Commands& out);
    void pumpSuspects(UpstreamId upstream, EngineState& engine, TimePoint now, Commands& out);
    void pumpOnline(UpstreamId upstream, EngineState& engine, TimePoint now, Commands& out);
    void relieve(UpstreamId upstream, EngineState& engine, TimePoint now, Commands& out);
    void pumpBatch(UpstreamId upstream, EngineState& engine, TimePoint now, Commands& out);
    void pumpInOrder(UpstreamId upstream, EngineState& engine, TimePoint now, Commands& out);

    void clearSuspect(RequestId request, EngineState& engine, TimePoint now, Commands& out);

    // ---- rules
    std::uint32_t kvOf(const RequestSpec& spec) const { return spec.promptTokens_ + spec.maxOutputTokens_; }
    bool fits(const EngineState& engine, UpstreamId upstream, const RequestSpec& spec) const;
    bool batchMayStart(UpstreamId upstream, const EngineState& engine, const Cell& row, bool urgent, TimePoint now) const;
    // Batch streams that the engine may run now.
    // Questions a second at which batch begins to shrink.
    double coolRate(UpstreamId upstream) const;
    // Questions a second at this engine, as far as it and its sisters at this home tell.
    double rateAt(UpstreamId upstream, const EngineState& engine, TimePoint now) const;
    double batchAllowed(UpstreamId upstream, const EngineState& engine, TimePoint now) const;
    double batchMost(UpstreamId upstream) const;
    // Streams that batch keeps for jobs without slack.
    std::uint32_t urgentFloor(const UpstreamChanged& upstream) const;
    // For a request with `ahead` others before it in the queue.
    Duration onlineWait(UpstreamId upstream, const EngineState& engine, double ahead) const;
    // Others that go before a new request of a workspace with this many waiting; the queue is fair.
    static double aheadOf(const EngineState& engine, std::size_t waiting);
    std::uint32_t pressure(const EngineState& engine) const { return engine.onlinePrompt_ + engine.onlinePromptWaiting_; }

    // ---- moves of one request
    void enqueue(RequestId request, EngineState& engine, bool first);
    // The newest hand-over tells how its job stands; the job's other items here follow it.
    void followJob(const HandedOver& event, TimePoint now);
    void setUrgent(RequestId request, bool urgent);
    // Whether an item must run now to be done by its deadline, at the slowest pace that tokens may come.
    bool mustRunNow(const RequestSpec& spec, const Item& item, TimePoint now) const;
    // Whether a request that runs has had no token for so long that its attempt is given up.
    bool isHung(const RequestSpec& spec, const Item& item, TimePoint now) const;
    void countWaiting(const RequestSpec& spec, EngineState& engine, int sign);
    void countRunning(RequestId request, EngineState& engine, int sign);
    void dispatch(RequestId request, EngineState& engine, TimePoint now, Commands& out);
    void stop(RequestId request, EngineState& engine, CancelReason reason, bool exportKv, Commands& out);
    bool yieldOne(UpstreamId upstream, EngineState& engine, Commands& out, Spare spare);
    double lossOf(RequestId request, bool exportsKv);
    void handBack(RequestId request, HandedBack back, Commands& out);
    void giveBack(RequestId request, RefusalReason reason, Duration retryAfter, Commands& out);
    void refuse(RequestId request, RefusalReason reason, Commands& out);
    void returnWaiting(UpstreamId upstream, Commands& out);
    void failedAttempt(RequestId request, FailureClass failure, bool bytesSent, TimePoint now, Commands& out);
    RunState runStateOf(const Item& item) const { return item.sent_ ? RunState::OutcomeUnknown : RunState::NotRun; }

    // ---- each tick
    void scanRequests(TimePoint now, Commands& out);
    void shareLoads(TimePoint now, Commands& out);
    HomeLoad loadOf(UpstreamId upstream, const EngineState& engine, TimePoint now) const;

    Fleet& fleet_;
    Quarantine& quarantine_;
    Table<RequestId, RequestSpec, Item> requests_;
    Table<UpstreamId, EngineState> engines_;
    // All questions of a service at this home. A burst reaches all engines: two tell it apart from chance sooner than one.
    struct ServiceHeat {
        Heat heat_;
        std::uint32_t engines_ = 1;
    };
    boost::unordered_flat_map<ServiceId, ServiceHeat, std::hash<ServiceId>> heats_;
    // Jobs without slack, as stated by the newest hand-over of each.
    boost::unordered_flat_map<JobId, TimePoint, std::hash<JobId>> urgentJobs_;
    std::size_t running_ = 0;
    std::uint64_t yields_ = 0;
    std::uint64_t nextTicket_ = 1;
    TimePoint nextReport_ {};
    TimePoint nextScan_ {};
};

} // namespace jj
