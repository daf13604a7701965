// Writes the cause when a process ends by a fault of its own: an exception that nothing caught, or a signal that the processor or abort()
// raised. The process then ends as it would have without the report, with the same signal.
#pragma once

namespace jj {

// Leaves handlers that another runtime has installed, such as a sanitizer's.
void reportCrashes() noexcept;

} // namespace jj
