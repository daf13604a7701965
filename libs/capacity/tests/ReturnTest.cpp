// Simulates callers that are refused in a burst and retry once, and counts how many of them are served in the end.
//
// Requests arrive at random: for 2.4 s of each 5.8 s at 1.9 times the mean rate, and otherwise at 0.38 times the mean rate. The bursts need
// 1.4 times the existing slots, and some slots are free between bursts. A request occupies its slot for 0.75 s on average, with a standard
// deviation of a quarter of that. The first event is in time within 300 ms of each attempt. A caller allows 5 s in total, waits at most a
// third of the remaining time before its retry, and retries once.
#include "capacity/CallerPatience.h"
#include "capacity/CapacityBoard.h"
#include "capacity/FullPhases.h"
#include "capacity/WaitingQueue.h"

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace jj;

namespace {

constexpr std::size_t engines = 6;
constexpr std::uint32_t slots = 8;
constexpr Duration objective = 300ms;
constexpr Duration callerTime = 5s;
constexpr Duration keepTime = 4 * objective;
constexpr Duration leastRetry = 150ms;
constexpr Duration meanRun = 750ms;
constexpr RegionId region { 1 };

enum class Policy : std::uint8_t {
    SoonAgain, // the caller retries when one slot is expected to be free, and retries are treated like first attempts
    BehindTheBurst, // the caller retries after the overload, and retries are queued even if they will be late
};

struct Outcome {
    int asked_ = 0;
    int inTime_ = 0; // at the first or at the second attempt
    int late_ = 0;
    int refused_ = 0; // at both attempts
};

class Callers {
public:
    Callers(Policy policy, std::uint64_t seed)
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
                ++outcome_.asked_;
                attempt({ now_, now_, false });
            }
            for (auto place = back_.begin(); place != back_.end() && place->first <= now_; place = back_.erase(place))
                attempt({ place->second.first_, now_, true });
        }
        return outcome_;
    }

private:
    struct Question {
        TimePoint first_ {}; // arrival of the caller's first attempt
        TimePoint arrived_ {}; // arrival of this attempt
        bool isSecond_ = false;
    };

    static CapacitySettings settings()
    {
        CapacitySettings settings;
        settings.assumedRun_ = meanRun;
        return settings;
    }

    void attempt(const Question& question)
    {
        const Duration timeLeft = question.first_ + callerTime - now_;
        const bool isBack = policy_ == Policy::BehindTheBurst && patience_.hasReturned("r", timeLeft, now_);
        const EnginePick pick = board_.pickQuestion("s", objective, false, {}, now_);
        if (pick.kind_ == PickKind::Free && queue_.empty())
            return send(question, pick.engine_);
        if (!isBack && !board_.isQueueInTime("s", objective, now_))
            return refuse(question);
        const QueueTicket ticket = queue_.enter("s", now_ + objective - board_.settings().firstEvent_, now_ + keepTime);
        waiters_[ticket] = question;
        board_.setWaiting("s", queue_.size("s"), queue_.inTime("s", now_));
    }

    void refuse(const Question& question)
    {
        if (question.isSecond_) {
            ++outcome_.refused_;
            return;
        }
        phases_.refused(now_);
        const Duration most = (question.first_ + callerTime - now_) / 3;
        Duration wait = board_.queueWait("s", now_);
        if (policy_ == Policy::BehindTheBurst)
            wait = std::max(wait, phases_.remaining(now_));
        back_.emplace(now_ + std::clamp<Duration>(wait, leastRetry, most), question);
    }

    void serve()
    {
        while (const auto ticket = queue_.first("s", now_)) {
            const EnginePick pick = board_.pickQuestion("s", 10s, false, {}, now_);
            if (pick.kind_ != PickKind::Free)
                return;
            const Question question = waiters_.at(*ticket);
            leave(*ticket);
            send(question, pick.engine_);
        }
    }

    void expire()
    {
        for (const QueueTicket ticket : queue_.expired(now_)) {
            const Question question = waiters_.at(ticket);
            leave(ticket);
            refuse(question);
        }
    }

    void leave(QueueTicket ticket)
    {
        waiters_.erase(ticket);
        queue_.leave(ticket);
        board_.setWaiting("s", queue_.size("s"), queue_.inTime("s", now_));
    }

    void send(const Question& question, UpstreamId engine)
    {
        constexpr Duration firstEvent = 25ms;
        board_.started(engine, WorkClass::Question);
        ++(now_ + firstEvent - question.arrived_ <= objective ? outcome_.inTime_ : outcome_.late_);
        const double seconds = std::normal_distribution<double>(toSeconds(meanRun), 0.25 * toSeconds(meanRun))(random_);
        runs_.emplace(now_ + fromSeconds(std::clamp(seconds, 0.2, 1.3)), engine);
    }

    void endRuns()
    {
        for (auto place = runs_.begin(); place != runs_.end() && place->first <= now_; place = runs_.erase(place))
            board_.ended(place->second, WorkClass::Question);
    }

    Policy policy_;
    std::mt19937_64 random_;
    TimePoint now_ { 5800ms };
    CapacityBoard board_;
    WaitingQueue queue_;
    FullPhases phases_;
    CallerPatience patience_;
    std::map<QueueTicket, Question> waiters_;
    std::multimap<TimePoint, Question> back_;
    std::multimap<TimePoint, UpstreamId> runs_;
    Outcome outcome_;
};

} // namespace

// A caller that is refused in a burst with a retry delay of 0.3 s retries in the same burst, is refused again and gives up, while a second
// later half of the slots are free. One caller in seven got no answer that way.
TEST_CASE("capacity: callers that are refused in a burst retry after it and are served")
{
    Outcome soon;
    Outcome behind;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const Outcome one = Callers(Policy::SoonAgain, seed).run(35s);
        const Outcome other = Callers(Policy::BehindTheBurst, seed).run(35s);
        soon.asked_ += one.asked_;
        soon.inTime_ += one.inTime_;
        soon.refused_ += one.refused_;
        behind.asked_ += other.asked_;
        behind.inTime_ += other.inTime_;
        behind.refused_ += other.refused_;
    }
    const auto part = [](int count, const Outcome& of) { return static_cast<double>(count) / of.asked_; };
    MESSAGE("retry when a slot is free: in time " << part(soon.inTime_, soon) << ", refused twice " << part(soon.refused_, soon));
    MESSAGE("retry after the burst: in time " << part(behind.inTime_, behind) << ", refused twice " << part(behind.refused_, behind));
    CHECK(part(behind.refused_, behind) < 0.01);
    CHECK(part(soon.refused_, soon) > 0.04);
    CHECK(part(behind.inTime_, behind) > part(soon.inTime_, soon));
}

TEST_CASE("capacity: a request that allows less time than others of its route is taken for a retry")
{
    CallerPatience patience;
    const TimePoint now { 10s };
    CHECK_FALSE(patience.hasReturned("r", 5s, now));
    CHECK_FALSE(patience.hasReturned("r", 4980ms, now)); // it took longer on the network
    CHECK(patience.hasReturned("r", 3500ms, now));
    CHECK_FALSE(patience.hasReturned("other", 3500ms, now));
    // From now on callers allow less time. This is detected when no request has allowed more for a while.
    CHECK(patience.hasReturned("r", 3s, now + 5s));
    CHECK_FALSE(patience.hasReturned("r", 3s, now + 20s));
    CHECK_FALSE(patience.hasReturned("r", 3s, now + 21s));
}
