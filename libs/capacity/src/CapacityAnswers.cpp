// The health and load of engines: failures, backoff, tests after the backoff, and the load that engines report themselves.
#include "capacity/CapacityBoard.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    // An engine refuses a request as full when the counts of the node that sent it are behind. It needs one or two inference steps until
    // its queue is shorter.
    constexpr Duration fullPause = 30ms;

} // namespace

// Independent engine failures don't happen at the same moment, so simultaneous losses point to the node or its network.
bool CapacityBoard::isSharedFault(const Engine& engine, TimePoint now) const
{
    constexpr std::size_t alwaysBlamed = 3;
    std::size_t all = 0;
    std::size_t lost = 0;
    for (const auto& [id, one] : engines_) {
        if (one.entry_.service_ != engine.entry_.service_)
            continue;
        ++all;
        lost += one.lostAt_ != TimePoint() && now - one.lostAt_ <= settings_.sharedFault_ ? 1 : 0;
    }
    return lost > alwaysBlamed && static_cast<double>(lost) > settings_.sharedFaultPart_ * static_cast<double>(all);
}

Duration CapacityBoard::failed(UpstreamId engine, EngineFault fault, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return {};
    Engine& one = found->second;
    if (fault == EngineFault::Lost) {
        one.lostAt_ = now;
        if (isSharedFault(one, now))
            return {};
    }
    // All streams of an engine end when it crashes; they count as one failure.
    if (one.isOnTrial_ && now < one.shunnedUntil_)
        return one.shunnedUntil_ - now;
    // In the order of EngineFault. An error answer counts half, because the request itself may be its cause.
    constexpr double weights[] = { 1, 1, 0.5 };
    const Duration since = std::max<Duration>(now - one.strikesAt_, Duration::zero());
    const double faded = std::exp2(-toSeconds(since) / toSeconds(settings_.failureHalfLife_));
    one.strikes_ = one.strikes_ * faded + weights[static_cast<std::size_t>(fault)];
    one.strikesAt_ = now;
    if (one.strikes_ < 1)
        return {};
    constexpr double mostStrikes = 8;
    one.strikes_ = std::min(one.strikes_, mostStrikes);
    const Duration shun = std::min<Duration>(settings_.longestShun_, fromSeconds(toSeconds(settings_.firstShun_) * std::exp2(one.strikes_ - 1)));
    setOnTrial(one, true);
    one.isProbed_ = false;
    one.shunnedUntil_ = now + shun;
    // The engine gets no requests during the backoff and can't succeed, so the decay of the score begins after it.
    one.strikesAt_ = one.shunnedUntil_;
    return shun;
}

void CapacityBoard::succeeded(UpstreamId engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    Engine& one = found->second;
    one.succeededAt_ = now;
    // The success of a stream that began before the failure doesn't prove that the engine works again.
    if (one.isOnTrial_ && now >= one.shunnedUntil_)
        setOnTrial(one, false);
}

void CapacityBoard::setOnTrial(Engine& engine, bool isOnTrial)
{
    engine.isOnTrial_ = isOnTrial;
    if (isOnTrial)
        onTrial_.insert(engine.entry_.id_);
    else
        onTrial_.erase(engine.entry_.id_);
}

void CapacityBoard::probed(UpstreamId engine)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        found->second.isProbed_ = true;
}

void CapacityBoard::refusedAsFull(UpstreamId engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        found->second.fullUntil_ = now + fullPause;
}

std::vector<UpstreamId> CapacityBoard::dueForProbe(TimePoint now) const
{
    std::vector<UpstreamId> due;
    for (const UpstreamId id : onTrial_) {
        const Engine& engine = engines_.at(id);
        if (!engine.isProbed_ && now >= engine.shunnedUntil_)
            due.push_back(id);
    }
    return due;
}

void CapacityBoard::observed(UpstreamId engine, std::uint32_t running, std::uint32_t waiting, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    Engine& one = found->second;
    const std::uint32_t reported = one.questions() + one.batch();
    const std::uint32_t unheard = running + waiting > reported ? running + waiting - reported : 0;
    one.unheard_ = unheard >= settings_.leastUnheard_ ? unheard : 0;
    one.unheardUntil_ = now + settings_.loadFresh_;
}

} // namespace jj
