// The engines that discovery reports, and the counts of the work that this node and other nodes run on them.
#include "capacity/CapacityBoard.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    // Weight of a new measurement in the moving average of the time that an online request occupies its slot.
    constexpr double meanGain = 0.05;
    // Well under CapacitySettings::reportTimeout_, so that reports are dropped soon after it without a check at each pick.
    constexpr Duration expiryCheckPeriod = 100ms;

} // namespace

CapacityBoard::CapacityBoard(CapacitySettings settings, NodeId self, HostLocation place, std::uint64_t seed)
    : settings_(settings)
    , speeds_(EngineSpeeds::create({}).value()) // the defaults are valid
    , self_(self)
    , location_(place)
    , random_(seed)
    , meanRunSeconds_(toSeconds(settings.initialRunEstimate_))
{
}

// ---- discovery

void CapacityBoard::upsert(const EngineEntry& entry)
{
    const auto [place, isNew] = engines_.try_emplace(entry.id_);
    place->second.entry_ = entry;
    place->second.own_.engine_ = entry.id_;
    groups_.insert(place->second, idFromName<ServiceId>(entry.service_), distanceOf(place->second));
    if (!isNew)
        return;
    speeds_.insert(entry.id_, idFromName<ServiceId>(entry.service_));
    // Other nodes may have reported work on the engine before discovery reported it to this node.
    Engine& engine = place->second;
    const auto addUse = [&engine](const std::vector<EngineUse>& uses) {
        for (const EngineUse& use : uses) {
            if (use.engine_ != engine.entry_.id_)
                continue;
            engine.othersOnlineRequests_ += use.onlineRequests_;
            engine.othersBatchItems_ += use.batchItems_;
            engine.othersNonPreemptibleItems_ += use.nonPreemptibleItems_;
        }
    };
    const auto isIn = [&engine](const std::vector<UpstreamId>& failingEngines) { return std::find(failingEngines.begin(), failingEngines.end(), engine.entry_.id_) != failingEngines.end(); };
    for (const auto& [node, report] : reports_) {
        addUse(report.use_.uses_);
        if (isIn(report.use_.failingEngines_))
            engine.nodesReportingFailure_.insert(node);
    }
    if (!engine.nodesReportingFailure_.empty())
        reportedFailing_.insert(entry.id_);
    for (const auto& [cell, report] : cells_) {
        addUse(report.use_.uses_);
        if (isIn(report.use_.failingEngines_))
            engine.cellsReportingFailure_.insert(cell);
    }
}

void CapacityBoard::remove(UpstreamId engine)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    groups_.erase(found->second);
    engines_.erase(found);
    suspects_.erase(engine);
    silentUntil_.erase(engine);
    speeds_.remove(engine);
    reportedFailing_.erase(engine);
    ownWork_.erase(engine);
}

const EngineEntry* CapacityBoard::find(UpstreamId engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second.entry_;
}

std::vector<UpstreamId> CapacityBoard::engines() const
{
    std::vector<UpstreamId> ids;
    ids.reserve(engines_.size());
    for (const auto& [id, engine] : engines_)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

// ---- work of this node

void CapacityBoard::started(UpstreamId engine, WorkClass work)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    ++(work == WorkClass::OnlineRequest ? found->second.own_.onlineRequests_ : found->second.own_.batchItems_);
    ownWork_.insert(engine);
}

void CapacityBoard::ended(UpstreamId engine, WorkClass work)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    std::uint16_t& count = work == WorkClass::OnlineRequest ? found->second.own_.onlineRequests_ : found->second.own_.batchItems_;
    // If the engine was removed and added again in between, the work was counted on the entry that was removed.
    if (count > 0)
        --count;
    if (found->second.own_.onlineRequests_ + found->second.own_.batchItems_ == 0)
        ownWork_.erase(engine);
}

void CapacityBoard::setNonPreemptibleItems(UpstreamId engine, std::uint16_t items)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        found->second.own_.nonPreemptibleItems_ = items;
}

void CapacityBoard::setWaiting(std::string_view service, std::uint16_t count, std::uint16_t inTime, std::vector<WaitingClass> classes)
{
    const auto id = idFromName<ServiceId>(service);
    ownWaiting_[id] = { id, count, inTime, std::move(classes) };
}

void CapacityBoard::setItemsWaiting(std::string_view service, std::uint16_t count, TimePoint firstDue)
{
    ownItems_[idFromName<ServiceId>(service)] = { count, firstDue };
}

void CapacityBoard::recordRunTime(Duration run) { meanRunSeconds_ += meanGain * (toSeconds(run) - meanRunSeconds_); }

// Each time above the quantile raises it by nine steps, each time below it lowers it by one.
void CapacityBoard::recordFirstEvent(Duration time)
{
    constexpr Duration step = 200us;
    constexpr int stepsUp = 9;
    firstEventQuantile_ = std::max(Duration::zero(), firstEventQuantile_ + (time > firstEventQuantile_ ? step * stepsUp : -step));
}

std::vector<UpstreamId> CapacityBoard::failingEngines(TimePoint now) const
{
    std::vector<UpstreamId> engines(suspects_.begin(), suspects_.end());
    for (const auto& [engine, until] : silentUntil_) {
        if (now < until && !suspects_.contains(engine))
            engines.push_back(engine);
    }
    return engines;
}

