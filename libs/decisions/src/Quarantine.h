// Contents that crash the upstreams that run them.
//
// A crash makes a suspect of everything in flight on that upstream. A suspect runs again, at most one at a time on an upstream,
// so the next crash has one culprit: its count reaches two and its content is refused everywhere. The innocent finish, and are
// cleared. Entries age out, since an operator may mend the engine.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

namespace jj {

class Quarantine {
public:
    static constexpr std::uint32_t crashesThatProve = 2;

    struct Entry {
        std::uint32_t crashes_ = 0;
        UpstreamId lastUpstream_;
        TimePoint until_ {};
    };

    const Entry* find(Fingerprint fingerprint, TimePoint now) const
    {
        const auto found = entries_.find(fingerprint);
        if (found == entries_.end() || found->second.until_ <= now)
            return nullptr;
        return &found->second;
    }

    bool isProven(Fingerprint fingerprint, TimePoint now) const
    {
        const Entry* entry = find(fingerprint, now);
        return entry && entry->crashes_ >= crashesThatProve;
    }

    // Gives the count after this crash.
    std::uint32_t addCrash(Fingerprint fingerprint, UpstreamId upstream, TimePoint now)
    {
        const Entry* known = find(fingerprint, now);
        const std::uint32_t crashes = (known ? known->crashes_ : 0) + 1;
        set(fingerprint, crashes, upstream, now);
        return crashes;
    }

    // What a peer tells. Counts only grow by it, except that zero clears a suspect; a proven entry stays.
    void learn(Fingerprint fingerprint, std::uint32_t crashes, UpstreamId upstream, TimePoint now)
    {
        const Entry* known = find(fingerprint, now);
        if (known && known->crashes_ >= crashesThatProve)
            return;
        if (crashes == 0)
            entries_.erase(fingerprint);
        else if (!known || known->crashes_ < crashes)
            set(fingerprint, crashes, upstream, now);
    }

    std::size_t size() const { return entries_.size(); }

private:
    static constexpr Duration suspectFor = std::chrono::minutes(1);
    static constexpr Duration provenFor = std::chrono::minutes(10);
    static constexpr std::size_t maxEntries = 4096;

    void set(Fingerprint fingerprint, std::uint32_t crashes, UpstreamId upstream, TimePoint now)
    {
        if (entries_.size() >= maxEntries)
            boost::unordered::erase_if(entries_, [&](const auto& each) { return each.second.until_ <= now; });
        const Duration kept = crashes >= crashesThatProve ? provenFor : suspectFor;
        entries_.insert_or_assign(fingerprint, Entry { crashes, upstream, now + kept });
    }

    boost::unordered_flat_map<Fingerprint, Entry, std::hash<Fingerprint>> entries_;
};

} // namespace jj
