// Writes that return what the descriptor doesn't accept instead of waiting.
#include "process/NonBlockingWrite.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace jj {

void setNonBlocking(int descriptor) noexcept
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

std::error_code writeAvailable(int descriptor, std::string& buffer)
{
    if (buffer.empty())
        return {};
    const ssize_t written = ::write(descriptor, buffer.data(), buffer.size());
    if (written < 0)
        return errno == EAGAIN ? std::error_code() : std::error_code(errno, std::generic_category());
    buffer.erase(0, static_cast<std::size_t>(written));
    return {};
}

} // namespace jj
