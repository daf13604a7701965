// Runs what may throw, so that it ends alone and its thread goes on.
#pragma once

#include "process/FinalLine.h"

#include <concepts>
#include <exception>

namespace jj {

// Calls onFailure with an exception that leaves `run`. An exception of another type, or one that leaves onFailure, most likely for want of
// memory, is only named by a line that needs none.
template <std::invocable Run, std::invocable<const std::exception&> OnFailure>
void runPastFailure(Run&& run, OnFailure&& onFailure) noexcept
{
    try {
        try {
            run();
        } catch (const std::exception& exception) {
            onFailure(exception);
        }
    } catch (const std::exception& exception) {
        writeFinalLine("handlerFailed", "error", exception.what());
    } catch (...) {
        writeFinalLine("handlerFailed", "error", "an exception of an unknown type");
    }
}

// Runs the io_context until it is stopped or out of work. A handler that throws ends alone, and the other handlers run on. Any number of
// threads may run the same io_context.
template <class Io, std::invocable<const std::exception&> OnFailure>
void runPastFailures(Io& io, OnFailure onFailure)
{
    while (!io.stopped())
        runPastFailure([&io] { io.run(); }, onFailure);
}

} // namespace jj
