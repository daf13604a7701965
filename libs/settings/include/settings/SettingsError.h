// What can be wrong with settings, each with a type. The Failure that carries one names section, key, value and what is allowed.
#pragma once

#include <system_error>

namespace jj {

enum class SettingsError : int {
    BadSyntax = 1, // the text isn't INI; the detail gives the line
    UnknownSection, // a section that nothing reads
    UnknownKey, // a key that nothing reads; the detail gives the nearest known keys of the section
    MissingKey, // a key without a default is absent
    BadValue, // the value isn't of its key's type
    OutOfRange, // the value is of the type and outside what is allowed
    UnknownName, // the value names a region, failure domain or service that isn't there
    Duplicate, // the same name or address stands twice
};

std::error_code make_error_code(SettingsError error);

} // namespace jj

template <>
struct std::is_error_code_enum<jj::SettingsError> : std::true_type {
};
