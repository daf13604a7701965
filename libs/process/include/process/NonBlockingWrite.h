// Writes to descriptors that may be full: pipes that nobody reads, terminals that are paused.
#pragma once

#include <string>
#include <system_error>

namespace jj {

// Lets writes to the descriptor fail instead of block. Has no effect on a descriptor that is closed.
void setNonBlocking(int descriptor) noexcept;

// Removes from the front of the buffer what the descriptor accepts. Errors: the system's; a descriptor that is full is none.
std::error_code writeAvailable(int descriptor, std::string& buffer);

} // namespace jj
