// Records removed engines with the versions of their removal, and the ranges of versions in which removals may be unknown.
//
// A node either follows removals one by one or takes over a whole state, by listing the store or by receiving all engines from a
// peer. A whole state doesn't name engines that were added and removed since the node's previous version. The versions between the
// previous version and the state's version form a gap. A peer whose version lies inside the gap may know such an engine, so it
// needs a whole state too. A peer whose version is at or before the start of the gap doesn't know the engine, and a peer whose
// version is at or after its end has applied the removal.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace jj {

// A range of store versions. Both ends lie outside the gap.
struct VersionGap {
    std::uint64_t from_ = 0;
    std::uint64_t to_ = 0;

    bool contains(std::uint64_t version) const { return from_ < version && version < to_; }
};

class RemovalHistory {
public:
    // Records the removal of the engine with this key. `version` is the version of the removal, or a later version up to which this
    // node has applied all changes.
    void add(std::uint64_t version, const std::string& key);
    // Records that removals within the gap may be unknown.
    void addGap(VersionGap gap);

    // Returns whether all removals since that version are known.
    bool isCompleteSince(std::uint64_t since) const;
    // Returns the keys removed since that version. A key may occur twice.
    std::vector<std::string> keysSince(std::uint64_t since) const;
    // Returns the gaps that a node must also record when it takes over the removals since that version.
    std::vector<VersionGap> gapsSince(std::uint64_t since) const;

private:
    static constexpr std::size_t maxRemovals = 512;
    static constexpr std::size_t maxGaps = 32;

    struct Removal {
        std::uint64_t version_ = 0;
        std::string key_;
    };

    std::deque<Removal> removals_; // Invariant: versions never decrease.
    std::deque<VersionGap> gaps_; // in the order in which they were recorded
    std::uint64_t completeAfter_ = 0; // removals up to this version may be missing from the records
};

} // namespace jj
