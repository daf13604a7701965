// The fleet's key: every node has the same one in its settings, and whoever doesn't hold it is refused.
//
// Messages are authenticated, not encrypted: keyed BLAKE2b from libsodium, 16 bytes a message. From the fleet's key each use
// derives its own (handshake, each direction of each link, datagrams), so that a message of one use is never valid in another.
#pragma once

#include "base/Result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace jj {

constexpr std::size_t keyBytes = 32;
constexpr std::size_t macBytes = 16;
constexpr std::size_t nonceBytes = 16;

using Nonce = std::array<std::uint8_t, nonceBytes>;

class WireKey {
public:
    // Takes 64 hex digits. Errors: WireError::BadKey.
    static Result<WireKey> fromHex(std::string_view hex);

    // The key for one use; the parts are hashed with their lengths.
    WireKey derive(std::initializer_list<std::string_view> parts) const;

    // Authentication code over the parts in order.
    std::array<char, macBytes> mac(std::initializer_list<std::string_view> parts) const;

    // Compares in constant time.
    bool verify(std::string_view mac, std::initializer_list<std::string_view> parts) const;

private:
    std::array<unsigned char, keyBytes> bytes_ {};
};

// From the system's random source.
Nonce randomNonce();

} // namespace jj
