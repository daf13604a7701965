// Lines are formatted by hand, without a JSON library, because each request logs several: a line takes about 1 µs.
#include "DecisionLog.h"

#include "base/Utf8.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace jj {

namespace {

    constexpr std::size_t bufferBytes = 128 * 1024;
    constexpr Duration flushPeriod = 200ms;
    // A process that ends waits so long for its last lines.
    constexpr Duration finishTime = 200ms;

    void appendEscaped(std::string& out, std::string_view bytes)
    {
        const std::string replaced = isUtf8(bytes) ? std::string() : toUtf8(bytes);
        const std::string_view text = replaced.empty() ? bytes : replaced;
        constexpr unsigned char firstPrintable = 0x20;
        out.push_back('"');
        for (const char c : text) {
            if (c == '"' || c == '\\') {
                out.push_back('\\');
                out.push_back(c);
            } else if (static_cast<unsigned char>(c) < firstPrintable) {
                std::array<char, 8> code {};
                std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(c));
                out.append(code.data());
            } else {
                out.push_back(c);
            }
        }
        out.push_back('"');
    }

} // namespace

DecisionLog::DecisionLog(const std::string& host, std::uint32_t linesPerSecond, int descriptor)
    : linesPerSecond_(linesPerSecond)
    , writer_(descriptor, bufferBytes)
    , lineBudget_(linesPerSecond)
{
    // A line must not fail for want of memory: an exception that is being logged would end the process.
    buffer_.reserve(bufferBytes);
    setHost(host);
}

void DecisionLog::setHost(std::string_view host)
{
    prefix_ = ",\"host\":";
    appendEscaped(prefix_, host);
    prefix_ += ",\"event\":";
}

bool DecisionLog::reserveLine()
{
    const TimePoint now = SystemClock().now();
    if (budgetUpdatedAt_ != TimePoint())
        lineBudget_ = std::min(linesPerSecond_, lineBudget_ + toSeconds(now - budgetUpdatedAt_) * linesPerSecond_);
    budgetUpdatedAt_ = now;
    constexpr std::size_t maxLineBytes = 4 * 1024;
    if (lineBudget_ < 1 || buffer_.size() + maxLineBytes > bufferBytes) {
        ++dropped_;
        ++droppedTotal_;
        return false;
    }
    lineBudget_ -= 1;
    return true;
}

void DecisionLog::begin(std::string_view event)
{
    buffer_ += "{\"ts\":";
    buffer_ += std::to_string(SystemClock().wallNow().time_since_epoch().count());
    buffer_ += prefix_;
    appendEscaped(buffer_, event);
    if (dropped_ > 0) {
        buffer_ += ",\"linesDropped\":" + std::to_string(dropped_);
        dropped_ = 0;
    }
}

DecisionLog::Line DecisionLog::line(std::string_view event) { return { reserveLine() ? this : nullptr, event }; }

void DecisionLog::flushIfDue(TimePoint now)
{
    if (now - flushedAt_ < flushPeriod && buffer_.size() < bufferBytes / 2)
        return;
    flushedAt_ = now;
    flush();
}

void DecisionLog::flush()
{
    if (writer_.write(buffer_))
        ++writesFailed_;
}

void DecisionLog::finish() { writer_.finish(buffer_, finishTime); }

DecisionLog::Line::Line(DecisionLog* log, std::string_view event)
    : log_(log)
{
    if (log_)
        log_->begin(event);
}

DecisionLog::Line::~Line()
{
    if (log_)
        log_->buffer_ += "}\n";
}

DecisionLog::Line& DecisionLog::Line::raw(std::string_view key, std::string_view value)
{
    if (!log_)
        return *this;
    log_->buffer_.push_back(',');
    appendEscaped(log_->buffer_, key);
    log_->buffer_.push_back(':');
    log_->buffer_.append(value);
    return *this;
}

DecisionLog::Line& DecisionLog::Line::with(std::string_view key, std::string_view value)
{
    if (!log_)
        return *this;
    log_->buffer_.push_back(',');
    appendEscaped(log_->buffer_, key);
    log_->buffer_.push_back(':');
    constexpr std::size_t maxValueBytes = 200;
    appendEscaped(log_->buffer_, utf8Prefix(value, maxValueBytes));
    return *this;
}

DecisionLog::Line& DecisionLog::Line::with(std::string_view key, double value)
{
    if (!std::isfinite(value))
        return raw(key, "null");
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", value);
    return raw(key, text.data());
}

} // namespace jj
