// The order in which engines are preferred, and the order in which queued requests and items get free slots.
#include "capacity/CapacityBoard.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace jj {

namespace {

    // The predicted wait when the service has no usable engine; longer than any online request waits.
    constexpr Duration noEngineWait = std::chrono::hours(1);

} // namespace

// ---- picks

// Only the node with the lowest id among those that report the engine as failing tests it. If each of them did, each would lose a request
// for the same result.
bool CapacityBoard::isTestingNode(const Engine& engine) const
{
    return engine.nodesReportingFailure_.empty() || self_ < *engine.nodesReportingFailure_.begin();
}

bool CapacityBoard::isUsable(const Engine& engine, bool repeatable, TimePoint now) const
{
    if (engine.entry_.draining_ || now < engine.fullUntil_)
        return false;
    if (!engine.isSuspect_)
        return true;
    const bool mayTest = repeatable || now >= engine.backoffUntil_ + settings_.untestedTimeout_;
    const bool isIdleHere = engine.own_.onlineRequests_ + engine.own_.batchItems_ == 0;
    return engine.hasPassedProbe_ && now >= engine.backoffUntil_ && isIdleHere && mayTest && isTestingNode(engine);
}

bool CapacityBoard::isDoubtful(const Engine& engine, TimePoint now) const
{
    if ((engine.nodesReportingFailure_.empty() && engine.cellsReportingFailure_.empty()) || engine.isSuspect_)
        return false;
    return engine.succeededAt_ == TimePoint() || now - engine.succeededAt_ > settings_.successTrustTime_;
}

