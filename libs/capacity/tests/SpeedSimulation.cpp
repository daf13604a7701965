#include "SpeedSimulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace jj::speedtest {

namespace {

    constexpr Duration idleGap = 20ms;
    constexpr Duration gapPerRequest = 250us;
    constexpr Duration promptTime = 5ms;
    constexpr Duration firstEventTime = 25ms;
    constexpr Duration reportDelay = 2ms;
    constexpr Duration headDelay = 2ms;
    constexpr Duration herdTime = 20ms;
    constexpr double usualAnswerSeconds = 0.6;
    constexpr double slowFactor = 4;
    constexpr std::size_t none = SIZE_MAX;

    std::uint64_t mixed(std::uint64_t value)
    {
        std::uint64_t mix = value * 0x9E3779B97F4A7C15ULL;
        mix = (mix ^ (mix >> 30)) * 0xBF58476D1CE4E5B9ULL;
        return mix ^ (mix >> 27);
    }

    UpstreamId idOf(std::size_t engine) { return UpstreamId(engine + 1); }

} // namespace

Simulation::Simulation(const Scenario& scenario, Policy policy, std::uint64_t seed)
    : scenario_(scenario)
    , policy_(policy)
    , random_(seed)
    , waiting_(hosts)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        boards_.push_back(std::make_unique<CapacityBoard>(CapacitySettings {}, NodeId(host + 1), HostLocation { CellId(1), RegionId(1), FailureDomainId(1) }, seed + host));
        for (std::size_t engine = 0; engine < engines; ++engine) {
            EngineEntry entry;
            entry.id_ = idOf(engine);
            entry.service_ = "s";
            entry.region_ = RegionId(1);
            entry.cell_ = CellId(1);
            entry.slots_ = slots;
            boards_.back()->upsert(entry);
        }
    }
}

bool Simulation::isSlow(std::size_t engine) const
{
    const auto second = static_cast<std::size_t>((now_ - TimePoint()) / 1s);
    if (scenario_.trouble_ == Trouble::AllAtOnce)
        return second % 2 == 1;
    if (scenario_.trouble_ == Trouble::None)
        return false;
    // A random third: the number of engines that come before it in the order of this second.
    const auto place = [second](std::size_t one) { return mixed(second * engines + one); };
    std::size_t before = 0;
    for (std::size_t other = 0; other < engines; ++other)
        before += place(other) < place(engine) ? 1 : 0;
    return before < engines / 3;
}

double Simulation::speedOf(std::size_t engine) const { return scenario_.speeds_[engine % 3] / (isSlow(engine) ? slowFactor : 1); }

Duration Simulation::gapOf(std::size_t engine)
{
    const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(random_);
    return fromSeconds(toSeconds(idleGap + gapPerRequest * std::min(running_[engine], slots)) * jitter / speedOf(engine));
}

Outcome Simulation::run(Duration length)
{
    countedFrom_ = now_ + 1s;
    const TimePoint end = countedFrom_ + length;
    while (now_ < end) {
        now_ += 1ms;
        deliverReports();
        advanceRuns();
        // No host is always the first to see a free slot.
        const auto first = static_cast<std::size_t>((now_ - TimePoint()) / 1ms);
        for (std::size_t host = 0; host < hosts; ++host)
            serve((first + host) % hosts);
        arrive();
    }
    return outcome();
}

void Simulation::arrive()
{
    double speeds = 0;
    for (std::size_t engine = 0; engine < engines; ++engine)
        speeds += scenario_.speeds_[engine % 3];
    const double rate = scenario_.load_ * slots * speeds / usualAnswerSeconds;
    for (std::size_t host = 0; host < hosts; ++host) {
        if (!std::bernoulli_distribution(rate / 1000 / hosts)(random_))
            continue;
        waiting_[host].push_back(now_);
        serve(host);
    }
}

void Simulation::serve(std::size_t host)
{
    while (!waiting_[host].empty()) {
        const std::size_t engine = pick(host);
        if (engine == none)
            return;
        const TimePoint arrivedAt = waiting_[host].front();
        waiting_[host].pop_front();
        send(host, engine, arrivedAt);
    }
}

std::size_t Simulation::pick(std::size_t host)
{
    if (policy_ == Policy::TwoChoices)
        return pickOfTwo(host);
    if (policy_ == Policy::Optimum)
        return pickFastest();
    const EnginePick pick = boards_[host]->pickOnline("s", 10s, false, {}, now_);
    return pick.kind_ == PickKind::Free ? pick.engine_.value() - 1 : none;
}

double Simulation::expectedTime(std::size_t host, std::size_t engine, std::uint32_t load) const
{
    const double taken = static_cast<double>(load) / slots;
    return boards_[host]->speeds().slowdown(idOf(engine), now_) * (1 + taken / 4);
}

std::size_t Simulation::pickOfTwo(std::size_t host)
{
    std::vector<std::size_t> free;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        if (running_[engine] < slots)
            free.push_back(engine);
    }
    if (free.empty())
        return none;
    std::shuffle(free.begin(), free.end(), random_);
    if (free.size() == 1)
        return free.front();
    return expectedTime(host, free[0], running_[free[0]]) <= expectedTime(host, free[1], running_[free[1]]) ? free[0] : free[1];
}

