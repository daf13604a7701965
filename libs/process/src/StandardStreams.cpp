// Uses system calls alone: it runs before other initialisation and in signal handlers.
#include "process/StandardStreams.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <initializer_list>
#include <poll.h>
#include <unistd.h>

namespace jj {

void prepareStandardStreams() noexcept
{
    for (const int descriptor : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
        // open() returns the lowest free descriptor, which is this one.
        if (::fcntl(descriptor, F_GETFD) < 0 && errno == EBADF && ::open("/dev/null", O_RDWR) != descriptor)
            return;
    }
}

void writeAtOnce(int descriptor, std::string_view text) noexcept
{
    pollfd writable { descriptor, POLLOUT, 0 };
    if (::poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0)
        return;
    // A pipe that is writable takes so much without blocking.
    [[maybe_unused]] const ssize_t written = ::write(descriptor, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
}

} // namespace jj
