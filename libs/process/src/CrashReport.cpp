// Handlers of the signals and of std::terminate() that end a process by its own fault.
#include "process/CrashReport.h"

#include "process/FinalLine.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>

namespace jj {

namespace {

    struct FatalSignal {
        int number_;
        const char* name_;
    };

    constexpr std::array<FatalSignal, 5> fatalSignals { { { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" }, { SIGILL, "SIGILL" }, { SIGFPE, "SIGFPE" }, { SIGABRT, "SIGABRT" } } };

    // A stack that overflowed has no room for the handler.
    constexpr std::size_t handlerStackBytes = std::size_t { 32 } * 1024;
    alignas(16) std::array<char, handlerStackBytes> handlerStack;

    // SA_RESETHAND has restored the default action, so that the signal ends the process.
    void onFatalSignal(int number)
    {
        for (const FatalSignal& one : fatalSignals) {
            if (one.number_ == number)
                writeFinalLine("crashed", "signal", one.name_);
        }
        ::raise(number);
    }

    [[noreturn]] void onTerminate()
    {
        try {
            if (const std::exception_ptr current = std::current_exception())
                std::rethrow_exception(current);
            writeFinalLine("crashed", "error", "terminated without an exception");
        } catch (const std::exception& exception) {
            writeFinalLine("crashed", "error", exception.what());
        } catch (...) {
            writeFinalLine("crashed", "error", "an exception of an unknown type");
        }
        std::abort();
    }

} // namespace

void reportCrashes() noexcept
{
    std::set_terminate(onTerminate);
    stack_t stack = {};
    stack.ss_sp = handlerStack.data();
    stack.ss_size = handlerStack.size();
    stack_t present = {};
    if (::sigaltstack(nullptr, &present) == 0 && (present.ss_flags & SS_DISABLE) != 0)
        ::sigaltstack(&stack, nullptr);
    for (const FatalSignal& one : fatalSignals) {
        struct sigaction installed = {};
        if (::sigaction(one.number_, nullptr, &installed) != 0 || installed.sa_handler != SIG_DFL)
            continue;
        struct sigaction action = {};
        action.sa_handler = onFatalSignal;
        action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_ONSTACK | SA_NODEFER;
        ::sigemptyset(&action.sa_mask);
        ::sigaction(one.number_, &action, nullptr);
    }
}

} // namespace jj
