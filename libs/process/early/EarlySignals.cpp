// Takes signals before the initialisation of shared libraries and static objects, during which the default action of SIGHUP would end
// the process. Before this, while the dynamic linker maps the libraries, no code of a program can run.
#include "process/Signals.h"

namespace {

#ifdef JJ_SANITIZED
// The sanitizers' runtime is itself initialised from .preinit_array, in an unspecified order.
constexpr int earliestPriority = 101;
__attribute__((constructor(earliestPriority))) void takeSignalsEarly() { jj::takeSignals(); }
#else
void takeSignalsEarly(int /*argc*/, char** /*argv*/, char** /*environment*/)
{
    jj::takeSignals();
}

__attribute__((section(".preinit_array"), used)) void (*const takeSignalsEntry)(int, char**, char**) = takeSignalsEarly;
#endif

} // namespace
