// What can be wrong with bytes from another node, and the counters that operators see.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <system_error>

namespace jj {

enum class WireError : int {
    Malformed = 1, // the payload doesn't decode to its type, or a value is out of range
    Oversized, // longer than the limit
    UnknownType, // a message type that this version doesn't know
    WrongVersion, // another protocol version
    BadMac, // wrong key, or bytes changed, left out, repeated or reordered on a link
    Replayed, // a datagram that was taken before, or is older than the replay window
    StaleIncarnation, // a datagram of an incarnation that its sender has left behind
    WrongTarget, // a datagram that is meant for another node
    NotReady, // the link's handshake isn't complete
    UnexpectedHello, // a second handshake on one link
    BadKey, // the fleet's key in the settings isn't 64 hex digits
};

constexpr std::size_t wireErrorCount = 11;

std::error_code make_error_code(WireError error);

// Count of each error since the start; a metric each.
class WireErrorCounts {
public:
    std::uint64_t of(WireError error) const { return counts_[index(error)]; }
    std::uint64_t total() const;

    // Counts the error and gives it back, for `return counts.count(WireError::BadMac)`.
    WireError count(WireError error)
    {
        ++counts_[index(error)];
        return error;
    }

private:
    static std::size_t index(WireError error) { return static_cast<std::size_t>(error) - 1; }

    std::array<std::uint64_t, wireErrorCount> counts_ {};
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::WireError> : std::true_type {
};
