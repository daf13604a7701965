#include "process/StandardStreams.h"

#include "process/NonBlockingWrite.h"

#include <cerrno>
#include <fcntl.h>
#include <initializer_list>
#include <unistd.h>

namespace jj {

void prepareStandardStreams() noexcept
{
    for (const int descriptor : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
        // open() returns the lowest free descriptor, which is this one.
        if (::fcntl(descriptor, F_GETFD) < 0 && errno == EBADF && ::open("/dev/null", O_RDWR) != descriptor)
            return;
    }
    for (const int descriptor : { STDOUT_FILENO, STDERR_FILENO })
        setNonBlocking(descriptor);
}

} // namespace jj
