// What happens next in a replay: actions in order of time, and of their making within one instant.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace jj {

class Agenda {
public:
    using Action = std::function<void()>;

    void at(TimePoint time, Action action) { entries_.push(Entry { time, next_++, std::move(action) }); }
    TimePoint nextAt() const { return entries_.empty() ? neverTime : entries_.top().time_; }

    Action take()
    {
        Action action = std::move(const_cast<Entry&>(entries_.top()).action_); // NOLINT(cppcoreguidelines-pro-type-const-cast): popped right after
        entries_.pop();
        return action;
    }

private:
    struct Entry {
        TimePoint time_;
        std::uint64_t number_ = 0;
        Action action_;

        friend bool operator<(const Entry& a, const Entry& b) { return std::pair(b.time_, b.number_) < std::pair(a.time_, a.number_); }
    };

    std::priority_queue<Entry> entries_;
    std::uint64_t next_ = 0;
};

} // namespace jj
