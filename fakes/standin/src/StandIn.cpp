// Server, signals and JSON helpers of stand-ins.
#include "standin/StandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace jj::standin {

namespace json = boost::json;

int serve(boost::asio::io_context& io, const Options& options, const http::Server::Handler& handler, std::size_t bodyBytes)
{
    http::ServerSettings settings;
    settings.listen_ = Endpoint { options.address_, options.port_ };
    settings.limits_.bodyBytes_ = bodyBytes;
    settings.limits_.idle_ = std::chrono::hours(1);
    auto server = http::Server::create(io, settings, handler);
    if (!server) {
        std::cerr << "can't listen on " << toString(settings.listen_) << ": " << server.error().message() << '\n';
        return 1;
    }
    std::cout << "listening " << toString(server.value()->local()) << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
    io.run();
    return 0;
}

http::Response jsonResponse(int status, const json::value& body)
{
    return { status, { { "Content-Type", "application/json" } }, json::serialize(body) };
}

std::optional<json::object> parseObject(std::string_view body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

std::int64_t integerOr(const json::object& object, std::string_view key, std::int64_t fallback)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr)
        return fallback;
    boost::system::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

double numberOr(const json::object& object, std::string_view key, double fallback)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr)
        return fallback;
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    return error ? fallback : number;
}

bool flagOr(const json::object& object, std::string_view key, bool fallback)
{
    const json::value* value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

std::string textOr(const json::object& object, std::string_view key, std::string_view fallback)
{
    const json::value* value = object.if_contains(key);
    return std::string(value != nullptr && value->is_string() ? std::string_view(value->get_string()) : fallback);
}

} // namespace jj::standin
