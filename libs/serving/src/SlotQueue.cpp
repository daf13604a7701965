// One walk over the services each time that something may have come free.
#include "SlotQueue.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    // A report is under way for a millisecond or two within a region; by the next node's turn it has heard who took the slot.
    constexpr Duration turnStep = 3ms;

} // namespace

SlotQueue::SlotQueue(Context& context)
    : context_(context)
    , timer_(context.io_)
{
}

QueueTicket SlotQueue::enter(Waiter waiter)
{
    const std::string service = waiter.service_;
    const QueueTicket ticket = queue_.enter(service, waiter.inTimeUntil_, waiter.keepUntil_);
    waiters_[ticket] = std::move(waiter);
    publishWaiting(service);
    return ticket;
}

void SlotQueue::leave(QueueTicket ticket)
{
    const auto found = waiters_.find(ticket);
    if (found == waiters_.end())
        return;
    const std::string service = found->second.service_;
    waiters_.erase(found);
    queue_.leave(ticket);
    publishWaiting(service);
}

void SlotQueue::publishWaiting(const std::string& service)
{
    context_.board_.setWaiting(service, queue_.size(service), queue_.inTime(service, context_.now()));
    context_.fleet_->publishReport();
}

// Time alone makes waiters late.
void SlotQueue::countInTime(TimePoint now)
{
    for (const std::string& service : queue_.services())
        context_.board_.setWaiting(service, queue_.size(service), queue_.inTime(service, now));
}

void SlotQueue::tick(TimePoint now)
{
    for (const QueueTicket ticket : queue_.expired(now)) {
        const auto giveUp = std::move(waiters_.at(ticket).giveUp_);
        leave(ticket);
        giveUp();
    }
    countInTime(now);
    pump(false);
}

void SlotQueue::pump(bool isOwnSlot)
{
    if (pumping_ || queue_.empty())
        return;
    pumping_ = true;
    const TimePoint now = context_.now();
    for (const std::string& service : queue_.services()) {
        while (serveOne(service, isOwnSlot, now)) { }
    }
    pumping_ = false;
}

bool SlotQueue::serveOne(const std::string& service, bool isOwnSlot, TimePoint now)
{
    const auto ticket = queue_.first(service, now);
    if (!ticket)
        return false;
    Waiter& waiter = waiters_.at(*ticket);
    // Any free slot will do by now; the bound only rules out engines' queues.
    const EnginePick pick = context_.board_.pickQuestion(service, waiter.keepUntil_ - now, waiter.repeatable_, waiter.tried_, now);
    if (pick.kind_ != PickKind::Free && pick.kind_ != PickKind::Displaces)
        return false;
    const bool isInTime = queue_.isInTime(*ticket, now);
    // Failure met: a question that was late already took the slot that its own node saw come free, while one that could still be in time waited
    // at another node; in a burst each late answer cost one in time. The late one takes its turn behind those.
    const bool goesFirst = isOwnSlot && (isInTime || context_.board_.waitingInTime(service) == 0);
    const std::size_t ahead = goesFirst ? 0 : nodesAhead(service, pick.engine_, isInTime);
    if (ahead > 0 && !timerArmed_) {
        pumpLater(turnStep * ahead);
        return false;
    }
    if (ahead > 0)
        return false;
    const auto take = std::move(waiter.take_);
    leave(*ticket);
    take(pick);
    return true;
}

std::size_t SlotQueue::nodesAhead(const std::string& service, UpstreamId engine, bool isInTime) const
{
    const std::uint64_t own = mixHash(engine.value(), context_.fleet_->self().value());
    const std::vector<NodeId>& mates = context_.fleet_->mates();
    return static_cast<std::size_t>(std::count_if(mates.begin(), mates.end(), [&](NodeId node) {
        const ServiceWaiting waiting = context_.board_.waitingAt(node, service);
        const bool isBefore = mixHash(engine.value(), node.value()) < own;
        return isInTime ? waiting.inTime_ > 0 && isBefore : waiting.inTime_ > 0 || (waiting.count_ > 0 && isBefore);
    }));
}

// When this node's turn has come and the slot is still there, nobody before it wanted it.
void SlotQueue::pumpLater(Duration delay)
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
    FullPhases& phases = phases_[service];
    phases.refused(now);
    return std::max(wait, phases.remaining(now));
}

} // namespace jj
