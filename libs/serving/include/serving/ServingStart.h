// Starts a serving node, and tries again for as long as what prevents it may pass.
//
//     auto node = startServing([&] { return readTextFile(path); }, translation);
//     if (!node) ...                 // ServingError::SettingsRefused or ServingError::StopRequested
//     node.value()->run();
//
// Each attempt reads the settings anew. Each wait is a line in the log with its cause.
#pragma once

#include "serving/ServingNode.h"

namespace jj {

// Returns a node, or why there will be none: the settings are refused, with their faults as the detail, or the process is to stop.
Checked<std::unique_ptr<ServingNode>> startServing(const SettingsSource& source, const Translation& translation);

} // namespace jj
