// Adjusts the interval between reports in steps: longer while too many reports arrive, shorter while few do.
#include "ReportPace.h"

#include <algorithm>

namespace jj {

void ReportPace::tick(TimePoint now)
{
    const Duration since = now - adjustedAt_;
    if (since < settings_.adjustPeriod_)
        return;
    const double rate = received_ / toSeconds(since);
    if (rate > settings_.maxReceivedPerSecond_)
        interval_ = std::min<Duration>(interval_ + settings_.intervalStep_, settings_.maxInterval_);
    else if (rate < settings_.maxReceivedPerSecond_ * settings_.speedUpFraction_)
        interval_ = std::max<Duration>(interval_ - settings_.intervalStep_, Duration::zero());
    received_ = 0;
    adjustedAt_ = now;
}

} // namespace jj
