// The configuration as nodes send it to each other. It holds the fingerprints of the callers' keys, not the keys.
#pragma once

#include "base/Result.h"
#include "routes/RouteTable.h"

#include <string>
#include <string_view>

namespace jj {

std::string encode(const RouteConfig& config);
// Error: PeerError::Unreadable.
Result<RouteConfig> decodeConfig(std::string_view bytes);

} // namespace jj