std::vector<CapacityBoard::Candidate> CapacityBoard::candidates(std::string_view service, bool repeatable, std::span<const UpstreamId> tried, TimePoint now)
{
    std::vector<Candidate> found;
    std::vector<Candidate> doubtful; // others report them as failing, or their load is unknown
    for (auto& [id, engine] : engines_) {
        if (engine.entry_.service_ != service || !isUsable(engine, repeatable, now) || std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        auto& list = isDoubtful(engine, now) || isLoadUnknown(engine, now) ? doubtful : found;
        list.push_back({ &engine, distanceOf(engine) });
    }
    // A doubtful engine is used only when there is no other.
    if (found.empty())
        found = std::move(doubtful);
    std::shuffle(found.begin(), found.end(), random_);
    return found;
}

// Online requests end one after the other: when n of them are running, a slot becomes free after 1/n of the mean run time.
Duration CapacityBoard::predictEngineWait(const Engine& engine, TimePoint now) const
{
    const std::uint32_t slots = std::max(1U, engine.entry_.slots_);
    const std::uint32_t nonPreemptibleLoad = engine.nonPreemptibleLoad(now);
    const std::uint32_t waiting = nonPreemptibleLoad >= slots ? nonPreemptibleLoad - slots + 1 : 0;
    // Items that can't be preempted keep their slots for seconds, so only the other slots become free at the rate of online requests.
    const std::uint32_t turnoverSlots = std::max(1U, slots - std::min(slots, engine.nonPreemptibleItems()));
    return fromSeconds(meanRunSeconds_ * waiting / turnoverSlots);
}

EnginePick CapacityBoard::pickOnline(std::string_view service, Duration bound, bool repeatable, std::span<const UpstreamId> tried, TimePoint now)
{
    expireReports(now);
    // Order of preference: a free slot in this cell, a slot in this cell after preempting a batch item, the same two in other cells of the
    // region, then in other regions, and last a short wait in an engine's queue.
    struct Best {
        const Engine* engine_ = nullptr;
        std::uint64_t rank_ = 0;
    };
    const auto serviceId = idFromName<ServiceId>(service);
    Best best;
    EnginePick pick;
    Duration shortest = bound;
    for (const Candidate& candidate : candidates(service, repeatable, tried, now)) {
        const Engine& engine = *candidate.engine_;
        const bool isSameCell = candidate.distance_ == Distance::SameCell;
        // Slots for which requests of another cell are queued are left to that cell.
        const bool isNeededByItsCell = !isSameCell && hasQueueInItsCell(engine, serviceId);
        const bool isFree = !isNeededByItsCell && engine.total(now) < engine.entry_.slots_;
        const bool preemptsBatch = !isNeededByItsCell && !isFree && engine.nonPreemptibleLoad(now) < engine.entry_.slots_;
        const Duration extraLatency = extraLatencyOf(candidate.distance_);
        const Duration wait = isFree || preemptsBatch ? extraLatency : extraLatency + predictEngineWait(engine, now);
        shortest = std::min(shortest, wait);
        if (wait + settings_.firstEventTime_ > bound)
            continue;
        const PickKind kind = isFree ? PickKind::Free : preemptsBatch ? PickKind::PreemptsBatch
                                                                      : PickKind::Queues;
        constexpr std::uint64_t stageWeight = 1ULL << 32;
        constexpr std::uint64_t queueStage = 6;
        constexpr std::uint64_t otherDomain = 1;
        const auto distance = static_cast<std::uint64_t>(candidate.distance_);
        const std::uint64_t stage = kind == PickKind::Queues ? queueStage + distance : 2 * distance + (preemptsBatch ? 1 : 0);
        const std::uint64_t load = isFree ? freeRank(engine, candidate.distance_, now) : preemptsBatch ? engine.nonPreemptibleLoad(now)
                                                                                                       : static_cast<std::uint64_t>(wait / 1ms);
        const std::uint64_t rank = stage * stageWeight + load * 2 + (engine.entry_.domain_ == location_.domain_ ? 0 : otherDomain);
        if (best.engine_ && rank >= best.rank_)
            continue;
        best = { &engine, rank };
        pick = { kind, engine.entry_.id_, wait };
    }
    if (!pick.isSome())
        pick.wait_ = shortest;
    return pick;
}

// Reports of other cells are some hundred milliseconds old, so all nodes that look for a slot there would pick the engine that was least
// loaded at that time. To spread their requests, engines of other cells are ranked in three classes only: at least half of the slots free,
// fewer, or at most one. Engines of one class rank equal.
std::uint64_t CapacityBoard::freeRank(const Engine& engine, Distance distance, TimePoint now) const
{
    const std::uint32_t total = engine.total(now);
    const std::uint32_t slots = engine.entry_.slots_;
    if (distance == Distance::SameCell) {
        // One more request on an engine hardly slows down the others, so an open connection matters more than exact balance.
        constexpr std::uint64_t steps = 4; // load levels that are distinguished before the connection counts
        constexpr std::uint64_t stepWeight = 1ULL << 16;
        const bool isConnected = hasConnection_ && hasConnection_(engine.entry_.at_);
        return (steps * total / std::max(1U, slots) * 2 + (isConnected ? 0 : 1)) * stepWeight + total;
    }
    const std::uint32_t free = slots - std::min(slots, total);
    if (2 * free >= slots)
        return 0;
    return free > 1 ? 1 : 2;
}

// ---- queued requests

WaitingRequests CapacityBoard::waitingAt(NodeId node, std::string_view service) const
{
    const auto id = idFromName<ServiceId>(service);
    const auto found = reports_.find(node);
    if (found == reports_.end())
        return { id };
    const auto& waiting = found->second.use_.waiting_;
    const auto it = std::find_if(waiting.begin(), waiting.end(), [id](const WaitingRequests& one) { return one.service_ == id; });
    return it == waiting.end() ? WaitingRequests { id } : *it;
}

WaitingRequests CapacityBoard::allWaiting(std::string_view service) const
{
    const auto own = ownWaiting_.find(idFromName<ServiceId>(service));
    WaitingRequests all = own == ownWaiting_.end() ? WaitingRequests() : own->second;
    for (const auto& [node, report] : reports_) {
        const WaitingRequests there = waitingAt(node, service);
        all.count_ += there.count_;
        all.inTime_ += there.inTime_;
    }
    return all;
}

std::uint32_t CapacityBoard::waiting(std::string_view service) const { return allWaiting(service).count_; }

std::uint32_t CapacityBoard::waitingInTime(std::string_view service) const { return allWaiting(service).inTime_; }

// With n slots that online requests can use, a slot becomes free after 1/n of the mean run time. Non-preemptible items keep theirs.
Duration CapacityBoard::queueWait(std::string_view service, TimePoint now) const
{
    std::uint32_t ownCellSlots = 0;
    std::uint32_t all = 0;
    for (const auto& [id, engine] : engines_) {
        if (engine.entry_.service_ != service || !isUsable(engine, false, now))
            continue;
        const std::uint32_t turnoverSlots = engine.entry_.slots_ - std::min(engine.entry_.slots_, engine.nonPreemptibleItems());
        all += turnoverSlots;
        ownCellSlots += engine.entry_.cell_ == location_.cell_ ? turnoverSlots : 0;
    }
    // The slots of other cells go to the requests queued there, and this node learns too late that they are free. So they count only when
    // this cell has none.
    const std::uint32_t slots = ownCellSlots > 0 ? ownCellSlots : all;
    if (slots == 0)
        return noEngineWait;
    return fromSeconds(meanRunSeconds_ * (waitingInTime(service) + 1) / slots);
}

bool CapacityBoard::canQueueInTime(std::string_view service, Duration bound, TimePoint now) const
{
    return queueWait(service, now) <= bound - settings_.firstEventTime_;
}

// After a power failure of all nodes the engines continue the work that they had, and no node counts it. Without the ramp, workers filled
// the seemingly free slots with batch items at once, and the online requests of the first seconds waited behind batch: of 2,900 requests
// in two seconds only 310 met their target latency.
std::uint32_t CapacityBoard::batchReserveOf(const Engine& engine, bool urgent, TimePoint now) const
{
    if (urgent)
        return 0;
    const Duration age = now - startedAt_;
    if (startedAt_ == TimePoint() || age >= settings_.batchRamp_)
        return settings_.batchReserve_;
    const double rampRemaining = 1 - toSeconds(age) / toSeconds(settings_.batchRamp_);
    return std::max(settings_.batchReserve_, static_cast<std::uint32_t>(std::ceil(rampRemaining * engine.entry_.slots_)));
}

std::uint32_t CapacityBoard::freeBatchSlots(std::span<const Candidate> engines, bool urgent, TimePoint now) const
{
    std::uint32_t freeSlots = 0;
    for (const Candidate& candidate : engines) {
        if (candidate.distance_ != Distance::SameCell)
            continue;
        const std::uint32_t taken = candidate.engine_->total(now) + batchReserveOf(*candidate.engine_, urgent, now);
        freeSlots += candidate.engine_->entry_.slots_ - std::min(candidate.engine_->entry_.slots_, taken);
    }
    return freeSlots;
}

std::uint32_t CapacityBoard::itemsDueBefore(std::string_view service, TimePoint due) const
{
    const auto id = idFromName<ServiceId>(service);
    std::uint32_t count = 0;
    for (const auto& [node, report] : reports_) {
        for (const WaitingItems& items : report.use_.items_) {
            if (items.service_ == id && report.at_ + items.dueIn_ < due)
                count += items.count_;
        }
    }
    return count;
}

// Jobs are assigned to workers by a hash, so one worker may have two jobs and another eight. When each worker took slots for its own items
// without regard to others, items due in ten seconds ran at one worker while items due in two seconds waited at another, and a third of a
// burst of jobs was late although there were enough slots for all. So a node leaves as many slots free as more urgent items wait at other
// nodes.
EnginePick CapacityBoard::pickBatch(std::string_view service, bool urgent, TimePoint due, std::span<const UpstreamId> tried, TimePoint now)
{
    expireReports(now);
    // The next free slot goes to a queued online request.
    if (!urgent && waiting(service) > 0)
        return {};
    const std::vector<Candidate> engines = candidates(service, true, tried, now);
    const bool mayUseOwnCell = freeBatchSlots(engines, urgent, now) > itemsDueBefore(service, due - settings_.priorityDueMargin_);
    const auto serviceId = idFromName<ServiceId>(service);
    const std::map<CellId, std::uint32_t> spareSlots = spareBatchSlots(engines, serviceId, urgent, now);
    std::optional<std::uint64_t> bestRank;
    EnginePick pick;
    for (const Candidate& candidate : engines) {
        const Engine& engine = *candidate.engine_;
        if (engine.total(now) + batchReserveOf(engine, urgent, now) >= engine.entry_.slots_)
            continue;
        const bool isSameCell = candidate.distance_ == Distance::SameCell;
        if (isSameCell ? !mayUseOwnCell : spareSlots.at(engine.entry_.cell_) == 0 || hasQueueInItsCell(engine, serviceId))
            continue;
        constexpr std::uint64_t distanceWeight = 1ULL << 32;
        const std::uint64_t rank = static_cast<std::uint64_t>(candidate.distance_) * distanceWeight + freeRank(engine, candidate.distance_, now) * 2ULL + (engine.entry_.domain_ == location_.domain_ ? 0 : 1);
        if (bestRank && rank >= *bestRank)
            continue;
        bestRank = rank;
        pick = { PickKind::Free, engine.entry_.id_, {} };
    }
    return pick;
}

bool CapacityBoard::mustYieldItem(std::string_view service, TimePoint due, TimePoint now)
{
    const std::uint32_t ahead = itemsDueBefore(service, due - settings_.yieldDueMargin_);
    return ahead > 0 && freeBatchSlots(candidates(service, true, {}, now), false, now) < ahead;
}

CapacityBoard::Usage CapacityBoard::usage(std::string_view service) const
{
    Usage usage;
    for (const auto& [id, engine] : engines_) {
        if (engine.entry_.service_ != service || engine.entry_.draining_ || engine.isSuspect_)
            continue;
        usage.slots_ += engine.entry_.slots_;
        usage.onlineRequests_ += engine.onlineRequests();
        usage.batchItems_ += engine.batchItems();
    }
    return usage;
}

EngineUse CapacityBoard::useOf(UpstreamId engine) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return { engine, 0, 0, 0 };
    return { engine, static_cast<std::uint16_t>(found->second.onlineRequests()), static_cast<std::uint16_t>(found->second.batchItems()), static_cast<std::uint16_t>(found->second.nonPreemptibleItems()) };
}

} // namespace jj
