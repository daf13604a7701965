// Runs an io_context whose handlers may fail.
#pragma once

#include <concepts>
#include <exception>

namespace jj {

// Runs the io_context until it is stopped or out of work. A handler that throws ends alone: onFailure is called with its exception, and the
// other handlers run on. Any number of threads may run the same io_context.
template <class Io, std::invocable<const std::exception&> OnFailure>
void runPastFailures(Io& io, OnFailure onFailure)
{
    while (!io.stopped()) {
        try {
            io.run();
        } catch (const std::exception& exception) {
            onFailure(exception);
        }
    }
}

} // namespace jj
