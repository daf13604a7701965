// Keys and authentication codes over libsodium's generic hash.
#include "wire/Key.h"

#include "wire/Error.h"

#include <sodium.h>

namespace jj {

namespace {

    const unsigned char* asUnsigned(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    class KeyedHash {
    public:
        KeyedHash(const std::array<unsigned char, keyBytes>& key, std::size_t size)
        {
            crypto_generichash_init(&state_, key.data(), key.size(), size);
        }

        void add(std::string_view part) { crypto_generichash_update(&state_, asUnsigned(part), part.size()); }
        void finish(unsigned char* out, std::size_t size) { crypto_generichash_final(&state_, out, size); }

    private:
        crypto_generichash_state state_;
    };

} // namespace

Result<WireKey> WireKey::fromHex(std::string_view hex)
{
    // The first call picks the processor's fastest hash; later calls do nothing. It fails only without a random source.
    if (sodium_init() < 0)
        return WireError::BadKey;
    WireKey key;
    std::size_t length = 0;
    const char* end = nullptr;
    const int failed = sodium_hex2bin(key.bytes_.data(), key.bytes_.size(), hex.data(), hex.size(), nullptr, &length, &end);
    if (failed != 0 || length != keyBytes || end != hex.data() + hex.size())
        return WireError::BadKey;
    return key;
}

WireKey WireKey::derive(std::initializer_list<std::string_view> parts) const
{
    WireKey derived;
    KeyedHash hash(bytes_, keyBytes);
    for (std::string_view part : parts) {
        const auto size = static_cast<std::uint32_t>(part.size());
        const char sizeBytes[] = { static_cast<char>(size), static_cast<char>(size >> 8), static_cast<char>(size >> 16), static_cast<char>(size >> 24) };
        hash.add({ sizeBytes, sizeof sizeBytes });
        hash.add(part);
    }
    hash.finish(derived.bytes_.data(), keyBytes);
    return derived;
}

std::array<char, macBytes> WireKey::mac(std::initializer_list<std::string_view> parts) const
{
    std::array<char, macBytes> out {};
    KeyedHash hash(bytes_, macBytes);
    for (std::string_view part : parts)
        hash.add(part);
    hash.finish(reinterpret_cast<unsigned char*>(out.data()), macBytes);
    return out;
}

bool WireKey::verify(std::string_view mac, std::initializer_list<std::string_view> parts) const
{
    const std::array<char, macBytes> wanted = this->mac(parts);
    return mac.size() == macBytes && sodium_memcmp(mac.data(), wanted.data(), macBytes) == 0;
}

Nonce randomNonce()
{
    Nonce nonce;
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

} // namespace jj
