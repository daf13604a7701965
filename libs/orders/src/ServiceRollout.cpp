// The rollout of one service: who may act, which engines change, what is ordered, when it is rolled back.
#include "orders/ServiceRollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jj {

void ServiceRollout::setDesired(const DesiredService& desired, RolloutContext& context)
{
    const bool changed = desired.target_ != desired_.target_;
    desired_ = desired;
    std::vector<UpstreamId> gone;
    for (UpstreamId upstream : engines_.ids()) {
        if (std::find(desired.upstreams_.begin(), desired.upstreams_.end(), upstream) == desired.upstreams_.end())
            gone.push_back(upstream);
    }
    for (UpstreamId upstream : gone)
        engines_.erase(upstream);
    for (UpstreamId upstream : desired.upstreams_)
        engines_.insert(upstream, Seen {}, Work {});
    if (changed)
        chooseTarget(context);
}

void ServiceRollout::holdLease(Epoch epoch, TimePoint validUntil, RolloutContext& context)
{
    validUntil_ = validUntil;
    if (epoch == epoch_)
        return;
    const bool deposed = !deposed_.isNone() && epoch <= deposed_;
    epoch_ = deposed ? Epoch::none() : epoch;
    if (deposed)
        return;
    // An order of the holder before may still be on its way. Engines that check refuse it; for the others it is waited out.
    actFrom_ = context.now_;
    if (!desired_.checksFencing_)
        actFrom_ += context.settings_.orderLifetime_ + context.settings_.clockSkew_;
    // What this node knows of the engines may be from before that order.
    for (Seen& seen : engines_.column<Seen>())
        seen = Seen { false, false, seen.reading_, {}, {}, seen.failing_ };
    for (Work& work : engines_.column<Work>())
        work = Work {};
    recordKnown_ = false;
    context.commands_.emplace_back(LoadRecord { service_ });
}

void ServiceRollout::loseLease()
{
    epoch_ = Epoch::none();
    recordKnown_ = false;
    for (Work& work : engines_.column<Work>())
        work = Work {};
}

void ServiceRollout::load(const RolloutRecord& record, RolloutContext& context)
{
    if (epoch_.isNone())
        return;
    record_ = record;
    recordKnown_ = true;
    // The holder before marked these and didn't get to take the marks back.
    for (UpstreamId upstream : record_.marked_)
        context.commands_.emplace_back(MarkUpstream { upstream, false });
    record_.marked_.clear();
    chooseTarget(context);
}

void ServiceRollout::mark(UpstreamId upstream, bool leaving, RolloutContext& context)
{
    const bool changed = leaving ? record_.marked_.insert(upstream).second : record_.marked_.erase(upstream) > 0;
    if (!changed)
        return;
    context.commands_.emplace_back(SaveRecord { service_, record_ });
    context.commands_.emplace_back(MarkUpstream { upstream, leaving });
}

// A target that was rolled back isn't tried again, by this holder or the next, until operators change it.
void ServiceRollout::chooseTarget(RolloutContext& context)
{
    failures_ = 0;
    const bool isBad = !record_.bad_.model_.empty() && record_.bad_ == desired_.target_;
    target_ = isBad ? record_.good_ : desired_.target_;
    if (!isBad)
        setPhase(RolloutPhase::Rolling, context);
    else
        setPhase(target_.model_.empty() ? RolloutPhase::Halted : RolloutPhase::RolledBack, context);
}

bool ServiceRollout::mayAct(TimePoint now, const OrdersSettings& settings) const
{
    return !epoch_.isNone() && recordKnown_ && now >= actFrom_ && now + settings.leaseMargin_ < validUntil_;
}

bool ServiceRollout::mayStillSend(OrderId order, TimePoint now, const OrdersSettings& settings) const
{
    if (!mayAct(now, settings))
        return false;
    const auto works = engines_.column<Work>();
    return std::any_of(works.begin(), works.end(), [=](const Work& work) { return work.order_ == order && now < work.sendBefore_; });
}

