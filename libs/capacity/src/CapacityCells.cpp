// The reports of other cells, each with the total work of the cell, and the report of this cell.
#include "capacity/CapacityBoard.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    // A failure that only one node sees may be caused by that node; one that two nodes see is attributed to the engine.
    constexpr std::size_t minReportingNodes = 2;

    std::uint16_t bounded(std::uint32_t count) { return static_cast<std::uint16_t>(std::min<std::uint32_t>(count, UINT16_MAX)); }

    EngineUse sumOf(const EngineUse& left, const EngineUse& right)
    {
        return { left.engine_, bounded(left.onlineRequests_ + right.onlineRequests_), bounded(left.batchItems_ + right.batchItems_), bounded(left.nonPreemptibleItems_ + right.nonPreemptibleItems_) };
    }

    WaitingItems sumOf(const WaitingItems& left, const WaitingItems& right)
    {
        return { left.service_, bounded(left.count_ + right.count_), std::min(left.dueIn_, right.dueIn_) };
    }

    WaitingRequests sumOf(const WaitingRequests& left, const WaitingRequests& right)
    {
        return { left.service_, bounded(left.count_ + right.count_), bounded(left.inTime_ + right.inTime_) };
    }

    template <class Entry, class Key>
    void addTo(std::map<Key, Entry>& sums, Key key, const Entry& entry)
    {
        const auto [it, isNew] = sums.try_emplace(key, entry);
        if (!isNew)
            it->second = sumOf(it->second, entry);
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
    location_.cell_ = own;
    cellsWithNodes_ = std::set<CellId>(others.begin(), others.end());
    dropCellReport(own);
    for (auto& [id, engine] : engines_)
        groups_.insert(engine, idFromName<ServiceId>(engine.entry_.service_), distanceOf(engine));
}

void CapacityBoard::applyCellReport(const CellUse& use, TimePoint at)
{
    if (use.cell_ == location_.cell_)
        return;
    const auto found = cells_.find(use.cell_);
    if (found != cells_.end() && found->second.at_ >= at)
        return;
    dropCellReport(use.cell_);
    cells_[use.cell_] = { use, at };
    add(use.uses_);
    updateCellFailureReports(use, true);
}

void CapacityBoard::dropCellReport(CellId cell)
{
    const auto found = cells_.find(cell);
    if (found == cells_.end())
        return;
    subtract(found->second.use_.uses_);
    updateCellFailureReports(found->second.use_, false);
    cells_.erase(found);
}

void CapacityBoard::updateCellFailureReports(const CellUse& use, bool isReported)
{
    for (const UpstreamId id : use.failingEngines_) {
        const auto found = engines_.find(id);
        if (found == engines_.end())
            continue;
        if (isReported)
            found->second.cellsReportingFailure_.insert(use.cell_);
        else
            found->second.cellsReportingFailure_.erase(use.cell_);
    }
}

CellUse CapacityBoard::ownCell(TimePoint now) const
{
    std::map<UpstreamId, EngineUse> uses;
    std::map<ServiceId, WaitingRequests> waiting;
    std::map<ServiceId, WaitingItems> items;
    const auto addNode = [&](const NodeUse& use, Duration age) {
        for (const EngineUse& one : use.uses_)
            addTo(uses, one.engine_, one);
        for (const WaitingRequests& one : use.waiting_)
            addTo(waiting, one.service_, WaitingRequests { one.service_, one.count_, one.inTime_ });
        for (const WaitingItems& one : use.items_)
            addTo(items, one.service_, WaitingItems { one.service_, one.count_, one.dueIn_ - age });
    };
    addNode(ownUse(now), {});
    for (const auto& [node, report] : reports_)
        addNode(report.use_, now - report.at_);
    CellUse cell { location_.cell_, self_, false, valuesOf(uses), {}, valuesOf(waiting), valuesOf(items) };
    // In a cell of one node no second node can confirm the failure.
    const std::size_t requiredReports = reports_.empty() ? 1 : minReportingNodes;
    const std::vector<UpstreamId> ownFailing = failingEngines(now);
    std::set<UpstreamId> failing(ownFailing.begin(), ownFailing.end());
    failing.insert(reportedFailing_.begin(), reportedFailing_.end());
    for (const UpstreamId id : failing) {
        const Engine& engine = engines_.at(id);
        const bool isFailingHere = engine.isSuspect_ || isSilent(id, now);
        if (engine.nodesReportingFailure_.size() + (isFailingHere ? 1 : 0) >= requiredReports)
            cell.failingEngines_.push_back(id);
    }
    return cell;
}

EngineDistance CapacityBoard::distanceOf(const Engine& engine) const
{
    if (engine.entry_.cell_ == location_.cell_)
        return EngineDistance::SameCell;
    return engine.entry_.region_ == location_.region_ ? EngineDistance::SameRegion : EngineDistance::OtherRegion;
}

Duration CapacityBoard::extraLatencyOf(EngineDistance distance) const
{
    switch (distance) {
    case EngineDistance::SameCell:
        return Duration::zero();
    case EngineDistance::SameRegion:
        return settings_.otherCellLatency_;
    case EngineDistance::OtherRegion:
        break;
    }
    return settings_.otherRegionLatency_;
}

bool CapacityBoard::isLoadUnknown(const Engine& engine, TimePoint now) const
{
    const CellId cell = engine.entry_.cell_;
    if (cell == location_.cell_ || !cellsWithNodes_.contains(cell))
        return false;
    const auto found = cells_.find(cell);
    return found == cells_.end() || found->second.use_.isBrief_ || now - found->second.at_ > settings_.cellTimeout_;
}

bool CapacityBoard::hasQueueInItsCell(const Engine& engine, ServiceId service) const
{
    const auto found = cells_.find(engine.entry_.cell_);
    if (found == cells_.end())
        return false;
    const auto& waiting = found->second.use_.waiting_;
    return std::any_of(waiting.begin(), waiting.end(), [service](const WaitingRequests& one) { return one.service_ == service && one.count_ > 0; });
}

std::map<CellId, std::uint32_t> CapacityBoard::spareBatchSlots(std::span<Engine* const> engines, ServiceId service, bool urgent, TimePoint now) const
{
    std::map<CellId, std::uint32_t> spareSlots;
    for (const Engine* engine : engines)
        spareSlots[engine->entry_.cell_] += freeBatchSlots(*engine, urgent, now);
    for (auto& [cell, freeSlots] : spareSlots) {
        const auto found = cells_.find(cell);
        if (found == cells_.end())
            continue;
        for (const WaitingItems& items : found->second.use_.items_) {
            if (items.service_ == service)
                freeSlots -= std::min<std::uint32_t>(freeSlots, items.count_);
        }
    }
    return spareSlots;
}

} // namespace jj
