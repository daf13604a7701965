// Prompt prefixes that an engine keeps in KV memory, least recently used out first.
//
// An entry is created by the stream that fills it, becomes ready when that stream's prompt work is done, and is shared by later
// streams, each of which pins it. Only ready entries without a pin can be evicted.
#pragma once

#include "base/Id.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <list>
#include <vector>

namespace jj {

class PrefixCache {
public:
    enum class Lookup { Absent,
        Filling,
        Ready };

    Lookup lookup(PrefixId prefix) const;

    // Adds an entry of this many blocks, pinned by the stream that fills it. The prefix must be absent.
    void add(PrefixId prefix, int blocks);
    // Pins a ready entry and makes it the most recent; gives its blocks.
    int pin(PrefixId prefix);
    void unpin(PrefixId prefix);
    void markReady(PrefixId prefix);
    // Drops an entry that its stream gave up before it was ready; gives its blocks.
    int dropUnfilled(PrefixId prefix);

    // Blocks that eviction could free now.
    int evictableBlocks() const { return evictableBlocks_; }
    // Evicts until at least `blocks` are free or nothing is left to evict; gives the blocks freed and appends the evicted.
    int evict(int blocks, std::vector<PrefixId>& evicted);
    void clear();

private:
    struct Entry {
        PrefixId prefix_;
        int blocks_ = 0;
        int pins_ = 0;
        bool ready_ = false;
    };
    using Entries = std::list<Entry>;

    // Invariants: entries_ runs from most to least recently used; places_ has one place an entry; evictableBlocks_ is the sum
    // of the blocks of ready entries without pins; an entry that isn't ready has exactly one pin.
    Entries entries_;
    boost::unordered_flat_map<PrefixId, Entries::iterator, std::hash<PrefixId>> places_;
    int evictableBlocks_ = 0;
};

} // namespace jj