bool ServiceRollout::owns(OrderId order) const
{
    const auto works = engines_.column<Work>();
    return !order.isNone() && std::any_of(works.begin(), works.end(), [order](const Work& work) { return work.order_ == order; });
}

void ServiceRollout::tick(RolloutContext& context)
{
    if (!mayAct(context.now_, context.settings_))
        return;
    readStates(context);
    for (std::size_t i = 0; i < engines_.size(); ++i)
        advance(Row(i), context);
    startNext(context);
    checkSettled(context);
}

void ServiceRollout::readStates(RolloutContext& context)
{
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        auto& seen = engines_.get<Seen>(Row(i));
        const bool busy = !seen.known_ || engines_.get<Work>(Row(i)).phase_ != EnginePhase::Idle;
        const Duration period = seen.reading_ ? context.settings_.answerTimeout_ : (busy ? context.settings_.readBusy_ : context.settings_.reconcileEvery_);
        if (seen.readAt_ != TimePoint {} && context.now_ - seen.readAt_ < period)
            continue;
        seen.reading_ = true;
        seen.readAt_ = context.now_;
        context.commands_.emplace_back(ReadState { engines_.idAt(Row(i)) });
    }
}

void ServiceRollout::takeState(const StateRead& read, RolloutContext& context)
{
    auto* seen = engines_.cell<Seen>(read.upstream_);
    if (!seen)
        return;
    seen->reading_ = false;
    if (std::exchange(seen->discard_, false)) {
        seen->readAt_ = {};
        return;
    }
    seen->readAt_ = context.now_;
    if (!read.ok_)
        return;
    seen->known_ = true;
    seen->state_ = read.state_;
}

std::optional<ServiceRollout::Step> ServiceRollout::nextStep(const EngineTarget& state) const
{
    if (target_.model_.empty())
        return std::nullopt;
    if (state.model_ != target_.model_ || state.version_ != target_.version_)
        return Step { OrderAction::LoadModel, target_.model_, target_.version_ };
    if (!target_.role_.empty() && state.role_ != target_.role_)
        return Step { OrderAction::SetRole, target_.role_, {} };
    for (const auto& [name, version] : target_.adapters_) {
        const auto found = state.adapters_.find(name);
        if (found == state.adapters_.end() || found->second != version)
            return Step { OrderAction::LoadAdapter, name, version };
    }
    for (const auto& [name, version] : state.adapters_) {
        if (!target_.adapters_.contains(name))
            return Step { OrderAction::UnloadAdapter, name, version };
    }
    return std::nullopt;
}

std::size_t ServiceRollout::changing() const
{
    const auto works = engines_.column<Work>();
    return static_cast<std::size_t>(std::count_if(works.begin(), works.end(), [](const Work& work) { return work.phase_ != EnginePhase::Idle; }));
}

std::size_t ServiceRollout::allowed() const
{
    const double share = std::floor(desired_.changingShare_ * static_cast<double>(engines_.size()));
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, share)));
}

void ServiceRollout::startNext(RolloutContext& context)
{
    if (phase_ == RolloutPhase::Halted)
        return;
    // An engine that fails for reasons of its own takes a place too: the callers miss it just the same.
    std::size_t away = 0;
    for (std::size_t i = 0; i < engines_.size(); ++i)
        away += engines_.get<Work>(Row(i)).phase_ != EnginePhase::Idle || engines_.get<Seen>(Row(i)).failing_ ? 1 : 0;
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const auto& seen = engines_.get<Seen>(Row(i));
        const bool idle = engines_.get<Work>(Row(i)).phase_ == EnginePhase::Idle;
        if (!idle || !seen.known_ || !nextStep(seen.state_))
            continue;
        // Going back is what may help a failing engine, so its place is free to it.
        const bool hasPlace = away < allowed() || (seen.failing_ && away <= allowed());
        if (!hasPlace)
            continue;
        away += seen.failing_ ? 0 : 1;
        start(Row(i), context);
    }
}

