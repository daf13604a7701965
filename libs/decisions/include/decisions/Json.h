// Events and commands as JSON, for traces, benches in other languages and the time line.
//
// Keys are the members' names without the trailing underscore; ids are numbers, a `none` id is null; durations and times are
// integer nanoseconds; enums are their names; a variant is {"type": "RequestArrived", ...fields}.
#pragma once

#include "decisions/Commands.h"

#include "base/Result.h"

#include <string>
#include <string_view>

namespace jj {

enum class JsonError : int {
    Syntax = 1, // not JSON
    Shape, // JSON, but not of the expected shape or range
    UnknownType, // no event or command of that name
};
std::error_code make_error_code(JsonError error);

std::string toJson(const Event& event);
std::string toJson(const Command& command);
Result<Event> eventFromJson(std::string_view text);
Result<Command> commandFromJson(std::string_view text);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::JsonError> : std::true_type {
};
