// Validity of text that comes from outside.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace jj {

// Returns whether the bytes are well-formed UTF-8 (RFC 3629): no overlong forms, surrogates or code points over U+10FFFF.
bool isUtf8(std::string_view bytes);

// Returns the text with U+FFFD in place of each byte that belongs to no well-formed sequence.
std::string toUtf8(std::string_view bytes);

// Returns the start of the text, `maxBytes` at most, without a part of a character at its end.
std::string_view utf8Prefix(std::string_view text, std::size_t maxBytes);

} // namespace jj
