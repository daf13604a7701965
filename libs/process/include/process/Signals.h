// Signals of a daemon, from its first instruction to its last.
//
//     takeSignals();                                   // in main(); EarlySignals.cpp does it before any initialisation
//     auto signals = ProcessSignals::create(io, [](ProcessSignal signal) { ... });
//
// SIGTERM and SIGINT ask the process to stop, SIGHUP to read its settings again. Without a ProcessSignals, a stop ends the process at
// once with exit code 0, since nothing has begun yet or everything has ended; a request to reload is kept for the next ProcessSignals.
// Other signals whose default action would end a process that has no fault of its own are ignored: a write whose reader is gone then
// returns EPIPE, one beyond the limit of a file's size EFBIG.
#pragma once

#include "base/Result.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace jj {

enum class ProcessSignal {
    Stop,
    Reload,
};

// Ignores the signals of the last paragraph, where their default action is in force. SIGQUIT, SIGTRAP, SIGSYS and real-time signals keep
// theirs: debuggers and runtimes use them.
void ignoreStraySignals() noexcept;

// Installs the handlers, and ignores stray signals. Calls no function that is unsafe before the initialisation of the C++ runtime. Called
// again in main(), it takes signals back from libraries that have changed them in their initialisation.
void takeSignals() noexcept;

// Forgets a request to reload that hasn't been handled: the settings are about to be read.
void discardReloadRequest() noexcept;

// Whether a stop was asked for and the ProcessSignals of that moment was destroyed before it called its handler.
bool isStopRequested() noexcept;

// Calls the handler on the io_context's thread. At most one exists at a time.
class ProcessSignals {
public:
    using Handler = std::function<void(ProcessSignal)>;

    // Errors: the system's, if it has no pipe.
    static Result<std::unique_ptr<ProcessSignals>> create(boost::asio::io_context& io, Handler handler);
    ~ProcessSignals();
    ProcessSignals(const ProcessSignals&) = delete;
    ProcessSignals& operator=(const ProcessSignals&) = delete;

private:
    struct State;
    explicit ProcessSignals(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace jj
