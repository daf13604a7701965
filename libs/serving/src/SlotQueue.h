// The questions of this node that wait for a slot, and the slots that come free for them.
//
// Slots come free in three ways. A stream of this node ends: its slot is taken by a waiter of this node before the others hear of it, so
// nobody else sends there. A peer's report shows a free slot: the nodes with waiters take their turns in an order that all of them compute
// alike for the engine, a few milliseconds apart, and the later ones see by then that it is gone. Engines come: as the second.
//
// Failure met: in a burst questions were bound to engines' own queues by counts. Ends of runs come in bunches, so of two thirds that were
// predicted to be in time half were late (p90 of 435 ms where 195 were predicted), while other engines had free slots.
#pragma once

#include "Context.h"
#include "capacity/CallerPatience.h"
#include "capacity/FullPhases.h"
#include "capacity/WaitingQueue.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jj {

class SlotQueue {
public:
    struct Waiter {
        std::string service_;
        bool repeatable_ = false;
        std::vector<UpstreamId> tried_;
        TimePoint inTimeUntil_ {};
        TimePoint keepUntil_ {};
        std::function<void(const EnginePick&)> take_; // a slot is its own; it has left the line
        std::function<void()> giveUp_; // its time is over; it has left the line
    };

    explicit SlotQueue(Context& context);

    QueueTicket enter(Waiter waiter);
    void leave(QueueTicket ticket);
    // A stream of this node has ended: whoever waits here takes its slot now.
    void slotEnded() { pump(true); }
    // Reports or engines have changed.
    void mayHaveRoom() { pump(false); }
    void tick(TimePoint now);
    bool empty() const { return queue_.empty(); }

    // A question was refused now: when to come back, at least `wait` later.
    Duration refused(const std::string& service, Duration wait, TimePoint now);
    // Was the caller of a question that came now refused before, to all appearance?
    bool hasReturned(const std::string& route, Duration timeLeft, TimePoint now) { return patience_.hasReturned(route, timeLeft, now); }

private:
    void pump(bool isOwnSlot);
    // Serves the first waiter of the service; false: nobody can be served now.
    bool serveOne(const std::string& service, bool isOwnSlot, TimePoint now);
    // Nodes with waiters that go before this one's first at the engine.
    std::size_t nodesAhead(const std::string& service, UpstreamId engine, bool isInTime) const;
    void countInTime(TimePoint now);
    void pumpLater(Duration delay);
    void publishWaiting(const std::string& service);

    Context& context_;
    WaitingQueue queue_;
    std::map<QueueTicket, Waiter> waiters_;
    std::map<std::string, FullPhases> phases_;
    CallerPatience patience_;
    boost::asio::steady_timer timer_;
    bool timerArmed_ = false;
    bool pumping_ = false;
};

} // namespace jj
