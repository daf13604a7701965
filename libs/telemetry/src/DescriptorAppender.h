// Appender of log4cplus for a descriptor that may be full, without a reader or on a slow disk, such as standard error.
//
// Writes do not block and a write that fails leaves the appender usable. Lines that the descriptor doesn't accept wait in a buffer and are
// written before the next line. Lines for which the buffer has no room are dropped; a line `linesDropped` then gives their number.
// The process must ignore SIGPIPE.
#pragma once

#include "process/DescriptorWriter.h"

#include <cstdint>
#include <log4cplus/appender.h>
#include <string>

namespace jj {

class DescriptorAppender final : public log4cplus::Appender {
public:
    static constexpr std::size_t maxBufferedBytes = std::size_t { 256 } * 1024;
    static constexpr Duration finishTime = 200ms;

    // `host` stands in the lines that the appender itself adds. The descriptor stays open.
    DescriptorAppender(int descriptor, std::string host);
    ~DescriptorAppender() override;
    DescriptorAppender(const DescriptorAppender&) = delete;
    DescriptorAppender& operator=(const DescriptorAppender&) = delete;

    // Writes what the descriptor accepts within finishTime; the rest of the buffer is lost.
    void close() override;

protected:
    // The base class calls it under its lock.
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void flush();
    bool buffer(const std::string& line);
    std::string droppedLine() const;

    DescriptorWriter writer_;
    std::string host_;
    std::string buffer_; // whole lines, but for the first, of which a part may have been written
    std::uint64_t dropped_ = 0; // since the last `linesDropped`
    std::string lastError_; // why a write failed since then; empty: the descriptor was full
};

} // namespace jj
