// A node has only a few queued requests for a service, so each operation scans all of these.
#include "capacity/WaitingQueue.h"

#include <algorithm>

namespace jj {

QueueTicket WaitingQueue::enter(std::string_view service, TimePoint inTimeUntil, TimePoint keepUntil, Claimant claimant)
{
    const QueueTicket ticket(nextTicket_++);
    queuedRequests_[ticket] = { std::string(service), inTimeUntil, keepUntil, claimant };
    tickets_[std::string(service)].insert(ticket);
    return ticket;
}

void WaitingQueue::leave(QueueTicket ticket)
{
    const auto found = queuedRequests_.find(ticket);
    if (found == queuedRequests_.end())
        return;
    const auto ofService = tickets_.find(found->second.service_);
    ofService->second.erase(ticket);
    if (ofService->second.empty())
        tickets_.erase(ofService);
    queuedRequests_.erase(found);
}

WaitingOrder WaitingQueue::orderOf(QueueTicket ticket, const Claim& claim, TimePoint now) const
{
    return { claim.rank_, now > queuedRequests_.at(ticket).inTimeUntil_, claim.usage_ };
}

WaitingOrder WaitingQueue::orderOf(QueueTicket ticket, TimePoint now) const { return orderOf(ticket, claimOf(queuedRequests_.at(ticket)), now); }

std::optional<QueueTicket> WaitingQueue::first(std::string_view service, TimePoint now) const
{
    const auto tickets = tickets_.find(service);
    if (tickets == tickets_.end())
        return std::nullopt;
    std::map<Claimant, Claim> claims; // a claim costs more than its look-up
    std::optional<QueueTicket> first;
    WaitingOrder firstOrder;
    for (const QueueTicket ticket : tickets->second) {
        const QueuedRequest& request = queuedRequests_.at(ticket);
        const auto [claim, isNew] = claims.try_emplace(request.claimant_);
        if (isNew)
            claim->second = claimOf(request);
        const WaitingOrder order = orderOf(ticket, claim->second, now);
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
    std::vector<std::string> names;
    for (const auto& [service, tickets] : tickets_)
        names.push_back(service);
    return names;
}

std::uint16_t WaitingQueue::size(std::string_view service) const
{
    const auto tickets = tickets_.find(service);
    return tickets == tickets_.end() ? std::uint16_t(0) : static_cast<std::uint16_t>(tickets->second.size());
}

std::uint16_t WaitingQueue::inTime(std::string_view service, TimePoint now) const
{
    const auto tickets = tickets_.find(service);
    if (tickets == tickets_.end())
        return 0;
    return static_cast<std::uint16_t>(std::count_if(tickets->second.begin(), tickets->second.end(), [&](QueueTicket ticket) { return isInTime(ticket, now); }));
}

bool WaitingQueue::isInTime(QueueTicket ticket, TimePoint now) const
{
    const auto found = queuedRequests_.find(ticket);
    return found != queuedRequests_.end() && now <= found->second.inTimeUntil_;
}

} // namespace jj
