// Sums over a few steps.
#include "capacity/Demand.h"

#include <algorithm>
#include <cmath>

namespace jj {

std::vector<DemandStep> joined(std::vector<DemandStep> steps, std::size_t mostSteps)
{
    std::sort(steps.begin(), steps.end(), [](const DemandStep& one, const DemandStep& other) { return one.dueIn_ < other.dueIn_; });
    if (steps.size() <= mostSteps)
        return steps;
    std::vector<DemandStep> found;
    const std::size_t together = (steps.size() + mostSteps - 1) / mostSteps;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        if (index % together == 0)
            found.push_back({});
        found.back().dueIn_ = steps[index].dueIn_;
        found.back().work_ += steps[index].work_;
    }
    return found;
}

Duration workBefore(const std::vector<DemandStep>& steps, Duration dueIn)
{
    Duration work {};
    for (const DemandStep& step : steps) {
        if (step.dueIn_ <= dueIn)
            work += step.work_;
    }
    return work;
}

void BatchShare::sample(std::uint32_t slots, std::uint32_t questions, TimePoint now)
{
    const Duration since = sampledAt_ == TimePoint() ? Duration::zero() : now - sampledAt_;
    sampledAt_ = now;
    const double gain = 1 - std::exp(-toSeconds(since) / toSeconds(window));
    questions_ += gain * (std::min(slots, questions) - questions_);
    slots_ = slots;
}

Duration BatchShare::until(TimePoint due, TimePoint now) const
{
    const double free = std::max(0.0, slots());
    return fromSeconds(free * std::max(0.0, toSeconds(due - now)));
}

} // namespace jj
