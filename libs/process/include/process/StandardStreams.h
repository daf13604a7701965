// Standard input, output and error of a daemon.
#pragma once

#include <string_view>

namespace jj {

// Opens the null device on those of the three descriptors that are closed: otherwise the next socket would get one of them, and log lines
// would be sent to whoever is at its other end. Call it before anything else is opened.
void prepareStandardStreams() noexcept;

// Writes the text, at most PIPE_BUF bytes of it, if the descriptor takes it without blocking; else drops it. Unlike setNonBlocking(), it
// changes nothing for other processes that have the descriptor from the same parent. Async-signal-safe.
void writeAtOnce(int descriptor, std::string_view text) noexcept;

} // namespace jj
