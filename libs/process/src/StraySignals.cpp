// Uses system calls alone: it is also linked into launchers, which have no library but the C library.
#include "process/StraySignals.h"

#include <csignal>
#include <initializer_list>

namespace jj {

void ignoreStraySignals() noexcept
{
    // SIGTTOU and SIGTTIN stop a process that uses a terminal from the background.
    for (const int number : { SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT, SIGTTOU, SIGTTIN }) {
        struct sigaction installed = {};
        if (::sigaction(number, nullptr, &installed) != 0 || installed.sa_handler != SIG_DFL)
            continue;
        struct sigaction action = {};
        ::sigemptyset(&action.sa_mask);
        action.sa_handler = SIG_IGN;
        ::sigaction(number, &action, nullptr);
    }
}

} // namespace jj
