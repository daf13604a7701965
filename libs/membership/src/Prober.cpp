// Stages of a probe.
#include "membership/Prober.h"

#include <algorithm>

namespace jj {

void Prober::start(NodeId target, std::uint64_t probe, TimePoint now)
{
    const bool underWay = std::any_of(pending_.begin(), pending_.end(), [target](const Pending& pending) { return pending.target_ == target; });
    if (!underWay)
        pending_.push_back({ target, probe, now, Stage::Started });
}

bool Prober::acknowledge(std::uint64_t probe, NodeId subject)
{
    return std::erase_if(pending_, [=](const Pending& pending) { return pending.probe_ == probe && pending.target_ == subject; }) > 0;
}

std::vector<Prober::Step> Prober::advance(TimePoint now)
{
    std::vector<Step> steps;
    for (Pending& pending : pending_) {
        // After a late tick several stages may be due at once.
        while (const auto action = due(pending, now)) {
            steps.push_back({ *action, pending.target_, pending.probe_ });
            if (*action == Action::Fail)
                break;
        }
    }
    std::erase_if(pending_, [this, now](const Pending& pending) { return now - pending.start_ >= settings_.probeTimeout_; });
    return steps;
}

void Prober::postpone(Duration late)
{
    for (Pending& pending : pending_)
        pending.start_ += late;
}

std::optional<Prober::Action> Prober::due(Pending& pending, TimePoint now) const
{
    const Duration age = now - pending.start_;
    switch (pending.stage_) {
    case Stage::Started:
        pending.stage_ = Stage::Pinged;
        return Action::Ping;
    case Stage::Pinged:
        if (age < settings_.retryAfter_)
            return std::nullopt;
        pending.stage_ = Stage::Repeated;
        return Action::Ping;
    case Stage::Repeated:
        if (age < settings_.helpersAfter_)
            return std::nullopt;
        pending.stage_ = Stage::Helped;
        return Action::AskHelpers;
    case Stage::Helped:
        if (age < settings_.probeTimeout_)
            return std::nullopt;
        return Action::Fail;
    }
    return std::nullopt;
}

} // namespace jj
