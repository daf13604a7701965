// Tests of the order of waiting requests by claim, at one node and between nodes, and of the waits that follow from it.
#include "base/Hash.h"
#include "capacity/CapacityBoard.h"
#include "capacity/SlotTurns.h"
#include "capacity/WaitingQueue.h"

#include <doctest/doctest.h>
#include <random>

using namespace jj;

namespace {

constexpr WorkspaceId little { 1 };
constexpr WorkspaceId much { 2 };
constexpr TimePoint start { 10s };

// Workspace `much` has used more slot time than `little`, and ranks count.
Claim claimByRankAndUsage(const Claimant& claimant) { return { claimant.rank_, claimant.workspace_ == much ? 5.0F : 1.0F }; }

const ServiceId service = idFromName<ServiceId>("s");

// The order before there were claims: the oldest request that can be in time, or the oldest one if none can.
class ArrivalOrder {
public:
    void enter(QueueTicket ticket, TimePoint inTimeUntil) { requests_[ticket] = inTimeUntil; }
    void leave(QueueTicket ticket) { requests_.erase(ticket); }
    std::optional<QueueTicket> first(TimePoint now) const
    {
        for (const auto& [ticket, inTimeUntil] : requests_) {
            if (now <= inTimeUntil)
                return ticket;
        }
        return requests_.empty() ? std::nullopt : std::optional(requests_.begin()->first);
    }

private:
    std::map<QueueTicket, TimePoint> requests_;
};

void compareWithArrivalOrder(const WaitingQueue::ClaimSource& claimOf, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    WaitingQueue queue(claimOf);
    ArrivalOrder expected;
    std::vector<QueueTicket> tickets;
    TimePoint now = start;
    for (int step = 0; step < 2000; ++step) {
        now += std::chrono::milliseconds(random() % 30);
        if (random() % 2 == 0 || tickets.empty()) {
            const TimePoint inTimeUntil = now + std::chrono::milliseconds(random() % 400);
            const QueueTicket ticket = queue.enter("s", inTimeUntil, now + 1s, { WorkspaceId(random() % 5), static_cast<Rank>(random() % 3) });
            expected.enter(ticket, inTimeUntil);
            tickets.push_back(ticket);
        }
        const auto first = queue.first("s", now);
        REQUIRE(first == expected.first(now));
        // Either the first request gets a slot, or any request is given up.
        const QueueTicket left = random() % 2 == 0 && first ? *first : tickets[random() % tickets.size()];
        if (random() % 2 == 0)
            continue;
        queue.leave(left);
        expected.leave(left);
        std::erase(tickets, left);
    }
}

WaitingRequests waitingOf(std::uint16_t count, std::uint16_t inTime, std::vector<WaitingClass> classes = {}) { return { service, count, inTime, std::move(classes) }; }

NodeUse reportOf(std::uint64_t node, WaitingRequests waiting)
{
    NodeUse use;
    use.node_ = NodeId(node);
    use.incarnation_ = Incarnation(1);
    use.sequence_ = 1;
    use.waiting_ = { std::move(waiting) };
    return use;
}

} // namespace

// Guards against an order in which a less urgent request, or one of a workspace that has used more, overtakes another one.
TEST_CASE("claims: waiting requests go by rank, then whether they can be in time, then usage, then arrival")
{
    WaitingQueue queue(claimByRankAndUsage);
    const TimePoint inTime = start + 300ms;
    const TimePoint isLate = start - 1ms;
    const TimePoint keep = start + 1s;
    const QueueTicket lowRank = queue.enter("s", inTime, keep, { little, 1 });
    const QueueTicket lateOfMuch = queue.enter("s", isLate, keep, { much, 0 });
    const QueueTicket lateOfLittle = queue.enter("s", isLate, keep, { little, 0 });
    const QueueTicket ofMuch = queue.enter("s", inTime, keep, { much, 0 });
    const QueueTicket ofLittle = queue.enter("s", inTime, keep, { little, 0 });
    const QueueTicket newerOfLittle = queue.enter("s", inTime, keep, { little, 0 });
    const QueueTicket lowRankLate = queue.enter("s", isLate, keep, { little, 1 });
    for (const QueueTicket expected : { ofLittle, newerOfLittle, ofMuch, lateOfLittle, lateOfMuch, lowRank, lowRankLate }) {
        REQUIRE(queue.first("s", start) == expected);
        queue.leave(expected);
    }
    CHECK(queue.empty());
    CHECK(queue.services().empty());
    CHECK(queue.size("s") == 0);
}

// Guards against a changed order where neither workspaces nor priorities are configured.
TEST_CASE("claims: with equal claims the order is that of arrival among those in time, as without claims")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        compareWithArrivalOrder({}, seed);
        compareWithArrivalOrder([](const Claimant&) { return Claim {}; }, seed);
    }
}

