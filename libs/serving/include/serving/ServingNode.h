// One serving node: everything that a platform's daemon runs.
//
//     auto node = ServingNode::create(settings, translation);
//     if (!node) ...
//     node.value()->run();      // until SIGTERM has ended it
//
// SIGTERM takes the node out without cutting off a request: it is not ready at once, gives its jobs to other nodes, answers what it
// has, and then run() returns. SIGHUP reads the settings again, where `reload` gives them.
#pragma once

#include "base/Result.h"
#include "serving/ServingSettings.h"
#include "serving/Translation.h"

#include <functional>
#include <memory>

namespace jj {

enum class ServingError : int {
    KeyUnreadable = 1, // the key file can't be read or isn't 64 hex digits
    PeersListenFailed,
    CallersListenFailed,
    ReadyListenFailed,
    MetricsListenFailed,
    BadSeed,
};

std::error_code make_error_code(ServingError error);

class ServingNode {
public:
    using Reload = std::function<Audited<ServingSettings>()>;

    static Checked<std::unique_ptr<ServingNode>> create(const ServingSettings& settings, const Translation& translation, Reload reload);
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
