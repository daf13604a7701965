// Text form of endpoints.
#include "wire/PeerAddress.h"

#include "base/Error.h"
#include "base/Hash.h"

#include <charconv>

namespace jj {

namespace {

    // Takes a decimal number up to `max` from the front of the text.
    bool takeNumber(std::string_view& text, std::uint32_t max, std::uint32_t& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || value > max)
            return false;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return true;
    }

    bool takeChar(std::string_view& text, char wanted)
    {
        if (text.empty() || text.front() != wanted)
            return false;
        text.remove_prefix(1);
        return true;
    }

} // namespace

Result<PeerAddress> PeerAddress::parse(std::string_view text)
{
    constexpr int octets = 4;
    PeerAddress endpoint;
    for (int i = 0; i < octets; ++i) {
        std::uint32_t octet = 0;
        if ((i > 0 && !takeChar(text, '.')) || !takeNumber(text, 255, octet))
            return BaseError::BadNumber;
        endpoint.ip_ = (endpoint.ip_ << 8) | octet;
    }
    std::uint32_t port = 0;
    if (!takeChar(text, ':') || !takeNumber(text, 65535, port) || port == 0 || !text.empty())
        return BaseError::BadNumber;
    endpoint.port_ = static_cast<std::uint16_t>(port);
    return endpoint;
}

std::string PeerAddress::toString() const
{
    return std::to_string(ip_ >> 24) + '.' + std::to_string((ip_ >> 16) & 255) + '.' + std::to_string((ip_ >> 8) & 255) + '.'
        + std::to_string(ip_ & 255) + ':' + std::to_string(port_);
}

NodeId nodeIdOf(const PeerAddress& endpoint)
{
    return idFromName<NodeId>(endpoint.toString());
}

} // namespace jj