// Guards against another order of hosts at a freed slot where all claims are equal. The expected one: hosts with a request that can be in time
// go before those with late ones only, and otherwise the hash of engine and host decides.
TEST_CASE("claims: with equal claims hosts take a free slot in the same order as without claims")
{
    std::mt19937_64 random(1);
    for (int round = 0; round < 20000; ++round) {
        const auto count = static_cast<std::uint16_t>(random() % 3);
        const auto inTime = static_cast<std::uint16_t>(random() % (count + 1U));
        const NodeId node(random() % 50 + 1);
        const NodeId self(100);
        const UpstreamId engine(random() % 800);
        const bool isInTime = random() % 2 == 0;
        const bool isBefore = mixHash(engine.value(), node.value()) < mixHash(engine.value(), self.value());
        const bool expected = isInTime ? inTime > 0 && isBefore : inTime > 0 || (count > 0 && isBefore);
        CHECK(takesBefore(waitingOf(count, inTime), node, { 0, !isInTime, 0 }, self, engine) == expected);
    }
}

TEST_CASE("claims: the host with the lowest claim takes a free slot first, whatever the hash")
{
    const WaitingRequests urgent = waitingOf(3, 2, { { 0, false, 1, 1, 9 }, { 2, true, 2, 1, 1 } });
    const WaitingRequests lateOnly = waitingOf(2, 0, { { 0, true, 2, 0, 0.5F } });
    CHECK(firstOrderOf(urgent) == WaitingOrder { 0, false, 9 });
    CHECK(firstOrderOf(lateOnly) == WaitingOrder { 0, true, 0.5F });
    CHECK_FALSE(firstOrderOf(waitingOf(0, 0)));
    for (std::uint64_t engine = 1; engine <= 50; ++engine) {
        const auto isBefore = [engine](const WaitingRequests& waiting, const WaitingOrder& own) { return takesBefore(waiting, NodeId(1), own, NodeId(2), UpstreamId(engine)); };
        CHECK(isBefore(urgent, { 1, false, 0 }));
        CHECK(isBefore(urgent, { 0, false, 9.5F }));
        CHECK(isBefore(urgent, { 0, true, 0 }));
        CHECK_FALSE(isBefore(urgent, { 0, false, 8.5F }));
        CHECK_FALSE(isBefore(lateOnly, { 0, false, 7 }));
    }
}

// Guards against a request below its share that is refused because of a workspace whose requests fill the queue. Eight slots are occupied for
// 800 ms each, so a slot becomes free every 100 ms.
TEST_CASE("claims: the predicted wait counts only the requests that go before")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(1) }, 7);
    EngineEntry engine;
    engine.service_ = "s";
    engine.id_ = UpstreamId(1);
    engine.region_ = RegionId(1);
    engine.cell_ = CellId(1);
    engine.slots_ = 8;
    board.upsert(engine);
    CHECK_FALSE(board.isAnyWaiting());
    board.setWaiting("s", 7, 6, { { 0, true, 1, 1, 0.1F }, { 0, false, 4, 3, 5 }, { 3, true, 2, 2, 0 } });
    board.applyReport(reportOf(2, waitingOf(3, 3, { { 0, false, 2, 2, 4 }, { 3, false, 1, 1, 4 } })), start);
    CHECK(board.isAnyWaiting());
    CHECK(board.queueWait("s", 0, true, start) == 200ms); // behind 1
    CHECK(board.queueWait("s", 0, false, start) == 700ms); // behind 1, 3 and 2
    CHECK(board.queueWait("s", 3, true, start) == 900ms); // and behind 2
    CHECK(board.queueWait("s", 3, false, start) == 1000ms); // and behind 1
    CHECK(board.queueWait("s", start) == 1000ms);
    // A node that reports no classes counts whole.
    board.applyReport(reportOf(3, waitingOf(4, 2)), start);
    CHECK(board.queueWait("s", 0, true, start) == 400ms);
    CHECK(board.ownWaiting("s").classes_.size() == 3);
    board.setWaiting("s", 0, 0, {});
    CHECK(board.ownWaiting("s").count_ == 0);
}

// Guards against a queue that is never empty and serves each of its requests a few milliseconds late: it sends them at the last moment, and
// the engines need longer than assumed.
TEST_CASE("capacity: nine of ten first events come within the expected time")
{
    CapacityBoard board({}, NodeId(1), {}, 1);
    CHECK(board.expectedFirstEvent() == board.settings().firstEventTime_);
    std::mt19937_64 random(7);
    std::normal_distribution<double> milliseconds(60, 8);
    constexpr int learning = 1000;
    constexpr int counted = 2000;
    int inTime = 0;
    for (int event = 0; event < learning + counted; ++event) {
        const Duration time = fromSeconds(milliseconds(random) / 1000);
        inTime += event >= learning && time <= board.expectedFirstEvent() ? 1 : 0;
        board.recordFirstEvent(time);
    }
    CHECK(inTime > counted * 85 / 100);
    CHECK(board.expectedFirstEvent() < 90ms);
    // Requests that waited in an engine's queue don't count for more than one step each.
    board.recordFirstEvent(5s);
    CHECK(board.expectedFirstEvent() < 92ms);
}
