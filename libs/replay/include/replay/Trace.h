// A trace: a site, what arrives at it and what fails, with times from the start of the trace.
//
// As a file: JSON lines, one record a line, {"type": "Site" / "Arrival" / "Job" / "Fault", ...fields}; fields as the members
// below without the trailing underscore, durations in nanoseconds. The site comes first; times never fall.
#pragma once

#include "base/Result.h"
#include "decisions/Events.h"
#include "enginemodel/EngineModel.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace jj {

struct SiteNode {
    NodeId node_;
    RegionId region_;
    FailureDomainId failureDomain_;
};
BOOST_DESCRIBE_STRUCT(SiteNode, (), (node_, region_, failureDomain_))

struct SiteEngine {
    UpstreamId engine_;
    RegionId region_;
    FailureDomainId failureDomain_;
};
BOOST_DESCRIBE_STRUCT(SiteEngine, (), (engine_, region_, failureDomain_))

struct Site {
    std::string name_;
    std::vector<SiteNode> nodes_;
    std::vector<SiteEngine> engines_;
    // One way.
    Duration domainDelay_ = 500us;
    Duration regionDelay_ = 12ms;
    Duration clientDelay_ = 3ms;
    std::uint64_t linkBytesPerSecond_ = 3'750'000;
    ServicePolicy policy_;
    Duration length_ {};
};
BOOST_DESCRIBE_STRUCT(Site, (), (name_, nodes_, engines_, domainDelay_, regionDelay_, clientDelay_, linkBytesPerSecond_, policy_, length_))

// An online request of a caller.
struct Arrival {
    Duration at_ {};
    WorkspaceId workspace_;
    RegionId region_;
    std::uint32_t promptTokens_ = 1;
    PrefixId prefix_;
    std::uint32_t prefixTokens_ = 0;
    std::uint32_t answerTokens_ = 1; // as it turns out
    std::uint32_t maxOutputTokens_ = 1; // as the caller says
    Duration deadline_ {}; // from its arrival
    // Crashes every engine that runs it; its caller sends it again to each node in turn.
    bool poison_ = false;
};
BOOST_DESCRIBE_STRUCT(Arrival, (), (at_, workspace_, region_, promptTokens_, prefix_, prefixTokens_, answerTokens_, maxOutputTokens_, deadline_, poison_))

// A batch job; each item's sizes are drawn around the means from the job's id and the item's index.
struct Job {
    Duration at_ {};
    JobId job_;
    WorkspaceId workspace_;
    RegionId region_;
    std::uint32_t items_ = 0;
    std::uint32_t promptTokens_ = 1;
    PrefixId prefix_;
    std::uint32_t prefixTokens_ = 0;
    std::uint32_t answerTokens_ = 1;
    std::uint32_t maxOutputTokens_ = 1;
    Duration deadline_ {}; // from its arrival
};
BOOST_DESCRIBE_STRUCT(Job, (), (at_, job_, workspace_, region_, items_, promptTokens_, prefix_, prefixTokens_, answerTokens_, maxOutputTokens_, deadline_))

enum class FaultKind : std::uint8_t {
    EngineLost,
    EngineBack,
    EngineLeaving,
    EngineHung, // streams stop for good, new ones too
    EngineSlow, // steps take three times as long
    EngineWell,
    LinkLost, // between all regions
    LinkBack,
    NodeLost,
    NodeBack,
    ReportsStale, // homes' and engines' reports come two seconds late from now on
};
BOOST_DESCRIBE_ENUM(FaultKind, EngineLost, EngineBack, EngineLeaving, EngineHung, EngineSlow, EngineWell, LinkLost, LinkBack, NodeLost, NodeBack, ReportsStale)

struct Fault {
    Duration at_ {};
    FaultKind kind_ = FaultKind::EngineLost;
    // Index of the engine or node in the site.
    std::uint32_t target_ = 0;
};
BOOST_DESCRIBE_STRUCT(Fault, (), (at_, kind_, target_))

struct Trace {
    Site site_;
    // Each in order of time.
    std::vector<Arrival> arrivals_;
    std::vector<Job> jobs_;
    std::vector<Fault> faults_;
};

enum class TraceError : int {
    Syntax = 1, // a line isn't JSON or of no known type
    NoSite, // no site with nodes and engines
    Order, // times fall
    Range, // a fault's target isn't in the site
};
std::error_code make_error_code(TraceError error);

void writeTrace(const Trace& trace, std::ostream& out);
// The failure's detail names the line.
Checked<Trace> readTrace(std::istream& in);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::TraceError> : std::true_type {
};
