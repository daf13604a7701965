// Tests of route selection, and of the configurations that are rejected.
#include "routes/RouteTable.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

Route routeOf(std::string name, std::string host, std::string prefix, std::vector<RouteTarget> targets = { { "chat", 1 } })
{
    Route route;
    route.name_ = std::move(name);
    route.host_ = std::move(host);
    route.pathPrefix_ = std::move(prefix);
    route.targets_ = std::move(targets);
    return route;
}

RouteConfig configOf(std::vector<Route> routes)
{
    RouteConfig config;
    config.version_ = 7;
    config.routes_ = std::move(routes);
    config.services_ = { { "chat", "/health", 10 }, { "chat-next", "/health", 10 } };
    return config;
}

} // namespace

TEST_CASE("routes: the route with the longest matching prefix of the host is selected")
{
    const auto table = RouteTable::create(configOf({ routeOf("short", "a.example", "/ask/"), routeOf("long", "a.example", "/ask/deep/"), routeOf("other", "b.example", "/") }));
    REQUIRE(table.has_value());
    CHECK(table.value().select("a.example", "/ask/1")->name_ == "short");
    CHECK(table.value().select("a.example", "/ask/deep/1")->name_ == "long");
    CHECK(table.value().select("A.Example:80", "/ask/deep/?q=/x")->name_ == "long");
    CHECK(table.value().select("b.example", "/ask/deep/1")->name_ == "other");
}

TEST_CASE("routes: a prefix matches whole path segments only, and not the query")
{
    const auto table = RouteTable::create(configOf({ routeOf("r", "a.example", "/ask/") }));
    CHECK(table.value().select("a.example", "/asking/1") == nullptr);
    CHECK(table.value().select("a.example", "/ask") == nullptr);
    CHECK(table.value().select("a.example", "/other?x=/ask/") == nullptr);
    CHECK(table.value().select("c.example", "/ask/1") == nullptr);
}

TEST_CASE("routes: services are picked by weight, and never with a weight of zero")
{
    const Route route = routeOf("r", "a.example", "/", { { "chat", 3 }, { "chat-next", 1 }, { "never", 0 } });
    int next = 0;
    for (std::uint64_t draw = 0; draw < 400; ++draw) {
        const std::string& service = RouteTable::pickService(route, draw);
        CHECK(service != "never");
        next += service == "chat-next" ? 1 : 0;
    }
    CHECK(next == 100);
}

TEST_CASE("routes: an invalid configuration is rejected as a whole, with the name of the route in the error")
{
    CHECK(RouteTable::create(configOf({ routeOf("r", "a", "ask/") })).error().code_ == RouteError::BadPrefix);
    CHECK(RouteTable::create(configOf({ routeOf("r", "a", "/", { { "chat", 0 } }) })).error().code_ == RouteError::NoTarget);
    const auto unknown = RouteTable::create(configOf({ routeOf("r", "a", "/", { { "gone", 1 } }) }));
    CHECK(unknown.error().code_ == RouteError::UnknownService);
    CHECK(unknown.error().detail_ == "r: gone");
}

TEST_CASE("routes: whether a request is repeatable depends on the route's kind and its resumable flag only")
{
    Route route = routeOf("r", "a", "/");
    route.kind_ = RouteKind::Streaming;
    CHECK_FALSE(route.isRepeatable());
    route.resumable_ = true;
    CHECK(route.isRepeatable());
    route.kind_ = RouteKind::NonIdempotent;
    CHECK_FALSE(route.isRepeatable());
}
