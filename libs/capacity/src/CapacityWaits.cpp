// Requests that are queued for a free slot, here and at other nodes, and the waits that are predicted for them.
#include "capacity/CapacityBoard.h"

#include <algorithm>

namespace jj {

namespace {

    // The predicted wait when the service has no usable engine; longer than any online request waits.
    constexpr Duration noEngineWait = std::chrono::hours(1);

} // namespace

WaitingRequests CapacityBoard::waitingAt(NodeId node, std::string_view service) const
{
    const auto id = idFromName<ServiceId>(service);
    const auto found = reports_.find(node);
    if (found == reports_.end())
        return { id };
    const WaitingRequests* waiting = waitingIn(found->second.use_, id);
    return waiting ? *waiting : WaitingRequests { id };
}

WaitingRequests CapacityBoard::ownWaiting(std::string_view service) const
{
    const auto id = idFromName<ServiceId>(service);
    const auto own = ownWaiting_.find(id);
    return own == ownWaiting_.end() ? WaitingRequests { id } : own->second;
}

const WaitingRequests* CapacityBoard::waitingIn(const NodeUse& use, ServiceId service)
{
    const auto found = std::find_if(use.waiting_.begin(), use.waiting_.end(), [service](const WaitingRequests& one) { return one.service_ == service; });
    return found == use.waiting_.end() ? nullptr : &*found;
}

WaitingRequests CapacityBoard::allWaiting(std::string_view service) const
{
    const auto id = idFromName<ServiceId>(service);
    const auto own = ownWaiting_.find(id);
    WaitingRequests all { id };
    const auto count = [&all](const WaitingRequests& one) {
        all.count_ += one.count_;
        all.inTime_ += one.inTime_;
    };
    if (own != ownWaiting_.end())
        count(own->second);
    for (const auto& [node, report] : reports_) {
        if (const WaitingRequests* there = waitingIn(report.use_, id))
            count(*there);
    }
    return all;
}

std::uint32_t CapacityBoard::waiting(std::string_view service) const { return allWaiting(service).count_; }

std::uint32_t CapacityBoard::waitingInTime(std::string_view service) const { return allWaiting(service).inTime_; }

double CapacityBoard::turnoverSlots(ServiceId service, EngineDistance distance, TimePoint now) const
{
    const std::span<Engine* const> all = groups_.all(service, distance);
    const std::size_t visited = distance == EngineDistance::SameCell ? all.size() : std::min(all.size(), maxSampledEngines);
    if (visited == 0)
        return 0;
    visitedEngines_ += visited;
    std::uint32_t slots = 0;
    for (const Engine* engine : all.first(visited)) {
        const bool isLeftToOthers = engine->isSuspect_ && !isTestingNode(*engine);
        if (isUsable(*engine, false, now) && !isLeftToOthers)
            slots += engine->entry_.slots_ - std::min(engine->entry_.slots_, engine->nonPreemptibleItems());
    }
    return static_cast<double>(slots) * static_cast<double>(all.size()) / static_cast<double>(visited);
}

bool CapacityBoard::isAnyWaiting() const
{
    const auto isWaiting = [](const WaitingRequests& one) { return one.count_ > 0; };
    if (std::any_of(ownWaiting_.begin(), ownWaiting_.end(), [&](const auto& entry) { return isWaiting(entry.second); }))
        return true;
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
        const auto& waiting = entry.second.use_.waiting_;
        return std::any_of(waiting.begin(), waiting.end(), isWaiting);
    });
}

std::uint32_t CapacityBoard::waitingBefore(std::string_view service, Rank rank, bool isBelowShare) const
{
    const auto id = idFromName<ServiceId>(service);
    const auto countOf = [&](const WaitingRequests& waiting) {
        std::uint32_t count = waiting.classes_.empty() ? waiting.inTime_ : 0U;
        for (const WaitingClass& one : waiting.classes_) {
            const bool isBefore = one.rank_ < rank || (one.rank_ == rank && (one.isBelowShare_ || !isBelowShare));
            count += isBefore ? one.inTime_ : 0U;
        }
        return count;
    };
    const auto own = ownWaiting_.find(id);
    std::uint32_t count = own == ownWaiting_.end() ? 0 : countOf(own->second);
    for (const auto& [node, report] : reports_) {
        const WaitingRequests* there = waitingIn(report.use_, id);
        count += there ? countOf(*there) : 0;
    }
    return count;
}

Duration CapacityBoard::queueWait(std::string_view service, TimePoint now) const { return waitForSlots(service, waitingInTime(service) + 1, now); }

Duration CapacityBoard::queueWait(std::string_view service, Rank rank, bool isBelowShare, TimePoint now) const
{
    return waitForSlots(service, waitingBefore(service, rank, isBelowShare) + 1, now);
}

// With n slots that online requests can use, a slot becomes free after 1/n of the mean run time. Non-preemptible items keep theirs.
Duration CapacityBoard::waitForSlots(std::string_view service, std::uint32_t count, TimePoint now) const
{
    const auto id = idFromName<ServiceId>(service);
    double slots = turnoverSlots(id, EngineDistance::SameCell, now);
    // The slots of other cells go to the requests queued there, and this node learns too late that they are free. So they count only when
    // this cell has none.
    if (slots == 0)
        slots = turnoverSlots(id, EngineDistance::SameRegion, now) + turnoverSlots(id, EngineDistance::OtherRegion, now);
    if (slots == 0)
        return noEngineWait;
    return fromSeconds(meanRunSeconds_ * count / slots);
}

bool CapacityBoard::canQueueInTime(std::string_view service, Duration bound, TimePoint now) const
{
    return queueWait(service, now) <= bound - settings_.firstEventTime_;
}

} // namespace jj
