// Budgets that refill: retries of a service, and bytes on the link to another region.
#pragma once

#include "base/Time.h"
#include "decisions/Request.h"

#include <algorithm>

namespace jj {

// Retries are a share of first attempts, so that a failing engine can't multiply the load: with a budget of 10% the upstreams
// see at most 1.1 attempts a request over time, plus the reserve.
class RetryBudget {
public:
    void onFirstAttempt(std::uint32_t percent) { tokens_ = std::min(reserve, tokens_ + percent / 100.0); }
    bool take()
    {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        return true;
    }

private:
    // Lets a quiet service retry the requests of one lost engine.
    static constexpr double reserve = 32.0;

    double tokens_ = reserve;
};

// Token bucket of one direction of a link. The last part is kept for what counts more: batch leaves half to online, online
// leaves a tenth to control.
class LinkBudget {
public:
    void setRate(std::uint64_t bytesPerSecond)
    {
        rate_ = static_cast<double>(bytesPerSecond);
        tokens_ = std::min(tokens_, capacity());
    }

    bool take(RequestClass requestClass, std::uint64_t bytes, TimePoint now)
    {
        refill(now);
        const double kept = capacity() * (requestClass == RequestClass::Batch ? batchKeeps : onlineKeeps);
        if (tokens_ - static_cast<double>(bytes) < kept)
            return false;
        tokens_ -= static_cast<double>(bytes);
        return true;
    }

private:
    static constexpr double burstSeconds = 0.5;
    static constexpr double batchKeeps = 0.5;
    static constexpr double onlineKeeps = 0.1;

    double capacity() const { return rate_ * burstSeconds; }
    void refill(TimePoint now)
    {
        if (now > filledAt_)
            tokens_ = std::min(capacity(), tokens_ + rate_ * toSeconds(now - filledAt_));
        filledAt_ = std::max(filledAt_, now);
    }

    double rate_ = 0;
    double tokens_ = 0;
    TimePoint filledAt_ {};
};

} // namespace jj
