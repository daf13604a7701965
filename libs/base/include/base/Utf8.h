// Validity of text that comes from outside.
#pragma once

#include <string_view>

namespace jj {

// Returns whether the bytes are well-formed UTF-8 (RFC 3629): no overlong forms, surrogates or code points over U+10FFFF.
bool isUtf8(std::string_view bytes);

} // namespace jj
