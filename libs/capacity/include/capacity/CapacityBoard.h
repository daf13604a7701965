// Picks engines for questions and batch items from what all nodes say that they run.
//
//     CapacityBoard board(settings, region, domain, seed);
//     board.upsert(entry);                          // from discovery
//     board.heard(use, now);                        // from another node
//     EnginePick pick = board.pickQuestion("chat", {}, now);
//     if (pick.isSome()) board.started(pick.engine_, WorkClass::Question);
//
// Failure met: engines know no priorities and admit in order of arrival, so a question that reaches a full engine waits behind work
// that nobody waits for, and nodes that count only their own work send to the same engine at the same moment. It shows as first events that
// come hundreds of milliseconds late in a burst while other engines have free slots. The guard holds because the counts of all
// nodes of a cell are exact but for the last millisecond or two, engines of other cells are used for what is left over there, ties are broken at random, and nothing of batch is ever sent to an
// engine without a free slot.
//
// Failure met: an engine resets each request and answers its health check. With nothing running it looks the emptiest, so it draws
// questions like a hole; a health check, or the end of an older stream, must not clear it. It shows as one engine with far more
// arrivals than others and failures in a row. The guard: an engine that failed is left alone, longer after each failure; then one
// request at a time tries it, of one node only, and one that may be sent elsewhere if it fails. Until that ends well the node tells
// the others, which use the engine only when nothing else is left. When many engines fail a node within a moment, its own network is
// the likelier cause, and none is blamed.
//
// Two nodes that pick in the same millisecond may both take the last slot of an engine; the second waits there for one slot to end.
#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "capacity/NodeUse.h"

#include <cstdint>
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

// One start of an engine, as discovery tells it. Another start has another id here, also under the same name.
struct EngineEntry {
    UpstreamId id_;
    std::string name_; // the instance's own name
    std::string service_;
    Endpoint at_;
    RegionId region_;
    FailureDomainId domain_;
    CellId cell_; // whose nodes use it first; none: no cell's
    std::uint32_t slots_ = 1; // requests that it works on at once
    bool draining_ = false; // leaves: gets nothing new

    friend bool operator==(const EngineEntry&, const EngineEntry&) = default;
};

enum class PickKind : std::uint8_t {
    None, // no engine can take it in time
    Free, // an engine with a free slot
    Displaces, // all slots are taken, one of them by a batch item that has to give way
    Queues, // waits in the engine's own queue, in time by what is known
};

struct EnginePick {
    PickKind kind_ = PickKind::None;
    UpstreamId engine_;
    Duration wait_ {}; // predicted, for Queues; for None: until the first slot is expected to be free

    bool isSome() const { return kind_ != PickKind::None; }
};

enum class EngineFault : std::uint8_t {
    NotConnected, // refused or timed out
    Lost, // the connection ended, or fell silent, after a request was sent
    Failure, // an answer that is the engine's own failure; it may be the request's fault
};

struct CapacitySettings {
    // A node that hasn't reported for so long counts as running nothing: four reports in a row were lost, or it is gone.
    Duration reportTimeout_ = 2s;
    // Slots of each engine that batch items leave free for the questions of the next milliseconds. Measured on bursts of 1.9 times the mean
    // at three quarters of the slots in use.
    std::uint32_t batchReserve_ = 1;
    // After its start a node doesn't know what engines still run for processes that lost their power: batch gets their slots little by little.
    Duration batchRamp_ = 3s;
    // Items of other nodes go first when they are due earlier by so much; differences below are as old as the reports that tell them.
    Duration dueStep_ = 250ms;
    // An item that runs leaves its slot to one that waits elsewhere and is due earlier by so much. Going on elsewhere costs 10 to 30 ms of
    // an engine's reading, so it isn't done for less than the length of a short run.
    Duration cedeStep_ = 3s;
    // What an engine says of its load counts for so long, and from this much more than the nodes reported: reports are a millisecond or two
    // behind, so a difference of one is usual.
    Duration loadFresh_ = 150ms;
    std::uint32_t leastUnheard_ = 2;
    // An engine that failed is left alone for firstShun_, and twice as long after each further failure, up to longestShun_.
    Duration firstShun_ = 500ms;
    Duration longestShun_ = 6s;
    // Failures are remembered with this half-life, also over a success: an engine that fails four in ten is not soon trusted again.
    Duration failureHalfLife_ = 4s;
    // An own answer of an engine that is so fresh counts for more than another node's report that it fails.
    Duration freshSuccess_ = 1s;
    // More than this part of a service's engines, and more than three, lost a connection of this node within sharedFault_: the fault
    // is the node's own or the network's.
    double sharedFaultPart_ = 0.3;
    Duration sharedFault_ = 400ms;
    // An engine that nobody tried for so long after its time is tried with requests too that can't be sent again.
    Duration untriedFor_ = 3s;
    // Extra time of a request to another cell of the region, and to another region: a round trip and the connection.
    Duration otherCellCost_ = 5ms;
    Duration farCost_ = 30ms;
    // A cell that wasn't heard for so long may have filled its engines.
    Duration cellTimeout_ = 2s;
    // What a question's first event takes on an idle engine; the bound on the wait leaves room for it.
    Duration firstEvent_ = 40ms;
    // How long a question occupies a slot before any was measured.
    Duration assumedRun_ = 800ms;
};

