// The order in which engines are preferred, and the order in which items get free slots.
#include "capacity/CapacityBoard.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    // The number of speed bands below the usual one, so that no rank is negative: up to sixteen times faster or slower.
    constexpr int usualBand = 8;

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
    const bool isOverdue = now >= engine.backoffUntil_ + settings_.untestedTimeout_;
    const bool isIdleHere = engine.own_.onlineRequests_ + engine.own_.batchItems_ == 0;
    // The testing node may have nothing to test the engine with.
    const bool mayTest = isOverdue || (repeatable && isTestingNode(engine));
    return engine.hasPassedProbe_ && now >= engine.backoffUntil_ && isIdleHere && mayTest;
}

bool CapacityBoard::isDoubtful(const Engine& engine, TimePoint now) const
{
    if (isSilent(engine.entry_.id_, now))
        return true;
    if (engine.isSuspect_)
        return !isTestingNode(engine);
    if (engine.nodesReportingFailure_.empty() && engine.cellsReportingFailure_.empty())
        return false;
    return engine.succeededAt_ == TimePoint() || now - engine.succeededAt_ > settings_.successTrustTime_;
}

std::vector<CapacityBoard::Engine*> CapacityBoard::usableEngines(const PickScope& scope, EngineDistance distance, bool areDoubtful)
{
    // A sample could miss the few engines of one version.
    const bool isSampled = scope.version_.isNone() && distance != EngineDistance::SameCell;
    std::vector<Engine*> engines = groups_.sample(scope.service_, distance, isSampled ? maxSampledEngines : SIZE_MAX, random_);
    visitedEngines_ += engines.size();
    std::erase_if(engines, [&](const Engine* engine) {
        const bool isTried = std::find(scope.tried_.begin(), scope.tried_.end(), engine->entry_.id_) != scope.tried_.end();
        const bool isOtherVersion = !scope.version_.isNone() && engine->entry_.softwareVersion_.id() != scope.version_;
        if (isTried || isOtherVersion || !isUsable(*engine, scope.repeatable_, scope.now_))
            return true;
        return (isDoubtful(*engine, scope.now_) || isLoadUnknown(*engine, scope.now_)) != areDoubtful;
    });
    std::shuffle(engines.begin(), engines.end(), random_);
    return engines;
}

template <class Visit>
void CapacityBoard::visitByDistance(const PickScope& scope, Visit visit)
{
    for (const bool areDoubtful : { false, true }) {
        bool areThereAny = false;
        for (const EngineDistance distance : engineDistances) {
            const std::vector<Engine*> engines = usableEngines(scope, distance, areDoubtful);
            areThereAny = areThereAny || !engines.empty();
            if (!visit(distance, engines))
                return;
        }
        if (areThereAny)
            return;
    }
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

bool CapacityBoard::hasVersion(std::string_view service, SoftwareVersionId version) const
{
    const auto serviceId = idFromName<ServiceId>(service);
    const auto isOfVersion = [version](const Engine* engine) { return !engine->entry_.draining_ && engine->entry_.softwareVersion_.id() == version; };
    return std::any_of(engineDistances.begin(), engineDistances.end(), [&](EngineDistance distance) {
        const std::vector<Engine*>& engines = groups_.all(serviceId, distance);
        return std::any_of(engines.begin(), engines.end(), isOfVersion);
    });
}

bool CapacityBoard::hasOtherEngine(std::string_view service, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version) const
{
    const auto serviceId = idFromName<ServiceId>(service);
    const auto works = [&](const Engine* engine) {
        const EngineEntry& entry = engine->entry_;
        const bool isTried = std::find(tried.begin(), tried.end(), entry.id_) != tried.end();
        const bool isOtherVersion = !version.isNone() && entry.softwareVersion_.id() != version;
        return !isTried && !isOtherVersion && !entry.draining_ && !engine->isSuspect_ && !isSilent(entry.id_, now);
    };
    return std::any_of(engineDistances.begin(), engineDistances.end(), [&](EngineDistance distance) {
        const std::vector<Engine*>& engines = groups_.all(serviceId, distance);
        return std::any_of(engines.begin(), engines.end(), works);
    });
}

std::vector<UpstreamId> CapacityBoard::enginesOf(std::string_view service) const
{
    std::vector<UpstreamId> found;
    for (const EngineDistance distance : engineDistances) {
        for (const Engine* engine : groups_.all(idFromName<ServiceId>(service), distance))
            found.push_back(engine->entry_.id_);
    }
    return found;
}

std::uint16_t CapacityBoard::nonPreemptibleLimit(UpstreamId engine, std::uint16_t perEngine) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end() || found->second.entry_.slots_ > perEngine)
        return perEngine;
    constexpr std::ptrdiff_t enginesPerProtected = 4;
    const std::vector<Engine*>& engines = groups_.all(found->second.groupPlace_.service_, distanceOf(found->second));
    const auto hasNoOtherSlot = [perEngine](const Engine* one) { return one->entry_.slots_ <= perEngine; };
    const auto isBefore = [&](const Engine* one) { return hasNoOtherSlot(one) && one->entry_.id_ < engine; };
    const std::ptrdiff_t protectedCount = std::count_if(engines.begin(), engines.end(), hasNoOtherSlot) / enginesPerProtected;
    return std::count_if(engines.begin(), engines.end(), isBefore) < protectedCount ? perEngine : 0;
}

