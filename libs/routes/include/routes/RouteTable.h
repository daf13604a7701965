// The routes of one configuration version: which service answers a relayed request, and with which limits and time targets.
//
//     auto table = RouteTable::create(std::move(config));
//     if (!table) return table.error();
//     if (const Route* route = table.value().select("shop.example", "/ask/17")) ...
//
// A table is immutable. Pointers into it are valid as long as the table exists.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "workspaces/WorkspaceTable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace jj {

enum class RouteError : int {
    BadPrefix = 1, // a path prefix doesn't begin and end with a slash
    NoTarget, // a route has no service, or the weights of its services are all zero
    UnknownService, // a route names a service that isn't in the configuration
    DuplicateService, // two services have the same name
};

std::error_code make_error_code(RouteError error);

// How often a request of the route may run, and the form of its answer.
enum class RouteKind : std::uint8_t {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once per attempt of the caller
    Streaming, // answers with a stream of events; runs at most once unless the route is resumable
    Batch, // accepts jobs of many items
};

struct RouteTarget {
    std::string service_;
    std::uint32_t weight_ = 1;
};

struct Route {
    std::string name_;
    std::string host_;
    std::string pathPrefix_; // begins and ends with '/'
    RouteKind kind_ = RouteKind::Idempotent;
    Duration timeout_ = 30s; // the longest time that a caller waits for the answer
    Duration targetLatency_ = 1s; // until the answer; for streams until the first event; for jobs until the acknowledgement
    Duration maxEventGap_ = 0s; // the target for the time between two events of a stream; zero: no target
    std::uint32_t priority_ = 0; // 0 is the most urgent
    std::uint32_t maxAttempts_ = 1; // engines on which one request may run; a retry by the caller counts as a new request
    bool isPublic_ = false; // callers need no key
    bool resumable_ = false; // another engine can continue a stream after the last event that was sent
    std::vector<RouteTarget> targets_; // never empty, weights not all zero
    Duration runTarget_ = 0s; // for jobs: from submission until all results are due
    Duration abandonAfter_ = 0s; // for jobs: from submission until an item may be abandoned

    // Returns whether a request whose outcome is unknown may be sent to another engine.
    bool isRepeatable() const { return kind_ == RouteKind::Idempotent || kind_ == RouteKind::Batch || (kind_ == RouteKind::Streaming && resumable_); }
};

struct RoutedService {
    std::string name_;
    std::string healthPath_;
    std::uint32_t maxConnections_ = 64; // accepted by one engine of the service, from all callers together
};

// Limits on the size of requests and on the time that callers take to send them.
struct CallerLimits {
    std::size_t headerBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 4 * 1024 * 1024;
    Duration headerTime_ = 3s;
    Duration idle_ = 15s; // connections without a request are closed after this time
};

struct RouteConfig {
    std::uint64_t version_ = 0; // increases with each configuration, not necessarily by one
    std::vector<Route> routes_;
    std::vector<RoutedService> services_;
    CallerLimits limits_;
    std::optional<std::vector<Workspace>> workspaces_; // none: callers need no keys on any route
};

class RouteTable {
public:
    static Checked<RouteTable> create(RouteConfig config);

    std::uint64_t version() const { return config_.version_; }
    const CallerLimits& limits() const { return config_.limits_; }
    const std::vector<Route>& routes() const { return config_.routes_; }

    // Returns the route of the host with the longest prefix of the path, or null when no route matches. `host` may include a port.
    // `target` may include a query, which is ignored.
    const Route* select(std::string_view host, std::string_view target) const;
    // Returns the batch route of the host with the longest prefix, or null when the host has no batch route.
    const Route* findBatchRoute(std::string_view host) const;
    const Route* findRoute(std::string_view name) const;
    const RoutedService* service(std::string_view name) const;

    const RouteConfig& config() const { return config_; }
    // Returns null if the configuration has no workspaces.
    const WorkspaceTable* workspaces() const { return workspaces_ ? &*workspaces_ : nullptr; }
    bool requiresKey(const Route& route) const { return workspaces_ && !route.isPublic_; }

    // Picks one of the route's services by weight. `draw` is any number that varies between requests; the same number always gives the
    // same service.
    static const std::string& pickService(const Route& route, std::uint64_t draw);

private:
    RouteTable(RouteConfig config, std::optional<WorkspaceTable> workspaces);
    void buildIndex();

    RouteConfig config_;
    std::optional<WorkspaceTable> workspaces_;
    // Invariant: for each host, the indexes of its routes in config_.routes_, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_;
};

// Returns the host name of a Host header in lower case, without the port.
std::string hostName(std::string_view hostHeader);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::RouteError> : std::true_type {
};
