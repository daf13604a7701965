// One JSON line a decision, on standard output: what was decided, about which request, from which inputs, with what outcome.
//
//     log.line("refused").with("request", id).with("reason", "noSlot").with("waitMs", 210);
//
// Lines are collected and written at most each flushPeriod or when half a buffer is full. Failure met: a log that blocks on a full
// pipe stops the node; one without a bound eats its share of the processor in a burst. The guard: a budget of lines a second and a
// buffer of fixed size; what doesn't fit is counted, and the next line that fits says how many are missing.
#pragma once

#include "base/Time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace jj {

class DecisionLog {
public:
    // A line under way; it is entered when this goes.
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
        // Whole milliseconds.
        Line& with(std::string_view key, Duration value) { return raw(key, std::to_string(value / 1ms)); }

    private:
        Line& raw(std::string_view key, std::string_view value);

        DecisionLog* log_; // null: over the budget
    };

    DecisionLog(const std::string& host, std::uint32_t linesPerSecond, int descriptor);

    Line line(std::string_view event);
    // Writes what has been collected, as far as the descriptor takes it.
    void flush();
    void flushIfDue(TimePoint now);
    std::uint64_t dropped() const { return droppedTotal_; }

private:
    friend class Line;
    bool mayWrite();
    void begin(std::string_view event);

    std::string prefix_; // the host's part of each line
    double linesPerSecond_;
    int descriptor_;
    double budget_;
    TimePoint filledAt_ {};
    TimePoint flushedAt_ {};
    std::uint64_t dropped_ = 0; // since the last line that was entered
    std::uint64_t droppedTotal_ = 0;
    std::string buffer_;
};

} // namespace jj
