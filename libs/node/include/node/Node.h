// One node of jayjunction: everything that the daemon `jjnode` runs.
//
//     auto node = Node::create(settings);      // startNode() tries again what may pass
//     if (!node) ...
//     node.value()->run();      // until SIGTERM or a drain has ended it
//
// The node starts threads of its own and no other process. A drain takes it out without cutting off a request: it is not ready at once,
// its leaving mark spreads, open streams end, leases are given back, and then run() returns.
#pragma once

#include "base/Endpoint.h"
#include "base/Result.h"
#include "settings/NodeSettings.h"

#include <memory>

namespace jj {

enum class NodeError : int {
    KeyUnreadable = 1, // the key file can't be read or isn't 64 hex digits
    TokenUnreadable,
    PeersListenFailed,
    CallersListenFailed,
    OperatorsListenFailed,
    EventsUnwritable,
    CoreRefused, // a core refused its settings
    SignalsUnavailable, // the system has no pipe for them
    StartFailed, // an exception of the system or a library
    SettingsRefused,
    StopRequested, // before the node had started
};

std::error_code make_error_code(NodeError error);

struct NodeAddresses {
    Endpoint callers_;
    Endpoint operators_;
    Endpoint peers_;
};

class Node {
public:
    // From here on SIGTERM and SIGINT begin a drain; SIGHUP is logged and has no effect. At most one node exists at a time.
    static Checked<std::unique_ptr<Node>> create(const NodeSettings& settings);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Where it listens, with the ports that the system chose.
    NodeAddresses addresses() const;
    // Returns when the node has ended.
    void run();
    // From any thread; again is harmless.
    void drain();

private:
    struct Parts;
    explicit Node(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts_;
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::NodeError> : std::true_type {
};
