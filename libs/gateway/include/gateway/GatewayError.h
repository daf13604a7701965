// What can be wrong with a caller's call, each with a type; it reaches the caller as the error's code.
#pragma once

#include <system_error>

namespace jj {

enum class GatewayError : int {
    BadJson = 1, // the body isn't JSON in UTF-8
    MissingModel, // no `model` that names a service
    BadMessages, // `messages` isn't a list of objects with texts `role` and `content`
    BadMaxTokens, // `max_tokens` isn't a whole number from 1 to 1,000,000
    BadDeadline, // the Deadline header isn't a duration such as 3s or a time in UTC
    UnknownService, // no service of this name is in force
    UnknownPath, // no such call
    BadEngineAnswer, // an engine's stream isn't what its protocol says
};

std::error_code make_error_code(GatewayError error);
// The code as callers see it, such as "gateway.BadJson".
const char* codeName(GatewayError error);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::GatewayError> : std::true_type {
};
