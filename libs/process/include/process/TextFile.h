// Reads a small file whole, such as a settings file.
#pragma once

#include "base/Result.h"

#include <string>

namespace jj {

// Errors: the system's; io_error for a file without a byte, which is one that is about to be written.
Result<std::string> readTextFile(const std::string& path);

} // namespace jj
