// Simulates entries that take the last slots of engines at the same moment, and counts the online requests whose first event is in time.
//
// Twelve entries send 120 requests a second to 12 engines of eight slots, 94% of what these can do. A request occupies its slot for 0.75 s
// on average. Reports take 15 ms, so several entries may take one slot. A request without a slot waits in the engine, in order of arrival.
// Two thirds of the requests may run again. Those that have no first event after 80 ms may move to another engine.
#include "capacity/CapacityBoard.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace jj;

namespace {

constexpr std::size_t entries = 12;
constexpr std::size_t engines = 12;
constexpr std::size_t slots = 8;
constexpr double requestsPerSecond = 120;
constexpr double repeatableShare = 0.67;
constexpr Duration meanRun = 750ms;
constexpr Duration reportDelay = 15ms;
constexpr Duration firstEventTime = 25ms;
constexpr Duration targetLatency = 300ms;
constexpr Duration patience = 80ms;
constexpr Duration checkPeriod = 30ms;

struct Outcome {
    int submitted_ = 0;
    int inTime_ = 0;
    int moved_ = 0;
};

class OverbookedFleet {
public:
    OverbookedFleet(bool mayMove, std::uint64_t seed)
        : mayMove_(mayMove)
        , random_(seed)
        , queues_(engines)
        , running_(engines, 0)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            boards_.push_back(std::make_unique<CapacityBoard>(CapacitySettings(), NodeId(entry + 1), HostLocation { CellId(1), RegionId(1), FailureDomainId(1) }, seed + entry));
            for (std::size_t engine = 0; engine < engines; ++engine) {
                EngineEntry one;
                one.id_ = UpstreamId(engine + 1);
                one.service_ = "s";
                one.cell_ = CellId(1);
                one.region_ = RegionId(1);
                one.domain_ = FailureDomainId(1);
                one.slots_ = slots;
                boards_.back()->upsert(one);
            }
        }
    }

    Outcome run(Duration time)
    {
        schedule(Duration::zero(), [this] { arrive(); });
        const TimePoint end = now_ + time;
        while (events_.top().at_ <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.work_();
        }
        return outcome_;
    }

