// Distributes updates of the configuration and of engines from the few nodes that watch the store to all other nodes.
//
// Each node's report contains the versions that the node has. A node that is behind requests an update from a peer that is ahead,
// and can then answer other nodes itself.
//
// If all nodes asked the node with the newest version, its link would be saturated for seconds: requesters give up before the first
// byte arrives and ask again, so that the bytes sent are wasted. In a fleet of 299 nodes, configurations then took effect only
// after 5 to 14 s, and a fleet that was killed as a whole, with 0.9 MB of engines to send to each node, hadn't recovered after half
// a minute. Therefore a node that is behind asks any node that is ahead, and a node accepts only as many requesters as its link can
// serve soon. The others are refused at once and ask another peer. So the number of nodes that can send an update doubles with each
// round of answers.
//
// Links between failure domains and between regions are shared and paid for, so a node asks a peer of its own failure domain if one is
// ahead, and otherwise one of its own region.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace jj {

// Where a peer is, seen from this node; in order of preference.
enum class UpdateDistance : std::uint8_t {
    SameDomain,
    SameRegion, // in another failure domain of the region
    OtherRegion,
};

// Returns the distance between two hosts at these places.
UpdateDistance updateDistance(RegionId region, FailureDomainId domain, RegionId otherRegion, FailureDomainId otherDomain);

// The versions that a peer has, according to its last report.
struct UpdatePeer {
    NodeId node_;
    UpdateDistance distance_ = UpdateDistance::OtherRegion;
    std::uint64_t config_ = 0;
    std::uint64_t engines_ = 0;
};

// Returns a peer that is ahead of these versions: the newer of two random ones among the nearest that are ahead. If no peer is known to
// be ahead, chooses among all peers; returns no node if there are no peers.
NodeId pickUpdateSource(const std::vector<UpdatePeer>& peers, std::uint64_t config, std::uint64_t engines, std::mt19937_64& random);

// Limits how many update requests a node answers.
class UpdateBudget {
public:
    // About half the bandwidth of the slowest link of an entry host, which has 30 Mbit/s. The answers to callers need the rest.
    static constexpr double bytesPerSecond = 2e6;
    // Must stay well below 600 ms: a requester that receives no byte for that long gives up.
    static constexpr Duration maxBacklog = 250ms;

    bool mayAnswer(TimePoint now) const { return busyUntil_ - now <= maxBacklog; }
    void recordSent(std::size_t bytes, TimePoint now);

private:
    TimePoint busyUntil_ {};
};

} // namespace jj
