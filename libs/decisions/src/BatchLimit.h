// How many batch streams one engine runs: additive increase, multiplicative decrease on the time between tokens that its streams
// show. The engine doesn't say how long its steps are in time to act on it; its tokens do.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

class BatchLimit {
public:
    // One sample a step: the tokens of one step come together.
    void observe(Duration betweenTokens, TimePoint now)
    {
        if (now == observedAt_)
            return;
        observedAt_ = now;
        const double seconds = toSeconds(betweenTokens);
        mean_ = mean_ == 0 ? seconds : mean_ + weight * (seconds - mean_);
    }

    // Called each `period`. `running`: batch streams now; the limit grows only while it is what holds batch back.
    void adapt(double targetSeconds, double running, double most, TimePoint now)
    {
        if (now < nextAt_)
            return;
        nextAt_ = now + period;
        if (mean_ > targetSeconds)
            value_ = std::max(least, std::min(value_, running) * decrease);
        else if (running + 1 >= value_ && mean_ < targetSeconds * headroom)
            value_ += std::max(1.0, most * increaseShare);
        value_ = std::min(value_, most);
    }

    double value() const { return value_; }
    double meanSeconds() const { return mean_; }

private:
    static constexpr Duration period = std::chrono::milliseconds(100);
    static constexpr double weight = 0.1;
    static constexpr double least = 1;
    static constexpr double decrease = 0.85;
    static constexpr double headroom = 0.95;
    static constexpr double increaseShare = 0.06;
    static constexpr double start = 16;

    double value_ = start;
    double mean_ = 0;
    TimePoint nextAt_ {};
    TimePoint observedAt_ {};
};

} // namespace jj
