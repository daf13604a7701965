// XXH3 behind the project's own names.
#include "base/Hash.h"

#include <xxhash.h>

namespace jj {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mixHash(std::uint64_t first, std::uint64_t second)
{
    const std::uint64_t pair[] = { first, second };
    return XXH3_64bits(pair, sizeof pair);
}

Digest hash128(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return { hash.high64, hash.low64 };
}

} // namespace jj
