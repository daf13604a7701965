// Checks of a job's items before the job is accepted: each item is sent to engines as a request of its own.
#pragma once

#include "ledger/Acceptor.h"

#include <cstddef>
#include <optional>
#include <string>

namespace jj {

struct ItemFault {
    int status_ = 0; // of the answer to the job
    std::string code_;
    std::string message_; // names item and field, and the limit if one is exceeded
};

// Returns the first fault of an item that can't be sent as a request. `headerLimit`: maximum size of a request's header, in bytes.
std::optional<ItemFault> findItemFault(const JobSubmission& job, std::size_t headerLimit);

} // namespace jj
