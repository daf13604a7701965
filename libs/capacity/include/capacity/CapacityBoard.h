// Picks engines for online requests and batch items, based on the work that all nodes report.
//
//     CapacityBoard board(settings, self, location, seed);
//     board.upsert(entry);                          // from discovery
//     board.applyReport(use, now);                  // from another node
//     EnginePick pick = board.pickOnline("chat", bound, repeatable, {}, now);
//     if (pick.isSome()) board.started(pick.engine_, WorkClass::OnlineRequest);
//
// An online request is in time if its first event arrives within the target latency of its route.
//
// Engines have no priorities and admit requests in order of arrival, so an online request that is sent to a full engine waits behind batch
// work. Nodes that counted only their own work would also send to the same engine at the same moment. In a burst, first events would then
// be hundreds of milliseconds late while other engines have free slots. The board prevents this:
//   - It counts the work of all nodes of the cell. The counts are exact except for the last millisecond or two.
//   - It uses engines of other cells only for the capacity that those cells leave free.
//   - It breaks ties at random.
//   - It never sends a batch item to an engine without a free slot.
//
// A faulty engine may reset each request and still pass its health check. It has nothing running and looks idle, so without further
// measures it would receive most online requests and fail them all. The symptom is one engine with far more arrivals than the others, and
// with failures in a row. Neither a passed health check nor the end of an older stream proves that it works again. So the board backs off
// from an engine that failed, for longer after each failure. After the backoff a single node tests the engine, with one request at a time
// that can be sent to another engine if this one fails. Until such a request succeeds, the node reports the engine as failing, and other
// nodes use it only when no other engine is left. When many engines lose connections of one node within a moment, the node's own network
// is the likelier cause, and the failures aren't attributed to the engines.
//
// Two nodes that pick in the same millisecond may both take the last slot of an engine; the second request then waits in the engine until
// a slot is free.
#pragma once

#include "base/Endpoint.h"
#include "base/SoftwareVersion.h"
#include "base/Time.h"
#include "capacity/EngineGroups.h"
#include "capacity/EngineSpeeds.h"
#include "capacity/NodeUse.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jj {

// One incarnation of an engine, as discovery reports it. After a restart the engine has a new id, even under the same name.
struct EngineEntry {
    UpstreamId id_;
    std::string name_; // of the engine instance
    std::string service_;
    Endpoint at_;
    RegionId region_;
    FailureDomainId domain_;
    CellId cell_; // the cell whose nodes have priority on it; none: it belongs to no cell
    SoftwareVersion softwareVersion_;
    std::uint32_t slots_ = 1; // requests that it runs at once
    bool draining_ = false; // it is shutting down and gets no new requests

    friend bool operator==(const EngineEntry&, const EngineEntry&) = default;
};

enum class PickKind : std::uint8_t {
    None, // no engine can start the request in time
    Free, // the engine has a free slot
    PreemptsBatch, // all slots of the engine are taken, at least one of them by a batch item that can be preempted
    Queues, // the request waits in the engine's own queue and is expected to start in time
};

struct EnginePick {
    PickKind kind_ = PickKind::None;
    UpstreamId engine_;
    // Predicted delay until the request starts. For None: until the first slot is expected to be free, at most the bound of the request.
    Duration wait_ {};

    bool isSome() const { return kind_ != PickKind::None; }
};

enum class EngineFault : std::uint8_t {
    NotConnected, // the connection was refused or timed out
    Lost, // the connection was closed, or no data arrived on it, after a request was sent
    Failure, // the engine answered with an error; the request itself may be the cause
    BadAnswer, // an element of its answer exceeded its limit
};

