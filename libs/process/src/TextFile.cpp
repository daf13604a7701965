// A file that can't be read is an error of the system, never an exception.
#include "process/TextFile.h"

#include <cerrno>
#include <fstream>
#include <sstream>

namespace jj {

Result<std::string> readTextFile(const std::string& path)
{
    errno = 0;
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        return errno != 0 ? std::error_code(errno, std::generic_category()) : std::make_error_code(std::errc::io_error);
    // Iterators over the buffer would throw if reading fails.
    std::ostringstream text;
    text << file.rdbuf();
    if (!text || text.view().empty())
        return std::make_error_code(std::errc::io_error);
    return std::move(text).str();
}

} // namespace jj
