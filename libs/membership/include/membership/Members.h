// The table of all other members that this node knows, and the rule by which rumors about them merge.
//
// The rule is a join: merging rumors in any order, any number of times, ends in the same state. So datagrams may be lost,
// doubled and reordered without harm.
// - State follows (incarnation, refutation); with both equal the worse state holds (Alive < Suspect < Dead < Left).
// - The member's attributes (leaving, configuration), which only it states, follows (incarnation, revision).
#pragma once

#include "base/Time.h"
#include "tables/Table.h"
#include "wire/DatagramMessages.h"

#include <optional>
#include <vector>

namespace jj {

// Where the member stands; fixed for a node id but for its region, which its settings say.
struct MemberPlace {
    PeerAddress endpoint_;
    RegionId region_;
    FailureDomainId domain_;
};

struct MemberStanding {
    Incarnation incarnation_;
    std::uint32_t refutation_ = 0;
    MemberState state_ = MemberState::Alive;
    TimePoint since_ {}; // of this state
};

// What the member states of itself.
struct MemberAttributes {
    std::uint32_t revision_ = 0;
    bool leaving_ = false;
    ConfigVersion inForce_;
};

// What this node alone knows of the member.
struct MemberEvidence {
    // This node's own probes of the suspect fail; until when it may refute. neverTime: no own evidence.
    TimePoint deadAt_ = neverTime;
    // Number of the last probe before the suspicion; answers to later ones clear it.
    std::uint64_t suspectedAfter_ = 0;
    bool listedLeaving_ = false; // the platform's list says that the host leaves
};

// Orders configuration versions with `none` as the lowest.
inline bool isLater(ConfigVersion left, ConfigVersion right)
{
    return !left.isNone() && (right.isNone() || left > right);
}

class Members {
public:
    using Rows = Table<NodeId, MemberPlace, MemberStanding, MemberAttributes, MemberEvidence>;

    struct Merged {
        bool isNew_ = false;
        bool standing_ = false; // incarnation, refutation or state moved on
        bool state_ = false; // the process, its state or its leaving mark differs from before
    };

    Merged merge(const MemberRumor& rumor, TimePoint now);

    // Returns whether the rumor states what is known of the member, apart from the configuration that it applies.
    bool isKnown(const MemberRumor& rumor) const;

    // Raises the configuration version that the member is known to apply. Says whether it was lower.
    bool noteInForce(NodeId node, ConfigVersion version);

    std::optional<MemberRumor> rumorOf(NodeId node) const;
    MemberRumor rumorAt(Row row) const;

    // Alive or suspect: the member counts.
    bool isLive(NodeId node) const;
    bool isLiveAt(Row row) const;
    std::size_t liveCount() const { return live_; }

    void erase(NodeId node);

    Rows& rows() { return rows_; }
    const Rows& rows() const { return rows_; }

private:
    Merged insert(const MemberRumor& rumor, TimePoint now);

    Rows rows_;
    // Invariant: number of rows that are Alive or Suspect.
    std::size_t live_ = 0;
};

} // namespace jj
