// Tests of the order of queued requests, of the predicted wait, and of the time until a refused caller retries.
#include "capacity/WaitingQueue.h"
#include "capacity/CapacityBoard.h"
#include "capacity/OverloadPredictor.h"

#include "base/Hash.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("capacity: the oldest request that can be in time goes first, and late ones go after all of these")
{
    WaitingQueue queue;
    const TimePoint start { 10s };
    const QueueTicket late = queue.enter("s", start + 50ms, start + 1s);
    const QueueTicket older = queue.enter("s", start + 300ms, start + 1s);
    const QueueTicket newer = queue.enter("s", start + 300ms, start + 1s);
    const QueueTicket other = queue.enter("t", start + 300ms, start + 1s);
    CHECK(queue.first("s", start) == late);
    CHECK(queue.first("s", start + 100ms) == older);
    CHECK(queue.first("t", start) == other);
    CHECK(queue.first("u", start) == std::nullopt);
    queue.leave(older);
    CHECK(queue.first("s", start + 100ms) == newer);
    queue.leave(newer);
    CHECK(queue.first("s", start + 100ms) == late);
    CHECK(queue.size("s") == 1);
    CHECK(queue.services() == std::vector<std::string> { "s", "t" });
}

TEST_CASE("capacity: a request is reported as expired until it is removed from the queue")
{
    WaitingQueue queue;
    const TimePoint start { 10s };
    const QueueTicket ticket = queue.enter("s", start + 100ms, start + 500ms);
    CHECK(queue.expired(start + 500ms).empty());
    CHECK(queue.expired(start + 501ms) == std::vector { ticket });
    queue.leave(ticket);
    CHECK(queue.expired(start + 501ms).empty());
    CHECK(queue.empty());
}

namespace {

constexpr RegionId here { 1 };
constexpr RegionId there { 2 };

CapacityBoard boardWith(std::uint32_t slotsHere, std::uint32_t slotsThere)
{
    CapacityBoard board({}, NodeId(1), { CellId(1), here, FailureDomainId(1) }, 7);
    EngineEntry engine;
    engine.service_ = "s";
    engine.id_ = UpstreamId(1);
    engine.region_ = here;
    engine.cell_ = CellId(1);
    engine.slots_ = slotsHere;
    board.upsert(engine);
    engine.id_ = UpstreamId(2);
    engine.region_ = there;
    engine.cell_ = CellId(2);
    engine.slots_ = slotsThere;
    board.upsert(engine);
    return board;
}

NodeUse waitingRequestsOf(std::uint64_t node, std::uint16_t count, std::uint16_t inTime)
{
    NodeUse use;
    use.node_ = NodeId(node);
    use.incarnation_ = Incarnation(1);
    use.sequence_ = 1;
    use.waiting_ = { { idFromName<ServiceId>("s"), count, inTime } };
    return use;
}

} // namespace

// The nodes of a cell share eight slots, each of which is occupied for 800 ms, so a slot becomes free every 100 ms. A request behind seven
// others waits for the eighth free slot. Requests that are queued in the other cell have slots of their own and don't count.
TEST_CASE("capacity: the predicted wait depends on the queued requests and the slots of the own cell")
{
    CapacityBoard board = boardWith(8, 80);
    const TimePoint now { 10s };
    CHECK(board.queueWait("s", now) == 100ms);
    board.setWaiting("s", 2, 2);
    board.applyReport(waitingRequestsOf(2, 5, 5), now);
    CellUse others;
    others.cell_ = CellId(2);
    others.waiting_ = { { idFromName<ServiceId>("s"), 40, 40 } };
    board.applyCellReport(others, now);
    CHECK(board.waiting("s") == 7);
    CHECK(board.queueWait("s", now) == 800ms);
    CHECK(board.ownUse(now).waiting_ == std::vector<WaitingRequests> { { idFromName<ServiceId>("s"), 2, 2 } });
    board.dropNodeReport(NodeId(2));
    CHECK(board.waiting("s") == 2);
    board.setWaiting("s", 0, 0);
    CHECK(board.ownUse(now).waiting_.empty());
    CHECK(board.queueWait("unknown", now) >= 1h);
}

TEST_CASE("capacity: batch leaves free slots to queued online requests unless it is urgent")
{
    CapacityBoard board = boardWith(8, 8);
    const TimePoint now { 10s };
    CHECK(board.pickBatch("s", false, now + 10s, {}, now).isSome());
    board.applyReport(waitingRequestsOf(2, 1, 1), now);
    CHECK_FALSE(board.pickBatch("s", false, now + 10s, {}, now).isSome());
    CHECK(board.pickBatch("s", true, now + 10s, {}, now).isSome());
}

// Six queued requests of another node are already late. A new request goes before them, so its predicted wait is that for one slot and not
// for seven, and it isn't refused.
TEST_CASE("capacity: queued requests that are already late don't lengthen the wait of those that can be in time")
{
    CapacityBoard board = boardWith(8, 80);
    const TimePoint now { 10s };
    board.applyReport(waitingRequestsOf(2, 6, 0), now);
    CHECK(board.waiting("s") == 6);
    CHECK(board.waitingInTime("s") == 0);
    CHECK(board.queueWait("s", now) == 100ms);
    WaitingQueue queue;
    const QueueTicket late = queue.enter("s", now - 1ms, now + 1s);
    const QueueTicket fresh = queue.enter("s", now + 200ms, now + 1s);
    CHECK(queue.inTime("s", now) == 1);
    CHECK_FALSE(queue.isInTime(late, now));
    CHECK(queue.isInTime(fresh, now));
    CHECK(queue.first("s", now) == fresh);
}

// Bursts last about 2 s, and 4 s pass between two of them. From the second burst on, a refused caller is to retry in the middle of the
// pause after the burst: right at the end of the burst it would compete with all other refused callers and with the last runs.
TEST_CASE("capacity: a refused caller retries when the burst is usually over")
{
    OverloadPredictor predictor;
    TimePoint now { 10s };
    CHECK(predictor.retryDelay(now) == Duration::zero());
    const auto burst = [&](Duration length) {
        for (const TimePoint end = now + length; now < end; now += 50ms)
            predictor.refused(now);
    };
    burst(2s);
    CHECK(predictor.retryDelay(now) >= 400ms); // the first burst is expected to last for another quarter of its length so far
    now += 4s;
    CHECK(predictor.retryDelay(now) == Duration::zero());
    predictor.refused(now);
    CHECK(predictor.retryDelay(now) > 3800ms);
    CHECK(predictor.retryDelay(now) < 4100ms);
    now += 500ms;
    predictor.refused(now);
    CHECK(predictor.retryDelay(now) < 3500ms);
    CHECK(predictor.retryDelay(now) > 3300ms);
}
