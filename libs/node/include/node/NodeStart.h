// Starts a node, and tries again for as long as what prevents it may pass.
//
//     auto node = startNode([&] { return readTextFile(path); });
//     if (!node) ...                 // SettingsRefused, CoreRefused or StopRequested
//     node.value()->run();
//
// Each attempt reads the settings anew and opens the log that they name; until they could be read, the log is standard error. Each wait is
// a line in the log with its cause. A SIGTERM during a wait ends the process at once with 0.
#pragma once

#include "node/Node.h"

#include <functional>
#include <string>

namespace jj {

// The text of the settings. Errors: the system's.
using NodeSettingsSource = std::function<Result<std::string>()>;

// Returns a node, or why there will be none: the settings are refused, with their faults as the detail, or the process is to stop.
Checked<std::unique_ptr<Node>> startNode(const NodeSettingsSource& source);

} // namespace jj