struct CapacitySettings {
    // The work of a node that sent no report for this long is dropped: four reports in a row were lost, or the node has stopped.
    Duration reportTimeout_ = 2s;
    // Slots of each engine that batch items leave free for the online requests of the next milliseconds. Sized for bursts of 1.9 times the
    // mean load, at three quarters of the slots in use.
    std::uint32_t batchReserve_ = 1;
    // After a power failure, engines may still run work of processes that no longer exist, and no node counts it. So a node that has just
    // started raises the number of slots that batch may use gradually over this time.
    Duration batchRamp_ = 3s;
    // Items of other nodes go first when they are due earlier by at least this much. Smaller differences are within the age of the reports.
    Duration priorityDueMargin_ = 250ms;
    // A running item yields its slot to an item that waits at another node and is due earlier by at least this much. An engine needs 10 to
    // 30 ms to read the input of a resumed item again, so an item doesn't yield for less than the length of a short run.
    Duration yieldDueMargin_ = 3s;
    // The load that an engine itself reports is used for engineLoadTimeout_, and only when it exceeds the work that the nodes report by at
    // least minUnreportedRequests_ requests: node reports are a millisecond or two old, so a difference of one request is normal.
    Duration engineLoadTimeout_ = 150ms;
    std::uint32_t minUnreportedRequests_ = 2;
    // Backoff at the lowest failure score that causes one. It doubles with each further failure, up to maxBackoff_.
    Duration initialBackoff_ = 500ms;
    Duration maxBackoff_ = 6s;
    // Half-life of the failure score. A success doesn't reset the score, so an engine that fails four requests in ten keeps a high score.
    Duration failureHalfLife_ = 4s;
    // A request of this node that succeeded on an engine within this time outweighs the reports of other nodes that the engine is failing.
    Duration successTrustTime_ = 1s;
    // An engine counts as silent for this long after the last report of its silence. A request that waits for it repeats the report.
    Duration silenceMemory_ = 500ms;
    // In this time the request that an item was preempted for takes its slot, and this node receives the report of it.
    Duration preemptionHold_ = 50ms;
    // When more than this fraction of a service's engines, and more than three, lose connections of this node within sharedFaultWindow_,
    // the failures are attributed to the node or the network.
    double sharedFaultFraction_ = 0.3;
    Duration sharedFaultWindow_ = 400ms;
    // When an engine wasn't tested for this long after its backoff, requests that can't be repeated may test it too.
    Duration untestedTimeout_ = 3s;
    // Additional latency of a request to another cell of the region, and to another region: a round trip and the connection setup.
    Duration otherCellLatency_ = 5ms;
    Duration otherRegionLatency_ = 30ms;
    // The report of another cell is dropped after this time, because the cell may have filled its engines since.
    Duration cellTimeout_ = 2s;
    // Time until the first event of an online request on an idle engine; it is subtracted from the time that the request may wait.
    Duration firstEventTime_ = 40ms;
    // Initial estimate of the time that an online request occupies a slot, until runs have been measured.
    Duration initialRunEstimate_ = 800ms;
};

struct HostLocation {
    CellId cell_;
    RegionId region_;
    FailureDomainId domain_;
};

class CapacityBoard {
public:
    CapacityBoard(CapacitySettings settings, NodeId self, HostLocation place, std::uint64_t seed);

    const CapacitySettings& settings() const { return settings_; }

    // Sets the start time of the process. Without it batchRamp_ has no effect.
    void setStart(TimePoint start) { startedAt_ = start; }

    // Sets a function that returns whether an idle open connection to the engine exists. Among engines with similar free capacity, those
    // with a connection are preferred.
    void setHasConnection(std::function<bool(const Endpoint&)> hasConnection) { hasConnection_ = std::move(hasConnection); }

    // Assigns this node to the cell `own`. `others`: all other cells that have live nodes.
    void setCells(CellId own, const std::vector<CellId>& others);

    // ---- engines from discovery
    void upsert(const EngineEntry& entry);
    void remove(UpstreamId engine);
    const EngineEntry* find(UpstreamId engine) const;
    std::vector<UpstreamId> engines() const;
    // Returns how many engines all picks and wait predictions have visited so far: a measure of their cost.
    std::uint64_t visitedEngines() const { return visitedEngines_; }

    // ---- work of this node
    // Count the start and the end of a run of this node on the engine.
    void started(UpstreamId engine, WorkClass work);
    void ended(UpstreamId engine, WorkClass work);
    // Records how long a successful online request occupied its slot.
    void recordRunTime(Duration run);
    // Sets how many of this node's batch items on the engine can't be preempted.
    void setNonPreemptibleItems(UpstreamId engine, std::uint16_t items);
    // Sets how many online requests for the service are queued at this node, and how many of them can still meet their target latency.
    // `classes`: the same by class; empty while all claims are equal.
    void setWaiting(std::string_view service, std::uint16_t count, std::uint16_t inTime, std::vector<WaitingClass> classes = {});
    // Sets how many batch items of the service are queued at this node and can still be done in time, and when the first of them is due.
    void setItemsWaiting(std::string_view service, std::uint16_t count, TimePoint firstDue);
    // Returns the report of this node for the others, without node, incarnation and sequence, which the caller sets.
    NodeUse ownUse(TimePoint now) const;

