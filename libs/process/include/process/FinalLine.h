// The last line of a log, written while no other code of the process can be trusted to run: in a signal handler, or after an exception
// that nothing caught.
#pragma once

#include <string_view>

namespace jj {

// Names the host in later final lines. Not safe beside writeFinalLine() on another thread.
void setFinalLineHost(std::string_view host) noexcept;

// Writes one JSON line with time, host, event and one field to standard output, or drops it if that would block. Values over 200 bytes
// are cut; bytes that would need an escape are replaced. Async-signal-safe.
void writeFinalLine(std::string_view event, std::string_view key, std::string_view value) noexcept;

} // namespace jj
