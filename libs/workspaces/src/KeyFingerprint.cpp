// Hashes with a fixed key, which separates these hashes from all other uses of BLAKE2b.
#include "workspaces/KeyFingerprint.h"

#include <sodium.h>

namespace jj {

namespace {

    constexpr std::string_view hashKey = "jayjunction caller key";
    constexpr std::size_t shortBytes = 4;

    const unsigned char* asUnsigned(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

KeyFingerprint KeyFingerprint::of(std::string_view key)
{
    Bytes bytes {};
    crypto_generichash(bytes.data(), bytes.size(), asUnsigned(key), key.size(), asUnsigned(hashKey), hashKey.size());
    return KeyFingerprint(bytes);
}

std::string KeyFingerprint::shortText() const
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t position = 0; position < shortBytes; ++position) {
        text.push_back(digits[bytes_[position] >> 4U]);
        text.push_back(digits[bytes_[position] & 15U]);
    }
    return text;
}

} // namespace jj
