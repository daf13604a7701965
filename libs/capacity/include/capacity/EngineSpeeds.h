// How much slower or faster than usual each engine works, learned from the times between the events of its answers.
//
//     EngineSpeeds speeds = EngineSpeeds::create({}).value();
//     speeds.recordEventGap(engine, service, running, gap, now);     // a stream of this node brought an event
//     speeds.recordStatedSlowdown(engine, 250, now);                 // the engine says that work takes 2.5 times as long as usual
//     speeds.apply(node, report, now);                               // from another node
//     if (speeds.slowdown(engine, now) > 2) ...
//
// Engines differ for good, because their machines do, and for moments, because they share them. The time between two events is compared with
// the median of the service's engines at the same number of running requests, so that neither the model nor the batch size counts. The lasting
// part is a mean over many events. The momentary part is what the engine states, if it states anything, and else what the last events
// show; it loses weight with age, so that single requests test an engine that was slow.
//
// The comparison with the median means that engines which all turn slow together count as usual.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "capacity/NodeUse.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace jj {

enum class SpeedError : int {
    BadSettings = 1, // a time isn't positive, or a gain isn't between 0 and 1
};

std::error_code make_error_code(SpeedError error);

struct EngineSpeedSettings {
    double lastingGain_ = 0.02; // weight of one event in the lasting part
    double momentaryGain_ = 0.25; // weight of one event in the momentary part
    Duration lastingHalfLife_ = 30s; // of the lasting part without new evidence
    Duration momentaryHalfLife_ = 500ms; // of the momentary part without new evidence
    Duration statedHalfLife_ = 300ms; // of what an engine states, which changes many times a second
    std::uint32_t minEvents_ = 8; // before an engine is compared
    // Smaller differences, as a power of two, are within the noise of single engines: a new prompt delays the events of the others.
    double minDifference_ = 0.3;
    // What an engine states is ignored for distrustTime_ once events have contradicted it for contradictionTime_.
    Duration contradictionTime_ = 1s;
    Duration distrustTime_ = 10s;
    Duration reportLifetime_ = 1s; // of evidence in the reports to other nodes
};

class EngineSpeeds {
public:
    // Errors: SpeedError::BadSettings.
    static Result<EngineSpeeds> create(EngineSpeedSettings settings);

    // Records that an engine which ran `running` requests needed `gap` from one event of a stream to the next.
    void recordEventGap(UpstreamId engine, ServiceId service, std::uint32_t running, Duration gap, TimePoint now);
    // Records that work takes `percent` of the usual time according to the engine itself.
    void recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now);
    // Applies the report of another node.
    void apply(NodeId node, std::span<const EngineSpeedReport> report, TimePoint now);
    void remove(UpstreamId engine) { engines_.erase(engine); }

    // Returns the engines that differ, with evidence of this node that isn't older than reportLifetime_.
    std::vector<EngineSpeedReport> ownReport(TimePoint now) const;
    // Returns the expected time between events relative to the median. 1: as usual, or unknown.
    double slowdown(UpstreamId engine, TimePoint now) const;
    // The same as a power of two, and 0 for differences below minDifference_.
    double difference(UpstreamId engine, TimePoint now) const;
    // Returns whether some engine may differ; false while nothing is known of any.
    bool mayDiffer() const { return !engines_.empty(); }

    // The state of an engine that differs, for logs and metrics.
    struct SlowEngine {
        UpstreamId engine_;
        double slowdown_ = 1;
        bool isStated_ = false; // the engine says so itself
        TimePoint since_ {};
    };
    std::vector<SlowEngine> slowEngines(TimePoint now) const;

private:
    // All values are powers of two: 1 means twice as slow.
    struct Engine {
        double lasting_ = 0; // as of lastingAt_
        TimePoint lastingAt_ {};
        double momentary_ = 0; // beyond the lasting part, as of momentaryAt_
        TimePoint momentaryAt_ {};
        double stated_ = 0; // as of statedAt_
        TimePoint statedAt_ {};
        TimePoint contradictedSince_ {}; // events have contradicted stated_ since; none: they don't
        TimePoint distrustedUntil_ {};
        std::uint32_t events_ = 0;
        TimePoint seenAt_ {}; // the last evidence of this node
        double heard_ = 0; // what other nodes report, as of heardAt_
        TimePoint heardAt_ {};
        TimePoint slowSince_ {}; // none: it isn't slow
    };
    // The median time between events, by the number of running requests.
    struct Medians {
        static constexpr std::size_t buckets = 16; // of running requests; more count as the last
        std::array<double, buckets> seconds_ {}; // 0: nothing is known
    };

    explicit EngineSpeeds(EngineSpeedSettings settings)
        : settings_(settings)
    {
    }

    // Updates the median with a time, and returns the time relative to it as a power of two.
    double compare(ServiceId service, std::uint32_t running, Duration gap);
    bool isStatedValid(const Engine& engine, TimePoint now) const;
    void checkStated(Engine& engine, double observed, TimePoint now) const;
    double valueOf(const Engine& engine, TimePoint now) const;

    EngineSpeedSettings settings_;
    std::unordered_map<UpstreamId, Engine> engines_;
    std::map<ServiceId, Medians> medians_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::SpeedError> : std::true_type {
};
