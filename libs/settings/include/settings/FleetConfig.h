// The fleet configuration: what operators accept as one versioned object and every node has in force.
//
// It names the regions and failure domains, the services, and each service's upstreams with their limits. Its stored form is INI
// text, one object in the platform's object API under `configKey`; toIni and parseFleetConfig are each other's inverse. Values
// are plain data; nothing here does I/O.
//
// Units stand in the key names of the INI form: -ms milliseconds, -tokens, -bytes, -bps bits a second. Durations in memory are
// nanoseconds as everywhere.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "settings/Ini.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

// Key of the configuration object in the object API.
inline constexpr std::string_view configKey = "jj/config/fleet";

struct RegionConfig {
    std::string name_;
    std::vector<std::string> failureDomains_;

    RegionId id() const;
};

struct LinkConfig {
    std::int64_t bitsPerSecond_ = 30'000'000; // each way between regions, shared by all traffic
    Duration oneWay_ = 12ms;
};

enum class ServiceKind : std::uint8_t {
    Engines, // model engines behind the chat completion calls and jobs
    Plain, // plain services, reached by path
};

struct UpstreamConfig {
    Address address_;
    std::string failureDomain_;
    bool leaving_ = false; // an operator's mark: no new work
    int slots_ = 64; // streams that the engine runs at once without its steps growing past the bound
    std::int64_t kvTokens_ = 400'000; // KV memory, in tokens
    std::int64_t prefixTokens_ = 100'000; // share of the memory that prefixes may fill

    UpstreamId id() const;
};

// A call that may not be repeated: its method and the beginning of its path.
struct CallPattern {
    std::string method_;
    std::string pathPrefix_;
};

struct ServiceConfig {
    std::string name_;
    ServiceKind kind_ = ServiceKind::Engines;
    std::vector<UpstreamConfig> upstreams_;

    // Online requests.
    Duration firstTokenWithin_ = 780ms; // 95 in 100 get their first token in this time
    Duration tokenGapWithin_ = 46ms; // 95 in 100 of the times between tokens
    Duration onlineDeadline_ = 10s; // whole answer, where the request names no deadline
    std::int64_t queueItems_ = 2000; // waiting online requests a home
    std::int64_t queueBytes_ = 16 << 20;

    // Batch jobs.
    double latencyWeight_ = 0.7; // 0: batch throughput counts most, 1: online tail latency
    std::int64_t maxJobItems_ = 620'000;
    std::int64_t itemAttempts_ = 4; // tries of one item before it ends as failed
    Duration resultRetention_ = std::chrono::hours(24 * 7);

    // Retries.
    double retryBudget_ = 0.1; // retries allowed for each first attempt
    Duration noProgressWithin_ = 5s; // a stream without a token for so long counts as hung

    // Desired state of engines.
    std::string model_;
    std::string modelVersion_;
    std::vector<std::string> adapters_; // name@version
    bool checksFencing_ = false; // these engines refuse an order with an old fencing number
    double changingShare_ = 0.2; // of the engines that may change at one time
    double loadsPerMinute_ = 6; // what the weight store allows

    // Plain services.
    std::vector<CallPattern> notRepeatable_;
    bool keepsOutcomes_ = false; // the service answers for the outcome of a key

    ServiceId id() const;
    bool mayRepeat(std::string_view method, std::string_view path) const;
};

struct FleetConfig {
    std::string deployment_;
    std::vector<RegionConfig> regions_;
    LinkConfig link_;
    std::vector<ServiceConfig> services_;

    const ServiceConfig* service(std::string_view name) const;
    const RegionConfig* regionOf(std::string_view failureDomain) const;
};

// All that is wrong with the text, or the configuration. Names are checked against each other, addresses against doubles.
Audited<FleetConfig> parseFleetConfig(std::string_view ini);
std::string toIni(const FleetConfig& config);

} // namespace jj
