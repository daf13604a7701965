// Pins and recency of cached prefixes.
#include "enginemodel/PrefixCache.h"

namespace jj {

PrefixCache::Lookup PrefixCache::lookup(PrefixId prefix) const
{
    const auto found = places_.find(prefix);
    if (found == places_.end())
        return Lookup::Absent;
    return found->second->ready_ ? Lookup::Ready : Lookup::Filling;
}

void PrefixCache::add(PrefixId prefix, int blocks)
{
    entries_.push_front(Entry { prefix, blocks, 1, false });
    places_.emplace(prefix, entries_.begin());
}

int PrefixCache::pin(PrefixId prefix)
{
    const auto entry = places_.at(prefix);
    if (entry->pins_++ == 0)
        evictableBlocks_ -= entry->blocks_;
    entries_.splice(entries_.begin(), entries_, entry);
    return entry->blocks_;
}

void PrefixCache::unpin(PrefixId prefix)
{
    const auto entry = places_.at(prefix);
    if (--entry->pins_ == 0)
        evictableBlocks_ += entry->blocks_;
}

void PrefixCache::markReady(PrefixId prefix) { places_.at(prefix)->ready_ = true; }

int PrefixCache::dropUnfilled(PrefixId prefix)
{
    const auto entry = places_.at(prefix);
    const int blocks = entry->blocks_;
    places_.erase(prefix);
    entries_.erase(entry);
    return blocks;
}

int PrefixCache::evict(int blocks, std::vector<PrefixId>& evicted)
{
    int freed = 0;
    for (auto entry = entries_.end(); entry != entries_.begin() && freed < blocks;) {
        --entry;
        if (entry->pins_ > 0)
            continue;
        freed += entry->blocks_;
        evicted.push_back(entry->prefix_);
        places_.erase(entry->prefix_);
        entry = entries_.erase(entry);
    }
    evictableBlocks_ -= freed;
    return freed;
}

void PrefixCache::clear()
{
    entries_.clear();
    places_.clear();
    evictableBlocks_ = 0;
}

} // namespace jj
