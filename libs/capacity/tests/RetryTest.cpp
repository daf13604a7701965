// Simulates callers that are refused in a burst and retry once, and counts how many of them are served in the end.
//
// Requests arrive at random: for 2.4 s of each 5.8 s at 1.9 times the mean rate, and otherwise at 0.38 times the mean rate. The bursts need
// 1.4 times the existing slots, and some slots are free between bursts. A request occupies its slot for 0.75 s on average, with a standard
// deviation of a quarter of that. The first event is in time within 300 ms of each attempt. A caller allows 5 s in total, waits at most a
// third of the remaining time before its retry, and retries once.
#include "capacity/CapacityBoard.h"
#include "capacity/OverloadPredictor.h"
#include "capacity/RetryDetector.h"
#include "capacity/WaitingQueue.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace jj;

namespace {

constexpr std::size_t engines = 6;
constexpr std::uint32_t slots = 8;
constexpr Duration targetLatency = 300ms;
constexpr Duration callerTimeout = 5s;
constexpr Duration maxQueueTime = 4 * targetLatency;
constexpr Duration minRetryDelay = 150ms;
constexpr Duration meanRun = 750ms;
constexpr RegionId region { 1 };

enum class Policy : std::uint8_t {
    RetryWhenSlotFree, // the caller retries when one slot is expected to be free, and retries are treated like first attempts
    RetryAfterBurst, // the caller retries after the overload, and retries are queued even if they will be late
};

struct Outcome {
    int submitted_ = 0;
    int inTime_ = 0; // at the first or at the second attempt
    int late_ = 0;
    int refused_ = 0; // at both attempts
};

class RetrySimulation {
public:
    RetrySimulation(Policy policy, std::uint64_t seed)
        : policy_(policy)
        , random_(seed)
        , board_(settings(), NodeId(1), { CellId(1), region, FailureDomainId(1) }, seed)
    {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            EngineEntry one;
            one.id_ = UpstreamId(engine + 1);
            one.service_ = "s";
            one.region_ = region;
            one.cell_ = CellId(1);
            one.slots_ = slots;
            board_.upsert(one);
        }
    }

    Outcome run(Duration length)
    {
        constexpr double slotsPerSecond = engines * slots / 0.75;
        constexpr double mean = 1.4 * slotsPerSecond / 1.9;
        const TimePoint end = now_ + length;
        while (now_ < end) {
            now_ += 1ms;
            endRuns();
            serve();
            expire();
            const bool isBurst = (now_ - TimePoint()) % 5800ms < 2400ms;
            if (std::bernoulli_distribution(mean * (isBurst ? 1.9 : 0.38) / 1000)(random_)) {
                ++outcome_.submitted_;
                attempt({ now_, now_, false });
            }
            for (auto it = retries_.begin(); it != retries_.end() && it->first <= now_; it = retries_.erase(it))
                attempt({ it->second.first_, now_, true });
        }
        return outcome_;
    }

private:
    struct OnlineRequest {
        TimePoint first_ {}; // arrival of the caller's first attempt
        TimePoint arrived_ {}; // arrival of this attempt
        bool isRetry_ = false;
    };

    static CapacitySettings settings()
    {
        CapacitySettings settings;
        settings.initialRunEstimate_ = meanRun;
        return settings;
    }

    void attempt(const OnlineRequest& request)
    {
        const Duration timeLeft = request.first_ + callerTimeout - now_;
        const bool isRetry = policy_ == Policy::RetryAfterBurst && detector_.isProbableRetry("r", timeLeft, now_);
        const EnginePick pick = board_.pickOnline("s", targetLatency, false, {}, now_);
        if (pick.kind_ == PickKind::Free && queue_.empty())
            return send(request, pick.engine_);
        if (!isRetry && !board_.canQueueInTime("s", targetLatency, now_))
            return refuse(request);
        const QueueTicket ticket = queue_.enter("s", now_ + targetLatency - board_.settings().firstEventTime_, now_ + maxQueueTime);
        queuedRequests_[ticket] = request;
        board_.setWaiting("s", queue_.size("s"), queue_.inTime("s", now_));
    }

    void refuse(const OnlineRequest& request)
    {
        if (request.isRetry_) {
            ++outcome_.refused_;
            return;
        }
        predictor_.refused(now_);
        const Duration maxDelay = (request.first_ + callerTimeout - now_) / 3;
        Duration wait = board_.queueWait("s", now_);
        if (policy_ == Policy::RetryAfterBurst)
            wait = std::max(wait, predictor_.retryDelay(now_));
        retries_.emplace(now_ + std::clamp<Duration>(wait, minRetryDelay, maxDelay), request);
    }

