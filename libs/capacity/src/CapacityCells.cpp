// The reports of other cells, each with the total work of the cell, and the report of this cell.
#include "capacity/CapacityBoard.h"

#include <algorithm>

namespace jj {

namespace {

    // A failure that only one node sees may be caused by that node; one that two nodes see is attributed to the engine.
    constexpr std::size_t leastAccusers = 2;

    std::uint16_t bounded(std::uint32_t count) { return static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX)); }

    EngineUse sumOf(const EngineUse& left, const EngineUse& right)
    {
        return { left.engine_, bounded(left.questions_ + right.questions_), bounded(left.batchItems_ + right.batchItems_), bounded(left.firmItems_ + right.firmItems_) };
    }

    ItemsWaiting sumOf(const ItemsWaiting& left, const ItemsWaiting& right)
    {
        return { left.service_, bounded(left.count_ + right.count_), std::min(left.dueIn_, right.dueIn_) };
    }

    ServiceWaiting sumOf(const ServiceWaiting& left, const ServiceWaiting& right)
    {
        return { left.service_, bounded(left.count_ + right.count_), bounded(left.inTime_ + right.inTime_) };
    }

    template <class Entry, class Key>
    void addTo(std::map<Key, Entry>& sums, Key key, const Entry& entry)
    {
        const auto [place, isNew] = sums.try_emplace(key, entry);
        if (!isNew)
            place->second = sumOf(place->second, entry);
    }

    template <class Key, class Entry>
    std::vector<Entry> valuesOf(const std::map<Key, Entry>& entries)
    {
        std::vector<Entry> values;
        values.reserve(entries.size());
        for (const auto& [key, entry] : entries)
            values.push_back(entry);
        return values;
    }

} // namespace

void CapacityBoard::setCells(CellId own, const std::vector<CellId>& others)
{
    place_.cell_ = own;
    peopled_ = std::set<CellId>(others.begin(), others.end());
    dropCell(own);
}

void CapacityBoard::heardCell(const CellUse& use, TimePoint at)
{
    if (use.cell_ == place_.cell_)
        return;
    const auto found = cells_.find(use.cell_);
    if (found != cells_.end() && found->second.at_ >= at)
        return;
    dropCell(use.cell_);
    cells_[use.cell_] = { use, at };
    add(use.uses_);
    addDoubts(use, true);
}

void CapacityBoard::dropCell(CellId cell)
{
    const auto found = cells_.find(cell);
    if (found == cells_.end())
        return;
    subtract(found->second.use_.uses_);
    addDoubts(found->second.use_, false);
    cells_.erase(found);
}

void CapacityBoard::addDoubts(const CellUse& use, bool stands)
{
    for (const UpstreamId id : use.shunned_) {
        const auto found = engines_.find(id);
        if (found == engines_.end())
            continue;
        if (stands)
            found->second.doubters_.insert(use.cell_);
        else
            found->second.doubters_.erase(use.cell_);
    }
}

CellUse CapacityBoard::ownCell(TimePoint now) const
{
    std::map<UpstreamId, EngineUse> uses;
    std::map<ServiceId, ServiceWaiting> waiting;
    std::map<ServiceId, ItemsWaiting> items;
    const auto addNode = [&](const NodeUse& use, Duration age) {
        for (const EngineUse& one : use.uses_)
            addTo(uses, one.engine_, one);
        for (const ServiceWaiting& one : use.waiting_)
            addTo(waiting, one.service_, one);
        for (const ItemsWaiting& one : use.items_)
            addTo(items, one.service_, ItemsWaiting { one.service_, one.count_, one.dueIn_ - age });
    };
    addNode(ownUse(now), {});
    for (const auto& [node, report] : reports_)
        addNode(report.use_, now - report.at_);
    CellUse cell { place_.cell_, self_, valuesOf(uses), {}, valuesOf(waiting), valuesOf(items) };
    // In a cell of one node no second node can confirm the failure.
    const std::size_t enough = reports_.empty() ? 1 : leastAccusers;
    for (const auto& [id, engine] : engines_) {
        if (engine.accusers_.size() + (engine.isOnTrial_ ? 1 : 0) >= enough)
            cell.shunned_.push_back(id);
    }
    std::sort(cell.shunned_.begin(), cell.shunned_.end());
    return cell;
}

CapacityBoard::Distance CapacityBoard::distanceOf(const Engine& engine) const
{
    if (engine.entry_.cell_ == place_.cell_)
        return Distance::Near;
    return engine.entry_.region_ == place_.region_ ? Distance::Region : Distance::Far;
}

Duration CapacityBoard::costOf(Distance distance) const
{
    switch (distance) {
    case Distance::Near:
        return Duration::zero();
    case Distance::Region:
        return settings_.otherCellCost_;
    case Distance::Far:
        break;
    }
    return settings_.farCost_;
}

bool CapacityBoard::isUnknown(const Engine& engine, TimePoint now) const
{
    const CellId cell = engine.entry_.cell_;
    if (cell == place_.cell_ || !peopled_.contains(cell))
        return false;
    const auto found = cells_.find(cell);
    return found == cells_.end() || now - found->second.at_ > settings_.cellTimeout_;
}

bool CapacityBoard::isWantedThere(const Engine& engine, ServiceId service) const
{
    const auto found = cells_.find(engine.entry_.cell_);
    if (found == cells_.end())
        return false;
    const auto& waiting = found->second.use_.waiting_;
    return std::any_of(waiting.begin(), waiting.end(), [service](const ServiceWaiting& one) { return one.service_ == service && one.count_ > 0; });
}

std::map<CellId, std::uint32_t> CapacityBoard::surplus(std::span<const Candidate> engines, ServiceId service, bool urgent, TimePoint now) const
{
    std::map<CellId, std::uint32_t> rooms;
    for (const Candidate& candidate : engines) {
        if (candidate.distance_ == Distance::Near)
            continue;
        const EngineEntry& entry = candidate.engine_->entry_;
        rooms[entry.cell_] += entry.slots_ - std::min(entry.slots_, candidate.engine_->total(now) + reserveOf(*candidate.engine_, urgent, now));
    }
    for (auto& [cell, room] : rooms) {
        const auto found = cells_.find(cell);
        if (found == cells_.end())
            continue;
        for (const ItemsWaiting& items : found->second.use_.items_) {
            if (items.service_ == service)
                room -= std::min<std::uint32_t>(room, items.count_);
        }
    }
    return rooms;
}

} // namespace jj
