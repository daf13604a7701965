// Queue of this node's online requests that wait for an engine slot. Assigns slots to them as these become free.
//
// A slot becomes free in one of three ways:
// - A stream of this node ends. A queued request of this node takes the slot before other nodes receive a report that it is free,
//   so no other node sends a request there.
// - A peer reports a free slot. The nodes with queued requests try to take it one after the other, a few milliseconds apart: the one
//   whose first request goes before those of the others by the order of waiting requests, and among equals in an order that all of
//   them compute alike for each engine. By its turn, a later node has received the report that the slot is taken.
// - An engine is added. This is handled like a report of a free slot.
//
// Requests wait here rather than in the engines' own queues because waiting times there can't be predicted well: runs tend to end
// in groups. When requests were assigned to engine queues by load counts in a burst, two thirds were predicted to be in time, but
// half of those were late (p90 of 435 ms instead of the predicted 195 ms) while other engines had free slots.
#pragma once

#include "Context.h"
#include "capacity/OverloadPredictor.h"
#include "capacity/RetryDetector.h"
#include "capacity/WaitingQueue.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jj {

class SlotQueue {
public:
    struct QueuedRequest {
        std::string service_;
        bool repeatable_ = false;
        SoftwareVersionId version_; // the only software version whose engines may be assigned; none: any
        std::vector<UpstreamId> tried_;
        Claimant claimant_;
        TimePoint inTimeUntil_ {}; // latest time of a slot with which the first event is still in time
        TimePoint queueDeadline_ {};
        std::function<void(const EnginePick&)> onSlot_; // called with the assigned slot, after the request has left the queue
        std::function<void()> onExpired_; // called when queueDeadline_ has passed, after the request has left the queue
    };

    explicit SlotQueue(Context& context);

    QueueTicket enter(QueuedRequest queued);
    void leave(QueueTicket ticket);
    // Assigns the slot of a stream of this node that has ended.
    void onSlotFreed() { pump(SlotCause::OwnRun); }
    // Checks for free slots after reports or engines have changed.
    void onCapacityChanged() { pump(SlotCause::Report); }
    void tick(TimePoint now);
    bool empty() const { return queue_.empty(); }
    // Returns the number of queued requests of each workspace.
    std::map<WorkspaceId, std::size_t> waitingByWorkspace() const;

    // Records a refused online request and returns the delay after which its caller should retry, at least `wait`.
    Duration refused(const std::string& service, Duration wait, TimePoint now);
    // Returns whether the caller of a new online request was probably refused before.
    bool isProbableRetry(const std::string& route, Duration timeLeft, TimePoint now) { return patience_.isProbableRetry(route, timeLeft, now); }

private:
    // How this node knows of a free slot.
    enum class SlotCause : std::uint8_t {
        Report, // by a report; each node with queued requests waits for its turn
        OwnRun, // its own stream has ended
        Turn, // its turn has come: the nodes that go before it have left the slot
    };

    // Assigns free slots. After OwnRun and Turn this node's requests don't wait for the turns of other nodes, except a late request while
    // another one can still be in time, and after OwnRun a request that another node's clearly goes before.
    void pump(SlotCause cause);
    // Requests that need one software version or were sent to engines before have a queue of their own, so that they don't hold up those
    // that any engine can serve.
    static std::string queueName(const QueuedRequest& queued);
    // Assigns a slot to the first request of the queue. Returns false if there is no request or no slot.
    bool serveOne(const std::string& name, SlotCause cause, TimePoint now);
    // Returns how many nodes have queued requests that take precedence over the first one of this node at the engine.
    std::size_t nodesAhead(const std::string& service, UpstreamId engine, const WaitingOrder& own) const;
    // Returns whether a request of another node goes so clearly before this one that it gets a slot which this node has freed.
    bool isOutranked(const std::string& service, const Claimant& claimant, const WaitingOrder& own) const;
    // Returns the order of a request by what this node has reported.
    WaitingOrder reportedOrder(const std::string& service, const WaitingOrder& own) const;
    std::vector<WaitingClass> classesOf(const std::string& service, TimePoint now) const;
    void refreshInTimeCounts(TimePoint now);
    // Sets on the capacity board how many requests for the service are queued here.
    void countWaiting(const std::string& service, TimePoint now);
    void schedulePump(Duration delay);
    void publishWaiting(const std::string& service);

    Context& context_;
    WaitingQueue queue_;
    std::map<QueueTicket, QueuedRequest> queuedRequests_;
    std::map<std::string, OverloadPredictor> phases_;
    RetryDetector patience_;
    boost::asio::steady_timer timer_;
    bool timerArmed_ = false;
    bool pumping_ = false;
};

} // namespace jj
