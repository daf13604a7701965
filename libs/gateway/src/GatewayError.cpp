// Texts and names of the gateway's errors.
#include "gateway/GatewayError.h"

#include <string>

namespace jj {

namespace {

    struct ErrorText {
        const char* code_;
        const char* text_;
    };

    ErrorText textOf(GatewayError error)
    {
        switch (error) {
        case GatewayError::BadJson:
            return { "gateway.BadJson", "the body is not JSON in UTF-8" };
        case GatewayError::MissingModel:
            return { "gateway.MissingModel", "'model' must name a service" };
        case GatewayError::BadMessages:
            return { "gateway.BadMessages", "'messages' must be a list of objects with texts 'role' and 'content'" };
        case GatewayError::BadMaxTokens:
            return { "gateway.BadMaxTokens", "'max_tokens' must be a whole number from 1 to 1000000" };
        case GatewayError::BadDeadline:
            return { "gateway.BadDeadline", "Deadline must be a duration such as 500ms, 3s, 2h or a time such as 2026-12-04T16:00:00Z" };
        case GatewayError::UnknownService:
            return { "gateway.UnknownService", "no service of this name" };
        case GatewayError::UnknownPath:
            return { "gateway.UnknownPath", "no such call" };
        case GatewayError::BadEngineAnswer:
            return { "gateway.BadEngineAnswer", "the engine's stream breaks its protocol" };
        }
        return { "gateway.Unknown", "unknown gateway error" };
    }

    class GatewayCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "gateway"; }
        std::string message(int value) const override { return textOf(static_cast<GatewayError>(value)).text_; }
    };

} // namespace

std::error_code make_error_code(GatewayError error)
{
    static const GatewayCategory category;
    return { static_cast<int>(error), category };
}

const char* codeName(GatewayError error) { return textOf(error).code_; }

} // namespace jj
