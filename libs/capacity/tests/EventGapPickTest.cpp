// Tests of the place of slow engines that would miss a route's target for the time between events, in the order of picks.
#include "capacity/CapacityBoard.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr Duration usualGap = 20ms;
constexpr Duration slowGap = 80ms;
constexpr Duration missedTarget = 50ms; // usual engines meet it, slow ones don't
constexpr auto slow = UpstreamId(1); // of the own cell

constexpr auto other = UpstreamId(2); // of another cell

// A node whose cell has a slow engine and four usual ones. Engines have one slot.
class Cell {
public:
    Cell()
    {
        add(slow, 1, 1);
        for (const std::uint64_t engine : usualEngines)
            add(UpstreamId(engine), 1, 1);
    }

    void add(UpstreamId id, std::uint32_t cell, std::uint32_t region)
    {
        EngineEntry entry;
        entry.id_ = id;
        entry.service_ = "s";
        entry.cell_ = CellId(cell);
        entry.region_ = RegionId(region);
        entry.domain_ = FailureDomainId(1);
        entry.slots_ = 1;
        board_.upsert(entry);
    }

    // Lets all engines bring events for some seconds. Afterwards the usual ones are full.
    void learn(Duration gapOfOther = usualGap)
    {
        for (int step = 0; step < 100; ++step) {
            now_ += slowGap;
            board_.recordEventGap(slow, slowGap, now_);
            board_.recordEventGap(other, gapOfOther, now_);
            for (const std::uint64_t engine : usualEngines)
                board_.recordEventGap(UpstreamId(engine), usualGap, now_);
        }
        REQUIRE(board_.speeds().slowdown(slow, now_) > 2);
        for (const std::uint64_t engine : usualEngines)
            board_.started(UpstreamId(engine), WorkClass::OnlineRequest);
    }

    EnginePick pick(Duration maxEventGap) { return board_.pickOnline("s", 1s, true, {}, now_, SoftwareVersionId::none(), maxEventGap); }

    CapacityBoard board_ { {}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(1) }, 1 };
    TimePoint now_ { 10s };

private:
    static constexpr std::uint64_t usualEngines[] = { 3, 4, 5, 6 };
};

} // namespace

// Guards against streams that leave the region because an item holds the slot of the slow engine.
TEST_CASE("event gap: a slow engine whose slot an item holds is picked before a free one in another region")
{
    Cell cell;
    cell.add(other, 2, 2);
    cell.learn();
    cell.board_.started(slow, WorkClass::BatchItem);
    CHECK(cell.pick(Duration::zero()).engine_ == slow);
    CHECK(cell.pick(missedTarget).engine_ == slow);
    CHECK(cell.pick(missedTarget).kind_ == PickKind::PreemptsBatch);
}

// Guards against items of another cell that are preempted while the own cell has a free slot.
TEST_CASE("event gap: a free slow engine is picked before an item of another cell is preempted")
{
    Cell cell;
    cell.add(other, 2, 1);
    cell.learn();
    cell.board_.started(other, WorkClass::BatchItem);
    CHECK(cell.pick(missedTarget).engine_ == slow);
    CHECK(cell.pick(missedTarget).kind_ == PickKind::Free);
}

// Guards against streams that go to another cell and miss the target there too.
TEST_CASE("event gap: a slow engine is picked before one of another cell that would miss the target as well")
{
    Cell cell;
    cell.add(other, 2, 1);
    cell.learn(slowGap);
    REQUIRE(cell.board_.speeds().slowdown(other, cell.now_) > 2);
    CHECK(cell.pick(missedTarget).engine_ == slow);
}

// Guards against picks that look at engines of other regions although none of them may be picked.
TEST_CASE("event gap: engines of other regions aren't visited while the cell has a slow engine with a free slot")
{
    Cell cell;
    cell.learn();
    const auto visited = [&cell] {
        const std::uint64_t before = cell.board_.visitedEngines();
        cell.pick(missedTarget);
        return cell.board_.visitedEngines() - before;
    };
    const std::uint64_t alone = visited();
    for (std::uint64_t engine = 7; engine < 200; ++engine)
        cell.add(UpstreamId(engine), 2, 2);
    CHECK(visited() == alone);
}
