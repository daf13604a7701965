// The buffer in front of the descriptor, and the count of lines that had no room in it.
#include "DescriptorAppender.h"

#include "telemetry/Log.h"

#include <utility>

namespace jj {

DescriptorAppender::DescriptorAppender(int descriptor, std::string host)
    : writer_(descriptor, maxBufferedBytes)
    , host_(std::move(host))
{
}

DescriptorAppender::~DescriptorAppender() { destructorImpl(); }

void DescriptorAppender::close()
{
    writer_.finish(buffer_, finishTime);
    closed = true;
}

void DescriptorAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    flush();
    if (dropped_ > 0 && buffer(droppedLine())) {
        dropped_ = 0;
        lastError_.clear();
    }
    if (!buffer(formatEvent(event)))
        ++dropped_;
    flush();
}

void DescriptorAppender::flush()
{
    if (const std::error_code error = writer_.write(buffer_))
        lastError_ = error.message();
}

bool DescriptorAppender::buffer(const std::string& line)
{
    if (buffer_.size() + line.size() > maxBufferedBytes)
        return false;
    buffer_ += line;
    return true;
}

std::string DescriptorAppender::droppedLine() const
{
    const std::string_view cause = lastError_.empty() ? "not read" : std::string_view(lastError_);
    return logLine(SystemClock().wallNow(), LogLevel::Warn, host_, "telemetry", "linesDropped", { { "count", dropped_ }, { "cause", cause } }) + '\n';
}

} // namespace jj