    // ---- reports of other nodes and cells
    // Applies the report of a node of this cell. A report that isn't newer than the last one is ignored.
    void applyReport(const NodeUse& use, TimePoint now);
    // Drops the last report of a node, with the work in it.
    void dropNodeReport(NodeId node);
    // Applies the report of another cell, as of the time `at`. A report that isn't newer than the last one is ignored.
    void applyCellReport(const CellUse& use, TimePoint at);
    // Returns the report of this cell for other cells: the sum of this node's work and of the reports of the cell's other nodes.
    CellUse ownCell(TimePoint now) const;

    // ---- health and load of engines
    // Records a failed request and returns for how long the engine is backed off from; zero when it stays in use.
    Duration failed(UpstreamId engine, EngineFault fault, TimePoint now);
    // Records that a request of this node succeeded on the engine, or that its stream began.
    void succeeded(UpstreamId engine, TimePoint now);
    // Records that a request of this node has waited for a byte of the engine for longer than a sound engine needs. For silenceMemory_ the
    // engine is used only if no other one is left, here and at the nodes that receive the report.
    void recordSilence(UpstreamId engine, TimePoint now);
    // Records that the engine goes on.
    void silenceEnded(UpstreamId engine) { silentUntil_.erase(engine); }
    bool isSilent(UpstreamId engine, TimePoint now) const;
    // Returns whether a slot is worth waiting for: an engine that was not tried works, neither failed nor silent, on the given software
    // version; none: on any.
    bool hasOtherEngine(std::string_view service, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version) const;
    std::vector<UpstreamId> enginesOf(std::string_view service) const;
    // Returns how many items of the engine need not give way to online requests: `perEngine` if a slot for requests remains beside them. Of
    // the engines where none does, every fourth keeps its items, so that requests can't hold up items for good, nor items requests.
    std::uint16_t nonPreemptibleLimit(UpstreamId engine, std::uint16_t perEngine) const;
    // Records that a probe found the engine alive, so that a request may test it.
    void recordProbeSuccess(UpstreamId engine);
    // Applies the load that the engine itself reported a moment ago. It is used where it is higher than the sum of the node reports,
    // because nodes whose reports don't arrive, or haven't arrived yet after a restart, use slots too.
    void applyEngineLoad(UpstreamId engine, std::uint32_t running, std::uint32_t waiting, TimePoint now);
    // Records the time that the engine needed from one event of a stream to the next.
    void recordEventGap(UpstreamId engine, Duration gap, TimePoint now);
    // Records that work takes `percent` of the usual time according to the engine itself.
    void recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now);
    // Returns the slow engines, slowest first. To be called every second or so.
    std::vector<EngineSpeeds::SlowEngine> slowEngines(TimePoint now) { return speeds_.slowEngines(now); }
    const EngineSpeeds& speeds() const { return speeds_; }
    // Records that the engine refused a request as full although the counts showed a free slot. It gets no requests for a moment.
    void recordFullRefusal(UpstreamId engine, TimePoint now);
    // Records that an item of this node gave way to another node's request, whose report may come later than the item's end. No item takes
    // the slot for preemptionHold_.
    void recordPreemption(UpstreamId engine, TimePoint now);
    // Returns the engines whose backoff is over and that must be probed before a request may test them.
    std::vector<UpstreamId> enginesDueForProbe(TimePoint now) const;

    // ---- picks
    // Picks an engine for an online request. `bound`: how long the first event may take. `tried`: engines that the request was sent to
    // before. `repeatable`: the request may be sent to another engine if this one fails. `version`: the only software version whose engines
    // may be picked; none: any. `maxEventGap`: the target for the time between two events; zero: none. An engine that is slow and expected to
    // miss it is picked only after the other slots of the cell and the free ones of the region that meet it.
    EnginePick pickOnline(std::string_view service, Duration bound, bool repeatable, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version = SoftwareVersionId::none(), Duration maxEventGap = Duration::zero());
    // Returns whether an engine of the service with this software version is known and not draining.
    bool hasVersion(std::string_view service, SoftwareVersionId version) const;
    // Returns whether the engine is still known as the instance that it was when it was picked: another start has another id.
    bool isCurrent(UpstreamId engine) const { return engines_.contains(engine); }
    // Returns how long an online request that is queued now would wait, behind all queued requests of this cell that can still be in time.
    Duration queueWait(std::string_view service, TimePoint now) const;
    // The same for a request of this rank, whose workspace uses less than its share or not: only the requests that go before it count.
    Duration queueWait(std::string_view service, Rank rank, bool isBelowShare, TimePoint now) const;
    // Returns whether an online request that is queued now would be in time if its first event may take `bound`.
    bool canQueueInTime(std::string_view service, Duration bound, TimePoint now) const;
    // Returns the online requests for the service that are queued at another node of this cell.
    WaitingRequests waitingAt(NodeId node, std::string_view service) const;
    // Returns those that are queued at this node, as they are reported.
    WaitingRequests ownWaiting(std::string_view service) const;
    // Return the number of online requests for the service that are queued at all nodes of this cell, including this one.
    std::uint32_t waiting(std::string_view service) const;
    std::uint32_t waitingInTime(std::string_view service) const;
    // Returns whether an online request is queued at some node of this cell.
    bool isAnyWaiting() const;
    // Records how long an engine took to send the first event of an online request.
    void recordFirstEvent(Duration time);
    // Returns the time in which nine of ten first events come, at least CapacitySettings::firstEventTime_. While a queue is never empty,
    // requests are sent at the last moment, and those that need a little more than the mean would all be late.
    Duration expectedFirstEvent() const { return std::max(settings_.firstEventTime_, firstEventQuantile_); }
    // Returns the mean time that an online request occupies its slot.
    Duration meanRun() const { return fromSeconds(meanRunSeconds_); }
    // Picks an engine for a batch item that is due at `due`. `urgent`: the item is due so soon that it may use the reserved slots, and
    // slots that online requests are queued for. Items of other nodes of the cell go first if they are due earlier, and items of another
    // cell go first on the engines of that cell.
    EnginePick pickBatch(std::string_view service, bool urgent, TimePoint due, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version = SoftwareVersionId::none());
    // Returns whether a running item that is due at `due` must yield its slot to a more urgent item that waits at another node.
    bool mustYieldItem(std::string_view service, TimePoint due, TimePoint now);
    // Returns the other nodes of this cell that run batch items on the engine, the one with most items first, and then the delegates of
    // other cells that run batch items there.
    std::vector<NodeId> nodesRunningBatch(UpstreamId engine) const;
    // Slots of engines that are neither draining nor failing, and the work of all nodes on these engines.
    struct Usage {
        std::uint32_t slots_ = 0;
        std::uint32_t onlineRequests_ = 0;
        std::uint32_t batchItems_ = 0;
    };
    // Returns the usage of the service's nearest engines: those of this cell, or if it has none, those of this region or other regions.
    Usage usage(std::string_view service) const;
    // Returns the work of all nodes on the engine.
    EngineUse useOf(UpstreamId engine) const;

