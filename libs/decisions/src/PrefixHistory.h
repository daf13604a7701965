// Which engines may hold a prompt prefix: from what this node sent, corrected by the engines' cache events. A hint only.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <algorithm>
#include <boost/container/static_vector.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

namespace jj {

class PrefixHistory {
public:
    // A popular prefix ends up on many engines. With few remembered (four, in a first version) the others looked like misses,
    // and all nodes crowded onto the few.
    static constexpr std::size_t enginesEach = 32;
    // Under load an engine evicts what isn't asked for, and its word of that comes late or never.
    static constexpr Duration trustFor = std::chrono::seconds(4);

    struct Holder {
        UpstreamId upstream_;
        TimePoint seenAt_ {};
    };
    using Holders = boost::container::static_vector<Holder, enginesEach>;

    const Holders* find(PrefixId prefix) const
    {
        const auto found = entries_.find(prefix);
        return found == entries_.end() ? nullptr : &found->second;
    }

    bool holds(PrefixId prefix, UpstreamId upstream, TimePoint now) const
    {
        const Holders* holders = find(prefix);
        if (!holders)
            return false;
        const auto found = std::find_if(holders->begin(), holders->end(), [&](const Holder& each) { return each.upstream_ == upstream; });
        return found != holders->end() && now - found->seenAt_ < trustFor;
    }

    void add(PrefixId prefix, UpstreamId upstream, TimePoint now)
    {
        if (prefix.isNone())
            return;
        if (entries_.size() >= maxEntries)
            entries_.clear(); // rare, and rebuilt by the next requests
        Holders& holders = entries_[prefix];
        const auto known = std::find_if(holders.begin(), holders.end(), [&](const Holder& each) { return each.upstream_ == upstream; });
        if (known != holders.end()) {
            known->seenAt_ = now;
            return;
        }
        if (holders.size() == enginesEach)
            holders.erase(holders.begin());
        holders.push_back({ upstream, now });
    }

    void remove(PrefixId prefix, UpstreamId upstream)
    {
        const auto found = entries_.find(prefix);
        if (found == entries_.end())
            return;
        Holders& holders = found->second;
        holders.erase(std::remove_if(holders.begin(), holders.end(), [&](const Holder& each) { return each.upstream_ == upstream; }), holders.end());
        if (holders.empty())
            entries_.erase(found);
    }

private:
    static constexpr std::size_t maxEntries = 8192;

    boost::unordered_flat_map<PrefixId, Holders, std::hash<PrefixId>> entries_;
};

} // namespace jj
