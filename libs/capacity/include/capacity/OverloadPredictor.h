// Predicts how long a service stays overloaded, from its earlier overload periods, so that a refused caller knows when to retry.
//
//     predictor.refused(now);
//     const Duration delay = predictor.retryDelay(now);
//
// The prediction is made for load that comes in repeated bursts of some seconds each, with free capacity between them. A caller that
// retries as soon as one slot is expected to be free arrives in the same burst, is refused again and gives up. A caller that retries at
// the expected end of the burst competes with all other refused callers and with the last runs of the burst. So the predicted time ends
// in the middle of the usual pause between two bursts. A period begins with a refusal and ends when no refusal has come for maxRefusalGap.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

class OverloadPredictor {
public:
    // Records that a request was refused because the service has no free slot.
    void refused(TimePoint now)
    {
        if (!isOverloaded_ || now - lastRefusal_ > maxRefusalGap) {
            endPeriod(now);
            isOverloaded_ = true;
            periodStart_ = now;
        }
        lastRefusal_ = now;
    }

    // Returns after which time a refused caller is to retry: the expected rest of the overload and half of the usual pause after it; zero
    // when the service isn't overloaded.
    Duration retryDelay(TimePoint now) const
    {
        if (!isOverloaded_ || now - lastRefusal_ > maxRefusalGap)
            return Duration::zero();
        const Duration elapsed = now - periodStart_;
        const Duration expected = hasEstimate_ ? meanLength_ : initialEstimate;
        // A period that is already longer than usual is expected to last for another quarter of its length so far.
        return std::max<Duration>(expected - elapsed, elapsed / 4) + meanPause_ / 2;
    }

private:
    // Two refusals of the same burst are closer together than this, and two bursts are farther apart.
    static constexpr Duration maxRefusalGap = std::chrono::milliseconds(600);
    // The expected length of the first period, for which there is no measurement yet; most bursts last longer.
    static constexpr Duration initialEstimate = std::chrono::seconds(1);
    // Longer pauses are cut to this: the load isn't periodic then, and half of the pause is no useful retry delay.
    static constexpr Duration maxPause = std::chrono::seconds(10);

    void endPeriod(TimePoint now)
    {
        if (!isOverloaded_)
            return;
        const Duration length = lastRefusal_ - periodStart_;
        const Duration pause = std::min<Duration>(now - lastRefusal_, maxPause);
        meanLength_ = hasEstimate_ ? meanLength_ + (length - meanLength_) / 3 : length;
        meanPause_ = hasEstimate_ ? meanPause_ + (pause - meanPause_) / 3 : pause;
        hasEstimate_ = true;
    }

    bool isOverloaded_ = false;
    bool hasEstimate_ = false;
    TimePoint periodStart_ {};
    TimePoint lastRefusal_ {};
    Duration meanLength_ {};
    Duration meanPause_ {}; // mean time between two periods
};

} // namespace jj
