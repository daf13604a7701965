// How much slower or faster than usual each engine works, learned from the times between the events of its answers.
//
//     EngineSpeeds speeds = EngineSpeeds::create({}).value();
//     speeds.recordEventGap(engine, service, running, gap, now);     // a stream of this node brought an event
//     speeds.recordStatedSlowdown(engine, 250, now);                 // the engine states 2.5 times the usual time
//     speeds.apply(node, report, now);                               // from another node
//     if (speeds.slowdown(engine, now) > 2) ...
//
// Engines differ for good, because their machines do, and for moments, because they share them. The time between two events is the product
// of a time that depends on the number of running requests, the same for all engines of the service, and of the engine's own factor. Both
// are learned together. If the engines at one number of running requests were only compared with each other, fast engines, which are kept
// full, would be compared with fast ones and slow ones with slow ones, and the difference would be forgotten.
//
// The lasting part of the factor follows many events, and single ones only by a bounded step. The momentary part follows the last events.
// A new prompt delays one step of all streams of an engine, so the events of one step count as one, and a step counts no more than the one
// before it. What the engine states and what other nodes report adds to the momentary part. All of it loses weight with age, so that
// single requests test an engine that was slow. An engine that nothing is known of may be as fast as the fastest one, and is tested too. Values are relative to the median of the service's engines: engines that all turn slow
// together count as usual.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "capacity/NodeUse.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <system_error>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace jj {

enum class SpeedError : int {
    BadSettings = 1, // a time isn't positive, or a gain isn't between 0 and 1
};

std::error_code make_error_code(SpeedError error);

struct EngineSpeedSettings {
    double lastingGain_ = 0.02; // weight of one step in the lasting part
    double momentaryGain_ = 0.5; // weight of one step in the momentary part
    Duration lastingHalfLife_ = 30s; // of the lasting part without new evidence; four times the time for which it was seen if that is shorter
    Duration momentaryHalfLife_ = 500ms; // of the momentary part without new evidence
    Duration statedHalfLife_ = 300ms; // of what an engine states, which changes many times a second
    std::uint32_t minEvents_ = 8; // before an engine is compared
    // Smaller differences, as a power of two, count as none. They are raised where the times of single engines vary more.
    double minLasting_ = 0.4;
    double minMomentary_ = 0.5;
    // What an engine states is ignored for distrustTime_ once events have contradicted it for contradictionTime_.
    Duration contradictionTime_ = 1s;
    Duration distrustTime_ = 10s;
    // Older evidence isn't reported: it would contradict what other nodes have seen since. Two steps of an engine that is four times slower.
    Duration reportLifetime_ = 200ms;
    // Limits of the time without evidence after which a request tests a slow engine.
    Duration minTrialInterval_ = 1s;
    Duration maxTrialInterval_ = 10s;
    Duration evidenceLifetime_ = 60s; // an engine without newer evidence counts as unobserved; two half-lives of the lasting part
    Duration medianPeriod_ = 500ms; // between two computations of the medians
    // Shorter times between events count as this long: they differ by the jitter of event loops and connections, and no caller notices.
    Duration shortestGap_ = 5ms;
};

class EngineSpeeds {
public:
    // Errors: SpeedError::BadSettings.
    static Result<EngineSpeeds> create(EngineSpeedSettings settings);

    // Adds an engine. It counts as usual until it is observed.
    void insert(UpstreamId engine, ServiceId service) { engines_[engine].service_ = service; }
    void remove(UpstreamId engine);

