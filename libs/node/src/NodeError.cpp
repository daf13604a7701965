// Texts of the node's own errors.
#include "node/Node.h"

namespace jj {

namespace {

    class NodeCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "node"; }
        std::string message(int value) const override
        {
            switch (static_cast<NodeError>(value)) {
            case NodeError::KeyUnreadable:
                return "the key file must hold 64 hex digits";
            case NodeError::TokenUnreadable:
                return "the token file can't be read or is empty";
            case NodeError::PeersListenFailed:
                return "peers-listen can't be listened on by TCP and UDP";
            case NodeError::CallersListenFailed:
                return "callers' address can't be listened on";
            case NodeError::OperatorsListenFailed:
                return "operators' address can't be listened on";
            case NodeError::EventsUnwritable:
                return "the events file can't be written";
            case NodeError::CoreRefused:
                return "a core refused its settings";
            case NodeError::SignalsUnavailable:
                return "signals can't be handled";
            case NodeError::StartFailed:
                return "the start failed";
            case NodeError::SettingsRefused:
                return "the settings are refused";
            case NodeError::StopRequested:
                return "stopped before the start";
            }
            return "unknown node error";
        }
    };

} // namespace

std::error_code make_error_code(NodeError error)
{
    static const NodeCategory category;
    return { static_cast<int>(error), category };
}

} // namespace jj
