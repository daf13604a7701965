// What the parts of a job core share: settings, the store's call queue, the outgoing commands, time and randomness of one node.
// Time is set once for each event and tick, before any part runs.
#pragma once

#include "jobs/JobEvents.h"
#include "jobs/Records.h"
#include "objects/CallQueue.h"

#include <random>

namespace jj {

struct JobContext {
    JobContext(const JobSettings& settings, NodeId node, Incarnation incarnation, std::uint64_t seed)
        : settings_(settings)
        , node_(node)
        , incarnation_(incarnation)
        , random_(seed)
        , queue_(settings.calls_, seed + 1)
    {
    }

    JobSettings settings_;
    NodeId node_;
    Incarnation incarnation_;
    std::mt19937_64 random_;
    CallQueue queue_;
    std::vector<JobCommand> commands_;
    TimePoint now_ {};
    WallTime wall_ {};
    bool draining_ = false;
    std::uint64_t marks_ = 0;

    // Differs between any two writes of the fleet: tells a writer's own bytes from another's (see CallQueue).
    std::string mark() { return hexName(node_.value()) + "-" + hexName(incarnation_.value()) + "-" + std::to_string(marks_++); }

    PartitionId partitionOf(JobId job) const { return PartitionId(static_cast<std::uint32_t>(job.value() % settings_.partitions_)); }

    // Sends a call; the completion runs with now_ set.
    void call(ObjectCall request, CallClass callClass, TimePoint until, std::function<void(const SettledAnswer&)> done)
    {
        queue_.send(std::move(request), callClass, until, [done = std::move(done)](const SettledAnswer& answer, TimePoint) { done(answer); });
    }

    void emit(JobCommand command) { commands_.push_back(std::move(command)); }

    // Full jitter between half and the whole of first * 2^tries, at most `longest`.
    Duration backoff(Duration first, Duration longest, std::uint32_t tries)
    {
        constexpr std::uint32_t mostDoublings = 16;
        const Duration full = std::min<Duration>(longest, first * (1LL << std::min(tries, mostDoublings)));
        return fromSeconds(toSeconds(full) * std::uniform_real_distribution<>(0.5, 1.0)(random_));
    }
};

} // namespace jj
