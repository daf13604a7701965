// Questions that wait at this node for a slot, and who of them goes first.
//
//     WaitingQueue line;
//     const QueueTicket ticket = line.enter("chat", inTimeUntil, keepUntil);
//     if (const auto first = line.first("chat", now)) ...       // a slot is free: it is this one's
//     line.leave(ticket);
//
// A question that is sent to a full engine waits there behind requests whose ends nobody knows: the eight of a burst's first moment end
// together 750 ms later. One that waits here takes whichever slot comes free first, of all engines.
//
// Those that can still be in time go first, the oldest ahead; then those that are late already. So a wait that was predicted too short costs
// one question its time and not each one behind it.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

using QueueTicket = Id<struct QueueTicketTag>;

class WaitingQueue {
public:
    // `inTimeUntil`: sent by then its first event is in time. `keepUntil`: after it waiting serves nobody.
    QueueTicket enter(std::string_view service, TimePoint inTimeUntil, TimePoint keepUntil);
    void leave(QueueTicket ticket);
    // Who gets the next slot; none: nobody waits.
    std::optional<QueueTicket> first(std::string_view service, TimePoint now) const;
    // Those whose time is over; they stay until they leave.
    std::vector<QueueTicket> expired(TimePoint now) const;
    std::vector<std::string> services() const;
    std::uint16_t size(std::string_view service) const;
    // Those that can still be in time.
    std::uint16_t inTime(std::string_view service, TimePoint now) const;
    bool isInTime(QueueTicket ticket, TimePoint now) const;
    bool empty() const { return waiters_.empty(); }

private:
    struct Waiter {
        std::string service_;
        TimePoint inTimeUntil_ {};
        TimePoint keepUntil_ {};
    };

    std::map<QueueTicket, Waiter> waiters_; // tickets grow, so the oldest comes first
    std::uint64_t nextTicket_ = 1;
};

} // namespace jj
