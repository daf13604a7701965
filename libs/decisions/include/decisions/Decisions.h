// The decisions of one node: events and a time in, commands out.
//
//     Result<Decisions> core = Decisions::create({ .self_ = node, .region_ = region, .seed_ = 1 });
//     Commands commands;
//     core.value().handle(NodeChanged { node, region, NodeState::Live }, now, commands);
//     core.value().handle(RequestArrived { spec }, now, commands);
//     for (const Command& command : commands) ...            // then clear() and go on
//     core.value().tick(now, commands);                       // each tickInterval
//
// Time never runs backwards: `now` is at least that of the call before. The same events, times and seed give the same commands.
// Every RequestArrived is answered by exactly one Answer or Refuse, at the moment the outcome is decided. Every HandedOver is
// answered by exactly one HandBack, unless the entry cancelled it.
// Not thread safe: one owner calls it.
#pragma once

#include "decisions/Commands.h"
#include "decisions/Features.h"

#include "base/Result.h"

#include <memory>
#include <vector>

namespace jj {

using Commands = std::vector<Command>;

struct DecisionsSettings {
    NodeId self_;
    RegionId region_;
    std::uint64_t seed_ = 1;
    Features features_ {};
};

enum class DecisionsError : int {
    NoSelf = 1, // settings without the node's own id or region
};
std::error_code make_error_code(DecisionsError error);

class Decisions {
public:
    // How often the host program calls tick.
    static constexpr Duration tickInterval = std::chrono::milliseconds(10);

    static Result<Decisions> create(const DecisionsSettings& settings);
    Decisions(Decisions&&) noexcept;
    Decisions& operator=(Decisions&&) noexcept;
    ~Decisions();

    void handle(const Event& event, TimePoint now, Commands& out);
    // Runs the systems that act on time: expiry, silence, pacing, probes, load reports.
    void tick(TimePoint now, Commands& out);

    // ---- for status pages and measurements
    struct Counts {
        std::size_t entryRequests_ = 0; // accepted here, not answered yet
        std::size_t homeQueued_ = 0;
        std::size_t homeRunning_ = 0;
        std::uint64_t yields_ = 0;
        std::uint64_t retries_ = 0;
        std::uint64_t refusals_ = 0;
    };
    Counts counts() const;
    // The home that this node would hand a request for the upstream to; none when no node of its region lives.
    NodeId homeOf(UpstreamId upstream) const;

private:
    struct Parts;
    explicit Decisions(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::DecisionsError> : std::true_type {
};
