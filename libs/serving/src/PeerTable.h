// Holds, for each other node, its membership state and the content of its last report.
//
// The counts of live nodes and the revision are updated with each change, so that the queries of each tick take constant time.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "wire/DatagramMessages.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

struct Peer {
    NodeId node_;
    PeerAddress at_;
    RegionId region_;
    FailureDomainId domain_;
    MemberState state_ = MemberState::Alive;
    bool leaving_ = false; // according to membership or its latest report
    bool isMemberLeaving_ = false; // according to membership
    bool runsJobs_ = false;
    Incarnation incarnation_; // of its membership
    TimePoint liveSince_ {}; // start of its last incarnation, as far as this node knows
    TimePoint downSince_ {}; // only valid while the node isn't live
    // Process and number of its latest report, under which earlier ones are dropped; 0: none since the start of its last incarnation.
    Incarnation reportIncarnation_;
    std::uint32_t reportSequence_ = 0;
    TimePoint lastSeenAt_ {}; // last time when its report arrived, or a summary of its cell that lists it
    std::uint64_t configVersion_ = 0;
    std::uint64_t enginesVersion_ = 0;
    bool watching_ = false;
    bool spoolsJobs_ = false;
    std::uint32_t spooledJobs_ = 0;
    bool isStoreUnreachable_ = false;
    bool isOverloaded_ = false; // only known of the nodes of the own cell

    // Returns whether a later report of this node has arrived.
    bool hasLaterReport(Incarnation incarnation, std::uint32_t sequence) const
    {
        return reportSequence_ > 0 && (incarnation < reportIncarnation_ || (incarnation == reportIncarnation_ && sequence <= reportSequence_));
    }
    bool isLive() const { return state_ == MemberState::Alive || state_ == MemberState::Suspect; }
};

class PeerTable {
public:
    // `region` is the region of this node.
    explicit PeerTable(RegionId region)
        : region_(region)
    {
    }

    struct Change {
        bool cameUp_ = false; // the node is live now and wasn't before
        bool wentDown_ = false; // the node was live before and isn't now
        bool hasStarted_ = false; // the node is live as another incarnation than before, or for the first time
    };
    Change apply(const MemberRumor& member, TimePoint now);

    // Returns null if the node is unknown.
    Peer* find(NodeId node);
    const Peer* find(NodeId node) const;
    // Returns all known nodes in the order of their discovery.
    const std::vector<Peer>& rows() const { return rows_; }

    // Return the number of live nodes in this node's region, and in all other regions.
    std::size_t liveInRegion() const { return liveInRegion_; }
    std::size_t liveElsewhere() const { return liveElsewhere_; }
    // Returns a number that increases with each membership change.
    std::uint64_t revision() const { return revision_; }

private:
    std::size_t& liveCountFor(const Peer& peer) { return peer.region_ == region_ ? liveInRegion_ : liveElsewhere_; }

    RegionId region_;
    std::vector<Peer> rows_;
    boost::unordered_flat_map<NodeId, std::size_t, std::hash<NodeId>> rowIndices_; // indices into rows_
    // Invariant: the number of live rows in this node's region, and in all other regions.
    std::size_t liveInRegion_ = 0;
    std::size_t liveElsewhere_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace jj
