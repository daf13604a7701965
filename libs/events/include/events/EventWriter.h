// Writes the events of one process to its file, as JSON lines.
//
// Lines are buffered and reach the file when the buffer is full, when `flushIfDue` finds them older than the flush bound, or at
// the end. A process that is killed loses at most the events of one flush bound; the file may then end in a torn line, which
// readers skip. Any thread may write.
//
//     auto events = EventWriter::open("run/node-1.events", { "127.0.0.1:7400", incarnation });
//     if (!events) return events.error();
//     events.value()->write(event, clock.wallNow());
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "events/TimelineEvent.h"

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

namespace jj {

// Who writes: stands in each event of the file.
struct EventSource {
    std::string host_;
    Incarnation incarnation_;
};

class EventWriter {
public:
    static constexpr std::size_t bufferBytes = 64 * 1024;
    static constexpr std::chrono::milliseconds defaultFlushBound { 200 };

    // Appends to the file. Errors: std::errc::io_error when it can't be opened.
    static Result<std::unique_ptr<EventWriter>> open(const std::string& path, EventSource source, std::chrono::milliseconds flushBound = defaultFlushBound);
    ~EventWriter();

    EventWriter(const EventWriter&) = delete;
    EventWriter& operator=(const EventWriter&) = delete;

    // Stamps the event with the source, the next sequence number and the time, and takes it.
    void write(TimelineEvent event, WallTime now);
    void flushIfDue(WallTime now);
    void flush();

private:
    EventWriter(std::ofstream file, EventSource source, std::chrono::milliseconds flushBound);
    void flushLocked();

    // Invariant: buffer_ holds whole lines; oldest_ is the time of its first one.
    std::mutex mutex_;
    std::ofstream file_;
    EventSource source_;
    std::chrono::milliseconds flushBound_;
    std::string buffer_;
    WallTime oldest_ {};
    std::uint64_t nextSequence_ = 0;
};

} // namespace jj
