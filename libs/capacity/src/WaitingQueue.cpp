// A node has only a few queued requests, so each operation scans all of them.
#include "capacity/WaitingQueue.h"

#include <algorithm>
#include <set>

namespace jj {

QueueTicket WaitingQueue::enter(std::string_view service, TimePoint inTimeUntil, TimePoint keepUntil, Claimant claimant)
{
    const QueueTicket ticket(nextTicket_++);
    queuedRequests_[ticket] = { std::string(service), inTimeUntil, keepUntil, claimant };
    return ticket;
}

void WaitingQueue::leave(QueueTicket ticket) { queuedRequests_.erase(ticket); }

WaitingOrder WaitingQueue::orderOf(const QueuedRequest& request, TimePoint now) const
{
    const Claim claim = claimOf_ ? claimOf_(request.claimant_) : Claim {};
    return { claim.rank_, now > request.inTimeUntil_, claim.usage_ };
}

WaitingOrder WaitingQueue::orderOf(QueueTicket ticket, TimePoint now) const { return orderOf(queuedRequests_.at(ticket), now); }

std::optional<QueueTicket> WaitingQueue::first(std::string_view service, TimePoint now) const
{
    std::optional<QueueTicket> first;
    WaitingOrder firstOrder;
    for (const auto& [ticket, request] : queuedRequests_) {
        if (request.service_ != service)
            continue;
        const WaitingOrder order = orderOf(request, now);
        if (first && order >= firstOrder)
            continue;
        first = ticket;
        firstOrder = order;
    }
    return first;
}

std::vector<QueueTicket> WaitingQueue::expired(TimePoint now) const
{
    std::vector<QueueTicket> found;
    for (const auto& [ticket, request] : queuedRequests_) {
        if (now > request.keepUntil_)
            found.push_back(ticket);
    }
    return found;
}

std::vector<std::string> WaitingQueue::services() const
{
    std::set<std::string> names;
    for (const auto& [ticket, request] : queuedRequests_)
        names.insert(request.service_);
    return { names.begin(), names.end() };
}

std::uint16_t WaitingQueue::size(std::string_view service) const
{
    return static_cast<std::uint16_t>(std::count_if(queuedRequests_.begin(), queuedRequests_.end(), [service](const auto& entry) { return entry.second.service_ == service; }));
}

std::uint16_t WaitingQueue::inTime(std::string_view service, TimePoint now) const
{
    return static_cast<std::uint16_t>(std::count_if(queuedRequests_.begin(), queuedRequests_.end(), [&](const auto& entry) { return entry.second.service_ == service && now <= entry.second.inTimeUntil_; }));
}

bool WaitingQueue::isInTime(QueueTicket ticket, TimePoint now) const
{
    const auto found = queuedRequests_.find(ticket);
    return found != queuedRequests_.end() && now <= found->second.inTimeUntil_;
}

} // namespace jj