    // Records that an engine which ran `running` requests needed `gap` from one event of a stream to the next.
    void recordEventGap(UpstreamId engine, ServiceId service, std::uint32_t running, Duration gap, TimePoint now);
    // Records that work takes `percent` of the usual time according to the engine itself.
    void recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now);
    // Applies the report of another node.
    void apply(NodeId node, std::span<const EngineSpeedReport> report, TimePoint now);

    // Returns the engines that differ, with evidence of this node that isn't older than reportLifetime_, and those that differed until a
    // moment ago. What other nodes report isn't repeated, so a report ends when its evidence does.
    std::vector<EngineSpeedReport> ownReport(TimePoint now) const;
    // Returns the expected time between events relative to the median. 1: as usual, or unknown.
    double slowdown(UpstreamId engine, TimePoint now) const;
    // The same as a power of two, and 0 for differences that may be noise.
    double difference(UpstreamId engine, TimePoint now) const;
    // Returns the expected time between events while the engine runs this many requests. Zero: unknown.
    Duration expectedGap(UpstreamId engine, std::uint32_t running, TimePoint now) const;
    // Returns whether an engine that counts as slow has brought no evidence of it for so long that a request should test it. The time is a
    // quarter of the time for which the engine was seen, because a difference that was seen for longer is likelier to last.
    bool isTrialDue(UpstreamId engine, TimePoint now) const;
    // Returns whether this node has no evidence of the engine, neither its own nor another node's, or only an old one.
    bool isUnobserved(UpstreamId engine, TimePoint now) const;
    // Returns whether an engine of the service was fast within the last second.
    bool hasFast(ServiceId service, TimePoint now) const;
    // Returns whether some engine may differ; picks look up nothing otherwise.
    bool mayDiffer() const { return !differing_.empty(); }

    // The state of an engine that is slow, for logs and metrics.
    struct SlowEngine {
        UpstreamId engine_;
        double slowdown_ = 1;
        bool isStated_ = false; // the engine states it in its load header
        TimePoint since_ {};
    };
    // Returns the slow engines, slowest first, and forgets which engines differed until now.
    std::vector<SlowEngine> slowEngines(TimePoint now);

    // How many engines and services something is known of.
    std::size_t knownEngines() const { return engines_.size(); }
    std::size_t knownServices() const { return services_.size(); }

private:
    // All values are powers of two: 1 means twice as slow.
    struct Engine {
        ServiceId service_; // none: only the engine's load is known
        double lasting_ = 0; // as of eventAt_
        Duration seenFor_ {}; // time with events; not much more than lastingHalfLife_
        double momentary_ = 0; // beyond the lasting part, as of eventAt_
        double lastStep_ = 0; // the last step beyond the lasting part
        TimePoint eventAt_ {}; // the last step that was seen
        TimePoint measuredAt_ {}; // the middle of that step
        double stated_ = 0; // as of statedAt_
        TimePoint statedAt_ {};
        TimePoint contradictedSince_ {}; // events have contradicted stated_ since; none: they don't
        TimePoint distrustedUntil_ {};
        std::uint32_t events_ = 0;
        double heardLasting_ = 0; // what other nodes report, as of heardAt_
        double heardMomentary_ = 0;
        TimePoint heardAt_ {};
        Duration heardFor_ {}; // like seenFor_
        TimePoint slowSince_ {}; // none: it isn't slow
    };
    struct Service {
        static constexpr std::size_t buckets = 16; // of running requests; more count as the last
        std::array<double, buckets> usual_ {}; // time between events, as a power of two of seconds
        std::array<std::uint32_t, buckets> events_ {}; // 0: nothing is known
        double noise_ = initialNoise; // mean difference between single steps and their prediction
        double median_ = 0; // of the lasting parts of the engines
        double momentaryMedian_ = 0;
        TimePoint medianAt_ {};
        TimePoint fastAt_ {}; // when an engine was last seen to be fast; none: never

        static constexpr double initialNoise = 0.2;
    };
    struct Value {
        double lasting_ = 0;
        double momentary_ = 0;
        double sum() const { return lasting_ + momentary_; }
    };

    explicit EngineSpeeds(EngineSpeedSettings settings)
        : settings_(settings)
    {
    }

    // Returns the usual time at this number of running requests, as a power of two. `own`: the engine's factor.
    double& usualTime(Service& service, std::size_t bucket, double seconds, double own);
    void learn(Engine& engine, Service& service, std::size_t bucket, double seconds, double weight, TimePoint now);
    void updateMedian(Service& service, ServiceId id, TimePoint now);
    bool isStatedValid(const Engine& engine, TimePoint now) const;
    void checkStated(Engine& engine, TimePoint now) const;
    // Returns the half-life of a lasting part that was seen for this time: an engine that was only seen while it was slow for a moment is
    // tried again soon.
    Duration lastingHalfLife(Duration seenFor) const { return std::clamp<Duration>(4 * seenFor, settings_.momentaryHalfLife_, settings_.lastingHalfLife_); }
    double heardLastingOf(const Engine& engine, TimePoint now) const;
    double lastingOf(const Engine& engine, TimePoint now) const;
    Value valueOf(const Engine& engine, bool withHeard, TimePoint now) const;
    // Adds the engine to those that may differ if it does.
    void noteDifference(UpstreamId id, const Engine& engine, TimePoint now);

    EngineSpeedSettings settings_;
    std::unordered_map<UpstreamId, Engine> engines_;
    std::unordered_set<UpstreamId> differing_; // a superset of the engines that differ
    std::map<ServiceId, Service> services_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::SpeedError> : std::true_type {
};
