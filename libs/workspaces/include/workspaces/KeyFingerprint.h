// The fingerprint of a caller's API key: what tables, messages and logs hold in place of the key.
//
//     const KeyFingerprint fingerprint = KeyFingerprint::of(key);
//     log.with("key", fingerprint.shortText());
//
// A fingerprint is a keyed BLAKE2b hash of 16 bytes from libsodium. It is the same in every process of the fleet, so that hosts can exchange
// it, and the key can't be computed from it. Lookups compare fingerprints, so their timing says nothing about a key.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace jj {

class KeyFingerprint {
public:
    static constexpr std::size_t size = 16;
    using Bytes = std::array<unsigned char, size>;

    KeyFingerprint() = default;
    explicit KeyFingerprint(const Bytes& bytes)
        : bytes_(bytes)
    {
    }

    static KeyFingerprint of(std::string_view key);

    const Bytes& bytes() const { return bytes_; }
    // Returns the first 4 bytes as hex digits, enough for an operator to tell keys apart.
    std::string shortText() const;

    friend auto operator<=>(const KeyFingerprint&, const KeyFingerprint&) = default;

private:
    Bytes bytes_ {};
};

} // namespace jj

template <>
struct std::hash<jj::KeyFingerprint> {
    std::size_t operator()(const jj::KeyFingerprint& fingerprint) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, fingerprint.bytes().data(), sizeof value);
        return value;
    }
};