EnginePick CapacityBoard::pickOnline(std::string_view service, Duration bound, bool repeatable, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version, Duration maxEventGap)
{
    expireReports(now);
    // Order of preference: a free slot in this cell, a slot in this cell after preempting a batch item, the same two in other cells of the
    // region, then in other regions, and last a short wait in an engine's queue.
    struct Best {
        const Engine* engine_ = nullptr;
        std::uint64_t rank_ = 0;
        bool exceedsGap_ = false;
    };
    const auto serviceId = idFromName<ServiceId>(service);
    // While requests wait, every slot is used. Nodes that all preferred the same freed slots would collide at them.
    const bool isSpeedUsed = speeds_.mayDiffer() && waiting(service) == 0;
    const auto bandOf = [&](const Engine& engine) { return isSpeedUsed ? speedBand(engine, now) : 0; };
    Best best;
    EnginePick pick;
    Duration shortest = bound;
    const auto consider = [&](const Engine& engine, EngineDistance engineDistance) {
        const bool isSameCell = engineDistance == EngineDistance::SameCell;
        // Slots for which requests of another cell are queued are left to that cell.
        const bool isNeededByItsCell = !isSameCell && hasQueueInItsCell(engine, serviceId);
        const bool isFree = !isNeededByItsCell && engine.total(now) < engine.entry_.slots_;
        const bool preemptsBatch = !isNeededByItsCell && !isFree && engine.nonPreemptibleLoad(now) < engine.entry_.slots_;
        const Duration extraLatency = extraLatencyOf(engineDistance);
        const Duration wait = isFree || preemptsBatch ? extraLatency : extraLatency + predictEngineWait(engine, now);
        shortest = std::min(shortest, wait);
        if (wait + settings_.firstEventTime_ > bound)
            return;
        const PickKind kind = isFree ? PickKind::Free : preemptsBatch ? PickKind::PreemptsBatch
                                                                      : PickKind::Queues;
        constexpr std::uint64_t stageWeight = 1ULL << 32;
        constexpr std::uint64_t queueStage = 9;
        constexpr std::uint64_t otherDomain = 1;
        // Slow engines come after the region's free slots. A slot of another region, or of an item in another cell, costs more than a late event.
        constexpr std::uint64_t regionFreeStage = 2;
        constexpr std::uint64_t exceededGapStages = regionFreeStage + 1;
        const auto distance = static_cast<std::uint64_t>(engineDistance);
        const bool exceedsGap = isSpeedUsed && engineDistance != EngineDistance::OtherRegion && kind != PickKind::Queues && exceedsEventGap(engine, maxEventGap, now);
        const std::uint64_t slotStage = 2 * distance + (preemptsBatch ? 1 : 0);
        const std::uint64_t stage = kind == PickKind::Queues ? queueStage + distance : slotStage + (exceedsGap || slotStage > regionFreeStage ? exceededGapStages : 0);
        const std::uint64_t load = isFree ? rankInBand(bandOf(engine), freeRank(engine, engineDistance, now)) : preemptsBatch ? rankInBand(bandOf(engine), engine.nonPreemptibleLoad(now))
                                                                                                                              : static_cast<std::uint64_t>(wait / 1ms);
        const std::uint64_t rank = stage * stageWeight + load * 2 + (engine.entry_.domain_ == location_.domain_ ? 0 : otherDomain);
        if (best.engine_ && rank >= best.rank_)
            return;
        best = { &engine, rank, exceedsGap };
        pick = { kind, engine.entry_.id_, wait };
    };
    visitByDistance({ serviceId, repeatable, tried, now, version }, [&](EngineDistance distance, std::span<Engine* const> engines) {
        for (const Engine* engine : engines)
            consider(*engine, distance);
        const bool hasSlot = pick.kind_ == PickKind::Free || pick.kind_ == PickKind::PreemptsBatch;
        const bool mayRegionBeBetter = best.exceedsGap_ && distance == EngineDistance::SameCell;
        return !hasSlot || mayRegionBeBetter; // any other slot that is farther away ranks lower
    });
    if (!pick.isSome())
        pick.wait_ = shortest;
    return pick;
}

