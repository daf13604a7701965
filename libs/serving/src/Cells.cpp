// Splits regions by their node counts per failure domain, and assigns nodes and engines to cells by a hash of their ids.
#include "Cells.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    constexpr std::uint64_t cellHashSeed = 0x63656c6c;
    constexpr std::uint64_t delegateHashSeed = 0x64656c65;
    constexpr std::uint64_t neighbourHashSeed = 0x6e656967;

    std::uint64_t delegateWeight(NodeId node) { return mixHash(delegateHashSeed, node.value()); }

} // namespace

std::size_t Cells::Region::largest() const
{
    std::size_t most = 0;
    for (const auto& [domain, nodes] : domains_)
        most = std::max(most, nodes);
    return most;
}

std::size_t Cells::Region::smallest() const
{
    std::size_t least = nodes_;
    for (const auto& [domain, nodes] : domains_)
        least = std::min(least, nodes);
    return least;
}

std::vector<FailureDomainId> Cells::Region::domainIds() const
{
    std::vector<FailureDomainId> ids;
    for (const auto& [domain, nodes] : domains_)
        ids.push_back(domain);
    return ids;
}

Cells::Layout Cells::layout() const
{
    Layout layout { {}, cells() };
    for (const auto& [id, region] : regions_)
        layout.regions_[id] = { splits_.at(id), region.domainIds() };
    return layout;
}

bool Cells::isWithinBounds(const RegionSplit& split, const Region& region)
{
    const bool isWhole = !split.byDomain_ && split.parts_ == 1;
    if (isWhole)
        return region.nodes_ <= maxNodes;
    const std::size_t largest = split.byDomain_ ? region.largest() : region.nodes_;
    const std::size_t smallest = split.byDomain_ ? region.smallest() : region.nodes_;
    return largest <= maxNodes * split.parts_ && smallest >= minNodes * split.parts_;
}

RegionSplit Cells::chooseSplit(const Region& region)
{
    if (region.nodes_ <= maxNodes)
        return {};
    RegionSplit byDomain { true, 1 };
    while (region.largest() > maxNodes * byDomain.parts_)
        byDomain.parts_ *= 2;
    if (region.smallest() >= minNodes * byDomain.parts_)
        return byDomain;
    RegionSplit byHash { false, 1 };
    while (region.nodes_ > maxNodes * byHash.parts_)
        byHash.parts_ *= 2;
    return byHash;
}

Cells::Change Cells::rebuild(const std::vector<CellMember>& members)
{
    const Layout layoutBefore = layout();
    regions_.clear();
    for (const CellMember& member : members) {
        Region& region = regions_[member.region_];
        ++region.domains_[member.domain_];
        ++region.nodes_;
    }
    for (const auto& [id, region] : regions_) {
        RegionSplit& split = splits_[id];
        if (!isWithinBounds(split, region))
            split = chooseSplit(region);
    }
    const auto before = std::exchange(cells_, {});
    cellOfNode_.clear();
    std::map<CellId, std::vector<NodeId>> candidates;
    for (const CellMember& member : members) {
        const CellId cell = cellOf(member.region_, member.domain_, member.node_.value());
        cellOfNode_[member.node_] = cell;
        if (!member.isLive_)
            continue;
        cells_[cell].region_ = member.region_;
        cells_[cell].nodes_.push_back(member.node_);
        if (!member.isLeaving_)
            candidates[cell].push_back(member.node_);
    }
    for (auto& [id, cell] : cells_)
        std::sort(cell.nodes_.begin(), cell.nodes_.end());
    chooseDelegates(candidates);
    chooseNeighbours();
    return { cells_ != before, layout() != layoutBefore };
}

void Cells::chooseDelegates(std::map<CellId, std::vector<NodeId>>& candidates)
{
    for (auto& [cell, nodes] : candidates) {
        std::sort(nodes.begin(), nodes.end(), [](NodeId left, NodeId right) { return delegateWeight(left) > delegateWeight(right); });
        nodes.resize(std::min(nodes.size(), delegatesPerCell));
        cells_[cell].delegates_ = std::move(nodes);
    }
}

// With rendezvous hashing, a cell that appears or disappears changes the neighbours of few cells.
void Cells::chooseNeighbours()
{
    for (auto& [id, cell] : cells_) {
        std::vector<std::pair<std::uint64_t, CellId>> near;
        std::vector<std::pair<std::uint64_t, CellId>> far;
        for (const auto& [other, otherCell] : cells_) {
            if (other != id)
                (otherCell.region_ == cell.region_ ? near : far).push_back({ mixHash(mixHash(neighbourHashSeed, id.value()), other.value()), other });
        }
        std::sort(near.begin(), near.end());
        std::sort(far.begin(), far.end());
        const std::size_t farWanted = neighboursPerCell - std::min(neighboursInRegion, near.size());
        const std::size_t nearCount = std::min(near.size(), neighboursPerCell - std::min(farWanted, far.size()));
        near.resize(nearCount);
        near.insert(near.end(), far.begin(), far.begin() + static_cast<std::ptrdiff_t>(std::min(far.size(), neighboursPerCell - nearCount)));
        for (const auto& [weight, other] : near)
            cell.neighbours_.push_back(other);
    }
}

CellId Cells::cellOf(RegionId region, FailureDomainId domain, std::uint64_t member) const
{
    const auto found = regions_.find(region);
    if (found == regions_.end())
        return CellId::none();
    const auto splitOf = splits_.find(region);
    const RegionSplit split = splitOf == splits_.end() ? RegionSplit() : splitOf->second;
    const std::uint64_t hash = mixHash(cellHashSeed, member);
    std::uint64_t scopeHash = region.value();
    if (split.byDomain_) {
        const auto& domains = found->second.domains_;
        // An engine in a domain without nodes is assigned to the cell of another domain, chosen by its hash.
        const bool hasNodes = domains.contains(domain);
        const FailureDomainId effectiveDomain = hasNodes ? domain : std::next(domains.begin(), static_cast<std::ptrdiff_t>(hash % domains.size()))->first;
        scopeHash = mixHash(scopeHash, effectiveDomain.value());
    }
    return CellId(static_cast<CellId::Value>(mixHash(scopeHash, (hash & (split.parts_ - 1)) + 1)));
}

CellId Cells::cellOf(NodeId node) const
{
    const auto found = cellOfNode_.find(node);
    return found == cellOfNode_.end() ? CellId::none() : found->second;
}

const std::vector<NodeId>& Cells::delegates(CellId cell) const
{
    static const std::vector<NodeId> noNodes;
    const auto found = cells_.find(cell);
    return found == cells_.end() ? noNodes : found->second.delegates_;
}

const std::vector<CellId>& Cells::neighbours(CellId cell) const
{
    static const std::vector<CellId> noCells;
    const auto found = cells_.find(cell);
    return found == cells_.end() ? noCells : found->second.neighbours_;
}

bool Cells::isNeighbour(CellId cell, CellId other) const
{
    const std::vector<CellId>& all = neighbours(cell);
    return std::find(all.begin(), all.end(), other) != all.end();
}

const std::vector<NodeId>& Cells::nodesOf(CellId cell) const
{
    static const std::vector<NodeId> noNodes;
    const auto found = cells_.find(cell);
    return found == cells_.end() ? noNodes : found->second.nodes_;
}

std::vector<CellId> Cells::cells() const
{
    std::vector<CellId> ids;
    for (const auto& [id, cell] : cells_) {
        if (!cell.nodes_.empty())
            ids.push_back(id);
    }
    return ids;
}

} // namespace jj
