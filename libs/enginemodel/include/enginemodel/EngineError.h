// Why an engine doesn't do what it is asked.
#pragma once

#include <system_error>

namespace jj {

enum class EngineError : int {
    Refused = 1, // the refuse switch is on; the stream has not begun
    TooLarge, // prompt and answer never fit the engine's KV memory
    DuplicateStream, // a stream with this id is open
    UnknownStream, // no open stream has this id
    UnknownHandle, // no KV state is kept under this handle, or it is of another position
    BadPosition, // a stream can't start at this position, or has no KV state to export yet
    Down, // the engine has crashed and was not restarted
    StaleFencing, // an order with a fencing number below the highest seen
    OrderExpired, // an order that arrived after its own expiry
};

std::error_code make_error_code(EngineError error);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::EngineError> : std::true_type {
};
