// Texts of the wire errors.
#include "wire/Error.h"

#include <numeric>
#include <string>

namespace jj {

namespace {

    class WireCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "wire"; }
        std::string message(int value) const override
        {
            switch (static_cast<WireError>(value)) {
            case WireError::Malformed:
                return "message does not decode";
            case WireError::Oversized:
                return "message is over its length limit";
            case WireError::UnknownType:
                return "message type is not known";
            case WireError::WrongVersion:
                return "protocol version differs";
            case WireError::BadMac:
                return "message is not authentic";
            case WireError::Replayed:
                return "datagram was taken before or is too old";
            case WireError::StaleIncarnation:
                return "datagram is of an earlier incarnation of its sender";
            case WireError::WrongTarget:
                return "datagram is meant for another node";
            case WireError::NotReady:
                return "handshake is not complete";
            case WireError::UnexpectedHello:
                return "second handshake on one link";
            case WireError::BadKey:
                return "the fleet's key must be 64 hex digits";
            }
            return "unknown wire error";
        }
    };

} // namespace

std::error_code make_error_code(WireError error)
{
    static const WireCategory category;
    return { static_cast<int>(error), category };
}

std::uint64_t WireErrorCounts::total() const
{
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t { 0 });
}

} // namespace jj
