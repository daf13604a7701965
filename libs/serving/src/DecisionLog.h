// Log of the node's decisions, normally on standard output. Each line is a JSON object with the request, the inputs and the
// outcome.
//
//     log.line("refused").with("request", id).with("reason", "noSlot").with("waitMs", 210);
//
// Lines are buffered and written once per flushPeriod, or earlier when the buffer is half full. The number of lines per second
// and the size of the buffer are limited, and writes do not block: otherwise a full pipe or a slow disk would stall the node, and a burst of
// requests would spend CPU time on logging. Lines over the limits are dropped and counted, and the next line that is written
// reports how many were dropped. The process must ignore SIGPIPE.
#pragma once

#include "base/Time.h"
#include "process/DescriptorWriter.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jj {

class DecisionLog {
public:
    // Builds one line, which the destructor adds to the log.
    class Line {
    public:
        Line(DecisionLog* log, std::string_view event);
        ~Line();
        Line(Line&& other) noexcept
            : log_(std::exchange(other.log_, nullptr))
        {
        }
        Line(const Line&) = delete;
        Line& operator=(const Line&) = delete;

        Line& with(std::string_view key, std::string_view value);
        Line& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
        Line& with(std::string_view key, std::integral auto value)
        {
            return raw(key, std::to_string(value));
        }
        Line& with(std::string_view key, double value);
        // Writes whole milliseconds.
        Line& with(std::string_view key, Duration value) { return raw(key, std::to_string(value / 1ms)); }

    private:
        Line& raw(std::string_view key, std::string_view value);

        DecisionLog* log_; // null: the line is dropped
    };

    DecisionLog(const std::string& host, std::uint32_t linesPerSecond, int descriptor);

    // Names the host in later lines.
    void setHost(std::string_view host);
    Line line(std::string_view event);
    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    void flushIfDue(TimePoint now);
    // Writes the buffer, and waits for a moment if that needs a disk: the last call before the end of the process.
    void finish();
    std::uint64_t dropped() const { return droppedTotal_; }
    // Writes that failed for another reason than a full pipe or a slow disk. What they held stays in the buffer.
    std::uint64_t writesFailed() const { return writesFailed_; }

private:
    friend class Line;
    bool reserveLine();
    void begin(std::string_view event);

    std::string prefix_; // host field and event key, the same in every line
    double linesPerSecond_;
    DescriptorWriter writer_;
    double lineBudget_; // lines that may be written now; refilled at linesPerSecond_
    TimePoint budgetUpdatedAt_ {};
    TimePoint flushedAt_ {};
    std::uint64_t dropped_ = 0; // since the last line that was written
    std::uint64_t droppedTotal_ = 0;
    std::uint64_t writesFailed_ = 0;
    std::string buffer_;
};

} // namespace jj