private:
    struct Request {
        std::size_t entry_ = 0;
        TimePoint arrivedAt_ {};
        bool isRepeatable_ = false;
        Duration run_ {};
        UpstreamId engine_;
        bool hasBegun_ = false;
        std::vector<UpstreamId> tried_;
    };
    using RequestPtr = std::shared_ptr<Request>;

    struct Event {
        TimePoint at_;
        std::uint64_t order_;
        std::function<void()> work_;

        bool operator>(const Event& other) const { return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_; }
    };

    void schedule(Duration delay, std::function<void()> work) { events_.push({ now_ + delay, nextOrder_++, std::move(work) }); }

    void arrive()
    {
        schedule(fromSeconds(std::exponential_distribution<double>(requestsPerSecond)(random_)), [this] { arrive(); });
        auto request = std::make_shared<Request>();
        request->entry_ = std::uniform_int_distribution<std::size_t>(0, entries - 1)(random_);
        request->arrivedAt_ = now_;
        request->isRepeatable_ = std::bernoulli_distribution(repeatableShare)(random_);
        // Drawn here, so that the same requests arrive whether or not they move.
        const double seconds = std::normal_distribution<double>(toSeconds(meanRun), toSeconds(meanRun) / 4)(random_);
        request->run_ = fromSeconds(std::max(seconds, 0.05));
        ++outcome_.submitted_;
        const EnginePick pick = boards_[request->entry_]->pickOnline("s", targetLatency, request->isRepeatable_, {}, now_);
        if (pick.isSome())
            send(request, pick.engine_);
    }

    void send(const RequestPtr& request, UpstreamId engine)
    {
        request->engine_ = engine;
        request->tried_.push_back(engine);
        boards_[request->entry_]->started(engine, WorkClass::OnlineRequest);
        report(request->entry_);
        queues_[engine.value() - 1].push_back(request);
        admit(engine);
        const bool mayMove = mayMove_ && request->isRepeatable_ && request->tried_.size() < 2;
        if (mayMove)
            schedule(patience, [this, request] { check(request); });
    }

    void check(const RequestPtr& request)
    {
        if (request->hasBegun_)
            return;
        CapacityBoard& board = *boards_[request->entry_];
        const EnginePick pick = board.pickInsteadOf(request->engine_, targetLatency - (now_ - request->arrivedAt_), request->tried_, now_);
        if (!pick.isSome())
            return schedule(checkPeriod, [this, request] { check(request); });
        std::erase(queues_[request->engine_.value() - 1], request);
        board.ended(request->engine_, WorkClass::OnlineRequest);
        ++outcome_.moved_;
        send(request, pick.engine_);
    }

    // Starts the first waiting requests of the engine on its free slots.
    void admit(UpstreamId engine)
    {
        std::deque<RequestPtr>& queue = queues_[engine.value() - 1];
        std::size_t& running = running_[engine.value() - 1];
        while (running < slots && !queue.empty()) {
            const RequestPtr request = queue.front();
            queue.pop_front();
            ++running;
            request->hasBegun_ = true;
            outcome_.inTime_ += now_ + firstEventTime - request->arrivedAt_ <= targetLatency ? 1 : 0;
            schedule(request->run_, [this, request, engine] {
                --running_[engine.value() - 1];
                boards_[request->entry_]->ended(engine, WorkClass::OnlineRequest);
                report(request->entry_);
                admit(engine);
            });
        }
    }

    void report(std::size_t from)
    {
        NodeUse use = boards_[from]->ownUse(now_);
        use.node_ = NodeId(from + 1);
        use.incarnation_ = Incarnation(1);
        use.sequence_ = ++sequence_;
        schedule(reportDelay, [this, from, use] {
            for (std::size_t to = 0; to < entries; ++to) {
                if (to != from)
                    boards_[to]->applyReport(use, now_);
            }
        });
    }

    bool mayMove_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<CapacityBoard>> boards_;
    std::vector<std::deque<RequestPtr>> queues_; // of each engine
    std::vector<std::size_t> running_; // on each engine
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextOrder_ = 0;
    std::uint32_t sequence_ = 0;
    TimePoint now_ { 100s };
    Outcome outcome_;
};

} // namespace

TEST_CASE("capacity: requests leave engines that several entries filled at the same moment, and more of them are in time")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        const Outcome staying = OverbookedFleet(false, seed).run(60s);
        const Outcome moving = OverbookedFleet(true, seed).run(60s);
        const auto share = [](const Outcome& outcome) { return static_cast<double>(outcome.inTime_) / outcome.submitted_; };
        MESSAGE("in time: staying ", share(staying), ", moving ", share(moving), ", moved ", moving.moved_, " of ", moving.submitted_);
        CHECK(share(moving) > share(staying));
    }
}

TEST_CASE("capacity: a request stays at an engine that has no more work than slots, or when no other has a free one")
{
    CapacityBoard board({}, NodeId(1), { CellId(1), RegionId(1), FailureDomainId(1) }, 1);
    EngineEntry engine;
    engine.service_ = "s";
    engine.cell_ = CellId(1);
    engine.region_ = RegionId(1);
    engine.slots_ = 2;
    for (const std::uint64_t id : { 1, 2 }) {
        engine.id_ = UpstreamId(id);
        board.upsert(engine);
    }
    const TimePoint now { 10s };
    const std::vector<UpstreamId> tried { UpstreamId(1) };
    for (int started = 0; started < 2; ++started)
        board.started(UpstreamId(1), WorkClass::OnlineRequest);
    CHECK_FALSE(board.pickInsteadOf(UpstreamId(1), 300ms, tried, now).isSome());
    board.started(UpstreamId(1), WorkClass::OnlineRequest);
    CHECK(board.pickInsteadOf(UpstreamId(1), 300ms, tried, now).engine_ == UpstreamId(2));
    for (int started = 0; started < 2; ++started)
        board.started(UpstreamId(2), WorkClass::OnlineRequest);
    CHECK_FALSE(board.pickInsteadOf(UpstreamId(1), 300ms, tried, now).isSome());
    CHECK_FALSE(board.pickInsteadOf(UpstreamId(9), 300ms, tried, now).isSome());
}
