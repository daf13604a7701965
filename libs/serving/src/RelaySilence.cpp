// RelayedRequest: what happens when the engine of a stream that may be resumed sends nothing for a while.
//
// A sound engine may pause for longer than silenceTimeout, and only an engine that is gone never goes on. The two look the same, so a second
// run is opened at another engine. Two engines must not work on the request, so the silent run ends as soon as the second one has begun or
// may have begun, whatever the silent engine sends; until then its bytes are kept. It goes on only if the second run was refused as not
// executed, or never reached its engine. If the second run fails, the request may return to its first engine as a new run. If the request
// may not run again, or no other engine has a free slot, it waits for its engine.
#include "RelayedRequest.h"

#include <algorithm>

namespace jj {

namespace {

    // Between two looks for another engine.
    constexpr Duration silenceCheckInterval = 100ms;

} // namespace

void RelayedRequest::recordBytes(EngineRun& run)
{
    const Duration silence = context_.now() - run.heardAt_;
    run.heardAt_ = context_.now();
    if (!run.isSilent_)
        return;
    run.isSilent_ = false;
    leaveQueue();
    context_.engineGoesOn(run.engine_);
    const EngineEntry* entry = context_.board_.find(run.engine_);
    line("engineGoesOn").with("engine", entry ? entry->name_ : "").with("silentMs", silence).with("runs", runs_);
}

void RelayedRequest::checkSilenceAfter(Duration delay)
{
    if (!mayMove())
        return;
    silenceTimer_.expires_after(delay);
    silenceTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->phase_ == Phase::Running)
            self->checkSilence();
    });
}

void RelayedRequest::checkSilenceWhenDue() { checkSilenceAfter(std::max<Duration>(run_->heardAt_ + silenceTimeout - context_.now(), Duration::zero())); }

void RelayedRequest::checkSilence()
{
    if (silentRun_) {
        const Duration left = run_->sentAt_ + maxOverlap - context_.now();
        return left > Duration::zero() ? checkSilenceAfter(left) : endOverlap();
    }
    if (run_->isPaused_)
        return checkSilenceAfter(silenceTimeout);
    if (context_.now() - run_->heardAt_ < silenceTimeout)
        return checkSilenceWhenDue();
    context_.board_.recordSilence(run_->engine_, context_.now());
    if (!run_->isSilent_)
        noteSilence();
    if (mayTryOtherEngine())
        tryOtherEngine();
    // A second run has set the timer.
    if (phase_ == Phase::Running && !silentRun_)
        checkSilenceAfter(silenceCheckInterval);
}

void RelayedRequest::noteSilence()
{
    run_->isSilent_ = true;
    noteLoss();
    context_.fleet_->publishReport();
    context_.metrics_.metrics_.add(context_.metrics_.silences_);
    const EngineEntry* entry = context_.board_.find(run_->engine_);
    line("engineSilent").with("engine", entry ? entry->name_ : "").with("silentMs", context_.now() - run_->heardAt_).with("runs", runs_).with("attempts", route_.maxAttempts_).with("offers", offers_).with("started", hasAnswerStarted_ ? "yes" : "no").with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1).with("config", table_->version());
}

bool RelayedRequest::mayTryOtherEngine()
{
    const bool hasSettled = !mustSettle_ || context_.now() - lostAt_ >= CrashWatch::settlingTime;
    return hasSettled && offers_ < maxOffers && hasAttemptLeft() && mayRepeat() && isStillAllowed(*context_.table_, caller_) && !isBlocked();
}

void RelayedRequest::allowLeftEngines()
{
    const bool mustReturn = !hasAttemptLeft();
    if (leftWhileSilent_.empty() || (!mustReturn && context_.board_.hasOtherEngine(service_, tried_, context_.now(), boundVersion_)))
        return;
    if (mustReturn)
        tried_ = context_.board_.enginesOf(service_);
    std::erase_if(tried_, [this](UpstreamId engine) { return std::find(leftWhileSilent_.begin(), leftWhileSilent_.end(), engine) != leftWhileSilent_.end(); });
    leftWhileSilent_.clear();
}

void RelayedRequest::tryOtherEngine()
{
    allowLeftEngines();
    const Duration budget = firstEventBudget();
    // As in dispatch(), a free slot goes to the requests that are already queued, unless this one resumes.
    if (isResumed() || context_.board_.waiting(service_) == 0) {
        if (startSecondRun(context_.board_.pickOnline(service_, budget, true, tried_, context_.now(), boundVersion_, route_.maxEventGap_)))
            return;
    }
    // A queued request that no engine can take would hold up the requests and items behind it.
    if (!context_.board_.hasOtherEngine(service_, tried_, context_.now(), boundVersion_))
        return leaveQueue();
    const bool shouldQueue = ticket_.isNone() && context_.now() < queueDeadline() && queueWait() <= budget - firstEventTime();
    if (!shouldQueue)
        return;
    SlotQueue::QueuedRequest queued = queueEntry(budget);
    queued.onSlot_ = [self = shared_from_this()](const EnginePick& pick) {
        self->ticket_ = QueueTicket::none();
        self->startSecondRun(pick);
    };
    queued.onExpired_ = [self = shared_from_this()] { self->ticket_ = QueueTicket::none(); };
    ticket_ = context_.queue_->enter(std::move(queued));
    context_.queue_->onCapacityChanged();
}

