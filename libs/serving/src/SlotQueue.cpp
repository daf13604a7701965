// Goes over all services with queued requests whenever a slot may have become free.
#include "SlotQueue.h"

#include "base/Hash.h"

#include <algorithm>
#include <set>

namespace jj {

namespace {

    // A report takes 1 to 2 ms within a region, so by its turn the next node has received the report that the slot is taken.
    constexpr Duration turnInterval = 3ms;

} // namespace

SlotQueue::SlotQueue(Context& context)
    : context_(context)
    , timer_(context.io_)
{
}

std::string SlotQueue::queueName(const QueuedRequest& queued)
{
    std::string name = queued.service_;
    if (!queued.version_.isNone())
        name.append("\nversion ").append(std::to_string(queued.version_.value()));
    for (const UpstreamId engine : queued.tried_)
        name.append("\ntried ").append(std::to_string(engine.value()));
    return name;
}

QueueTicket SlotQueue::enter(QueuedRequest queued)
{
    const std::string service = queued.service_;
    const QueueTicket ticket = queue_.enter(queueName(queued), queued.inTimeUntil_, queued.queueDeadline_);
    queuedRequests_[ticket] = std::move(queued);
    publishWaiting(service);
    return ticket;
}

void SlotQueue::leave(QueueTicket ticket)
{
    const auto found = queuedRequests_.find(ticket);
    if (found == queuedRequests_.end())
        return;
    const std::string service = found->second.service_;
    queuedRequests_.erase(found);
    queue_.leave(ticket);
    publishWaiting(service);
}

void SlotQueue::publishWaiting(const std::string& service)
{
    countWaiting(service, context_.now());
    context_.fleet_->publishReport();
}

// Updates the counts of queued requests that can still be in time, which fall as time passes.
void SlotQueue::refreshInTimeCounts(TimePoint now)
{
    std::set<std::string> services;
    for (const auto& [ticket, queued] : queuedRequests_)
        services.insert(queued.service_);
    for (const std::string& service : services)
        countWaiting(service, now);
}

void SlotQueue::countWaiting(const std::string& service, TimePoint now)
{
    std::uint16_t count = 0;
    std::uint16_t inTime = 0;
    for (const auto& [ticket, queued] : queuedRequests_) {
        if (queued.service_ != service)
            continue;
        ++count;
        inTime = static_cast<std::uint16_t>(inTime + (queue_.isInTime(ticket, now) ? 1 : 0));
    }
    context_.board_.setWaiting(service, count, inTime);
}

void SlotQueue::tick(TimePoint now)
{
    for (const QueueTicket ticket : queue_.expired(now)) {
        const auto onExpired = std::move(queuedRequests_.at(ticket).onExpired_);
        leave(ticket);
        onExpired();
    }
    refreshInTimeCounts(now);
    pump(false);
}

void SlotQueue::pump(bool isOwnSlot)
{
    if (pumping_ || queue_.empty())
        return;
    pumping_ = true;
    const TimePoint now = context_.now();
    std::vector<std::string> names = queue_.services();
    // Requests that few engines can serve go first. They have waited for longer, and the callers of those that resume a stream have a part
    // of the answer.
    const auto isOfAll = [&](const std::string& name) {
        const QueuedRequest& first = queuedRequests_.at(*queue_.first(name, now));
        return first.version_.isNone() && first.tried_.empty();
    };
    std::stable_partition(names.begin(), names.end(), [&](const std::string& name) { return !isOfAll(name); });
    for (const std::string& name : names) {
        while (serveOne(name, isOwnSlot, now)) { }
    }
    pumping_ = false;
}

bool SlotQueue::serveOne(const std::string& name, bool isOwnSlot, TimePoint now)
{
    const auto ticket = queue_.first(name, now);
    if (!ticket)
        return false;
    QueuedRequest& queued = queuedRequests_.at(*ticket);
    const std::string service = queued.service_;
    // Accepts any free slot, even if the request will be late. The bound only affects waiting in an engine's own queue, which is
    // not accepted here.
    const EnginePick pick = context_.board_.pickOnline(service, queued.queueDeadline_ - now, queued.repeatable_, queued.tried_, now, queued.version_);
    if (pick.kind_ != PickKind::Free && pick.kind_ != PickKind::PreemptsBatch)
        return false;
    const bool isInTime = queue_.isInTime(*ticket, now);
    // A late request must not take its own node's freed slot while a request that can still be in time waits on another node: in
    // a burst, each late answer would make another one late. It takes its turn after the requests that can be in time.
    const bool goesFirst = isOwnSlot && (isInTime || context_.board_.waitingInTime(service) == 0);
    const std::size_t ahead = goesFirst ? 0 : nodesAhead(service, pick.engine_, isInTime);
    if (ahead > 0 && !timerArmed_) {
        schedulePump(turnInterval * ahead);
        return false;
    }
    if (ahead > 0)
        return false;
    const auto onSlot = std::move(queued.onSlot_);
    leave(*ticket);
    onSlot(pick);
    return true;
}

std::size_t SlotQueue::nodesAhead(const std::string& service, UpstreamId engine, bool isInTime) const
{
    const std::uint64_t own = mixHash(engine.value(), context_.fleet_->self().value());
    const std::vector<NodeId>& cellNodes = context_.fleet_->cellNodes();
    return static_cast<std::size_t>(std::count_if(cellNodes.begin(), cellNodes.end(), [&](NodeId node) {
        const WaitingRequests waiting = context_.board_.waitingAt(node, service);
        const bool isBefore = mixHash(engine.value(), node.value()) < own;
        return isInTime ? waiting.inTime_ > 0 && isBefore : waiting.inTime_ > 0 || (waiting.count_ > 0 && isBefore);
    }));
}

// Tries again when it is this node's turn. A slot that is still free then was not taken by any node with precedence.
void SlotQueue::schedulePump(Duration delay)
{
    timerArmed_ = true;
    timer_.expires_after(delay);
    timer_.async_wait([this](const boost::system::error_code& error) {
        timerArmed_ = false;
        if (!error)
            pump(true);
    });
}

Duration SlotQueue::refused(const std::string& service, Duration wait, TimePoint now)
{
    OverloadPredictor& phases = phases_[service];
    phases.refused(now);
    return std::max(wait, phases.retryDelay(now));
}

} // namespace jj
