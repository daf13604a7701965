// The frame of a stand-in process: options, one HTTP server, the line that tells its port, SIGTERM.
//
// A stand-in runs on one thread, so its handlers need no locks. `POST /fakes/faults` with a JSON object turns the switches named in
// it and leaves the others; the answer is the state of all switches.
#pragma once

#include "base/Endpoint.h"
#include "base/Result.h"
#include "base/Time.h"
#include "http/Server.h"

#include <boost/json.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jj::standin {

struct Options {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0; // 0: chosen by the system
    std::uint64_t seed_ = 1;
};

// Serves until SIGTERM or SIGINT; prints `listening IP:PORT` when it does. Returns the process's exit code.
int serve(boost::asio::io_context& io, const Options& options, const http::Server::Handler& handler, std::size_t bodyBytes);

http::Response jsonResponse(int status, const boost::json::value& body);

// The body as a JSON object; nothing when it is none.
std::optional<boost::json::object> parseObject(std::string_view body);

// Values of an object's fields; absent or of another type: the default.
std::int64_t integerOr(const boost::json::object& object, std::string_view key, std::int64_t fallback);
double numberOr(const boost::json::object& object, std::string_view key, double fallback);
bool flagOr(const boost::json::object& object, std::string_view key, bool fallback);
std::string textOr(const boost::json::object& object, std::string_view key, std::string_view fallback);

} // namespace jj::standin
