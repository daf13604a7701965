// The program of a daemon: takes signals, and then loads the daemon from a module.
//
// While the dynamic linker maps a program and its libraries, no code of the program runs and a signal has its default action: SIGHUP ends
// the process. A launcher needs the C library alone, so this time is short, however many libraries the daemon has. While the module is being
// loaded, SIGHUP is ignored, since no settings have been read, and SIGTERM ends the process with exit code 0. The module takes signals over
// (see Signals.h).
//
// The module is the file that the environment variable JAYJUNCTION_MODULE names, or else JJ_DAEMON_MODULE in the program's folder. A
// supervisor may give the process another view of the files, in which the program's folder isn't found.
#include "process/DaemonEntry.h"
#include "process/FinalLine.h"
#include "process/StraySignals.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <dlfcn.h>
#include <unistd.h>

namespace {

constexpr timespec loadRetryDelay { 1, 0 };

void onStop(int /*number*/)
{
    jj::writeFinalLine("stopped", "during", "loading");
    ::_exit(0);
}

void install(int number, void (*handler)(int))
{
    struct sigaction action = {};
    ::sigemptyset(&action.sa_mask);
    action.sa_flags = SA_RESTART;
    action.sa_handler = handler;
    ::sigaction(number, &action, nullptr);
}

void takeEarlySignals()
{
    install(SIGHUP, SIG_IGN);
    install(SIGTERM, onStop);
    install(SIGINT, onStop);
    jj::ignoreStraySignals();
    // Whoever started the process may have blocked them, which is inherited.
    sigset_t taken = {};
    ::sigemptyset(&taken);
    ::sigaddset(&taken, SIGTERM);
    ::sigaddset(&taken, SIGINT);
    ::sigprocmask(SIG_UNBLOCK, &taken, nullptr);
}

#ifdef JJ_SANITIZED
// The sanitizers' runtime is itself initialised from .preinit_array, in an unspecified order.
constexpr int earliestPriority = 101;
__attribute__((constructor(earliestPriority))) void takeSignalsAtStart() { takeEarlySignals(); }
#else
void takeSignalsAtStart(int /*argc*/, char** /*argv*/, char** /*environment*/)
{
    takeEarlySignals();
}

// Runs before the initialisation of the C library and of preloaded ones.
__attribute__((section(".preinit_array"), used)) void (*const takeSignalsEntry)(int, char**, char**) = takeSignalsAtStart;
#endif

// Returns null if the module can't be loaded now.
jj::DaemonEntry* loadDaemon()
{
    const char* const path = std::getenv("JAYJUNCTION_MODULE");
    void* module = path ? ::dlopen(path, RTLD_LAZY | RTLD_LOCAL) : nullptr;
    if (!module)
        module = ::dlopen(JJ_DAEMON_MODULE, RTLD_LAZY | RTLD_LOCAL);
    return module ? reinterpret_cast<jj::DaemonEntry*>(::dlsym(module, jj::daemonEntryName)) : nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    for (;;) {
        if (jj::DaemonEntry* const entry = loadDaemon())
            return entry(argc, argv);
        // A file may be missing or incomplete while an upgrade replaces it, and the system may be short of descriptors or memory.
        const char* const cause = ::dlerror();
        jj::writeFinalLine("startDelayed", "cause", cause ? cause : "unknown");
        ::nanosleep(&loadRetryDelay, nullptr);
    }
}