void ServiceRollout::start(Row row, RolloutContext& context)
{
    if (phase_ == RolloutPhase::Settled)
        setPhase(RolloutPhase::Rolling, context);
    const Step step = *nextStep(engines_.get<Seen>(row).state_);
    if (step.action_ != OrderAction::LoadModel && step.action_ != OrderAction::SetRole) {
        enter(row, EnginePhase::Ordering, context);
        return;
    }
    mark(engines_.idAt(row), true, context);
    enter(row, EnginePhase::Draining, context);
}

void ServiceRollout::advance(Row row, RolloutContext& context)
{
    auto& work = engines_.get<Work>(row);
    const Duration age = context.now_ - work.since_;
    switch (work.phase_) {
    case EnginePhase::Idle:
        return;
    case EnginePhase::Draining:
        if (age >= context.settings_.drainBound_)
            enter(row, EnginePhase::Ordering, context);
        return;
    case EnginePhase::Ordering:
        if (work.order_.isNone())
            order(row, context);
        else if (context.now_ >= work.sendBefore_ + context.settings_.answerTimeout_)
            takeAnswer({ work.order_, OrderResult::Unknown, {} }, context);
        return;
    case EnginePhase::Loading:
        if (age >= context.settings_.loadBound_)
            blame(row, context);
        else if (engines_.get<Seen>(row).known_)
            checkLoaded(row, context);
        return;
    case EnginePhase::Soaking:
        if (age >= context.settings_.soakTime_)
            enter(row, EnginePhase::Idle, context);
        return;
    }
}

void ServiceRollout::order(Row row, RolloutContext& context)
{
    const auto step = nextStep(engines_.get<Seen>(row).state_);
    if (!step) {
        finish(row, context);
        return;
    }
    const bool loads = step->action_ == OrderAction::LoadModel || step->action_ == OrderAction::LoadAdapter;
    if (loads && !takeLoadToken(context))
        return;
    auto& work = engines_.get<Work>(row);
    work.tries_ = *step == work.step_ ? work.tries_ + 1 : 1;
    work.step_ = *step;
    work.order_ = OrderId(++context.lastOrder_);
    work.sendBefore_ = context.now_ + context.settings_.orderLifetime_;
    const WallTime expiresAt = context.wall_ + std::chrono::duration_cast<std::chrono::milliseconds>(context.settings_.orderLifetime_);
    context.commands_.emplace_back(SendOrder { work.order_, service_, engines_.idAt(row), step->action_, step->name_, step->version_, epoch_, expiresAt });
}

void ServiceRollout::takeAnswer(const OrderAnswered& answer, RolloutContext& context)
{
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        const Row row = Row(i);
        auto& work = engines_.get<Work>(row);
        if (work.order_ != answer.order_)
            continue;
        work.order_ = OrderId::none();
        if (answer.result_ == OrderResult::StaleFencing) {
            // Somebody with a higher epoch gives orders: this holder is deposed, whatever its lease seems to say.
            deposed_ = answer.highest_;
            loseLease();
            return;
        }
        if (answer.result_ == OrderResult::NotSent) {
            --work.tries_;
        } else if (answer.result_ == OrderResult::Done || answer.result_ == OrderResult::Unknown) {
            // Only the engine's state, asked for from now on, tells what came of the order.
            auto& seen = engines_.get<Seen>(row);
            seen.known_ = false;
            seen.discard_ = seen.reading_;
            work.accepted_ = answer.result_ == OrderResult::Done;
            enter(row, EnginePhase::Loading, context);
        } else if (work.tries_ >= context.settings_.orderTries_) {
            blame(row, context);
        }
        return;
    }
}

