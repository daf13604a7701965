// A serving node: everything that the platform's daemon process runs.
//
//     auto node = ServingNode::create(settings, translation, source);
//     if (!node) ...
//     node.value()->run();      // returns after SIGTERM has stopped the node
//
// On SIGTERM the node drains within its grace period without interrupting requests: it hands its jobs over to other nodes,
// answers the open requests, and then run() returns. The readiness check fails as soon as the signal arrives. On SIGHUP the node
// reloads its settings from their source.
#pragma once

#include "base/Result.h"
#include "serving/ServingSettings.h"
#include "serving/Translation.h"

#include <functional>
#include <memory>

namespace jj {

enum class ServingError : int {
    KeyUnreadable = 1, // the key file is unreadable or does not hold 64 hex digits
    PeersListenFailed,
    CallersListenFailed,
    ReadyListenFailed,
    MetricsListenFailed,
    BadSeed,
    SignalsUnavailable, // the system has no pipe for them
    SettingsRefused,
    StopRequested, // before the node had started
};

std::error_code make_error_code(ServingError error);

// Reads the text of the settings; fails with the system's error. A file that is being written may be read in part.
using SettingsSource = std::function<Result<std::string>()>;

class ServingNode {
public:
    static Checked<std::unique_ptr<ServingNode>> create(const ServingSettings& settings, const Translation& translation, SettingsSource source);
    ~ServingNode();
    ServingNode(const ServingNode&) = delete;
    ServingNode& operator=(const ServingNode&) = delete;

    void run();

private:
    struct Parts;
    explicit ServingNode(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::ServingError> : std::true_type {
};
