// Hashing that gives the same number in every process and build (XXH3), for ids, rendezvous hashing and digests.
// It is not cryptographic: keys that an attacker must not forge use libsodium in `wire`.
#pragma once

#include <cstdint>
#include <string_view>

namespace jj {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes into one; the order counts.
std::uint64_t mixHash(std::uint64_t first, std::uint64_t second);

// 128-bit digest as 32 lower-case hex digits; wide enough to name content.
struct Digest {
    std::uint64_t high_ = 0;
    std::uint64_t low_ = 0;
};
Digest hash128(std::string_view bytes);

// The id of a thing that is known by its name, such as a service or a workspace. Never gives the id `none`.
template <class IdType>
IdType idFromName(std::string_view name)
{
    return IdType(static_cast<typename IdType::Value>(hash64(name) >> 1));
}

} // namespace jj
