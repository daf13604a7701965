// The loop of attempts. What a failed attempt has opened is closed before the next one.
#include "node/NodeStart.h"

#include "process/FinalLine.h"
#include "process/Signals.h"
#include "process/StartRetry.h"
#include "telemetry/Log.h"

#include <boost/algorithm/string/trim.hpp>
#include <thread>

namespace jj {

namespace {

    Failure refuse(std::error_code code, std::string faults)
    {
        Log("node").error("settingsRefused", { { "faults", faults } });
        return { code, std::move(faults) };
    }

    void openLog(const NodeSettings& settings)
    {
        const std::string host = settings.peersListen_.toString();
        setFinalLineHost(host);
        startLogs(settings.log_, host);
    }

} // namespace

Checked<std::unique_ptr<Node>> startNode(const NodeSettingsSource& source)
{
    startLogs(LogSettings(), {});
    StartRetry retry;
    for (;;) {
        std::string cause;
        // A request to reload that comes from here on is kept for the node, which logs it.
        discardReloadRequest();
        if (const auto text = source(); !text) {
            cause = "the settings can't be read: " + text.error().message();
        } else if (const auto settings = parseNodeSettings(text.value()); !settings) {
            cause = boost::algorithm::trim_copy(describe(settings.error()));
            if (retry.recordRefusal(text.value(), SystemClock().now()))
                return refuse(NodeError::SettingsRefused, cause);
        } else {
            openLog(settings.value());
            auto node = Node::create(settings.value());
            if (node)
                return node;
            cause = node.error().message();
            if (node.error().code_ == NodeError::CoreRefused)
                return refuse(NodeError::CoreRefused, cause);
        }
        if (isStopRequested())
            return Failure { NodeError::StopRequested, {} };
        const Duration delay = retry.nextDelay();
        Log("node").warn("startDelayed", { { "cause", cause }, { "retryMs", delay / 1ms } });
        std::this_thread::sleep_for(delay);
    }
}

} // namespace jj
