// Standard input, output and error of a daemon.
#pragma once

namespace jj {

// Opens the null device on those of the three descriptors that are closed: otherwise the next socket would get one of them, and log lines
// would be sent to whoever is at its other end. Makes writes to the other two non-blocking, since nobody may be reading them.
// Call it before anything else is opened.
void prepareStandardStreams() noexcept;

} // namespace jj
