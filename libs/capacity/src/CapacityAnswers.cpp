// The health and load of engines: failures, backoff, tests after the backoff, and the load that engines report themselves.
#include "capacity/CapacityBoard.h"

#include <algorithm>
#include <cmath>

namespace jj {

namespace {

    // An engine refuses a request as full when the counts of the node that sent it are behind. It needs one or two inference steps until
    // its queue is shorter.
    constexpr Duration fullBackoff = 30ms;

} // namespace

void CapacityBoard::recordLoss(const Engine& engine, TimePoint now)
{
    while (!recentLosses_.empty() && now - recentLosses_.front().at_ > settings_.sharedFaultWindow_)
        recentLosses_.pop_front();
    recentLosses_.push_back({ engine.entry_.id_, engine.groupPlace_.service_, now });
}

// Independent engine failures don't happen at the same moment, so simultaneous losses point to the node or its network.
bool CapacityBoard::isSharedFault(ServiceId service, TimePoint now) const
{
    constexpr std::size_t maxUnrelatedLosses = 3;
    std::set<UpstreamId> lost;
    for (const Loss& loss : recentLosses_) {
        if (loss.service_ == service && now - loss.at_ <= settings_.sharedFaultWindow_)
            lost.insert(loss.engine_);
    }
    return lost.size() > maxUnrelatedLosses && static_cast<double>(lost.size()) > settings_.sharedFaultFraction_ * static_cast<double>(groups_.count(service));
}

Duration CapacityBoard::failed(UpstreamId engine, EngineFault fault, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return {};
    Engine& one = found->second;
    if (fault == EngineFault::Lost) {
        recordLoss(one, now);
        if (isSharedFault(one.groupPlace_.service_, now))
            return {};
    }
    // All streams of an engine end when it crashes; they count as one failure.
    if (one.isSuspect_ && now < one.backoffUntil_)
        return one.backoffUntil_ - now;
    // In the order of EngineFault. An error answer counts half, because the request itself may be its cause.
    constexpr double weights[] = { 1, 1, 0.5, 1 };
    const Duration since = std::max<Duration>(now - one.failureScoreAt_, Duration::zero());
    const double decayFactor = std::exp2(-toSeconds(since) / toSeconds(settings_.failureHalfLife_));
    one.failureScore_ = one.failureScore_ * decayFactor + weights[static_cast<std::size_t>(fault)];
    one.failureScoreAt_ = now;
    if (one.failureScore_ < 1)
        return {};
    constexpr double maxFailureScore = 8;
    one.failureScore_ = std::min(one.failureScore_, maxFailureScore);
    const Duration backoff = std::min<Duration>(settings_.maxBackoff_, fromSeconds(toSeconds(settings_.initialBackoff_) * std::exp2(one.failureScore_ - 1)));
    setSuspect(one, true);
    one.hasPassedProbe_ = false;
    one.backoffUntil_ = now + backoff;
    // The engine gets no requests during the backoff and can't succeed, so the decay of the score begins after it.
    one.failureScoreAt_ = one.backoffUntil_;
    return backoff;
}

void CapacityBoard::succeeded(UpstreamId engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    Engine& one = found->second;
    one.succeededAt_ = now;
    // The success of a stream that began before the failure doesn't prove that the engine works again.
    if (one.isSuspect_ && now >= one.backoffUntil_)
        setSuspect(one, false);
}

void CapacityBoard::setSuspect(Engine& engine, bool isSuspect)
{
    engine.isSuspect_ = isSuspect;
    if (isSuspect)
        suspects_.insert(engine.entry_.id_);
    else
        suspects_.erase(engine.entry_.id_);
}

void CapacityBoard::recordSilence(UpstreamId engine, TimePoint now)
{
    std::erase_if(silentUntil_, [now](const auto& entry) { return entry.second <= now; });
    if (engines_.contains(engine))
        silentUntil_[engine] = now + settings_.silenceMemory_;
}

bool CapacityBoard::isSilent(UpstreamId engine, TimePoint now) const
{
    const auto found = silentUntil_.find(engine);
    return found != silentUntil_.end() && now < found->second;
}

void CapacityBoard::recordProbeSuccess(UpstreamId engine)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        found->second.hasPassedProbe_ = true;
}

void CapacityBoard::recordFullRefusal(UpstreamId engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        found->second.fullUntil_ = now + fullBackoff;
}

void CapacityBoard::recordPreemption(UpstreamId engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    Engine& one = found->second;
    one.heldSlots_ = one.heldSlots(now) + 1;
    one.heldUntil_ = now + settings_.preemptionHold_;
}

std::vector<UpstreamId> CapacityBoard::enginesDueForProbe(TimePoint now) const
{
    std::vector<UpstreamId> due;
    for (const UpstreamId id : suspects_) {
        const Engine& engine = engines_.at(id);
        if (!engine.hasPassedProbe_ && now >= engine.backoffUntil_)
            due.push_back(id);
    }
    return due;
}

void CapacityBoard::recordEventGap(UpstreamId engine, Duration gap, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        speeds_.recordEventGap(engine, found->second.groupPlace_.service_, found->second.total(now), gap, now);
}

void CapacityBoard::recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now)
{
    if (engines_.contains(engine))
        speeds_.recordStatedSlowdown(engine, percent, now);
}

void CapacityBoard::applyEngineLoad(UpstreamId engine, std::uint32_t running, std::uint32_t waiting, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    Engine& one = found->second;
    const std::uint32_t reported = one.onlineRequests() + one.batchItems();
    const std::uint32_t unreportedRequests = running + waiting > reported ? running + waiting - reported : 0;
    one.unreportedRequests_ = unreportedRequests >= settings_.minUnreportedRequests_ ? unreportedRequests : 0;
    one.unreportedUntil_ = now + settings_.engineLoadTimeout_;
}

} // namespace jj