    void serve()
    {
        while (const auto ticket = queue_.first("s", now_)) {
            const EnginePick pick = board_.pickOnline("s", 10s, false, {}, now_);
            if (pick.kind_ != PickKind::Free)
                return;
            const OnlineRequest request = queuedRequests_.at(*ticket);
            leave(*ticket);
            send(request, pick.engine_);
        }
    }

    void expire()
    {
        for (const QueueTicket ticket : queue_.expired(now_)) {
            const OnlineRequest request = queuedRequests_.at(ticket);
            leave(ticket);
            refuse(request);
        }
    }

    void leave(QueueTicket ticket)
    {
        queuedRequests_.erase(ticket);
        queue_.leave(ticket);
        board_.setWaiting("s", queue_.size("s"), queue_.inTime("s", now_));
    }

    void send(const OnlineRequest& request, UpstreamId engine)
    {
        constexpr Duration firstEvent = 25ms;
        board_.started(engine, WorkClass::OnlineRequest);
        ++(now_ + firstEvent - request.arrived_ <= targetLatency ? outcome_.inTime_ : outcome_.late_);
        const double seconds = std::normal_distribution<double>(toSeconds(meanRun), 0.25 * toSeconds(meanRun))(random_);
        runs_.emplace(now_ + fromSeconds(std::clamp(seconds, 0.2, 1.3)), engine);
    }

    void endRuns()
    {
        for (auto it = runs_.begin(); it != runs_.end() && it->first <= now_; it = runs_.erase(it))
            board_.ended(it->second, WorkClass::OnlineRequest);
    }

    Policy policy_;
    std::mt19937_64 random_;
    TimePoint now_ { 5800ms };
    CapacityBoard board_;
    WaitingQueue queue_;
    OverloadPredictor predictor_;
    RetryDetector detector_;
    std::map<QueueTicket, OnlineRequest> queuedRequests_;
    std::multimap<TimePoint, OnlineRequest> retries_;
    std::multimap<TimePoint, UpstreamId> runs_;
    Outcome outcome_;
};

} // namespace

// A caller that is refused in a burst with a retry delay of 0.3 s retries in the same burst, is refused again and gives up, while a second
// later half of the slots are free. One caller in seven got no answer that way.
TEST_CASE("capacity: callers that are refused in a burst retry after it and are served")
{
    Outcome whenSlotFree;
    Outcome afterBurst;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const Outcome one = RetrySimulation(Policy::RetryWhenSlotFree, seed).run(35s);
        const Outcome other = RetrySimulation(Policy::RetryAfterBurst, seed).run(35s);
        whenSlotFree.submitted_ += one.submitted_;
        whenSlotFree.inTime_ += one.inTime_;
        whenSlotFree.refused_ += one.refused_;
        afterBurst.submitted_ += other.submitted_;
        afterBurst.inTime_ += other.inTime_;
        afterBurst.refused_ += other.refused_;
    }
    const auto fraction = [](int count, const Outcome& of) { return static_cast<double>(count) / of.submitted_; };
    MESSAGE("retry when a slot is free: in time " << fraction(whenSlotFree.inTime_, whenSlotFree) << ", refused twice " << fraction(whenSlotFree.refused_, whenSlotFree));
    MESSAGE("retry after the burst: in time " << fraction(afterBurst.inTime_, afterBurst) << ", refused twice " << fraction(afterBurst.refused_, afterBurst));
    CHECK(fraction(afterBurst.refused_, afterBurst) < 0.01);
    CHECK(fraction(whenSlotFree.refused_, whenSlotFree) > 0.04);
    CHECK(fraction(afterBurst.inTime_, afterBurst) > fraction(whenSlotFree.inTime_, whenSlotFree));
}

TEST_CASE("capacity: a request that allows less time than others of its route is taken for a retry")
{
    RetryDetector detector;
    const TimePoint now { 10s };
    CHECK_FALSE(detector.isProbableRetry("r", 5s, now));
    CHECK_FALSE(detector.isProbableRetry("r", 4980ms, now)); // it took longer on the network
    CHECK(detector.isProbableRetry("r", 3500ms, now));
    CHECK_FALSE(detector.isProbableRetry("other", 3500ms, now));
    // From now on callers allow less time. This is detected when no request has allowed more for a while.
    CHECK(detector.isProbableRetry("r", 3s, now + 5s));
    CHECK_FALSE(detector.isProbableRetry("r", 3s, now + 20s));
    CHECK_FALSE(detector.isProbableRetry("r", 3s, now + 21s));
}
