// Which engines were removed since a version, as far as a node can tell, and where it can't.
//
// A node follows removals one by one, or takes over a state: it lists the store, or takes all engines from a peer. A state names no engine that
// came and went since the node's version before. The versions between the two are a gap: a peer whose version lies within it may
// know such an engine, so it needs a state too. A peer at the gap's start or before it knows no such engine, and one at its end or
// after it has heard of the removal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace jj {

// Versions of the store; both ends are outside of the gap.
struct VersionGap {
    std::uint64_t from_ = 0;
    std::uint64_t to_ = 0;

    bool contains(std::uint64_t version) const { return from_ < version && version < to_; }
};

class RemovalHistory {
public:
    // The engine with this key is gone; `version`: of the removal, or a later one that this node knows up to.
    void add(std::uint64_t version, const std::string& key);
    // Removals within the gap may be unknown.
    void skip(VersionGap gap);

    // All removals since that version are known.
    bool covers(std::uint64_t since) const;
    // Keys; one may be named twice.
    std::vector<std::string> keysSince(std::uint64_t since) const;
    // For who takes over the removals since that version.
    std::vector<VersionGap> gapsSince(std::uint64_t since) const;

private:
    static constexpr std::size_t mostRemovals = 512;
    static constexpr std::size_t mostGaps = 32;

    struct Removal {
        std::uint64_t version_ = 0;
        std::string key_;
    };

    std::deque<Removal> removals_; // Invariant: versions don't fall.
    std::deque<VersionGap> gaps_; // in the order in which they were met
    std::uint64_t keptAfter_ = 0; // nothing is known of removals up to it
};

} // namespace jj