// Where a host stands.
struct HostPlace {
    CellId cell_;
    RegionId region_;
    FailureDomainId domain_;
};

class CapacityBoard {
public:
    CapacityBoard(CapacitySettings settings, NodeId self, HostPlace place, std::uint64_t seed);

    const CapacitySettings& settings() const { return settings_; }

    // The process began then; none: long ago.
    void setStart(TimePoint start) { startedAt_ = start; }

    // Is a connection to the engine open that nothing uses? Among engines with about as much room those are preferred.
    void setHasConnection(std::function<bool(const Endpoint&)> hasConnection) { hasConnection_ = std::move(hasConnection); }

    // This node counts to another cell from now on; `others`: all further cells that have live nodes.
    void setCells(CellId own, const std::vector<CellId>& others);

    // ---- what discovery says
    void upsert(const EngineEntry& entry);
    void remove(UpstreamId engine);
    const EngineEntry* find(UpstreamId engine) const;
    std::vector<UpstreamId> engines() const;

    // ---- own work
    void started(UpstreamId engine, WorkClass work);
    void ended(UpstreamId engine, WorkClass work);
    // How long a question that ended well held its slot.
    void measured(Duration run);
    // How many of its own batch items on the engine don't give way.
    void setFirm(UpstreamId engine, std::uint16_t items);
    // How many questions wait here for a slot of the service, and how many of them can still be in time.
    void setWaiting(std::string_view service, std::uint16_t count, std::uint16_t inTime);
    // How many batch items wait here that can still be in time, and when the first of them is due.
    void setItemsWaiting(std::string_view service, std::uint16_t count, TimePoint firstDue);
    // What this node tells the others; node, incarnation and sequence are the caller's to fill.
    NodeUse ownUse(TimePoint now) const;

    // ---- what other nodes say
    // Of a node of this cell.
    void heard(const NodeUse& use, TimePoint now);
    void forget(NodeId node);
    // Of another cell, as it was at `at`; an older one than the last changes nothing.
    void heardCell(const CellUse& use, TimePoint at);
    // This cell for the others: this node and all that it hears.
    CellUse ownCell(TimePoint now) const;

    // ---- what answers say
    // Says for how long the engine is left alone; zero when it isn't blamed.
    Duration failed(UpstreamId engine, EngineFault fault, TimePoint now);
    // A request that this node sent there ended well, or its stream began.
    void succeeded(UpstreamId engine, TimePoint now);
    // A probe found that it lives; it may be tried with a request.
    void probed(UpstreamId engine);
    // What the engine itself said of its load a moment ago. It counts where it is higher than what the nodes say: one that can't be heard,
    // or hasn't been yet after a restart, uses slots too.
    void observed(UpstreamId engine, std::uint32_t running, std::uint32_t waiting, TimePoint now);
    // The engine said that it is full although the counts say that it has room: nothing is sent there for a moment.
    void refusedAsFull(UpstreamId engine, TimePoint now);
    // Engines that are left alone and whose time is over: they are probed before a request tries them.
    std::vector<UpstreamId> dueForProbe(TimePoint now) const;

    // ---- picks
    // `bound`: how long the question's first event may take. `tried`: engines that it was sent to before. `repeatable`: it may be sent
    // to another engine if one fails it.
    EnginePick pickQuestion(std::string_view service, Duration bound, bool repeatable, std::span<const UpstreamId> tried, TimePoint now);
    // How long a question would wait that lines up now, behind all that wait in this cell and can be in time.
    Duration queueWait(std::string_view service, TimePoint now) const;
    // Would a question that lines up now, and whose first event may take `bound`, be in time?
    bool isQueueInTime(std::string_view service, Duration bound, TimePoint now) const;
    // Questions that wait at another node, and at all nodes of this cell, this one included.
    ServiceWaiting waitingAt(NodeId node, std::string_view service) const;
    std::uint32_t waiting(std::string_view service) const;
    std::uint32_t waitingInTime(std::string_view service) const;
    // `urgent`: due so soon that it may use the reserve, and a slot that questions wait for. `due`: of the item; items of other nodes
    // of the cell that are due earlier go first, and other cells' items at their own engines.
    EnginePick pickBatch(std::string_view service, bool urgent, TimePoint due, std::span<const UpstreamId> tried, TimePoint now);
    // Must an item that runs and is due then leave its slot to one that waits elsewhere?
    bool mustCedeItem(std::string_view service, TimePoint due, TimePoint now);
    // The nodes of this cell that run batch items on the engine, the one with most first, and then the delegates of other cells that do.
    std::vector<NodeId> batchHolders(UpstreamId engine) const;
    // Slots in use by anybody, of those engines of the service that can be sent to.
    struct Usage {
        std::uint32_t slots_ = 0;
        std::uint32_t questions_ = 0;
        std::uint32_t batchItems_ = 0;
    };
    Usage usage(std::string_view service) const;
    // Work on one engine, of all nodes.
    EngineUse useOf(UpstreamId engine) const;

private:
    struct Engine {
        EngineEntry entry_;
        EngineUse own_;
        // Invariant: the sum of the reports in reports_ and cells_ for this engine.
        std::uint32_t othersQuestions_ = 0;
        std::uint32_t othersBatch_ = 0;
        std::uint32_t othersFirm_ = 0;
        std::uint32_t unheard_ = 0; // requests that no node reported, until unheardUntil_
        TimePoint unheardUntil_ {};
        double strikes_ = 0; // failures, fading; as of strikesAt_
        TimePoint strikesAt_ {};
        bool isOnTrial_ = false; // failed, and no request has ended well since its time was over
        bool isProbed_ = false; // on trial, and a probe found it alive
        TimePoint shunnedUntil_ {};
        TimePoint fullUntil_ {};
        TimePoint lostAt_ {}; // a connection of this node
        TimePoint succeededAt_ {};
        std::set<NodeId> accusers_; // other nodes of this cell that have it on trial
        std::set<CellId> doubters_; // other cells of which several nodes do

