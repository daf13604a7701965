// A running mean and variance, and one division.
#include "capacity/BatchAdmission.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    // Bursts of questions last some seconds; so far apart two observations count as independent.
    constexpr Duration burstTime = 3s;
    constexpr Duration soonest = 1500ms;

} // namespace

void BatchAdmission::observe(const BatchLoad& load, TimePoint now)
{
    load_ = load;
    while (!unreported_.empty() && now - unreported_.front().first >= settings_.reportedAfter_)
        unreported_.pop_front();
    if (firstAt_ == TimePoint()) {
        firstAt_ = now;
        lastAt_ = now;
        meanQuestions_ = load.questions_;
        return;
    }
    const double part = 1 - std::exp(-toSeconds(now - lastAt_) / toSeconds(settings_.memory_));
    lastAt_ = now;
    const double difference = load.questions_ - meanQuestions_;
    meanQuestions_ += part * difference;
    varianceOfQuestions_ = (1 - part) * (varianceOfQuestions_ + part * difference * difference);
}

void BatchAdmission::accepted(std::uint32_t items, TimePoint now) { unreported_.emplace_back(now, items); }

double BatchAdmission::questionError(Duration time) const
{
    const double independent = std::max(1.0, toSeconds(time) / toSeconds(burstTime));
    return std::sqrt(varianceOfQuestions_ / independent);
}

AdmissionAnswer BatchAdmission::judge(std::uint32_t items, Duration until) const
{
    const bool isKnown = firstAt_ != TimePoint() && lastAt_ - firstAt_ >= settings_.learnTime_;
    if (!isKnown || load_.slotTime_ <= Duration::zero() || load_.slots_ == 0)
        return {};
    const double slotSeconds = toSeconds(load_.slotTime_);
    const double slots = std::max(1.0, load_.slots_ - meanQuestions_ - settings_.errors_ * questionError(until));
    const double perSecond = slots / slotSeconds;
    // The last item to begin still needs a whole run; runs are spread, so half of one is lost on the mean.
    const double possible = perSecond * std::max(0.0, toSeconds(until) - slotSeconds / 2);
    double ahead = load_.waiting_ + load_.running_ / 2.0 + items;
    for (const auto& [at, count] : unreported_)
        ahead += count;
    if (ahead <= possible)
        return {};
    const Duration wait = fromSeconds((ahead - possible) / perSecond);
    return { false, std::max(wait, soonest) };
}

} // namespace jj
