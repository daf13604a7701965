// The merge rule.
#include "membership/Members.h"

#include <utility>

namespace jj {

namespace {

    bool countsAsLive(MemberState state) { return state == MemberState::Alive || state == MemberState::Suspect; }

    bool isNewer(const MemberRumor& rumor, const MemberStanding& known)
    {
        const auto left = std::pair(rumor.incarnation_, rumor.refutation_);
        const auto right = std::pair(known.incarnation_, known.refutation_);
        if (left != right)
            return left > right;
        return rumor.state_ > known.state_;
    }

} // namespace

Members::Merged Members::insert(const MemberRumor& rumor, TimePoint now)
{
    rows_.insert(rumor.node_, MemberPlace { rumor.endpoint_, rumor.region_, rumor.domain_ },
        MemberStanding { rumor.incarnation_, rumor.refutation_, rumor.state_, now },
        MemberAttributes { rumor.revision_, rumor.leaving_, rumor.inForce_ }, MemberEvidence {});
    if (countsAsLive(rumor.state_))
        ++live_;
    return { true, true, true };
}

Members::Merged Members::merge(const MemberRumor& rumor, TimePoint now)
{
    const auto row = rows_.find(rumor.node_);
    if (!row)
        return insert(rumor, now);

    Merged merged;
    auto& standing = rows_.get<MemberStanding>(*row);
    auto& attributes = rows_.get<MemberAttributes>(*row);
    const bool newProcess = rumor.incarnation_ > standing.incarnation_;
    const bool sameProcess = rumor.incarnation_ == standing.incarnation_;
    if (newProcess || (sameProcess && rumor.revision_ > attributes.revision_)) {
        merged.state_ = attributes.leaving_ != rumor.leaving_;
        attributes = { rumor.revision_, rumor.leaving_, rumor.inForce_ };
    } else if (sameProcess && isLater(rumor.inForce_, attributes.inForce_)) {
        attributes.inForce_ = rumor.inForce_;
    }
    if (!isNewer(rumor, standing))
        return merged;

    merged.standing_ = true;
    merged.state_ = merged.state_ || newProcess || standing.state_ != rumor.state_;
    if (countsAsLive(standing.state_))
        --live_;
    if (countsAsLive(rumor.state_))
        ++live_;
    const TimePoint since = standing.state_ == rumor.state_ ? standing.since_ : now;
    standing = { rumor.incarnation_, rumor.refutation_, rumor.state_, since };
    rows_.get<MemberPlace>(*row) = { rumor.endpoint_, rumor.region_, rumor.domain_ };
    if (rumor.state_ != MemberState::Suspect)
        rows_.get<MemberEvidence>(*row).deadAt_ = neverTime;
    return merged;
}

bool Members::isKnown(const MemberRumor& rumor) const
{
    const auto known = rumorOf(rumor.node_);
    return known && known->incarnation_ == rumor.incarnation_ && known->refutation_ == rumor.refutation_ && known->state_ == rumor.state_ && known->revision_ == rumor.revision_;
}

bool Members::noteInForce(NodeId node, ConfigVersion version)
{
    auto* attributes = rows_.cell<MemberAttributes>(node);
    if (!attributes || !isLater(version, attributes->inForce_))
        return false;
    attributes->inForce_ = version;
    return true;
}

std::optional<MemberRumor> Members::rumorOf(NodeId node) const
{
    const auto row = rows_.find(node);
    return row ? std::optional(rumorAt(*row)) : std::nullopt;
}

MemberRumor Members::rumorAt(Row row) const
{
    const auto& place = rows_.get<MemberPlace>(row);
    const auto& standing = rows_.get<MemberStanding>(row);
    const auto& attributes = rows_.get<MemberAttributes>(row);
    return { rows_.idAt(row), place.endpoint_, place.region_, place.domain_, standing.incarnation_, standing.refutation_,
        standing.state_, attributes.revision_, attributes.leaving_, attributes.inForce_ };
}

bool Members::isLive(NodeId node) const
{
    const auto row = rows_.find(node);
    return row && isLiveAt(*row);
}

bool Members::isLiveAt(Row row) const { return countsAsLive(rows_.get<MemberStanding>(row).state_); }

void Members::erase(NodeId node)
{
    if (isLive(node))
        --live_;
    rows_.erase(node);
}

} // namespace jj
