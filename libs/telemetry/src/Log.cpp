// log4cplus carries finished JSON lines; its own layouts know no JSON.
#include "telemetry/Log.h"

#include "DescriptorAppender.h"
#include "base/Utf8.h"
#include "process/StandardStreams.h"

#include <algorithm>
#include <atomic>
#include <boost/algorithm/string/replace.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cerrno>
#include <cmath>
#include <fcntl.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <map>
#include <memory>
#include <mutex>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace jj {

namespace {

    constexpr std::size_t shortestSecret = 8;
    constexpr std::string_view hiddenText = "[hidden]";

    struct LogState {
        std::unique_ptr<log4cplus::Initializer> initializer_;
        std::string host_;
        std::map<std::string, int> files_; // descriptors by path; they stay open, since a write to one may be under way
        std::mutex secretsLock_;
        std::vector<std::string> secrets_; // guarded by secretsLock_
        std::atomic<bool> hasSecrets_ = false;
    };

    LogState& state()
    {
        static LogState logState;
        return logState;
    }

    log4cplus::LogLevel nativeLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return log4cplus::TRACE_LOG_LEVEL;
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            return log4cplus::ERROR_LOG_LEVEL;
        case LogLevel::Off:
            return log4cplus::OFF_LOG_LEVEL;
        }
        return log4cplus::INFO_LOG_LEVEL;
    }

    std::string_view levelName(LogLevel level)
    {
        static constexpr std::string_view names[] = { "trace", "debug", "info", "warn", "error", "off" };
        return names[static_cast<std::size_t>(level)];
    }

    log4cplus::Logger loggerOf(std::string_view part) { return log4cplus::Logger::getInstance(std::string(part)); }

    // If the file can't be opened, lines are dropped.
    int openLogFile(const std::string& path)
    {
        if (const auto opened = state().files_.find(path); opened != state().files_.end())
            return opened->second;
        constexpr mode_t mode = 0644;
        const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
        if (descriptor < 0)
            writeAtOnce(STDERR_FILENO, path + ": " + std::error_code(errno, std::generic_category()).message() + "\n");
        else
            state().files_[path] = descriptor;
        return descriptor;
    }

    std::string withoutSecrets(std::string line)
    {
        LogState& shared = state();
        if (!shared.hasSecrets_.load(std::memory_order_acquire))
            return line;
        const std::lock_guard lock(shared.secretsLock_);
        for (const std::string& secret : shared.secrets_)
            boost::replace_all(line, secret, hiddenText);
        return line;
    }

} // namespace

LogValue::LogValue(std::string_view text)
    : value_(boost::json::string(toUtf8(text)))
{
}

LogValue::LogValue(double number)
{
    if (std::isfinite(number))
        value_ = number;
}

void startLogs(const LogSettings& settings, std::string_view host)
{
    LogState& shared = state();
    if (!shared.initializer_)
        shared.initializer_ = std::make_unique<log4cplus::Initializer>();
    shared.host_ = host;
    const int descriptor = settings.file_.empty() ? STDERR_FILENO : openLogFile(settings.file_);
    log4cplus::SharedAppenderPtr appender(new DescriptorAppender(descriptor, shared.host_));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(nativeLevel(settings.level_));
    for (const auto& [part, level] : settings.parts_)
        loggerOf(part).setLogLevel(nativeLevel(level));
}

void stopLogs()
{
    state().initializer_.reset();
}

void hideSecret(std::string secret)
{
    if (secret.size() < shortestSecret)
        return;
    LogState& shared = state();
    const std::lock_guard lock(shared.secretsLock_);
    if (std::find(shared.secrets_.begin(), shared.secrets_.end(), secret) != shared.secrets_.end())
        return;
    shared.secrets_.push_back(std::move(secret));
    shared.hasSecrets_.store(true, std::memory_order_release);
}

Log::Log(std::string_view part)
    : part_(part)
{
}

bool Log::isOn(LogLevel level) const
{
    return state().initializer_ && loggerOf(part_).isEnabledFor(nativeLevel(level));
}

void Log::write(LogLevel level, std::string_view event, LogFields fields) const
{
    if (!isOn(level))
        return;
    const std::string line = logLine(SystemClock().wallNow(), level, state().host_, part_, event, fields);
    loggerOf(part_).forcedLog(nativeLevel(level), line);
}

std::string logLine(WallTime time, LogLevel level, std::string_view host, std::string_view part, std::string_view event, LogFields fields)
{
    boost::json::object object;
    object["ts"] = time.time_since_epoch().count();
    object["level"] = levelName(level);
    object["host"] = host;
    object["part"] = part;
    object["event"] = event;
    for (const auto& [key, value] : fields)
        object[key] = value.json();
    return withoutSecrets(boost::json::serialize(object));
}

} // namespace jj