        std::uint32_t questions() const { return own_.questions_ + othersQuestions_; }
        std::uint32_t batch() const { return own_.batchItems_ + othersBatch_; }
        std::uint32_t firm() const { return own_.firmItems_ + othersFirm_; }
        std::uint32_t unheard(TimePoint now) const { return now < unheardUntil_ ? unheard_ : 0; }
        std::uint32_t total(TimePoint now) const { return questions() + batch() + unheard(now); }
        // What a question can't displace.
        std::uint32_t fixed(TimePoint now) const { return questions() + firm() + unheard(now); }
    };
    struct Report {
        NodeUse use_;
        TimePoint at_ {};
    };
    struct CellReport {
        CellUse use_;
        TimePoint at_ {};
    };
    enum class Distance : std::uint8_t {
        Near, // an engine of this cell
        Region, // of another cell of the region
        Far,
    };
    struct Candidate {
        Engine* engine_ = nullptr;
        Distance distance_ = Distance::Near;
    };

    void dropSilent(TimePoint now);
    void setOnTrial(Engine& engine, bool isOnTrial);
    void subtract(const std::vector<EngineUse>& uses);
    void add(const std::vector<EngineUse>& uses);
    void dropCell(CellId cell);
    Distance distanceOf(const Engine& engine) const;
    Duration costOf(Distance distance) const;
    // Its cell has nodes, and none was heard lately: how full it is isn't known.
    bool isUnknown(const Engine& engine, TimePoint now) const;
    // Questions wait there for the slots of their cell.
    bool isWantedThere(const Engine& engine, ServiceId service) const;
    std::vector<Candidate> candidates(std::string_view service, bool repeatable, std::span<const UpstreamId> tried, TimePoint now);
    Duration engineWait(const Engine& engine, TimePoint now) const;
    // Of engines with free slots the one with the lowest is preferred.
    std::uint64_t freeRank(const Engine& engine, Distance distance, TimePoint now) const;
    // Slots that batch items may take now.
    std::uint32_t batchRoom(std::span<const Candidate> engines, bool urgent, TimePoint now) const;
    // Of the engine, that batch leaves free.
    std::uint32_t reserveOf(const Engine& engine, bool urgent, TimePoint now) const;
    // What is left of them in each other cell when its own items have theirs.
    std::map<CellId, std::uint32_t> surplus(std::span<const Candidate> engines, ServiceId service, bool urgent, TimePoint now) const;
    // Items that wait at other nodes of this cell and are due before `due`.
    std::uint32_t itemsDueBefore(std::string_view service, TimePoint due) const;
    bool isUsable(const Engine& engine, bool repeatable, TimePoint now) const;
    bool isDoubtful(const Engine& engine, TimePoint now) const;
    bool isTester(const Engine& engine) const;
    bool isSharedFault(const Engine& engine, TimePoint now) const;
    void addAccusations(const NodeUse& use, bool stands);
    void addDoubts(const CellUse& use, bool stands);

    CapacitySettings settings_;
    NodeId self_;
    HostPlace place_;
    std::mt19937_64 random_;
    std::unordered_map<UpstreamId, Engine> engines_;
    // Invariant: the engines that are on trial, and those that this node has work on; ordered, so that all walks are alike.
    std::set<UpstreamId> onTrial_;
    std::set<UpstreamId> ownWork_;
    std::map<NodeId, Report> reports_;
    std::map<CellId, CellReport> cells_; // other cells that were heard
    std::set<CellId> peopled_; // other cells that have live nodes
    TimePoint silentCheckedAt_ {};
    TimePoint startedAt_ {};
    struct OwnItems {
        std::uint16_t count_ = 0;
        TimePoint firstDue_ {};
    };

    // Sums over this node and its cell.
    ServiceWaiting allWaiting(std::string_view service) const;

    std::map<ServiceId, ServiceWaiting> ownWaiting_;
    std::map<ServiceId, OwnItems> ownItems_;
    double meanRunSeconds_;
    std::function<bool(const Endpoint&)> hasConnection_;
};

} // namespace jj
