// The IP number and port of a process.
#pragma once

#include "base/Id.h"
#include "base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

// IPv4 address in host byte order, and port.
struct PeerAddress {
    std::uint32_t ip_ = 0;
    std::uint16_t port_ = 0;

    // Takes "a.b.c.d:port". Errors: BaseError::BadNumber.
    static Result<PeerAddress> parse(std::string_view text);
    std::string toString() const;

    friend constexpr auto operator<=>(const PeerAddress&, const PeerAddress&) = default;
};

// A node is known by the address that its peers reach it at, so its id is the same after a restart and needs no registry.
NodeId nodeIdOf(const PeerAddress& endpoint);

} // namespace jj
