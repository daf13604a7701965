// Adjusts the interval between reports in steps: longer while too many reports arrive, shorter while few do.
#include "ReportPace.h"

#include <algorithm>

namespace jj {

void ReportPace::tick(TimePoint now)
{
    const Duration since = now - judgedAt_;
    if (since < settings_.judgedEvery_)
        return;
    const double rate = heard_ / toSeconds(since);
    if (rate > settings_.mostHeard_)
        interval_ = std::min<Duration>(interval_ + settings_.step_, settings_.longest_);
    else if (rate < settings_.mostHeard_ * settings_.easyPart_)
        interval_ = std::max<Duration>(interval_ - settings_.step_, Duration::zero());
    heard_ = 0;
    judgedAt_ = now;
}

} // namespace jj
