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
// nodes of a region are exact but for the last millisecond or two, ties are broken at random, and nothing of batch is ever sent to an
// engine without a free slot.
//
// Two nodes that pick in the same millisecond may both take the last slot of an engine; the second waits there for one slot to end.
#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "capacity/NodeUse.h"

#include <cstdint>
#include <map>
#include <random>
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

struct CapacitySettings {
    // A node that hasn't reported for so long counts as running nothing: four reports in a row were lost, or it is gone.
    Duration reportTimeout_ = 2s;
    // Slots of each engine that batch items leave free for the questions of the next milliseconds. Measured on bursts of 1.9 times the mean
    // at three quarters of the slots in use.
    std::uint32_t batchReserve_ = 1;
    // An engine that failed is left alone for firstShun_, and twice as long after each further failure, up to longestShun_.
    Duration firstShun_ = 500ms;
    Duration longestShun_ = 3s;
    // Another node's word that an engine fails counts for so long: one slice of the network may fail for that node alone.
    Duration hearsay_ = 1s;
    // Extra time of a request to another region: a round trip and the connection.
    Duration farCost_ = 30ms;
    // What a question's first event takes on an idle engine; the bound on the wait leaves room for it.
    Duration firstEvent_ = 40ms;
    // How long a question occupies a slot before any was measured.
    Duration assumedRun_ = 800ms;
};

class CapacityBoard {
public:
    CapacityBoard(CapacitySettings settings, RegionId region, FailureDomainId domain, std::uint64_t seed);

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
    // What this node tells the others; node, incarnation and sequence are the caller's to fill.
    NodeUse ownUse(TimePoint now) const;

    // ---- what other nodes say
    void heard(const NodeUse& use, TimePoint now);
    void forget(NodeId node);

    // ---- what answers say
    // The engine gave no answer or refused the connection. Says for how long it is left alone.
    Duration failed(UpstreamId engine, TimePoint now);
    void succeeded(UpstreamId engine);
    // The engine said that it is full although the counts say that it has room: nothing is sent there for a moment.
    void refusedAsFull(UpstreamId engine, TimePoint now);
    // Engines that are left alone and whose time is over: one answer of theirs (succeeded) brings them back.
    std::vector<UpstreamId> dueForProbe(TimePoint now) const;

    // ---- picks
    // `bound`: how long the question's first event may take. `tried`: engines that it was sent to before.
    EnginePick pickQuestion(std::string_view service, Duration bound, std::span<const UpstreamId> tried, TimePoint now);
    // `urgent`: due so soon that it may use the reserve.
    EnginePick pickBatch(std::string_view service, bool urgent, std::span<const UpstreamId> tried, TimePoint now);
    // The nodes that run batch items on the engine, the one with most first.
    std::vector<NodeId> batchHolders(UpstreamId engine) const;
    // Slots in use by anybody, of those engines of the service that can be sent to.
    struct Usage {
        std::uint32_t slots_ = 0;
        std::uint32_t questions_ = 0;
        std::uint32_t batchItems_ = 0;
    };
    Usage usage(std::string_view service, TimePoint now) const;
    // Work on one engine, of all nodes.
    EngineUse useOf(UpstreamId engine) const;

private:
    struct Engine {
        EngineEntry entry_;
        EngineUse own_;
        // Invariant: the sum of the reports in reports_ for this engine.
        std::uint32_t othersQuestions_ = 0;
        std::uint32_t othersBatch_ = 0;
        std::uint32_t failures_ = 0; // in a row
        TimePoint shunnedUntil_ {};
        TimePoint fullUntil_ {};
        TimePoint hearsayUntil_ {};

        std::uint32_t questions() const { return own_.questions_ + othersQuestions_; }
        std::uint32_t batch() const { return own_.batchItems_ + othersBatch_; }
        std::uint32_t total() const { return questions() + batch(); }
    };
    struct Report {
        NodeUse use_;
        TimePoint at_ {};
    };
    struct Candidate {
        Engine* engine_ = nullptr;
        bool far_ = false;
    };

    void dropSilent(TimePoint now);
    void subtract(const NodeUse& use);
    void add(const NodeUse& use);
    std::vector<Candidate> candidates(std::string_view service, std::span<const UpstreamId> tried, TimePoint now);
    Duration queueWait(const Engine& engine) const;
    bool isUsable(const Engine& engine, TimePoint now) const;

    CapacitySettings settings_;
    RegionId region_;
    FailureDomainId domain_;
    std::mt19937_64 random_;
    std::unordered_map<UpstreamId, Engine> engines_;
    std::map<NodeId, Report> reports_;
    double meanRunSeconds_;
};

} // namespace jj
