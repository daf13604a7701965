// The other nodes as this one knows them: what membership says of each, and its last own report.
//
// Counts and the revision are kept while rows change, so that what is asked at each tick costs nothing that grows with the fleet.
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
    bool leaving_ = false;
    bool runsJobs_ = false;
    TimePoint goneAt_ {}; // meaningful while it doesn't live
    TimePoint heardAt_ {}; // its last own report, or when the delegate of its cell said that it had heard it
    std::uint64_t configVersion_ = 0;
    std::uint64_t enginesVersion_ = 0;
    bool watching_ = false;
    bool keepsJobs_ = false;
    std::uint32_t keptJobs_ = 0;
    bool lostStore_ = false;

    bool isLive() const { return state_ == MemberState::Alive || state_ == MemberState::Suspect; }
};

class PeerTable {
public:
    // `region`: of this node.
    explicit PeerTable(RegionId region)
        : region_(region)
    {
    }

    struct Change {
        bool hasCome_ = false; // it lives, and did not before
        bool hasGone_ = false; // it lived, and does not now
    };
    Change apply(const MemberRumor& member, TimePoint now);

    // Null: never heard of.
    Peer* find(NodeId node);
    const Peer* find(NodeId node) const;
    // In the order in which they were first heard of.
    const std::vector<Peer>& rows() const { return rows_; }

    // Live nodes of this node's region and of all others.
    std::size_t liveNear() const { return liveNear_; }
    std::size_t liveFar() const { return liveFar_; }
    // Grows with each change that membership tells.
    std::uint64_t revision() const { return revision_; }

private:
    std::size_t& countOf(const Peer& peer) { return peer.region_ == region_ ? liveNear_ : liveFar_; }

    RegionId region_;
    std::vector<Peer> rows_;
    boost::unordered_flat_map<NodeId, std::size_t, std::hash<NodeId>> places_; // in rows_
    // Invariant: rows of the region, and of others, that are live.
    std::size_t liveNear_ = 0;
    std::size_t liveFar_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace jj