void ServiceRollout::checkLoaded(Row row, RolloutContext& context)
{
    const auto& work = engines_.get<Work>(row);
    const auto next = nextStep(engines_.get<Seen>(row).state_);
    if (!next) {
        finish(row, context);
        return;
    }
    const bool isSame = *next == work.step_;
    // It may still come into effect.
    if (isSame && (work.accepted_ || context.now_ < work.sendBefore_))
        return;
    if (isSame && work.tries_ >= context.settings_.orderTries_)
        blame(row, context);
    else
        enter(row, EnginePhase::Ordering, context);
}

void ServiceRollout::finish(Row row, RolloutContext& context)
{
    mark(engines_.idAt(row), false, context);
    enter(row, EnginePhase::Soaking, context);
}

void ServiceRollout::noteIdle(UpstreamId upstream, RolloutContext& context)
{
    const auto row = engines_.find(upstream);
    if (row && engines_.get<Work>(*row).phase_ == EnginePhase::Draining)
        enter(*row, EnginePhase::Ordering, context);
}

void ServiceRollout::noteHealth(UpstreamId upstream, bool failing, RolloutContext& context)
{
    const auto row = engines_.find(upstream);
    if (!row)
        return;
    engines_.get<Seen>(*row).failing_ = failing;
    const auto& work = engines_.get<Work>(*row);
    // An engine may crash on an order before its answer is here.
    const bool ordered = work.phase_ == EnginePhase::Ordering && !work.order_.isNone();
    if (failing && (ordered || work.phase_ == EnginePhase::Loading || work.phase_ == EnginePhase::Soaking))
        blame(*row, context);
}

void ServiceRollout::blame(Row row, RolloutContext& context)
{
    enter(row, EnginePhase::Idle, context);
    engines_.get<Work>(row).order_ = OrderId::none();
    ++failures_;
    if (failures_ < context.settings_.failuresToRollBack_ || phase_ == RolloutPhase::RolledBack)
        return;
    const bool canGoBack = !record_.good_.model_.empty() && record_.good_ != target_;
    record_.bad_ = target_;
    context.commands_.emplace_back(SaveRecord { service_, record_ });
    if (!canGoBack) {
        setPhase(RolloutPhase::Halted, context);
        return;
    }
    target_ = record_.good_;
    failures_ = 0;
    // Engines under change are looked at again from the start, now against the last good target.
    for (Work& work : engines_.column<Work>())
        work = Work {};
    for (const std::set<UpstreamId> marked = record_.marked_; UpstreamId upstream : marked)
        mark(upstream, false, context);
    setPhase(RolloutPhase::RolledBack, context);
}

void ServiceRollout::enter(Row row, EnginePhase phase, const RolloutContext& context)
{
    auto& work = engines_.get<Work>(row);
    work.phase_ = phase;
    work.since_ = context.now_;
}

void ServiceRollout::setPhase(RolloutPhase phase, RolloutContext& context)
{
    if (phase_ == phase)
        return;
    phase_ = phase;
    context.commands_.emplace_back(RolloutChanged { service_, phase });
}

void ServiceRollout::checkSettled(RolloutContext& context)
{
    if (phase_ != RolloutPhase::Rolling || changing() > 0)
        return;
    const auto all = engines_.column<Seen>();
    const bool settled = std::all_of(all.begin(), all.end(), [this](const Seen& seen) { return seen.known_ && !seen.failing_ && !nextStep(seen.state_); });
    if (!settled)
        return;
    setPhase(RolloutPhase::Settled, context);
    if (record_.good_ == target_)
        return;
    record_.good_ = target_;
    context.commands_.emplace_back(SaveRecord { service_, record_ });
}

// Tokens fill at the weight store's rate; one is saved up at most, so that loads are spread and never come in a burst.
bool ServiceRollout::takeLoadToken(const RolloutContext& context)
{
    const double minutes = toSeconds(context.now_ - filledAt_) / 60;
    loadTokens_ = std::min(1.0, loadTokens_ + minutes * desired_.loadsPerMinute_);
    filledAt_ = context.now_;
    if (loadTokens_ < 1)
        return false;
    loadTokens_ -= 1;
    return true;
}

} // namespace jj
