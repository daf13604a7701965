// Simulates engines that turn slow while they answer everything, and counts the online requests that are sent to them.
//
// Nine entries send 100 requests a second to 12 engines of eight slots, three quarters of what these can do. An answer has 24 events, 30 ms apart. Two engines are eight times
// slower from the third second to the ninth.
#include "capacity/CapacityBoard.h"
#include "capacity/EventPace.h"

#include <doctest/doctest.h>
#include <list>
#include <memory>
#include <random>

using namespace jj;

namespace {

constexpr std::size_t entries = 9;
constexpr std::size_t engines = 12;
constexpr std::size_t slowEngines = 2;
constexpr double requestsPerSecond = 100;
constexpr int eventsOfAnswer = 24;
constexpr Duration eventGap = 30ms;
constexpr int slowFactor = 8;
constexpr Duration step = 5ms;
constexpr Duration reportPeriod = 20ms;
const TimePoint start { 100s };

UpstreamId engineId(std::size_t engine) { return UpstreamId(engine + 1); }

struct Stream {
    std::size_t entry_ = 0;
    UpstreamId engine_;
    int events_ = 0;
    TimePoint nextEventAt_ {};
    EventPace pace_;
};

class SlowEngines {
public:
    SlowEngines(const CapacitySettings& settings, std::uint64_t seed)
        : random_(seed)
    {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            boards_.push_back(std::make_unique<CapacityBoard>(settings, NodeId(entry + 1), HostLocation { CellId(1), RegionId(1), FailureDomainId(1) }, seed + entry));
            for (std::size_t engine = 0; engine < engines; ++engine) {
                EngineEntry one;
                one.id_ = engineId(engine);
                one.service_ = "s";
                one.cell_ = CellId(1);
                one.region_ = RegionId(1);
                one.domain_ = FailureDomainId(1);
                one.slots_ = 8;
                boards_.back()->upsert(one);
            }
        }
    }

    void advance(Duration time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step) {
            sendEvents();
            if ((now_ - start) % reportPeriod == Duration::zero())
                exchangeReports();
            if (std::bernoulli_distribution(requestsPerSecond * toSeconds(step))(random_))
                arrive();
        }
    }

    void setSlow(bool isSlow) { isSlow_ = isSlow; }
    // The share of the requests since the last call that were sent to the engines that are slow at times.
    double takeShare()
    {
        const double share = static_cast<double>(toSlow_) / std::max(arrived_, 1);
        arrived_ = 0;
        toSlow_ = 0;
        return share;
    }
    bool isAnyAvoided() const
    {
        bool isAvoided = false;
        for (const auto& board : boards_) {
            for (std::size_t engine = 0; engine < engines; ++engine)
                isAvoided = isAvoided || board->isSlow(engineId(engine), now_);
        }
        return isAvoided;
    }
    // Delays all events of one entry, as a pause of its process does.
    void pauseEntry(std::size_t entry, Duration pause)
    {
        for (Stream& stream : streams_) {
            if (stream.entry_ == entry)
                stream.nextEventAt_ = std::max(stream.nextEventAt_, now_ + pause);
        }
    }

private:
    Duration gapOf(UpstreamId engine) const { return isSlow_ && engine.value() <= slowEngines ? eventGap * slowFactor : eventGap; }

    void arrive()
    {
        const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, entries - 1)(random_);
        const EnginePick pick = boards_[entry]->pickOnline("s", 300ms, true, {}, now_);
        ++arrived_;
        if (!pick.isSome())
            return;
        toSlow_ += pick.engine_.value() <= slowEngines ? 1 : 0;
        boards_[entry]->started(pick.engine_, WorkClass::OnlineRequest);
        streams_.push_back({ entry, pick.engine_, 0, now_ + gapOf(pick.engine_), {} });
    }

    void sendEvents()
    {
        streams_.remove_if([this](Stream& stream) {
            if (now_ < stream.nextEventAt_)
                return false;
            CapacityBoard& board = *boards_[stream.entry_];
            if (stream.events_ == 0)
                board.succeeded(stream.engine_, now_);
            if (const auto gap = stream.pace_.record(now_))
                board.recordEventGap(stream.engine_, *gap, now_);
            stream.nextEventAt_ = now_ + gapOf(stream.engine_);
            if (++stream.events_ < eventsOfAnswer)
                return false;
            board.ended(stream.engine_, WorkClass::OnlineRequest);
            return true;
        });
    }

    void exchangeReports()
    {
        ++sequence_;
        for (std::size_t from = 0; from < entries; ++from) {
            NodeUse use = boards_[from]->ownUse(now_);
            use.node_ = NodeId(from + 1);
            use.incarnation_ = Incarnation(1);
            use.sequence_ = sequence_;
            for (std::size_t to = 0; to < entries; ++to) {
                if (to != from)
                    boards_[to]->applyReport(use, now_);
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<CapacityBoard>> boards_;
    std::list<Stream> streams_;
    TimePoint now_ = start;
    std::uint32_t sequence_ = 0;
    bool isSlow_ = false;
    int arrived_ = 0;
    int toSlow_ = 0;
};

} // namespace

TEST_CASE("capacity: engines that turn eight times slower get few requests, and their share again when they have recovered")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        SlowEngines avoided({}, seed);
        CapacitySettings blind;
        blind.slowGapFactor_ = 1e9;
        SlowEngines used(blind, seed);
        for (SlowEngines* one : { &avoided, &used }) {
            one->advance(3s);
            one->setSlow(true);
            one->advance(2s);
            one->takeShare();
            one->advance(4s);
        }
        const double share = avoided.takeShare();
        const double blindShare = used.takeShare();
        MESSAGE("share of the requests sent to slow engines: ", share, "; without their pace: ", blindShare);
        CHECK(share < 0.4 * blindShare);
        avoided.setSlow(false);
        avoided.advance(4s);
        avoided.takeShare();
        avoided.advance(4s);
        CHECK(avoided.takeShare() > 0.08);
    }
}

// Guards against a paused or slowed entry that takes every engine for slow and reports it to all others.
TEST_CASE("capacity: a pause of an entry doesn't make engines look slow")
{
    SlowEngines fleet({}, 4);
    fleet.advance(3s);
    for (int pause = 0; pause < 10; ++pause) {
        fleet.pauseEntry(2, 350ms);
        fleet.advance(500ms);
        CHECK_FALSE(fleet.isAnyAvoided());
    }
}
