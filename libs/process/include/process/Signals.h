// Signals of a daemon, from its first instruction to its last.
//
//     takeSignals();                                   // first, since the launcher has taken them only for the time of loading
//     auto signals = ProcessSignals::create(io, [](ProcessSignal signal) { ... });
//
// SIGTERM and SIGINT ask the process to stop, SIGHUP to read its settings again. Without a ProcessSignals, a stop ends the process at
// once with exit code 0, since nothing has begun yet or everything has ended; a request to reload is kept for the next ProcessSignals.
// Stray signals are ignored (see StraySignals.h).
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

// Installs the handlers, and ignores stray signals. Takes signals back from libraries that have changed them in their initialisation.
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
