// Tests of the picks of a board, given the reports of other nodes.
#include "capacity/CapacityBoard.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr RegionId near { 1 };
constexpr RegionId far { 2 };
constexpr FailureDomainId domain { 1 };
constexpr Duration bound = 300ms;

CellId cellOf(RegionId region) { return CellId(region.value()); }

EngineEntry engine(std::uint64_t id, RegionId region = near, std::uint32_t slots = 8)
{
    EngineEntry entry;
    entry.id_ = UpstreamId(id);
    entry.name_ = "e" + std::to_string(id);
    entry.service_ = "s";
    entry.region_ = region;
    entry.cell_ = cellOf(region);
    entry.domain_ = domain;
    entry.slots_ = slots;
    return entry;
}

struct BoardFixture {
    explicit BoardFixture(std::size_t engines = 3, NodeId self = NodeId(1))
        : board_({}, self, { cellOf(near), near, domain }, 7)
    {
        for (std::uint64_t id = 1; id <= engines; ++id)
            board_.upsert(engine(id));
    }

    void receiveReport(std::uint64_t node, std::vector<EngineUse> uses, std::vector<UpstreamId> failingEngines = {})
    {
        NodeUse use;
        use.node_ = NodeId(node);
        use.incarnation_ = Incarnation(1);
        use.sequence_ = ++sequence_;
        use.uses_ = std::move(uses);
        use.failingEngines_ = std::move(failingEngines);
        board_.applyReport(use, now_);
    }

    EnginePick pickOnlineEngine(bool repeatable = false) { return board_.pickOnline("s", bound, repeatable, {}, now_); }
    EnginePick pickBatchEngine(bool urgent = false) { return board_.pickBatch("s", urgent, now_ + 10s, {}, now_); }

    CapacityBoard board_;
    TimePoint now_ { 10s };
    std::uint32_t sequence_ = 0;
};

EngineUse use(std::uint64_t id, std::uint16_t onlineRequests, std::uint16_t items = 0, std::uint16_t nonPreemptibleItems = 0) { return { UpstreamId(id), onlineRequests, items, nonPreemptibleItems }; }

} // namespace

TEST_CASE("capacity: an online request goes to the least loaded engine, counting the work of all nodes")
{
    BoardFixture fixture;
    fixture.receiveReport(2, { use(1, 5), use(2, 1, 1) });
    fixture.receiveReport(3, { use(1, 1), use(3, 4) });
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.board_.started(UpstreamId(2), WorkClass::OnlineRequest);
    fixture.board_.started(UpstreamId(2), WorkClass::OnlineRequest);
    fixture.board_.started(UpstreamId(2), WorkClass::OnlineRequest);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(3));
}

TEST_CASE("capacity: a newer report replaces the last one, and an older one is ignored")
{
    BoardFixture fixture(1);
    fixture.receiveReport(2, { use(1, 5) });
    fixture.receiveReport(2, { use(1, 2) });
    CHECK(fixture.board_.useOf(UpstreamId(1)).onlineRequests_ == 2);
    NodeUse old;
    old.node_ = NodeId(2);
    old.incarnation_ = Incarnation(1);
    old.sequence_ = 1;
    old.uses_ = { use(1, 7) };
    fixture.board_.applyReport(old, fixture.now_);
    CHECK(fixture.board_.useOf(UpstreamId(1)).onlineRequests_ == 2);
    fixture.board_.dropNodeReport(NodeId(2));
    CHECK(fixture.board_.useOf(UpstreamId(1)).onlineRequests_ == 0);
}

TEST_CASE("capacity: the work of a node that stops reporting is dropped")
{
    BoardFixture fixture(1);
    fixture.receiveReport(2, { use(1, 8) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Queues);
    fixture.now_ += 3s;
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Free);
}

