// How long a service stays full, learned from the times it was: tells a refused caller when to come back.
//
//     phases.refused(now);
//     const Duration wait = phases.remaining(now);
//
// Pattern answered: bursts that come again and again and last for some seconds each, with room between them. A caller who is told the time
// until one slot is free comes back into the same burst, is refused once more, and gives up. One who is told the burst's usual
// rest meets all others who were told it, and the burst's last runs; so the middle of the usual pause is told. A phase lasts from
// a first refusal until none has come for a while.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

class FullPhases {
public:
    void refused(TimePoint now)
    {
        if (!isFull_ || now - lastRefusal_ > quiet) {
            close(now);
            isFull_ = true;
            began_ = now;
        }
        lastRefusal_ = now;
    }

    // How long until there is room behind the phase of the last refusal; zero when nothing is known that speaks for it.
    Duration remaining(TimePoint now) const
    {
        if (!isFull_ || now - lastRefusal_ > quiet)
            return Duration::zero();
        const Duration sofar = now - began_;
        const Duration expected = isKnown_ ? mean_ : assumed;
        // A phase that outlasts the usual ones lasts on, for a part of what it has lasted so far.
        return std::max<Duration>(expected - sofar, sofar / 4) + pause_ / 2;
    }

private:
    // Refusals of one burst come closer together than this, and bursts farther apart.
    static constexpr Duration quiet = std::chrono::milliseconds(600);
    // Of the first phase nothing is known; most bursts last longer.
    static constexpr Duration assumed = std::chrono::seconds(1);
    // A longer pause is none between two bursts of a rhythm; its middle says nothing.
    static constexpr Duration longestPause = std::chrono::seconds(10);

    void close(TimePoint now)
    {
        if (!isFull_)
            return;
        const Duration lasted = lastRefusal_ - began_;
        const Duration pause = std::min<Duration>(now - lastRefusal_, longestPause);
        mean_ = isKnown_ ? mean_ + (lasted - mean_) / 3 : lasted;
        pause_ = isKnown_ ? pause_ + (pause - pause_) / 3 : pause;
        isKnown_ = true;
    }

    bool isFull_ = false;
    bool isKnown_ = false;
    TimePoint began_ {};
    TimePoint lastRefusal_ {};
    Duration mean_ {};
    Duration pause_ {}; // between two phases, on the mean
};

} // namespace jj