// Reports of other cells are some hundred milliseconds old, so all nodes that look for a slot there would pick the engine that was least
// loaded at that time. To spread their requests, engines of other cells are ranked in three classes only: at least half of the slots free,
// fewer, or at most one. Engines of one class rank equal.
std::uint64_t CapacityBoard::freeRank(const Engine& engine, EngineDistance distance, TimePoint now) const
{
    const std::uint32_t total = engine.total(now);
    const std::uint32_t slots = engine.entry_.slots_;
    if (distance == EngineDistance::SameCell) {
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

int CapacityBoard::speedBand(const Engine& engine, TimePoint now) const
{
    // Two bands lie a factor of 1.4 apart: less is hardly felt by callers, and estimates are not exact.
    constexpr double bandsPerDouble = 2;
    if (!speeds_.mayDiffer())
        return 0;
    const UpstreamId id = engine.entry_.id_;
    const bool mayTest = engine.total(now) == 0 && isTrialTurn(engine, now);
    // One request at a time tests an engine that was slow, as with a half-open circuit breaker.
    if (mayTest && speeds_.isTrialDue(id, now))
        return 0;
    // While fast engines have room the others get no requests, so that an engine of unknown speed would never be compared with them.
    if (mayTest && speeds_.hasFast(engine.groupPlace_.service_, now) && speeds_.isUnobserved(id, now))
        return -usualBand;
    return std::clamp(static_cast<int>(std::lround(speeds_.difference(id, now) * bandsPerDouble)), -usualBand, usualBand);
}

// A trial is due at all nodes at about the same time, and the report that one has begun may take as long as a turn. So one node of the cell
// tests the engine in each turn, on average.
bool CapacityBoard::isTrialTurn(const Engine& engine, TimePoint now) const
{
    constexpr Duration turn = 250ms; // the longest interval between two reports of a node
    const auto count = static_cast<std::uint64_t>(now.time_since_epoch() / turn);
    const std::uint64_t nodes = reports_.size() + 1;
    return mixHash(mixHash(engine.entry_.id_.value(), self_.value()), count) % nodes == 0;
}

bool CapacityBoard::exceedsEventGap(const Engine& engine, Duration maxEventGap, TimePoint now) const
{
    return maxEventGap > Duration::zero() && speedBand(engine, now) > 0 && speeds_.expectedGap(engine.entry_.id_, engine.total(now) + 1, now) > maxEventGap;
}

std::uint64_t CapacityBoard::rankInBand(int band, std::uint64_t rank)
{
    constexpr std::uint64_t bandWeight = 1ULL << 24; // more than any rank within a band
    return static_cast<std::uint64_t>(usualBand + band) * bandWeight + rank;
}

// ---- items

// After a power failure of all nodes the engines continue the work that they had, and no node counts it. Without the ramp, workers filled
// the seemingly free slots with batch items at once, and the online requests of the first seconds waited behind batch: of 2,900 requests
// in two seconds only 310 met their target latency.
std::uint32_t CapacityBoard::batchReserveOf(const Engine& engine, bool urgent, TimePoint now) const
{
    if (urgent)
        return 0;
    // A reserve of all slots would keep items that aren't urgent from an idle engine for good.
    const std::uint32_t reserve = std::min(settings_.batchReserve_, std::max(1U, engine.entry_.slots_) - 1);
    const Duration age = now - startedAt_;
    if (startedAt_ == TimePoint() || age >= settings_.batchRamp_)
        return reserve;
    const double rampRemaining = 1 - toSeconds(age) / toSeconds(settings_.batchRamp_);
    return std::max(reserve, static_cast<std::uint32_t>(std::ceil(rampRemaining * engine.entry_.slots_)));
}

std::uint32_t CapacityBoard::freeBatchSlots(const Engine& engine, bool urgent, TimePoint now) const
{
    const std::uint32_t taken = engine.total(now) + engine.heldSlots(now) + batchReserveOf(engine, urgent, now);
    return engine.entry_.slots_ - std::min(engine.entry_.slots_, taken);
}

std::uint32_t CapacityBoard::freeBatchSlots(std::span<Engine* const> engines, bool urgent, TimePoint now) const
{
    std::uint32_t freeSlots = 0;
    for (const Engine* engine : engines)
        freeSlots += freeBatchSlots(*engine, urgent, now);
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
EnginePick CapacityBoard::pickBatch(std::string_view service, bool urgent, TimePoint due, std::span<const UpstreamId> tried, TimePoint now, SoftwareVersionId version)
{
    expireReports(now);
    // The next free slot goes to a queued online request.
    if (!urgent && waiting(service) > 0)
        return {};
    const auto serviceId = idFromName<ServiceId>(service);
    std::uint32_t itemsAhead = itemsDueBefore(service, due - settings_.priorityDueMargin_);
    EnginePick pick;
    visitByDistance({ serviceId, true, tried, now, version }, [&](EngineDistance distance, std::span<Engine* const> engines) {
        const std::uint32_t freeSlots = freeBatchSlots(engines, distance, serviceId, urgent, now);
        if (freeSlots > itemsAhead)
            pick = distance == EngineDistance::SameCell ? pickForBatch(engines, urgent, now) : pickSpareForBatch(engines, serviceId, urgent, now);
        itemsAhead -= std::min(itemsAhead, freeSlots);
        return !pick.isSome();
    });
    return pick;
}

std::uint32_t CapacityBoard::freeBatchSlots(std::span<Engine* const> engines, EngineDistance distance, ServiceId service, bool urgent, TimePoint now) const
{
    if (distance == EngineDistance::SameCell)
        return freeBatchSlots(engines, urgent, now);
    std::uint32_t freeSlots = 0;
    for (const auto& [cell, spare] : spareBatchSlots(engines, service, urgent, now))
        freeSlots += spare;
    return freeSlots;
}

// Items that can wait leave the fast engines to online requests and to urgent items, but avoid engines that are far slower.
int CapacityBoard::bandForPatientItems(int band)
{
    constexpr int littleSlower = 1;
    return band < 0 || band > littleSlower ? std::abs(band) : 0;
}

EnginePick CapacityBoard::pickForBatch(std::span<Engine* const> engines, bool urgent, TimePoint now) const
{
    const Engine* best = nullptr;
    std::uint64_t bestRank = 0;
    for (const Engine* engine : engines) {
        if (freeBatchSlots(*engine, urgent, now) == 0)
            continue;
        const int band = urgent ? speedBand(*engine, now) : bandForPatientItems(speedBand(*engine, now));
        const std::uint64_t rank = rankInBand(band, freeRank(*engine, distanceOf(*engine), now)) * 2 + (engine->entry_.domain_ == location_.domain_ ? 0 : 1);
        if (best && rank >= bestRank)
            continue;
        best = engine;
        bestRank = rank;
    }
    return best ? EnginePick { PickKind::Free, best->entry_.id_, {} } : EnginePick {};
}

EnginePick CapacityBoard::pickSpareForBatch(std::span<Engine* const> engines, ServiceId service, bool urgent, TimePoint now) const
{
    const std::map<CellId, std::uint32_t> spareSlots = spareBatchSlots(engines, service, urgent, now);
    std::vector<Engine*> spare(engines.begin(), engines.end());
    std::erase_if(spare, [&](const Engine* engine) { return spareSlots.at(engine->entry_.cell_) == 0 || hasQueueInItsCell(*engine, service); });
    return pickForBatch(spare, urgent, now);
}

bool CapacityBoard::mustYieldItem(std::string_view service, TimePoint due, TimePoint now)
{
    const std::uint32_t ahead = itemsDueBefore(service, due - settings_.yieldDueMargin_);
    if (ahead == 0)
        return false;
    // The same slots as in pickBatch(): the item that yields would otherwise be started again before the other ones.
    const auto serviceId = idFromName<ServiceId>(service);
    std::uint32_t freeSlots = 0;
    visitByDistance({ serviceId, true, {}, now, SoftwareVersionId::none() }, [&](EngineDistance distance, std::span<Engine* const> engines) {
        freeSlots += freeBatchSlots(engines, distance, serviceId, false, now);
        return freeSlots < ahead;
    });
    return freeSlots < ahead;
}

CapacityBoard::Usage CapacityBoard::usage(std::string_view service) const
{
    for (const EngineDistance distance : engineDistances) {
        Usage usage;
        for (const Engine* engine : groups_.all(idFromName<ServiceId>(service), distance)) {
            if (engine->entry_.draining_ || engine->isSuspect_)
                continue;
            usage.slots_ += engine->entry_.slots_;
            usage.onlineRequests_ += engine->onlineRequests();
            usage.batchItems_ += engine->batchItems();
        }
        if (usage.slots_ > 0)
            return usage;
    }
    return {};
}

EngineUse CapacityBoard::useOf(UpstreamId engine) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return { engine, 0, 0, 0 };
    return { engine, static_cast<std::uint16_t>(found->second.onlineRequests()), static_cast<std::uint16_t>(found->second.batchItems()), static_cast<std::uint16_t>(found->second.nonPreemptibleItems()) };
}

} // namespace jj
