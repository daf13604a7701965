// Implements the choice of an update source and the send budget; ServingTurn.cpp sends the requests and answers.
#include "Dissemination.h"

#include <algorithm>
#include <array>

namespace jj {

UpdateDistance updateDistance(RegionId region, FailureDomainId domain, RegionId otherRegion, FailureDomainId otherDomain)
{
    if (region != otherRegion)
        return UpdateDistance::OtherRegion;
    return domain == otherDomain ? UpdateDistance::SameDomain : UpdateDistance::SameRegion;
}

NodeId pickUpdateSource(const std::vector<UpdatePeer>& peers, std::uint64_t config, std::uint64_t engines, std::mt19937_64& random)
{
    // By preference: the peers that are ahead, by distance, and then those that aren't.
    constexpr std::size_t distances = 3;
    std::array<std::vector<const UpdatePeer*>, distances + 1> groups;
    for (const UpdatePeer& peer : peers) {
        const bool isAhead = peer.config_ > config || peer.engines_ > engines;
        groups[isAhead ? static_cast<std::size_t>(peer.distance_) : distances].push_back(&peer);
    }
    const auto nearest = std::find_if(groups.begin(), groups.end(), [](const auto& group) { return !group.empty(); });
    if (nearest == groups.end())
        return NodeId::none();
    const std::vector<const UpdatePeer*>& from = *nearest;
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    const UpdatePeer* first = from[any(random)];
    const UpdatePeer* second = from[any(random)];
    // Picks the newer of two random peers, so that a node reaches the newest version in fewer updates.
    const bool isSecondNewer = second->config_ != first->config_ ? second->config_ > first->config_ : second->engines_ > first->engines_;
    return (isSecondNewer ? second : first)->node_;
}

void UpdateBudget::recordSent(std::size_t bytes, TimePoint now) { busyUntil_ = std::max(busyUntil_, now) + fromSeconds(static_cast<double>(bytes) / bytesPerSecond); }

} // namespace jj
