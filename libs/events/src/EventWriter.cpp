// Buffering of event lines.
#include "events/EventWriter.h"

namespace jj {

Result<std::unique_ptr<EventWriter>> EventWriter::open(const std::string& path, EventSource source, std::chrono::milliseconds flushBound)
{
    std::ofstream file(path, std::ios::app | std::ios::binary);
    if (!file)
        return std::make_error_code(std::errc::io_error);
    return std::unique_ptr<EventWriter>(new EventWriter(std::move(file), std::move(source), flushBound));
}

EventWriter::EventWriter(std::ofstream file, EventSource source, std::chrono::milliseconds flushBound)
    : file_(std::move(file))
    , source_(std::move(source))
    , flushBound_(flushBound)
{
}

EventWriter::~EventWriter() { flush(); }

void EventWriter::write(TimelineEvent event, WallTime now)
{
    const std::lock_guard lock(mutex_);
    event.host_ = source_.host_;
    event.incarnation_ = source_.incarnation_;
    event.sequence_ = nextSequence_++;
    event.at_ = now;
    if (buffer_.empty())
        oldest_ = now;
    buffer_ += toJsonLine(event);
    buffer_ += '\n';
    if (buffer_.size() >= bufferBytes || now - oldest_ >= flushBound_)
        flushLocked();
}

void EventWriter::flushIfDue(WallTime now)
{
    const std::lock_guard lock(mutex_);
    if (!buffer_.empty() && now - oldest_ >= flushBound_)
        flushLocked();
}

void EventWriter::flush()
{
    const std::lock_guard lock(mutex_);
    flushLocked();
}

void EventWriter::flushLocked()
{
    file_.write(buffer_.data(), static_cast<std::streamsize>(buffer_.size()));
    file_.flush();
    buffer_.clear();
}

} // namespace jj
