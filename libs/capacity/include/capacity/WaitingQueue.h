// Queues online requests at this node until a slot is free, and decides which request gets the slot.
//
//     WaitingQueue queue;
//     const QueueTicket ticket = queue.enter("chat", inTimeUntil, keepUntil);
//     if (const auto first = queue.first("chat", now)) ...       // the request that gets the next free slot
//     queue.leave(ticket);
//
// A request that is sent to a full engine waits behind requests whose end can't be predicted: the eight requests that fill an engine at
// the start of a burst all end together, 750 ms later. A request that waits in this queue gets the first slot that becomes free on any
// engine.
//
// Requests that can still meet their target latency go first, oldest first, and those that are already late go after them. So when a wait
// was predicted too short, only that one request is late, and not each request behind it too. Where claims differ, the rank goes before
// that, and the usage before the age.
#pragma once

#include "base/Claim.h"
#include "base/Id.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jj {

using QueueTicket = Id<struct QueueTicketTag>;

// On whose behalf a request waits.
struct Claimant {
    WorkspaceId workspace_ {};
    Rank rank_ = 0;

    friend auto operator<=>(const Claimant&, const Claimant&) = default; // NOLINT(modernize-use-nullptr): a false report for defaulted comparisons
};

// The order of waiting requests, at one node and between nodes; the lower one goes first.
struct WaitingOrder {
    Rank rank_ = 0;
    bool isLate_ = false; // it can't meet its target latency any more
    float usage_ = 0;

    friend auto operator<=>(const WaitingOrder&, const WaitingOrder&) = default; // NOLINT(modernize-use-nullptr): a false report for defaulted comparisons
};

class WaitingQueue {
public:
    // Returns the present claim of a request.
    using ClaimSource = std::function<Claim(const Claimant&)>;

    // `claimOf`: none: all claims are equal.
    explicit WaitingQueue(ClaimSource claimOf = {})
        : claimOf_(std::move(claimOf))
    {
    }

    // Adds a request. `inTimeUntil`: the latest time to send it so that its first event meets the target latency. `keepUntil`: the time
    // after which the request is expired, because waiting longer would be of no use.
    QueueTicket enter(std::string_view service, TimePoint inTimeUntil, TimePoint keepUntil, Claimant claimant = {});
    void leave(QueueTicket ticket);
    // Returns the request that gets the next free slot of the service; none when the queue has no request for it.
    std::optional<QueueTicket> first(std::string_view service, TimePoint now) const;
    // Returns the requests that are past their `keepUntil`. They stay in the queue until they are removed with leave().
    std::vector<QueueTicket> expired(TimePoint now) const;
    std::vector<std::string> services() const;
    std::uint16_t size(std::string_view service) const;
    // Returns the number of requests for the service that can still meet their target latency.
    std::uint16_t inTime(std::string_view service, TimePoint now) const;
    bool isInTime(QueueTicket ticket, TimePoint now) const;
    // Returns the place of the request in the order of waiting requests; the ticket must be in the queue.
    WaitingOrder orderOf(QueueTicket ticket, TimePoint now) const;
    // The same with a claim of the request's claimant that is known already.
    WaitingOrder orderOf(QueueTicket ticket, const Claim& claim, TimePoint now) const;
    bool empty() const { return queuedRequests_.empty(); }

private:
    struct QueuedRequest {
        std::string service_;
        TimePoint inTimeUntil_ {};
        TimePoint keepUntil_ {};
        Claimant claimant_;
    };

    Claim claimOf(const QueuedRequest& request) const { return claimOf_ ? claimOf_(request.claimant_) : Claim {}; }

    ClaimSource claimOf_;
    std::map<QueueTicket, QueuedRequest> queuedRequests_;
    // Invariant: the tickets of queuedRequests_ by service, without empty sets. Tickets increase, so the oldest comes first.
    std::map<std::string, std::set<QueueTicket>, std::less<>> tickets_;
    std::uint64_t nextTicket_ = 1;
};

} // namespace jj
