// Keeps bounded records. Dropping a record raises the version after which the history is complete.
#include "RemovalHistory.h"

#include <algorithm>

namespace jj {

void RemovalHistory::add(std::uint64_t version, const std::string& key)
{
    removals_.push_back({ version, key });
    if (removals_.size() <= maxRemovals)
        return;
    completeAfter_ = std::max(completeAfter_, removals_.front().version_);
    removals_.pop_front();
}

void RemovalHistory::addGap(VersionGap gap)
{
    const bool isEmpty = gap.to_ <= gap.from_ + 1;
    if (isEmpty)
        return;
    gaps_.push_back(gap);
    if (gaps_.size() <= maxGaps)
        return;
    completeAfter_ = std::max(completeAfter_, gaps_.front().to_);
    gaps_.pop_front();
}

bool RemovalHistory::isCompleteSince(std::uint64_t since) const
{
    if (since <= completeAfter_)
        return false;
    return std::none_of(gaps_.begin(), gaps_.end(), [since](const VersionGap& gap) { return gap.contains(since); });
}

std::vector<std::string> RemovalHistory::keysSince(std::uint64_t since) const
{
    std::vector<std::string> keys;
    for (const Removal& removal : removals_) {
        if (removal.version_ > since)
            keys.push_back(removal.key_);
    }
    return keys;
}

std::vector<VersionGap> RemovalHistory::gapsSince(std::uint64_t since) const
{
    std::vector<VersionGap> later;
    std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(later), [since](const VersionGap& gap) { return gap.to_ > since; });
    return later;
}

} // namespace jj