std::size_t Simulation::pickFastest()
{
    std::size_t best = none;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        if (running_[engine] >= slots)
            continue;
        const bool isBetter = best == none || speedOf(engine) > speedOf(best) || (speedOf(engine) == speedOf(best) && running_[engine] < running_[best]);
        best = isBetter ? engine : best;
    }
    return best;
}

void Simulation::send(std::size_t host, std::size_t engine, TimePoint arrivedAt)
{
    boards_[host]->started(idOf(engine), WorkClass::OnlineRequest);
    ++running_[engine];
    runs_.push_back({ host, engine, arrivedAt, now_ });
    if (running_[engine] <= slots)
        begin(runs_.back());
    publish(host);
    if (now_ < countedFrom_)
        return;
    ++picks_;
    slowPicks_ += isSlow(engine) ? 1 : 0;
    std::deque<TimePoint>& recent = sent_[engine];
    recent.push_back(now_);
    while (now_ - recent.front() > herdTime)
        recent.pop_front();
    outcome_.herd_ = std::max(outcome_.herd_, recent.size());
}

void Simulation::begin(Run& run)
{
    for (Run& other : runs_) {
        if (other.engine_ == run.engine_ && other.nextEventAt_ != neverTime)
            other.nextEventAt_ += fromSeconds(toSeconds(promptTime) / speedOf(run.engine_));
    }
    run.beganAt_ = now_;
    run.nextEventAt_ = now_ + fromSeconds(toSeconds(firstEventTime) / speedOf(run.engine_));
}

// An engine that has more requests than slots begins them in order of arrival.
void Simulation::beginNext(std::size_t engine)
{
    const auto next = std::find_if(runs_.begin(), runs_.end(), [engine](const Run& run) { return run.engine_ == engine && run.nextEventAt_ == neverTime; });
    if (next != runs_.end())
        begin(*next);
}

void Simulation::readHead(Run& run)
{
    run.hasHead_ = true;
    if (policy_ != Policy::LoadOnly && scenario_.trouble_ == Trouble::ByTurnsWithHeader)
        boards_[run.host_]->recordStatedSlowdown(idOf(run.engine_), isSlow(run.engine_) ? 400 : 100, now_);
}

void Simulation::step(Run& run)
{
    CapacityBoard& board = *boards_[run.host_];
    if (policy_ != Policy::LoadOnly && run.events_ > 0)
        board.recordEventGap(idOf(run.engine_), now_ - run.lastEventAt_, now_);
    run.lastEventAt_ = now_;
    run.nextEventAt_ = now_ + gapOf(run.engine_);
    ++run.events_;
}

void Simulation::advanceRuns()
{
    std::vector<Run> ended;
    for (Run& run : runs_) {
        if (!run.hasHead_ && run.nextEventAt_ != neverTime && now_ >= run.beganAt_ + headDelay)
            readHead(run);
        if (run.nextEventAt_ <= now_)
            step(run);
    }
    std::erase_if(runs_, [&](const Run& run) {
        if (run.events_ < eventsOfAnswer)
            return false;
        ended.push_back(run);
        return true;
    });
    for (const Run& run : ended) {
        --running_[run.engine_];
        beginNext(run.engine_);
        boards_[run.host_]->ended(idOf(run.engine_), WorkClass::OnlineRequest);
        publish(run.host_);
        if (run.sentAt_ < countedFrom_)
            continue;
        seconds_.push_back(toSeconds(now_ - run.arrivedAt_));
        outcome_.slotSeconds_[run.engine_ % 3] += toSeconds(now_ - run.sentAt_);
    }
}

void Simulation::publish(std::size_t host)
{
    NodeUse use = boards_[host]->ownUse(now_);
    use.node_ = NodeId(host + 1);
    use.incarnation_ = Incarnation(1);
    use.sequence_ = ++sequence_;
    reports_.push_back({ now_ + reportDelay, std::move(use) });
}

void Simulation::deliverReports()
{
    while (!reports_.empty() && reports_.front().first <= now_) {
        const NodeUse use = std::move(reports_.front().second);
        reports_.pop_front();
        for (std::size_t host = 0; host < hosts; ++host) {
            if (NodeId(host + 1) != use.node_)
                boards_[host]->applyReport(use, now_);
        }
    }
}

// Requests that still wait or run at the end count with the time that they have taken so far.
Outcome Simulation::outcome()
{
    for (const Run& run : runs_)
        seconds_.push_back(toSeconds(now_ - run.arrivedAt_));
    for (const auto& queue : waiting_) {
        for (const TimePoint arrivedAt : queue)
            seconds_.push_back(toSeconds(now_ - arrivedAt));
    }
    std::sort(seconds_.begin(), seconds_.end());
    outcome_.requests_ = seconds_.size();
    outcome_.meanSeconds_ = std::accumulate(seconds_.begin(), seconds_.end(), 0.0) / static_cast<double>(seconds_.size());
    outcome_.p99Seconds_ = seconds_[seconds_.size() * 99 / 100];
    outcome_.atSlow_ = static_cast<double>(slowPicks_) / static_cast<double>(picks_);
    return outcome_;
}

} // namespace jj::speedtest