bool RelayedRequest::startSecondRun(const EnginePick& pick)
{
    const bool hasSlot = pick.kind_ == PickKind::Free || pick.kind_ == PickKind::PreemptsBatch;
    if (!hasSlot || phase_ != Phase::Running || context_.board_.isSilent(pick.engine_, context_.now()) || isBlocked())
        return false;
    leaveQueue();
    mustSettle_ = false;
    silentRun_ = std::move(run_);
    context_.metrics_.metrics_.add(context_.metrics_.resent_);
    send(pick);
    return true;
}

void RelayedRequest::endOverlap()
{
    const bool isConnecting = run_->call_ && !run_->call_->wasSent();
    isConnecting ? checkSilenceAfter(silenceCheckInterval) : leaveSilentRun();
}

// Names both engines, and how long ago the second run was sent.
DecisionLog::Line RelayedRequest::overlapLine(std::string_view event, const EngineRun& silent, const EngineRun& second)
{
    const auto nameOf = [this](const EngineRun& run) {
        const EngineEntry* entry = context_.board_.find(run.engine_);
        return entry ? std::string_view(entry->name_) : std::string_view();
    };
    DecisionLog::Line entry = line(event);
    entry.with("runs", runs_).with("engine", nameOf(silent)).with("silentMs", context_.now() - silent.heardAt_).with("second", nameOf(second)).with("secondMs", context_.now() - second.sentAt_).with("secondHead", second.head_ ? "yes" : "no");
    return entry;
}

void RelayedRequest::returnToSilentRun()
{
    overlapLine("silentRunKept", *silentRun_, *run_);
    EngineRunPtr other = std::exchange(run_, std::exchange(silentRun_, nullptr));
    close(other);
    const EngineRunPtr kept = run_;
    if (const std::string deferred = std::exchange(kept->deferred_, {}); !deferred.empty())
        handleData(kept, deferred);
    if (isOpen(kept))
        checkSilenceWhenDue();
}

bool RelayedRequest::returnBeforeSend()
{
    const bool wasSent = !run_->call_ || run_->call_->wasSent();
    if (wasSent || !isCertainOfVersion(*silentRun_))
        return false;
    --runs_;
    returnToSilentRun();
    return true;
}

void RelayedRequest::leaveSilentRun()
{
    EngineRunPtr silent = std::exchange(silentRun_, nullptr);
    overlapLine("silentRunLeft", *silent, *run_);
    leftWhileSilent_.push_back(silent->engine_);
    silentUntilLeft_ = silent->isSilent_ && run_->head_ ? silent->engine_ : UpstreamId::none();
    close(silent);
    checkSilenceWhenDue();
}

void RelayedRequest::recordReplaced()
{
    const UpstreamId engine = std::exchange(silentUntilLeft_, UpstreamId::none());
    if (engine.isNone())
        return;
    std::erase(leftWhileSilent_, engine);
    context_.failed(engine, EngineFault::Lost, http::Error::NoProgress);
}

void RelayedRequest::onSilentRunAnswered(bool hasFailed)
{
    if (silentRun_->rejected_)
        return onSilentRunFailed(false, {});
    const int status = silentRun_->head_->status_;
    overlapLine("silentRunAnswered", *silentRun_, *run_).with("status", status);
    context_.crashes_->recordAnswer(fingerprints_, status);
    if (hasFailed)
        context_.failed(silentRun_->engine_, EngineFault::Failure, {});
    close(silentRun_);
    checkSilenceWhenDue();
}

void RelayedRequest::onSilentRunFailed(bool hasRun, std::error_code error)
{
    EngineRunPtr silent = std::exchange(silentRun_, nullptr);
    overlapLine("silentRunLost", *silent, *run_).with("error", error ? error.message() : "").with("status", silent->head_ ? silent->head_->status_ : 0);
    if (hasRun && isOverLimit(error)) {
        context_.recordOverLimit(silent->engine_, error);
    } else if (hasRun) {
        context_.crashes_->recordLoss(fingerprints_, silent->engine_, context_.crashes_->lossPoint(silent->firstEventAt_));
        context_.failed(silent->engine_, EngineFault::Lost, error);
    } else {
        context_.board_.recordFullRefusal(silent->engine_, context_.now());
        --runs_;
    }
    close(silent);
    checkSilenceWhenDue();
}

} // namespace jj
