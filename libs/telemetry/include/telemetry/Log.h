// Logs as JSON lines: one object a line with time, level, part, a typed event name and fields.
//
//     startLogs(settings.log_, "10.0.0.1:7400");
//     const Log log("gateway");
//     log.info("listening", { { "address", address.toString() } });
//
// Levels are set for each part at start. Writing goes through log4cplus; a line of a level that is off costs one comparison.
#pragma once

#include "settings/NodeSettings.h"

#include <boost/json/value.hpp>
#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace jj {

// What a field of a line may hold. Bytes that are no UTF-8 are replaced, and a number that isn't finite is null.
class LogValue {
public:
    LogValue(std::string_view text);
    LogValue(const char* text)
        : LogValue(std::string_view(text))
    {
    }
    LogValue(const std::string& text)
        : LogValue(std::string_view(text))
    {
    }
    LogValue(std::integral auto number)
        : value_(number)
    {
    }
    LogValue(double number);

    const boost::json::value& json() const { return value_; }

private:
    boost::json::value value_;
};

using LogFields = std::initializer_list<std::pair<std::string_view, LogValue>>;

// Sets levels and the file (or standard error, whose writes no longer block then). `host` stands in each line. Call it while no other thread logs.
void startLogs(const LogSettings& settings, std::string_view host);
void stopLogs();

// From now on each occurrence of the secret in a line is replaced: tokens and keys must not leak through an error's text.
// Secrets shorter than 8 bytes are ignored, since they would blank common words.
void hideSecret(std::string secret);

class Log {
public:
    explicit Log(std::string_view part);

    void debug(std::string_view event, LogFields fields = {}) const { write(LogLevel::Debug, event, fields); }
    void info(std::string_view event, LogFields fields = {}) const { write(LogLevel::Info, event, fields); }
    void warn(std::string_view event, LogFields fields = {}) const { write(LogLevel::Warn, event, fields); }
    void error(std::string_view event, LogFields fields = {}) const { write(LogLevel::Error, event, fields); }

    bool isOn(LogLevel level) const;

private:
    void write(LogLevel level, std::string_view event, LogFields fields) const;

    std::string part_;
};

// One line as it is written, without the newline; for tests and for whatever writes elsewhere.
std::string logLine(WallTime time, LogLevel level, std::string_view host, std::string_view part, std::string_view event, LogFields fields);

} // namespace jj
