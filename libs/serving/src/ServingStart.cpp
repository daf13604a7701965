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

    void logDelay(DecisionLog& log, const std::string& host, const std::string& cause, Duration retry)
    {
        log.setHost(host);
        log.line("startDelayed").with("cause", cause).with("retryMs", retry);
        log.flush();
    }

    Failure refuse(DecisionLog& log, std::string faults)
    {
        log.setHost({});
        log.line("settingsRefused").with("faults", faults);
        log.finish();
        return { ServingError::SettingsRefused, std::move(faults) };
    }

    struct Attempt {
        std::unique_ptr<ServingNode> node_; // null if it failed
        std::string host_; // empty until the settings have been read
        std::string cause_; // of the failure
        bool isRefused_ = false; // and the refusal of the settings stands
    };

    Attempt attemptStart(const SettingsSource& source, const Translation& translation, StartRetry& retry)
    {
        Attempt attempt;
        const auto text = source();
        if (!text) {
            attempt.cause_ = "the settings can't be read: " + text.error().message();
            return attempt;
        }
        const auto settings = parseServingSettings(text.value());
        if (!settings) {
            attempt.cause_ = boost::algorithm::trim_copy(describe(settings.error()));
            attempt.isRefused_ = retry.recordRefusal(text.value(), SystemClock().now());
            return attempt;
        }
        attempt.host_ = settings.value().name_;
        setFinalLineHost(attempt.host_);
        auto node = ServingNode::create(settings.value(), translation, source);
        if (node)
            attempt.node_ = std::move(node.value());
        else
            attempt.cause_ = node.error().message();
        return attempt;
    }

    // The system refuses an event queue, a thread or memory by exceptions.
    Attempt attemptStartSafely(const SettingsSource& source, const Translation& translation, StartRetry& retry)
    {
        try {
            return attemptStart(source, translation, retry);
        } catch (const std::exception& exception) {
            return { {}, {}, exception.what() };
        }
    }

} // namespace

Checked<std::unique_ptr<ServingNode>> startServing(const SettingsSource& source, const Translation& translation)
{
    DecisionLog log({}, linesPerSecond, STDOUT_FILENO);
    StartRetry retry;
    for (;;) {
        // A request to reload that comes from here on is kept for the node.
        discardReloadRequest();
        Attempt attempt = attemptStartSafely(source, translation, retry);
        if (attempt.node_) {
            log.finish();
            return std::move(attempt.node_);
        }
        if (attempt.isRefused_)
            return refuse(log, std::move(attempt.cause_));
        if (isStopRequested())
            return Failure { ServingError::StopRequested, {} };
        const Duration delay = retry.nextDelay();
        logDelay(log, attempt.host_, attempt.cause_, delay);
        std::this_thread::sleep_for(delay);
    }
}

} // namespace jj
