// Texts of the shared errors.
#include "base/Error.h"

#include <string>

namespace jj {

namespace {

    class BaseCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "base"; }
        std::string message(int value) const override
        {
            switch (static_cast<BaseError>(value)) {
            case BaseError::Overflow:
                return "value does not fit its unit";
            case BaseError::BadUtf8:
                return "text is not valid UTF-8";
            case BaseError::BadNumber:
                return "text is not a number in range";
            case BaseError::TooLarge:
                return "input is over its limit";
            case BaseError::Closed:
                return "the other side is gone";
            case BaseError::TimedOut:
                return "no progress within the bound";
            }
            return "unknown base error";
        }
    };

} // namespace

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "notRun";
    case RunState::Ran:
        return "ran";
    case RunState::OutcomeUnknown:
        return "outcomeUnknown";
    }
    return "unknown";
}

std::error_code make_error_code(BaseError error)
{
    static const BaseCategory category;
    return { static_cast<int>(error), category };
}

} // namespace jj
