// Rows are never removed while the process runs: the row of a node that has left takes only about 100 bytes.
#include "PeerTable.h"

namespace jj {

PeerTable::Change PeerTable::apply(const MemberRumor& member, TimePoint now)
{
    const auto [entry, isNew] = rowIndices_.try_emplace(member.node_, rows_.size());
    if (isNew)
        rows_.emplace_back();
    Peer& peer = rows_[entry->second];
    const bool wasLive = !isNew && peer.isLive();
    if (wasLive)
        --liveCountFor(peer);
    if (!wasLive || peer.incarnation_ != member.incarnation_)
        peer.liveSince_ = now;
    const bool isNewIncarnation = peer.incarnation_ != member.incarnation_;
    // The clock by which processes number themselves may have been set back.
    if (isNewIncarnation)
        peer.reportSequence_ = 0;
    peer.incarnation_ = member.incarnation_;
    peer.node_ = member.node_;
    peer.at_ = member.endpoint_;
    peer.region_ = member.region_;
    peer.domain_ = member.domain_;
    peer.state_ = member.state_;
    peer.isMemberLeaving_ = member.leaving_;
    peer.leaving_ = member.leaving_;
    if (peer.isLive())
        ++liveCountFor(peer);
    if (wasLive && !peer.isLive())
        peer.downSince_ = now;
    ++revision_;
    return { !wasLive && peer.isLive(), wasLive && !peer.isLive(), isNewIncarnation && peer.isLive() };
}

Peer* PeerTable::find(NodeId node)
{
    const auto found = rowIndices_.find(node);
    return found == rowIndices_.end() ? nullptr : &rows_[found->second];
}

const Peer* PeerTable::find(NodeId node) const
{
    const auto found = rowIndices_.find(node);
    return found == rowIndices_.end() ? nullptr : &rows_[found->second];
}

} // namespace jj
