// A fingerprint that is answered continually is queued again only once in a while, which keeps the queue short.
#include "crashes/AnswerHistory.h"

namespace jj {

namespace {

    constexpr Duration requeuePeriod = 30s;

} // namespace

void AnswerHistory::record(Fingerprint fingerprint, TimePoint now)
{
    const auto [place, isNew] = times_.try_emplace(fingerprint, Entry { now, now });
    place->second.answeredAt_ = now;
    if (!isNew && now - place->second.queuedAt_ < requeuePeriod)
        return;
    place->second.queuedAt_ = now;
    queue_.push_back({ now, fingerprint });
    expire(now);
}

std::optional<TimePoint> AnswerHistory::find(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = times_.find(fingerprint);
    if (found == times_.end() || now - found->second.answeredAt_ > lifetime_)
        return std::nullopt;
    return found->second.answeredAt_;
}

void AnswerHistory::expire(TimePoint now)
{
    while (!queue_.empty() && (times_.size() > capacity_ || now - queue_.front().first > lifetime_ + requeuePeriod)) {
        const auto [queuedAt, fingerprint] = queue_.front();
        queue_.pop_front();
        if (const auto found = times_.find(fingerprint); found != times_.end() && found->second.queuedAt_ == queuedAt)
            times_.erase(found);
    }
}

} // namespace jj