TEST_CASE("capacity: when engines are full, batch is preempted first, then a free slot of another region is used, then an engine's queue")
{
    BoardFixture fixture(2);
    fixture.board_.upsert(engine(9, far));
    fixture.receiveReport(2, { use(1, 8), use(2, 6, 2) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::PreemptsBatch);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    CHECK(fixture.board_.nodesRunningBatch(UpstreamId(2)) == std::vector { NodeId(2) });
    fixture.receiveReport(2, { use(1, 8), use(2, 8) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Free);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(9));
    fixture.receiveReport(2, { use(1, 9), use(2, 8), use(9, 8) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Queues);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
}

// In a burst that needs more slots than there are, a request that can't start in time must be refused at once, together with the expected
// time until the next free slot.
TEST_CASE("capacity: an online request that can't start in time gets no engine, and the predicted wait for a slot")
{
    BoardFixture fixture(2);
    fixture.receiveReport(2, { use(1, 12), use(2, 11) });
    const EnginePick pick = fixture.pickOnlineEngine();
    CHECK(pick.kind_ == PickKind::None);
    CHECK(pick.wait_ > Duration::zero());
}

TEST_CASE("capacity: only urgent batch items take reserved slots, and none waits in an engine's queue")
{
    BoardFixture fixture(1);
    fixture.receiveReport(2, { use(1, 6) });
    CHECK(fixture.pickBatchEngine().isSome());
    fixture.receiveReport(2, { use(1, 7) });
    CHECK_FALSE(fixture.pickBatchEngine().isSome());
    CHECK(fixture.pickBatchEngine(true).isSome());
    fixture.receiveReport(2, { use(1, 8) });
    CHECK_FALSE(fixture.pickBatchEngine(true).isSome());
}

// Guards against items that idle engines never run because their only slot is reserved for online requests.
TEST_CASE("capacity: an idle engine with one slot takes a batch item that isn't urgent")
{
    BoardFixture fixture(0);
    fixture.board_.upsert(engine(1, near, 1));
    CHECK(fixture.pickBatchEngine().isSome());
    fixture.receiveReport(2, { use(1, 1) });
    CHECK_FALSE(fixture.pickBatchEngine().isSome());
    CHECK_FALSE(fixture.pickBatchEngine(true).isSome());
    // An online request still gets the slot at once.
    fixture.receiveReport(2, { use(1, 0, 1) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::PreemptsBatch);
}

// Guards against items that hold all engines of one slot, so that requests are refused until their runs end.
TEST_CASE("capacity: urgent items keep one slot of an engine with several, and every fourth engine with one")
{
    BoardFixture fixture(0);
    for (std::uint64_t id = 1; id <= 9; ++id)
        fixture.board_.upsert(engine(id, near, 1));
    fixture.board_.upsert(engine(10, near, 2));
    std::size_t kept = 0;
    for (std::uint64_t id = 1; id <= 9; ++id)
        kept += fixture.board_.nonPreemptibleLimit(UpstreamId(id), 1);
    CHECK(kept == 2);
    CHECK(fixture.board_.nonPreemptibleLimit(UpstreamId(10), 1) == 1);
    for (std::uint64_t id = 4; id <= 9; ++id)
        fixture.board_.remove(UpstreamId(id));
    for (std::uint64_t id = 1; id <= 3; ++id)
        CHECK(fixture.board_.nonPreemptibleLimit(UpstreamId(id), 1) == 0);
}

// Guards against requests that wait at their engine because the slot that an item gave up for them was given to another item.
TEST_CASE("capacity: the slot of a preempted item goes to no other item before the request takes it")
{
    BoardFixture fixture(0);
    fixture.board_.upsert(engine(1, near, 1));
    fixture.board_.started(UpstreamId(1), WorkClass::BatchItem);
    fixture.board_.ended(UpstreamId(1), WorkClass::BatchItem);
    fixture.board_.recordPreemption(UpstreamId(1), fixture.now_);
    CHECK_FALSE(fixture.pickBatchEngine().isSome());
    CHECK_FALSE(fixture.pickBatchEngine(true).isSome());
    fixture.now_ += CapacitySettings().preemptionHold_;
    CHECK(fixture.pickBatchEngine().isSome());
}

// With many hosts and engines, picks that ignore open connections would set up a new connection for every second request.
TEST_CASE("capacity: among engines with similar free capacity one with an open connection is preferred")
{
    BoardFixture fixture(3);
    const Endpoint endpoint = parseEndpoint("10.0.0.2:80").value();
    EngineEntry connected = engine(2);
    connected.at_ = endpoint;
    fixture.board_.upsert(connected);
    fixture.board_.setHasConnection([endpoint](const Endpoint& at) { return at == endpoint; });
    fixture.receiveReport(2, { use(2, 1) });
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.receiveReport(2, { use(2, 4) });
    CHECK(fixture.pickOnlineEngine().engine_ != UpstreamId(2));
}

// After a power failure of all processes, engines may still run work that no node counts. Batch must not fill their slots at once.
TEST_CASE("capacity: after a start, the slots for batch increase gradually, except for urgent items")
{
    BoardFixture fixture(1);
    fixture.board_.setStart(fixture.now_);
    CHECK_FALSE(fixture.pickBatchEngine().isSome());
    CHECK(fixture.pickBatchEngine(true).isSome());
    const auto taken = [&fixture] {
        int items = 0;
        for (; fixture.pickBatchEngine().isSome(); ++items)
            fixture.board_.started(UpstreamId(1), WorkClass::BatchItem);
        return items;
    };
    fixture.now_ += CapacitySettings().batchRamp_ / 2;
    CHECK(taken() == 4);
    fixture.now_ += CapacitySettings().batchRamp_ / 2;
    CHECK(taken() == 3);
}

// An engine that resets each request but passes its health check always looks idle, so it would be the first choice for all of the six
// requests per second. RetrySimulation lose one answer in two that way while other engines have free slots.
TEST_CASE("capacity: an engine that resets all requests doesn't attract online requests because it looks idle")
{
    BoardFixture fixture(3);
    fixture.receiveReport(2, { use(1, 4), use(2, 4) });
    int lost = 0;
    for (int request = 0; request < 120; ++request) {
        fixture.now_ += 160ms;
        fixture.receiveReport(2, { use(1, 4), use(2, 4) });
        for (const UpstreamId due : fixture.board_.enginesDueForProbe(fixture.now_))
            fixture.board_.recordProbeSuccess(due);
        const EnginePick pick = fixture.pickOnlineEngine(true);
        REQUIRE(pick.isSome());
        if (pick.engine_ == UpstreamId(3)) {
            ++lost;
            fixture.board_.failed(pick.engine_, EngineFault::Lost, fixture.now_);
        } else {
            fixture.board_.succeeded(pick.engine_, fixture.now_);
        }
    }
    // In 19 s the engine is tested at 0 s, 0.5 s, 1.5 s and so on, later every 6 s.
    CHECK(lost <= 8);
}

TEST_CASE("capacity: the success of a stream that began before the failure doesn't clear the engine")
{
    BoardFixture fixture(2);
    fixture.receiveReport(2, { use(2, 3) });
    REQUIRE(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
    fixture.board_.failed(UpstreamId(1), EngineFault::Lost, fixture.now_);
    fixture.board_.succeeded(UpstreamId(1), fixture.now_ + 50ms);
    CHECK(fixture.pickOnlineEngine(true).engine_ == UpstreamId(2));
    fixture.now_ += 600ms;
    fixture.board_.recordProbeSuccess(UpstreamId(1));
    // A request that can't be repeated doesn't test an engine.
    CHECK(fixture.pickOnlineEngine(false).engine_ == UpstreamId(2));
    CHECK(fixture.pickOnlineEngine(true).engine_ == UpstreamId(1));
    fixture.board_.succeeded(UpstreamId(1), fixture.now_);
    CHECK(fixture.pickOnlineEngine(false).engine_ == UpstreamId(1));
}

TEST_CASE("capacity: of several nodes that report an engine as failing, only one tests it")
{
    BoardFixture second(2, NodeId(5));
    second.board_.failed(UpstreamId(1), EngineFault::Lost, second.now_);
    second.receiveReport(3, {}, { UpstreamId(1) });
    second.now_ += 700ms;
    second.receiveReport(3, { use(2, 4) }, { UpstreamId(1) });
    second.board_.recordProbeSuccess(UpstreamId(1));
    CHECK(second.pickOnlineEngine(true).engine_ == UpstreamId(2));
    second.receiveReport(3, { use(2, 4) });
    CHECK(second.pickOnlineEngine(true).engine_ == UpstreamId(1));
}

// Guards against engines that no node uses again after a fault, because the node that should test them has no requests.
TEST_CASE("capacity: an engine that the testing node leaves untested is tested by others once no other engine is usable")
{
    BoardFixture second(2, NodeId(5));
    second.board_.failed(UpstreamId(1), EngineFault::Lost, second.now_);
    second.board_.recordProbeSuccess(UpstreamId(1));
    const auto advance = [&second](Duration by) {
        second.now_ += by;
        second.receiveReport(3, { use(2, 7) }, { UpstreamId(1) });
    };
    advance(4s);
    CHECK(second.pickOnlineEngine(true).engine_ == UpstreamId(2));
    CHECK_FALSE(second.pickBatchEngine().isSome());
    second.board_.remove(UpstreamId(2));
    CHECK(second.pickBatchEngine().engine_ == UpstreamId(1));
    CHECK(second.pickOnlineEngine(true).engine_ == UpstreamId(1));
    // A node that has just seen the engine fail waits for the testing node.
    second.board_.failed(UpstreamId(1), EngineFault::Lost, second.now_);
    second.board_.recordProbeSuccess(UpstreamId(1));
    advance(2s);
    CHECK_FALSE(second.pickBatchEngine().isSome());
}

TEST_CASE("capacity: an engine that others report as failing is used when no other is left, or after a recent success at this node")
{
    BoardFixture fixture(2);
    fixture.receiveReport(2, { use(2, 3) }, { UpstreamId(1) });
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.board_.succeeded(UpstreamId(1), fixture.now_);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
    fixture.now_ += 1500ms;
    fixture.receiveReport(2, { use(2, 3) }, { UpstreamId(1) });
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.board_.remove(UpstreamId(2));
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
}

// Guards against a second of silence of all engines after which none of them is used.
TEST_CASE("capacity: silent engines are used when no other is left, until they go on or a while has passed")
{
    BoardFixture fixture(2);
    fixture.receiveReport(2, { use(2, 3) });
    fixture.board_.recordSilence(UpstreamId(1), fixture.now_);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.board_.recordSilence(UpstreamId(2), fixture.now_);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
    CHECK(fixture.pickBatchEngine().isSome());
    fixture.board_.silenceEnded(UpstreamId(2));
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.now_ += 500ms;
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
}

TEST_CASE("capacity: silent engines are reported as failing to other nodes and cells, until they go on or a while has passed")
{
    BoardFixture fixture(2);
    fixture.board_.failed(UpstreamId(1), EngineFault::Lost, fixture.now_);
    fixture.board_.recordSilence(UpstreamId(1), fixture.now_);
    fixture.board_.recordSilence(UpstreamId(2), fixture.now_);
    CHECK(fixture.board_.ownUse(fixture.now_).failingEngines_ == std::vector { UpstreamId(1), UpstreamId(2) });
    CHECK(fixture.board_.ownCell(fixture.now_).failingEngines_ == std::vector { UpstreamId(1), UpstreamId(2) });
    CHECK(fixture.board_.ownUse(fixture.now_ + 500ms).failingEngines_ == std::vector { UpstreamId(1) });
    fixture.board_.silenceEnded(UpstreamId(2));
    CHECK(fixture.board_.ownUse(fixture.now_).failingEngines_ == std::vector { UpstreamId(1) });
}

// Guards against a request that waits for a slot which no engine can give it, and holds up the others.
TEST_CASE("capacity: a slot is worth waiting for only if another engine works")
{
    BoardFixture fixture(2);
    const std::vector tried { UpstreamId(1) };
    const auto hasOther = [&](SoftwareVersionId version) { return fixture.board_.hasOtherEngine("s", tried, fixture.now_, version); };
    CHECK(hasOther(SoftwareVersionId::none()));
    CHECK(!hasOther(SoftwareVersionId(12345)));
    fixture.board_.recordSilence(UpstreamId(2), fixture.now_);
    CHECK(!hasOther(SoftwareVersionId::none()));
    fixture.board_.silenceEnded(UpstreamId(2));
    CHECK(hasOther(SoftwareVersionId::none()));
    fixture.board_.failed(UpstreamId(2), EngineFault::Lost, fixture.now_);
    CHECK(!hasOther(SoftwareVersionId::none()));
}

// When the network between a node and its engines drops all open connections, the node's streams fail at the same moment although all
// engines are healthy.
TEST_CASE("capacity: simultaneous losses of connections to many engines aren't attributed to the engines")
{
    BoardFixture fixture(12);
    int attributed = 0;
    for (std::uint64_t id = 1; id <= 12; ++id)
        attributed += fixture.board_.failed(UpstreamId(id), EngineFault::Lost, fixture.now_) > Duration::zero() ? 1 : 0;
    CHECK(attributed <= 4);
    CHECK(fixture.pickOnlineEngine().isSome());
}

TEST_CASE("capacity: an engine that drains or refuses requests as full gets no new ones")
{
    BoardFixture fixture(2);
    EngineEntry drainingEngine = engine(1);
    drainingEngine.draining_ = true;
    fixture.board_.upsert(drainingEngine);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    fixture.board_.recordFullRefusal(UpstreamId(2), fixture.now_);
    CHECK_FALSE(fixture.pickOnlineEngine().isSome());
    fixture.now_ += 50ms;
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
}

TEST_CASE("capacity: an online request preempts only items that aren't due too soon, and else waits in an engine's queue")
{
    BoardFixture fixture(2);
    fixture.receiveReport(2, { use(1, 6, 2, 2), use(2, 7, 1) });
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::PreemptsBatch);
    fixture.receiveReport(2, { use(1, 6, 2, 2), use(2, 8) });
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Queues);
}

// When all nodes restart at once, none has a report of the others for about a second, and each takes the engines for idle while the
// engines' queues grow.
TEST_CASE("capacity: the load that an engine reports itself is used where no node has reported it")
{
    BoardFixture fixture(2);
    fixture.board_.applyEngineLoad(UpstreamId(1), 8, 3, fixture.now_);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(2));
    CHECK_FALSE(fixture.board_.pickBatch("s", true, fixture.now_ + 10s, std::vector { UpstreamId(2) }, fixture.now_).isSome());
    fixture.now_ += 200ms;
    fixture.board_.started(UpstreamId(2), WorkClass::OnlineRequest);
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(1));
    // A difference of one request is normal, because node reports are delayed.
    fixture.receiveReport(2, { use(1, 3) });
    fixture.board_.applyEngineLoad(UpstreamId(1), 4, 0, fixture.now_);
    CHECK(fixture.board_.useOf(UpstreamId(1)).onlineRequests_ == 3);
    CHECK(fixture.board_.pickOnline("s", bound, false, std::vector { UpstreamId(2) }, fixture.now_).kind_ == PickKind::Free);
}

