// Goes over all services with queued requests whenever a slot may have become free.
#include "SlotQueue.h"

#include "Shares.h"
#include "capacity/SlotTurns.h"

#include <algorithm>
#include <set>

namespace jj {

namespace {

    // A report takes 1 to 2 ms within a region, so by its turn the next node has received the report that the slot is taken.
    constexpr Duration turnInterval = 3ms;

    // Begins each condition in the name of a queue.
    constexpr char conditionMark = '\n';

} // namespace

SlotQueue::SlotQueue(Context& context)
    : context_(context)
    , queue_([this](const Claimant& claimant) { return context_.shares_->claim(claimant, context_.now()); })
    , timer_(context.io_)
{
}

std::string SlotQueue::queueName(const QueuedRequest& queued)
{
    std::string name = queued.service_;
    if (!queued.version_.isNone())
        name.append(1, conditionMark).append("version ").append(std::to_string(queued.version_.value()));
    for (const UpstreamId engine : queued.tried_)
        name.append(1, conditionMark).append("tried ").append(std::to_string(engine.value()));
    return name;
}

QueueTicket SlotQueue::enter(QueuedRequest queued)
{
    const std::string service = queued.service_;
    const QueueTicket ticket = queue_.enter(queueName(queued), queued.inTimeUntil_, queued.queueDeadline_, queued.claimant_);
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
    context_.board_.setWaiting(service, count, inTime, classesOf(service, now));
}

std::vector<WaitingClass> SlotQueue::classesOf(const std::string& service, TimePoint now) const
{
    if (!context_.shares_->isActive())
        return {};
    struct Standing {
        Claim claim_;
        bool isBelowShare_ = false;
    };
    std::map<Claimant, Standing> standings; // a claim costs more than its look-up
    std::map<std::pair<Rank, bool>, WaitingClass> classes;
    for (const auto& [ticket, queued] : queuedRequests_) {
        if (queued.service_ != service)
            continue;
        const auto [standing, isFirstOfClaimant] = standings.try_emplace(queued.claimant_);
        if (isFirstOfClaimant)
            standing->second = { context_.shares_->claim(queued.claimant_, now), context_.shares_->isBelowShare(queued.claimant_, now) };
        const WaitingOrder order = queue_.orderOf(ticket, standing->second.claim_, now);
        const bool isBelowShare = standing->second.isBelowShare_;
        const auto [found, isNew] = classes.try_emplace({ order.rank_, !isBelowShare }, WaitingClass { order.rank_, isBelowShare, 0, 0, order.usage_ });
        WaitingClass& one = found->second;
        // The first request in time replaces late ones.
        const bool isFirstInTime = !order.isLate_ && one.inTime_ == 0;
        const bool isComparable = order.isLate_ == (one.inTime_ == 0);
        if (isFirstInTime || (isComparable && order.usage_ < one.firstUsage_))
            one.firstUsage_ = order.usage_;
        ++one.count_;
        one.inTime_ = static_cast<std::uint16_t>(one.inTime_ + (order.isLate_ ? 0 : 1));
    }
    std::vector<WaitingClass> result;
    result.reserve(classes.size());
    for (const auto& [key, one] : classes)
        result.push_back(one);
    return result;
}

void SlotQueue::tick(TimePoint now)
{
    for (const QueueTicket ticket : queue_.expired(now)) {
        const auto onExpired = std::move(queuedRequests_.at(ticket).onExpired_);
        leave(ticket);
        onExpired();
    }
    refreshInTimeCounts(now);
    pump(SlotCause::Report);
}

std::map<WorkspaceId, std::size_t> SlotQueue::waitingByWorkspace() const
{
    std::map<WorkspaceId, std::size_t> counts;
    for (const auto& [ticket, queued] : queuedRequests_)
        ++counts[queued.claimant_.workspace_];
    return counts;
}

void SlotQueue::pump(SlotCause cause)
{
    if (pumping_ || queue_.empty())
        return;
    pumping_ = true;
    const TimePoint now = context_.now();
    std::vector<std::string> names = queue_.services();
    // Requests that few engines can serve go first. They have waited for longer, and the callers of those that resume a stream have a part
    // of the answer.
    const auto isOfAll = [](const std::string& name) { return name.find(conditionMark) == std::string::npos; };
    std::stable_partition(names.begin(), names.end(), [&](const std::string& name) { return !isOfAll(name); });
    for (const std::string& name : names) {
        while (serveOne(name, cause, now)) { }
    }
    pumping_ = false;
}

bool SlotQueue::serveOne(const std::string& name, SlotCause cause, TimePoint now)
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
    const WaitingOrder order = queue_.orderOf(*ticket, now);
    // A late request must not take its own node's freed slot while a request that can still be in time waits on another node: in
    // a burst, each late answer would make another one late. It takes its turn after the requests that can be in time.
    const bool mayGoFirst = !order.isLate_ || context_.board_.waitingInTime(service) == 0;
    const bool isTaken = cause == SlotCause::Turn || (cause == SlotCause::OwnRun && !isOutranked(service, queued.claimant_, order));
    const std::size_t ahead = isTaken && mayGoFirst ? 0 : nodesAhead(service, pick.engine_, reportedOrder(service, order));
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

// Nodes agree on who goes first only if they compare the same figures. Between two reports the usage of a workspace decays, so each of two
// nodes with requests of one workspace would find its own figure the lower one, and both would take the slot.
WaitingOrder SlotQueue::reportedOrder(const std::string& service, const WaitingOrder& own) const
{
    if (!context_.shares_->isActive())
        return own;
    const auto reported = firstOrderOf(context_.board_.ownWaiting(service));
    return reported && reported->rank_ == own.rank_ && reported->isLate_ == own.isLate_ ? *reported : own;
}

std::size_t SlotQueue::nodesAhead(const std::string& service, UpstreamId engine, const WaitingOrder& own) const
{
    const NodeId self = context_.fleet_->self();
    const std::vector<NodeId>& cellNodes = context_.fleet_->cellNodes();
    return static_cast<std::size_t>(std::count_if(cellNodes.begin(), cellNodes.end(), [&](NodeId node) { return takesBefore(context_.board_.waitingAt(node, service), node, own, self, engine); }));
}

bool SlotQueue::isOutranked(const std::string& service, const Claimant& claimant, const WaitingOrder& own) const
{
    if (!context_.shares_->isActive())
        return false;
    const float margin = context_.shares_->usageOfOneRun(claimant);
    const std::vector<NodeId>& cellNodes = context_.fleet_->cellNodes();
    return std::any_of(cellNodes.begin(), cellNodes.end(), [&](NodeId node) {
        const auto other = firstOrderOf(context_.board_.waitingAt(node, service));
        if (!other || other->isLate_)
            return false;
        return other->rank_ < own.rank_ || (other->rank_ == own.rank_ && other->usage_ + margin < own.usage_);
    });
}

// Tries again when it is this node's turn. A slot that is still free then was not taken by any node with precedence.
void SlotQueue::schedulePump(Duration delay)
{
    timerArmed_ = true;
    timer_.expires_after(delay);
    timer_.async_wait([this](const boost::system::error_code& error) {
        timerArmed_ = false;
        if (!error)
            pump(SlotCause::Turn);
    });
}

Duration SlotQueue::refused(const std::string& service, Duration wait, TimePoint now)
{
    OverloadPredictor& phases = phases_[service];
    phases.refused(now);
    return std::max(wait, phases.retryDelay(now));
}

} // namespace jj
