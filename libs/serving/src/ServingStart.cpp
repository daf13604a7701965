// The loop of attempts. What a failed attempt has opened is closed before the next one.
#include "serving/ServingStart.h"

#include "DecisionLog.h"
#include "process/FinalLine.h"
#include "process/Signals.h"
#include "process/StartRetry.h"

#include <boost/algorithm/string/trim.hpp>
#include <thread>
#include <unistd.h>

namespace jj {

namespace {

    constexpr std::uint32_t linesPerSecond = 100;

    // Starts are rare, so each line has a log of its own. The host is unknown until the settings have been read.
    DecisionLog logOf(const std::string& host) { return { host, linesPerSecond, STDOUT_FILENO }; }

    void logDelay(const std::string& host, const std::string& cause, Duration retry)
    {
        DecisionLog log = logOf(host);
        log.line("startDelayed").with("cause", cause).with("retryMs", retry);
        log.flush();
    }

    Failure refuse(const std::string& host, std::string faults)
    {
        DecisionLog log = logOf(host);
        log.line("settingsRefused").with("faults", faults);
        log.flush();
        return { ServingError::SettingsRefused, std::move(faults) };
    }

    Checked<std::unique_ptr<ServingNode>> createNode(const ServingSettings& settings, const Translation& translation, const SettingsSource& source)
    {
        // The system refuses an event queue, a thread or memory by exceptions.
        try {
            return ServingNode::create(settings, translation, source);
        } catch (const std::exception& exception) {
            return Failure { ServingError::StartFailed, exception.what() };
        }
    }

} // namespace

Checked<std::unique_ptr<ServingNode>> startServing(const SettingsSource& source, const Translation& translation)
{
    StartRetry retry;
    for (;;) {
        std::string host;
        std::string cause;
        // A request to reload that comes from here on is kept for the node.
        discardReloadRequest();
        if (const auto text = source(); !text) {
            cause = "the settings can't be read: " + text.error().message();
        } else if (const auto settings = parseServingSettings(text.value()); !settings) {
            cause = boost::algorithm::trim_copy(describe(settings.error()));
            if (retry.recordRefusal(text.value(), SystemClock().now()))
                return refuse(host, cause);
        } else {
            host = settings.value().name_;
            setFinalLineHost(host);
            auto node = createNode(settings.value(), translation, source);
            if (node)
                return node;
            cause = node.error().message();
        }
        if (isStopRequested())
            return Failure { ServingError::StopRequested, {} };
        const Duration delay = retry.nextDelay();
        logDelay(host, cause, delay);
        std::this_thread::sleep_for(delay);
    }
}

} // namespace jj