TEST_CASE("capacity: engines of a cell whose load isn't known are used only when there are no others")
{
    BoardFixture fixture(0);
    fixture.board_.setCells(cellOf(near), { CellId(8), CellId(9) });
    for (const std::uint32_t cell : { 8U, 9U }) {
        EngineEntry entry = engine(cell, near);
        entry.cell_ = CellId(cell);
        fixture.board_.upsert(entry);
    }
    CellUse full;
    full.cell_ = CellId(9);
    full.uses_ = { use(9, 7) };
    CellUse brief;
    brief.cell_ = CellId(8);
    brief.isBrief_ = true;
    fixture.board_.applyCellReport(full, fixture.now_);
    fixture.board_.applyCellReport(brief, fixture.now_);
    for (int pick = 0; pick < 10; ++pick)
        CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(9));
    fixture.board_.remove(UpstreamId(9));
    CHECK(fixture.pickOnlineEngine().engine_ == UpstreamId(8));
}

// Guards against a stream that goes on at an engine of another software version than the one that began it.
TEST_CASE("capacity: a pick for one software version takes no engine of another one")
{
    BoardFixture fixture(0);
    const auto add = [&fixture](std::uint64_t id, RegionId region, const char* version) {
        EngineEntry entry = engine(id, region, 1);
        entry.softwareVersion_ = SoftwareVersion(version);
        fixture.board_.upsert(entry);
    };
    const SoftwareVersionId old = SoftwareVersion("v1").id();
    for (std::uint64_t id = 1; id <= 4; ++id)
        add(id, near, "v2");
    add(5, far, "v1");
    const auto pickOld = [&] { return fixture.board_.pickOnline("s", bound, true, {}, fixture.now_, old); };
    CHECK(pickOld().engine_ == UpstreamId(5));
    CHECK(fixture.board_.pickBatch("s", false, fixture.now_ + 10s, {}, fixture.now_, SoftwareVersion("v3").id()).kind_ == PickKind::None);
    CHECK(fixture.board_.hasVersion("s", old));
    CHECK_FALSE(fixture.board_.hasVersion("other", old));
    // Its only slot is taken. The free slots of the other version don't count.
    for (int run = 0; run < 8; ++run)
        fixture.board_.started(UpstreamId(5), WorkClass::OnlineRequest);
    CHECK_FALSE(pickOld().isSome());
    CHECK(fixture.pickOnlineEngine().kind_ == PickKind::Free);
    EngineEntry draining = *fixture.board_.find(UpstreamId(5));
    draining.draining_ = true;
    fixture.board_.upsert(draining);
    CHECK_FALSE(fixture.board_.hasVersion("s", old));
}

// Guards against a sample of the engines of other cells that misses the few of one software version.
TEST_CASE("capacity: the only engine of a software version is found among many of another cell")
{
    BoardFixture fixture(0);
    constexpr std::uint64_t count = 2000;
    for (std::uint64_t id = 1; id <= count; ++id) {
        EngineEntry entry = engine(id, far);
        entry.softwareVersion_ = SoftwareVersion(id == count / 2 ? "v1" : "v2");
        fixture.board_.upsert(entry);
    }
    for (int pick = 0; pick < 20; ++pick)
        CHECK(fixture.board_.pickOnline("s", bound, true, {}, fixture.now_, SoftwareVersion("v1").id()).engine_ == UpstreamId(count / 2));
}
