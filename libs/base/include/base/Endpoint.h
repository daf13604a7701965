// An IP number and a port: how settings, messages and errors name the other end of a connection.
//
//     Result<Endpoint> engine = parseEndpoint("10.1.2.3:8000");   // or "[fd00::3]:8000"
#pragma once

#include "base/Id.h"
#include "base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

// Invariant: address_ is an IP number in text, never a host name; port 0 means "chosen by the system" where one listens.
struct Endpoint {
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Errors: BaseError::BadNumber when the text isn't IP:PORT.
Result<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint& endpoint);

// Ids by the hash of the address, the same in every process.
NodeId nodeIdOf(const Endpoint& endpoint);
UpstreamId upstreamIdOf(const Endpoint& endpoint);

} // namespace jj

template <>
struct std::hash<jj::Endpoint> {
    std::size_t operator()(const jj::Endpoint& endpoint) const noexcept;
};
