// Lagging snapshots and the lossy log of cache events.
#include "enginemodel/EngineReports.h"

#include <algorithm>

namespace jj {

void LoadHistory::record(const LoadReport& report)
{
    snapshots_.push_back(report);
    if (snapshots_.size() > maxSnapshots)
        snapshots_.pop_front();
}

LoadReport LoadHistory::reportAt(TimePoint now) const
{
    const auto newer = std::upper_bound(snapshots_.begin(), snapshots_.end(), now - lag_,
        [](TimePoint limit, const LoadReport& report) { return limit < report.at_; });
    if (newer != snapshots_.begin())
        return *std::prev(newer);
    return snapshots_.empty() ? LoadReport {} : snapshots_.front();
}

void CacheEventLog::add(PrefixId prefix, CacheEventKind kind, TimePoint now)
{
    const std::uint64_t sequence = nextSequence_++;
    if (std::bernoulli_distribution(lossRate_)(random_))
        return;
    // Lateness varies between one and two lags, without events overtaking each other.
    const Duration late = lag_ + Duration(lag_.count() > 0 ? static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(lag_.count())) : 0);
    const TimePoint visibleAt = events_.empty() ? now + late : std::max(events_.back().visibleAt_, now + late);
    events_.push_back(CacheEvent { sequence, prefix, kind, visibleAt });
    if (events_.size() > maxEvents)
        events_.pop_front();
}

std::uint64_t CacheEventLog::read(std::uint64_t from, TimePoint now, std::vector<CacheEvent>& events) const
{
    auto event = std::lower_bound(events_.begin(), events_.end(), from,
        [](const CacheEvent& each, std::uint64_t sequence) { return each.sequence_ < sequence; });
    std::uint64_t next = from;
    for (; event != events_.end() && event->visibleAt_ <= now; ++event) {
        events.push_back(*event);
        next = event->sequence_ + 1;
    }
    return next;
}

} // namespace jj
