// Token buckets whose rate follows the health of the store.
#include "objects/CallBudget.h"

#include "objects/ObjectApi.h"

#include <algorithm>

namespace jj {

namespace {

    constexpr double rateLimitedCut = 0.7; // the part of the rate kept after a refusal by rate

    // The part of a full bucket that a class leaves untouched.
    double reserve(CallClass callClass)
    {
        constexpr double step = 0.1;
        return step * static_cast<double>(callClass);
    }

} // namespace

CallBudget::CallBudget(CallBudgetSettings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
    setRates(settings.readsPerSecond_, settings.writesPerSecond_);
}

void CallBudget::setRates(double readsPerSecond, double writesPerSecond)
{
    const double burst = toSeconds(settings_.burst_);
    reads_ = { readsPerSecond, std::max(1.0, readsPerSecond * burst), reads_.filledAt_ };
    writes_ = { writesPerSecond, std::max(1.0, writesPerSecond * burst), writes_.filledAt_ };
}

double CallBudget::level(TimePoint now) const
{
    const double grown = levelAtMark_ + toSeconds(now - levelMark_) / toSeconds(settings_.rampTime_);
    return std::clamp(grown, settings_.rampStart_, 1.0);
}

void CallBudget::fill(Bucket& bucket, TimePoint now) const
{
    if (now <= bucket.filledAt_)
        return;
    const double rate = bucket.rate_ * level(now);
    const double capacity = std::max(1.0, rate * toSeconds(settings_.burst_));
    bucket.tokens_ = std::min(capacity, bucket.tokens_ + toSeconds(now - bucket.filledAt_) * rate);
    bucket.filledAt_ = now;
}

bool CallBudget::tryTake(CallClass callClass, bool isWrite, TimePoint now)
{
    Bucket& bucket = isWrite ? writes_ : reads_;
    fill(bucket, now);
    if (out_) {
        if (now < probeAt_)
            return false;
        planProbe(now);
        return true;
    }
    const double capacity = std::max(1.0, bucket.rate_ * level(now) * toSeconds(settings_.burst_));
    const double floor = callClass == CallClass::Lease ? -settings_.leaseOverdraft_ : reserve(callClass) * (capacity - 1);
    if (bucket.tokens_ - 1 < floor)
        return false;
    bucket.tokens_ -= 1;
    return true;
}

void CallBudget::planProbe(TimePoint now)
{
    const double jitter = std::uniform_real_distribution<>(0.5, 1.5)(random_);
    probeAt_ = now + fromSeconds(toSeconds(settings_.probeEvery_) * jitter);
}

void CallBudget::answered(std::error_code error, TimePoint now)
{
    const bool unknown = error == ObjectError::OutcomeUnknown;
    unknowns_ = unknown ? unknowns_ + 1 : 0;
    if (error == ObjectError::Unavailable || unknowns_ >= settings_.unknownsForOutage_) {
        if (!out_)
            planProbe(now);
        out_ = true;
        return;
    }
    if (unknown)
        return;
    if (out_) {
        out_ = false;
        levelAtMark_ = settings_.rampStart_;
        levelMark_ = now;
        reads_.tokens_ = std::min(reads_.tokens_, 1.0);
        writes_.tokens_ = std::min(writes_.tokens_, 1.0);
    } else if (error == ObjectError::RateLimited) {
        levelAtMark_ = std::max(settings_.rampStart_, level(now) * rateLimitedCut);
        levelMark_ = now;
    }
}

Duration CallBudget::comeBackAfter(TimePoint now) const
{
    return out_ ? std::max<Duration>(probeAt_ - now, settings_.probeEvery_) : Duration::zero();
}

} // namespace jj
