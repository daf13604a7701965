// Implements the choice of an update source and the send budget; ServingTurn.cpp sends the requests and answers.
#include "Dissemination.h"

#include <algorithm>

namespace jj {

NodeId pickUpdateSource(const std::vector<UpdatePeer>& peers, std::uint64_t config, std::uint64_t engines, std::mt19937_64& random)
{
    std::vector<const UpdatePeer*> sameRegion;
    std::vector<const UpdatePeer*> otherRegion;
    std::vector<const UpdatePeer*> notAhead;
    for (const UpdatePeer& peer : peers) {
        const bool isAhead = peer.config_ > config || peer.engines_ > engines;
        (!isAhead ? notAhead : peer.isSameRegion_ ? sameRegion
                                                  : otherRegion)
            .push_back(&peer);
    }
    const auto& from = !sameRegion.empty() ? sameRegion : !otherRegion.empty() ? otherRegion
                                                                               : notAhead;
    if (from.empty())
        return NodeId::none();
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    const UpdatePeer* first = from[any(random)];
    const UpdatePeer* second = from[any(random)];
    // Picks the newer of two random peers, so that a node reaches the newest version in fewer updates.
    const bool isSecondNewer = second->config_ != first->config_ ? second->config_ > first->config_ : second->engines_ > first->engines_;
    return (isSecondNewer ? second : first)->node_;
}

void UpdateBudget::recordSent(std::size_t bytes, TimePoint now) { busyUntil_ = std::max(busyUntil_, now) + fromSeconds(static_cast<double>(bytes) / bytesPerSecond); }

} // namespace jj