NodeUse CapacityBoard::ownUse(TimePoint now) const
{
    NodeUse use;
    for (const UpstreamId id : ownWork_)
        use.uses_.push_back(engines_.at(id).own_);
    use.failingEngines_ = failingEngines(now);
    use.speeds_ = speeds_.ownReport(now);
    for (const auto& [service, waiting] : ownWaiting_) {
        if (waiting.count_ > 0)
            use.waiting_.push_back(waiting);
    }
    for (const auto& [service, items] : ownItems_) {
        if (items.count_ > 0)
            use.items_.push_back({ service, items.count_, items.firstDue_ - now });
    }
    return use;
}

// ---- other nodes

void CapacityBoard::subtract(const std::vector<EngineUse>& uses)
{
    for (const EngineUse& one : uses) {
        const auto found = engines_.find(one.engine_);
        if (found == engines_.end())
            continue;
        found->second.othersOnlineRequests_ -= std::min<std::uint32_t>(one.onlineRequests_, found->second.othersOnlineRequests_);
        found->second.othersBatchItems_ -= std::min<std::uint32_t>(one.batchItems_, found->second.othersBatchItems_);
        found->second.othersNonPreemptibleItems_ -= std::min<std::uint32_t>(one.nonPreemptibleItems_, found->second.othersNonPreemptibleItems_);
    }
}

void CapacityBoard::add(const std::vector<EngineUse>& uses)
{
    for (const EngineUse& one : uses) {
        const auto found = engines_.find(one.engine_);
        if (found == engines_.end())
            continue;
        found->second.othersOnlineRequests_ += one.onlineRequests_;
        found->second.othersBatchItems_ += one.batchItems_;
        found->second.othersNonPreemptibleItems_ += one.nonPreemptibleItems_;
    }
}

void CapacityBoard::updateNodeFailureReports(const NodeUse& use, bool isReported)
{
    for (const UpstreamId id : use.failingEngines_) {
        const auto found = engines_.find(id);
        if (found == engines_.end())
            continue;
        std::set<NodeId>& nodes = found->second.nodesReportingFailure_;
        if (isReported)
            nodes.insert(use.node_);
        else
            nodes.erase(use.node_);
        if (nodes.empty())
            reportedFailing_.erase(id);
        else
            reportedFailing_.insert(id);
    }
}

void CapacityBoard::applyReport(const NodeUse& use, TimePoint now)
{
    Report& report = reports_[use.node_];
    const bool isKnown = !report.use_.node_.isNone();
    const bool isOld = isKnown && (use.incarnation_ < report.use_.incarnation_ || (use.incarnation_ == report.use_.incarnation_ && use.sequence_ <= report.use_.sequence_));
    if (isOld)
        return;
    if (isKnown) {
        subtract(report.use_.uses_);
        updateNodeFailureReports(report.use_, false);
    }
    report = { use, now };
    add(use.uses_);
    updateNodeFailureReports(use, true);
    std::vector<EngineSpeedReport> speeds = use.speeds_;
    std::erase_if(speeds, [this](const EngineSpeedReport& one) { return !engines_.contains(one.engine_); });
    speeds_.apply(use.node_, speeds, now);
}

void CapacityBoard::dropNodeReport(NodeId node)
{
    const auto found = reports_.find(node);
    if (found == reports_.end())
        return;
    subtract(found->second.use_.uses_);
    updateNodeFailureReports(found->second.use_, false);
    reports_.erase(found);
}

void CapacityBoard::expireReports(TimePoint now)
{
    if (now - expiryCheckedAt_ < expiryCheckPeriod)
        return;
    expiryCheckedAt_ = now;
    std::vector<NodeId> expiredNodes;
    for (const auto& [node, report] : reports_) {
        if (now - report.at_ > settings_.reportTimeout_)
            expiredNodes.push_back(node);
    }
    for (const NodeId node : expiredNodes)
        dropNodeReport(node);
    std::vector<CellId> expiredCells;
    for (const auto& [cell, report] : cells_) {
        if (now - report.at_ > settings_.cellTimeout_)
            expiredCells.push_back(cell);
    }
    for (const CellId cell : expiredCells)
        dropCellReport(cell);
}

std::vector<NodeId> CapacityBoard::nodesRunningBatch(UpstreamId engine) const
{
    std::vector<std::pair<std::uint16_t, NodeId>> batchCounts;
    for (const auto& [node, report] : reports_) {
        for (const EngineUse& use : report.use_.uses_) {
            if (use.engine_ == engine && use.batchItems_ > 0)
                batchCounts.push_back({ use.batchItems_, node });
        }
    }
    std::sort(batchCounts.begin(), batchCounts.end(), std::greater<>());
    std::vector<NodeId> nodes;
    nodes.reserve(batchCounts.size());
    for (const auto& [count, node] : batchCounts)
        nodes.push_back(node);
    for (const auto& [cell, report] : cells_) {
        const auto& uses = report.use_.uses_;
        if (std::any_of(uses.begin(), uses.end(), [engine](const EngineUse& use) { return use.engine_ == engine && use.batchItems_ > 0; }))
            nodes.push_back(report.use_.delegate_);
    }
    return nodes;
}

} // namespace jj
