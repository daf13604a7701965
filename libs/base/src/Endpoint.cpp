// Text form of endpoints and the ids made from it.
#include "base/Endpoint.h"

#include "base/Error.h"
#include "base/Hash.h"
#include "base/Number.h"

#include <arpa/inet.h>
#include <array>

namespace jj {

namespace {

    bool isIpNumber(const std::string& text)
    {
        std::array<unsigned char, sizeof(in6_addr)> bytes {};
        return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 || inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
    }

} // namespace

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return BaseError::BadNumber;
    std::string_view address = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    const auto number = parseNumber<std::uint16_t>(port);
    const bool isV6 = address.find(':') != std::string_view::npos;
    if (!number || isV6 != bracketed || !isIpNumber(std::string(address)))
        return BaseError::BadNumber;
    return Endpoint { std::string(address), *number };
}

std::string toString(const Endpoint& endpoint)
{
    const bool isV6 = endpoint.address_.find(':') != std::string::npos;
    const std::string address = isV6 ? "[" + endpoint.address_ + "]" : endpoint.address_;
    return address + ":" + std::to_string(endpoint.port_);
}

NodeId nodeIdOf(const Endpoint& endpoint) { return idFromName<NodeId>(toString(endpoint)); }
UpstreamId upstreamIdOf(const Endpoint& endpoint) { return idFromName<UpstreamId>(toString(endpoint)); }

} // namespace jj

std::size_t std::hash<jj::Endpoint>::operator()(const jj::Endpoint& endpoint) const noexcept
{
    return jj::mixHash(jj::hash64(endpoint.address_), endpoint.port_);
}
