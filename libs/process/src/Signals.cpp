#include "process/Signals.h"

#include <csignal>
#include <initializer_list>

namespace jj {

void ignoreStraySignals() noexcept
{
    struct sigaction action = {};
    ::sigemptyset(&action.sa_mask);
    action.sa_handler = SIG_IGN;
    // SIGTTOU and SIGTTIN stop a process that uses a terminal from the background.
    for (const int number : { SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGTTOU, SIGTTIN })
        ::sigaction(number, &action, nullptr);
}

} // namespace jj
