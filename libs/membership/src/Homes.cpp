// Rendezvous hashing.
#include "membership/Homes.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    struct Scored {
        bool inRegion_;
        std::uint64_t score_;
        NodeId node_;
    };

    bool ranksAbove(const Scored& left, const Scored& right)
    {
        if (left.inRegion_ != right.inRegion_)
            return left.inRegion_;
        if (left.score_ != right.score_)
            return left.score_ > right.score_;
        return left.node_ > right.node_;
    }

} // namespace

void Homes::rebuild(std::span<const HomeCandidate> candidates)
{
    candidates_.assign(candidates.begin(), candidates.end());
}

NodeId Homes::home(UpstreamId upstream, RegionId region) const
{
    const std::vector<NodeId> first = successors(upstream, region, 1);
    return first.empty() ? NodeId::none() : first.front();
}

std::vector<NodeId> Homes::successors(UpstreamId upstream, RegionId region, std::size_t count) const
{
    std::vector<Scored> scored;
    scored.reserve(candidates_.size());
    for (const HomeCandidate& candidate : candidates_)
        scored.push_back({ candidate.region_ == region, mixHash(candidate.node_.value(), upstream.value()), candidate.node_ });
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), ranksAbove);
    std::vector<NodeId> nodes;
    nodes.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back(scored[i].node_);
    return nodes;
}

} // namespace jj
