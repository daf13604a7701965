// Signals whose default action would end a process that has no fault of its own.
#pragma once

namespace jj {

// Ignores them: a write whose reader is gone then returns EPIPE, one beyond the limit of a file's size EFBIG.
void ignoreStraySignals() noexcept;

} // namespace jj