private:
    // Engines at each distance that are looked at when this cell has no free slot. One free engine in a hundred is missed by one such pick
    // in thirteen, and the next pick looks at others.
    static constexpr std::size_t maxSampledEngines = 256;

    struct Engine {
        EngineEntry entry_;
        EngineGroupPlace groupPlace_;
        EngineUse own_;
        // Invariant: the sum of the reports in reports_ and cells_ for this engine.
        std::uint32_t othersOnlineRequests_ = 0;
        std::uint32_t othersBatchItems_ = 0;
        std::uint32_t othersNonPreemptibleItems_ = 0;
        std::uint32_t unreportedRequests_ = 0; // requests that the engine reported and no node did; valid until unreportedUntil_
        TimePoint unreportedUntil_ {};
        double failureScore_ = 0; // weighted number of failures, which decays over time; as of failureScoreAt_
        TimePoint failureScoreAt_ {};
        bool isSuspect_ = false; // it failed, and no request has succeeded since the end of the backoff
        bool hasPassedProbe_ = false; // a probe found it alive after its last failure
        TimePoint backoffUntil_ {};
        TimePoint fullUntil_ {};
        std::uint32_t heldSlots_ = 0; // of preempted items, for the requests that they gave way to; valid until heldUntil_
        TimePoint heldUntil_ {};
        TimePoint succeededAt_ {};
        std::set<NodeId> nodesReportingFailure_; // other nodes of this cell that report it as failing
        std::set<CellId> cellsReportingFailure_; // other cells that report it as failing

        std::uint32_t onlineRequests() const { return own_.onlineRequests_ + othersOnlineRequests_; }
        std::uint32_t batchItems() const { return own_.batchItems_ + othersBatchItems_; }
        std::uint32_t nonPreemptibleItems() const { return own_.nonPreemptibleItems_ + othersNonPreemptibleItems_; }
        std::uint32_t unreportedRequests(TimePoint now) const { return now < unreportedUntil_ ? unreportedRequests_ : 0; }
        std::uint32_t heldSlots(TimePoint now) const { return now < heldUntil_ ? heldSlots_ : 0; }
        std::uint32_t total(TimePoint now) const { return onlineRequests() + batchItems() + unreportedRequests(now); }
        // Work that an online request can't preempt.
        std::uint32_t nonPreemptibleLoad(TimePoint now) const { return onlineRequests() + nonPreemptibleItems() + unreportedRequests(now); }
    };
    struct Report {
        NodeUse use_;
        TimePoint at_ {};
    };
    struct CellReport {
        CellUse use_;
        TimePoint at_ {};
    };
    // What all engines that a pick considers have in common.
    struct PickScope {
        ServiceId service_;
        bool repeatable_ = false;
        std::span<const UpstreamId> tried_;
        TimePoint now_ {};
        SoftwareVersionId version_; // of the engines that are considered; none: all
    };
    // The loss of a connection to an engine.
    struct Loss {
        UpstreamId engine_;
        ServiceId service_;
        TimePoint at_ {};
    };

    void expireReports(TimePoint now);
    void setSuspect(Engine& engine, bool isSuspect);
    // Returns the engines that this node reports as failing: those that failed, and those that are silent.
    std::vector<UpstreamId> failingEngines(TimePoint now) const;
    void subtract(const std::vector<EngineUse>& uses);
    void add(const std::vector<EngineUse>& uses);
    void dropCellReport(CellId cell);
    EngineDistance distanceOf(const Engine& engine) const;
    Duration extraLatencyOf(EngineDistance distance) const;
    // Returns whether the load of the engine is unknown: its cell has live nodes, but no recent report of that cell has arrived.
    bool isLoadUnknown(const Engine& engine, TimePoint now) const;
    // Returns whether online requests for the service are queued in the engine's own cell.
    bool hasQueueInItsCell(const Engine& engine, ServiceId service) const;
    // Returns usable engines at this distance in random order: all of this cell, a sample of the others. `areDoubtful` selects the engines
    // that other nodes report as failing or whose load is unknown, and otherwise all but these.
    std::vector<Engine*> usableEngines(const PickScope& scope, EngineDistance distance, bool areDoubtful);
    // Calls visit(distance, engines) with the usable engines at each distance, near ones first, until it returns false. Doubtful engines
    // are visited only if there are no others.
    template <class Visit>
    void visitByDistance(const PickScope& scope, Visit visit);
    // Returns the slots of the service's engines at this distance that become free at the rate of online requests. For other cells it is
    // estimated from some of the engines.
    double turnoverSlots(ServiceId service, EngineDistance distance, TimePoint now) const;
    // Predicts how long an online request would wait in the engine's own queue.
    Duration predictEngineWait(const Engine& engine, TimePoint now) const;
    // Returns how the engine's expected time compares with the others', in bands; 0: as usual. Engines of one band rank alike, so that nodes
    // don't all pick the fastest one.
    int speedBand(const Engine& engine, TimePoint now) const;
    // Returns whether this node may test a slow engine now.
    bool isTrialTurn(const Engine& engine, TimePoint now) const;
    // Returns whether the engine is slow and expected to exceed this time between two events with one more request. Zero: never.
    bool exceedsEventGap(const Engine& engine, Duration maxEventGap, TimePoint now) const;
    // Combines the band with the rank of the engine among those of its band; the lowest rank is preferred.
    static std::uint64_t rankInBand(int band, std::uint64_t rank);
    static int bandForPatientItems(int band);
    // Ranks engines with free slots and of one band; the lowest rank is preferred.
    std::uint64_t freeRank(const Engine& engine, EngineDistance distance, TimePoint now) const;
    // Return the number of slots that batch items may take now on the engines.
    std::uint32_t freeBatchSlots(const Engine& engine, bool urgent, TimePoint now) const;
    std::uint32_t freeBatchSlots(std::span<Engine* const> engines, bool urgent, TimePoint now) const;
    // The same for engines at this distance; of those of other cells only the slots that their own cells don't need.
    std::uint32_t freeBatchSlots(std::span<Engine* const> engines, EngineDistance distance, ServiceId service, bool urgent, TimePoint now) const;
    // Returns the number of slots of the engine that batch items leave free.
    std::uint32_t batchReserveOf(const Engine& engine, bool urgent, TimePoint now) const;
    // Returns for each cell of the engines, which are of other cells, the number of batch slots that its own queued items don't need.
    std::map<CellId, std::uint32_t> spareBatchSlots(std::span<Engine* const> engines, ServiceId service, bool urgent, TimePoint now) const;
    // Returns the best of the engines with a slot for a batch item; none if there is no slot.
    EnginePick pickForBatch(std::span<Engine* const> engines, bool urgent, TimePoint now) const;
    // The same for engines of other cells, of which those that their own cell needs are left out.
    EnginePick pickSpareForBatch(std::span<Engine* const> engines, ServiceId service, bool urgent, TimePoint now) const;
    // Returns the number of items that are queued at other nodes of this cell and are due before `due`.
    std::uint32_t itemsDueBefore(std::string_view service, TimePoint due) const;
    // Returns whether the engine may get a request now; one that failed may get one only as a test.
    bool isUsable(const Engine& engine, bool repeatable, TimePoint now) const;
    // Returns whether the engine is silent, or others report it as failing while this node has neither a failure nor a recent success of its
    // own on it.
    bool isDoubtful(const Engine& engine, TimePoint now) const;
    // Returns whether this node is the one that tests the engine.
    bool isTestingNode(const Engine& engine) const;
    // Returns whether the loss of connections to the service's engines is attributed to this node or the network.
    bool isSharedFault(ServiceId service, TimePoint now) const;
    void recordLoss(const Engine& engine, TimePoint now);
    void updateNodeFailureReports(const NodeUse& use, bool isReported);
    void updateCellFailureReports(const CellUse& use, bool isReported);

    CapacitySettings settings_;
    EngineSpeeds speeds_;
    NodeId self_;
    HostLocation location_;
    std::mt19937_64 random_;
    std::unordered_map<UpstreamId, Engine> engines_;
    EngineGroups<Engine> groups_; // of all engines in engines_
    mutable std::uint64_t visitedEngines_ = 0;
    std::deque<Loss> recentLosses_; // those within sharedFaultWindow_ before the last one, in order of time
    // Invariant: suspects_ holds the engines with isSuspect_ set, reportedFailing_ those with nodesReportingFailure_, and ownWork_ those
    // that run work of this node. The sets are ordered, so that iteration is deterministic.
    std::set<UpstreamId> suspects_;
    std::set<UpstreamId> reportedFailing_; // engines that other nodes of this cell report as failing
    std::set<UpstreamId> ownWork_;
    std::map<NodeId, Report> reports_;
    std::map<CellId, CellReport> cells_; // the last reports of other cells
    std::set<CellId> cellsWithNodes_; // other cells that have live nodes
    TimePoint expiryCheckedAt_ {};
    TimePoint startedAt_ {};
    struct OwnItems {
        std::uint16_t count_ = 0;
        TimePoint firstDue_ {};
    };

    // Returns the queued online requests for the service in the report; null if there are none.
    static const WaitingRequests* waitingIn(const NodeUse& use, ServiceId service);
    // Returns the online requests for the service that are queued at all nodes of this cell, including this one, without their classes.
    WaitingRequests allWaiting(std::string_view service) const;
    // Returns the number of queued requests that can still be in time and go before one of this class.
    std::uint32_t waitingBefore(std::string_view service, Rank rank, bool isBelowShare) const;
    // Returns how long it takes until so many slots have become free.
    Duration waitForSlots(std::string_view service, std::uint32_t count, TimePoint now) const;

    std::map<UpstreamId, TimePoint> silentUntil_; // engines that this node found silent; entries in the past have no effect
    std::map<ServiceId, WaitingRequests> ownWaiting_;
    std::map<ServiceId, OwnItems> ownItems_;
    double meanRunSeconds_;
    Duration firstEventQuantile_ {};
    std::function<bool(const Endpoint&)> hasConnection_;
};

} // namespace jj
