// Texts of the engine's errors.
#include "enginemodel/EngineError.h"

#include <string>

namespace jj {

namespace {

    class EngineCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "engine"; }
        std::string message(int value) const override
        {
            switch (static_cast<EngineError>(value)) {
            case EngineError::Refused:
                return "engine refuses new streams";
            case EngineError::TooLarge:
                return "stream never fits the engine's KV memory";
            case EngineError::DuplicateStream:
                return "a stream with this id is open";
            case EngineError::UnknownStream:
                return "no open stream has this id";
            case EngineError::UnknownHandle:
                return "no KV state under this handle for this position";
            case EngineError::BadPosition:
                return "position outside the stream";
            case EngineError::Down:
                return "engine is down";
            case EngineError::StaleFencing:
                return "fencing number is below the highest seen";
            case EngineError::OrderExpired:
                return "order arrived after its expiry";
            }
            return "unknown engine error";
        }
    };

} // namespace

std::error_code make_error_code(EngineError error)
{
    static const EngineCategory category;
    return { static_cast<int>(error), category };
}

} // namespace jj
