// Errors that several libraries share, and the pattern that each library's own error enum follows: an enum class, a category,
// make_error_code, and the std::is_error_code_enum specialization, so that the enum converts to std::error_code.
#pragma once

#include <cstdint>
#include <string_view>
#include <system_error>

namespace jj {

// Whether a request took effect upstream, as reported to its caller.
enum class RunState : std::uint8_t {
    NotRun, // no byte of the request can have reached an upstream
    Ran, // the upstream answered
    OutcomeUnknown, // bytes were sent and no answer came
};

std::string_view toString(RunState state);

enum class BaseError : int {
    Overflow = 1, // a value doesn't fit its unit
    BadUtf8, // text from outside isn't UTF-8
    BadNumber, // text from outside isn't a number in range
    TooLarge, // input over its limit
    Closed, // the other side is gone
    TimedOut, // no progress within the bound
};

std::error_code make_error_code(BaseError error);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::BaseError> : std::true_type {
};
