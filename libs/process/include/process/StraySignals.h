// Signals whose default action would end a process that has no fault of its own.
#pragma once

namespace jj {

// Ignores them where their default action is in force: a write whose reader is gone then returns EPIPE, one beyond the limit of a file's
// size EFBIG. SIGQUIT, SIGTRAP, SIGSYS and real-time signals keep their default action: debuggers and runtimes use them.
void ignoreStraySignals() noexcept;

} // namespace jj
