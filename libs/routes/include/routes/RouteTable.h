// The routes of one configuration version: which service answers a request that is passed through, and under which terms.
//
//     auto table = RouteTable::create(std::move(config));
//     if (!table) return table.error();
//     if (const Route* route = table.value().select("shop.example", "/ask/17")) ...
//
// A table is immutable. Pointers into it live as long as the table does.
#pragma once

#include "base/Result.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace jj {

enum class RouteError : int {
    BadPrefix = 1, // a path prefix doesn't begin and end with a slash
    NoTarget, // a route without a service, or whose weights are all zero
    UnknownService, // a route names a service that the configuration doesn't have
    DuplicateService,
};

std::error_code make_error_code(RouteError error);

// What may be repeated, and what the answer looks like.
enum class RouteKind : std::uint8_t {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once for each attempt of a caller
    Streaming, // a stream of events; at most once unless the route is resumable
    Batch, // jobs of many items
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
    Duration timeout_ = 30s; // the longest that a caller is kept waiting
    Duration targetLatency_ = 1s; // an answer within it is in time; for streams: its first event; for jobs: the acknowledgement
    Duration longestGap_ = 0s; // between events of a stream that is in time; zero: not stated
    std::uint32_t priority_ = 0; // 0 is the most urgent
    std::uint32_t maxAttempts_ = 1; // engines that one attempt of a caller may run on
    bool resumable_ = false; // a stream may go on at another engine after its last event
    std::vector<RouteTarget> targets_; // never empty, weights not all zero
    Duration runTarget_ = 0s; // jobs: from submission until all results are due
    Duration abandonAfter_ = 0s; // jobs: from submission until an item may be given up

    // May a request whose outcome is unknown be sent to another engine?
    bool isRepeatable() const { return kind_ == RouteKind::Idempotent || kind_ == RouteKind::Batch || (kind_ == RouteKind::Streaming && resumable_); }
};

struct ServiceTerms {
    std::string name_;
    std::string healthPath_;
    std::uint32_t maxConnections_ = 64; // that one of its engines accepts from all callers together
};

// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headerBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 4 * 1024 * 1024;
    Duration headerTime_ = 3s;
    Duration idle_ = 15s;
};

struct RouteConfig {
    std::uint64_t version_ = 0; // grows with each configuration, in uneven steps
    std::vector<Route> routes_;
    std::vector<ServiceTerms> services_;
    CallerLimits limits_;
};

class RouteTable {
public:
    static Checked<RouteTable> create(RouteConfig config);

    std::uint64_t version() const { return config_.version_; }
    const CallerLimits& limits() const { return config_.limits_; }
    const std::vector<Route>& routes() const { return config_.routes_; }

    // The route of the host with the longest prefix that begins the path; null when there is none. `host` may carry a port;
    // `target` may carry a query, which counts for nothing.
    const Route* select(std::string_view host, std::string_view target) const;
    // The route of the host that carries jobs; null when there is none or the host has several with different services.
    const Route* batchRouteOf(std::string_view host) const;
    const Route* byName(std::string_view name) const;
    const ServiceTerms* service(std::string_view name) const;

    // One of the route's services, by weight. `draw` is any number that differs from request to request; the same number gives
    // the same service.
    static const std::string& pickService(const Route& route, std::uint64_t draw);

private:
    explicit RouteTable(RouteConfig config);
    void index();

    RouteConfig config_;
    // Invariant: of each host, the places in config_.routes_, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_;
};

// The host of a Host header, without its port, in lower case.
std::string hostName(std::string_view hostHeader);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::RouteError> : std::true_type {
};
