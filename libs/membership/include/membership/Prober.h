// The probes under way: direct, direct again, through helpers, failed. It sends nothing itself; it says what is due.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "membership/Settings.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jj {

class Prober {
public:
    enum class Action : std::uint8_t {
        Ping,
        AskHelpers,
        Fail,
    };

    struct Step {
        Action action_;
        NodeId target_;
        std::uint64_t probe_;
    };

    explicit Prober(const MembershipSettings& settings)
        : settings_(settings)
    {
    }

    // Starts a probe unless one of this target is under way.
    void start(NodeId target, std::uint64_t probe, TimePoint now);

    // The target answered. Gives false when no such probe is under way: a late or doubled answer.
    bool acknowledge(std::uint64_t probe, NodeId subject);

    // What is due now, in the order of the probes' starts.
    std::vector<Step> advance(TimePoint now);

    // The process itself was late by this much: answers may wait unread, so the probes get that time on top.
    void postpone(Duration late);

    // Forgets all probes, because a pause made their times meaningless.
    void clear() { pending_.clear(); }

private:
    enum class Stage : std::uint8_t { Started,
        Pinged,
        Repeated,
        Helped };

    struct Pending {
        NodeId target_;
        std::uint64_t probe_;
        TimePoint start_;
        Stage stage_;
    };

    std::optional<Action> due(Pending& pending, TimePoint now) const;

    MembershipSettings settings_;
    std::vector<Pending> pending_;
};

} // namespace jj
