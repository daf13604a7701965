// RelayedRequest: from a request's arrival until it is sent to an engine, including engine selection and queueing.
#include "RelayedRequest.h"

#include "Shares.h"
#include "base/Hash.h"
#include "base/Number.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <limits>
#include <utility>

namespace jj {

namespace {

    // An engine sends the first event within about 25 ms. If it has not arrived after twice that time, the request is waiting for
    // a slot.
    constexpr Duration preemptionRetryDelay = 50ms;
    constexpr std::size_t maxPreemptionRequests = 4;
    // A request stays queued for up to this many times its target latency: a late answer is better for the caller than an even
    // later retry.
    constexpr int queueTargetMultiple = 4;
    // Used if the caller does not state how long it waits.
    constexpr Duration defaultDeadline = 30s;
    constexpr Duration maxDeadline = 24h;
    constexpr std::size_t maxAttemptIdBytes = 256;
    // An answer may take longer than the mean by this factor.
    constexpr int longestRunFactor = 2;

    bool isSameName(std::string_view name, std::string_view other) { return boost::beast::iequals(name, other); }

    // Returns how long the caller waits; none if it states no number of milliseconds.
    std::optional<Duration> readDeadline(const http::Headers& headers, std::string_view name)
    {
        if (!headers.has(name))
            return defaultDeadline;
        const auto stated = parseNumber<std::int64_t>(headers.find(name), { 0, std::numeric_limits<std::int64_t>::max() });
        if (!stated)
            return std::nullopt;
        return std::chrono::milliseconds(std::min<std::int64_t>(*stated, maxDeadline / 1ms));
    }

} // namespace

DecisionLog::Line RelayedRequest::line(std::string_view event)
{
    DecisionLog::Line entry = context_.log_.line(event);
    entry.with("request", id_).with("route", route_.name_);
    if (!caller_.workspace_.empty())
        entry.with("workspace", caller_.workspace_);
    return entry;
}

void RelayedRequest::begin()
{
    const http::Request& request = exchange_->request();
    id_ = request.headers_.find(context_.translation_.headers_.attemptId_);
    const auto stated = readDeadline(request.headers_, context_.translation_.headers_.timeLeft_);
    if (!stated)
        return refuseMalformed("request.BadDeadline", "the time that its caller waits is no whole number of milliseconds");
    const Duration patience = *stated;
    deadline_ = arrivedAt_ + std::min(patience, route_.timeout_);
    fingerprints_ = context_.crashes_->fingerprintsOf(request);
    wasRefusedBefore_ = context_.queue_->isProbableRetry(route_.name_, patience, arrivedAt_);
    service_ = RouteTable::pickService(route_, hash64(id_));
    claimant_ = context_.shares_->claimantOf(route_, caller_.workspace_);
    if (isStream()) {
        context_.streams_->noteCallerDeadline(idFromName<ServiceId>(service_), patience);
        if (!readResume())
            return;
    }
    exchange_->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    timer_.expires_at(deadline_);
    // The timer's handler keeps the request alive while neither an engine call nor the queue refers to it.
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->onTimeout();
    });
    admit();
}

bool RelayedRequest::readResume()
{
    const http::Headers& headers = exchange_->request().headers_;
    const std::string_view position = headers.find(context_.translation_.headers_.resumeAfter_);
    const std::string_view beganAs = headers.find(context_.translation_.headers_.resumes_);
    beganAs_ = id_;
    if (position.empty() && beganAs.empty())
        return true;
    const auto event = parseNumber<std::uint64_t>(position);
    if (!event || beganAs.size() > maxAttemptIdBytes) {
        refuseMalformed("request.BadResume", event ? "it resumes a stream, but the attempt id is too long" : "it resumes a stream, but has no event id that is a number");
        return false;
    }
    isResumedByCaller_ = true;
    beganAs_ = beganAs;
    lastEvent_ = event;
    return true;
}

void RelayedRequest::refuseMalformed(std::string_view code, std::string_view why)
{
    constexpr int statusMalformed = 400;
    fail(statusMalformed, code, std::string("the request has not run: ").append(why), RunState::NotRun);
}

void RelayedRequest::resolveStream()
{
    if (!isResumedByCaller_ || phase_ == Phase::Ended)
        return dispatch();
    phase_ = Phase::Resolving;
    line("resumedByCaller").with("stream", beganAs_).with("resumeAfter", *lastEvent_);
    context_.streams_->resolve(streamIdOf(caller_.workspace_, beganAs_), idFromName<ServiceId>(service_), context_.now(), [self = shared_from_this()](const StreamResolution& resolution) { self->onResolved(resolution); });
}

void RelayedRequest::onResolved(const StreamResolution& resolution)
{
    if (phase_ != Phase::Resolving)
        return;
    // A stream goes on at the service where it began, as long as the route still leads there.
    const auto target = std::find_if(route_.targets_.begin(), route_.targets_.end(), [&](const RouteTarget& one) { return idFromName<ServiceId>(one.service_) == resolution.service_; });
    const bool isFound = !resolution.version_.isNone() && target != route_.targets_.end();
    line("streamResolved").with("stream", beganAs_).with("how", nameOf(resolution.kind_)).with("version", resolution.version_.value()).with("isTarget", target != route_.targets_.end() ? "yes" : "no").with("answers", resolution.answers_).with("otherHosts", resolution.otherHosts_).with("afterMs", context_.now() - arrivedAt_);
    context_.metrics_.metrics_.add(isFound ? context_.metrics_.streamsResumed_ : context_.metrics_.streamsUnknown_);
    if (!isFound)
        return refuseNotRun("streamUnknown", "stream.VersionUnknown", "no host knows which software version began the stream; the request has not run");
    service_ = target->service_;
    boundVersion_ = resolution.version_;
    dispatch();
}

void RelayedRequest::admit()
{
    if (caller_.workspace_.empty())
        return resolveStream();
    context_.quotas_->admit(caller_.workspace_, [self = shared_from_this()](const QuotaGate::Answer& answer) { self->onAdmission(answer); });
}

void RelayedRequest::onAdmission(const QuotaGate::Answer& answer)
{
    usesQuota_ = answer.isAdmitted_;
    if (phase_ == Phase::Ended)
        return returnCredit();
    if (answer.isAdmitted_)
        return resolveStream();
    const Duration retry = std::min(answer.retryAfter_, maxRetryDelay());
    exchange_->respond(refusalResponse(context_.translation_, 429, "quota.Exceeded", "the workspace is over its quota; the request has not run", RunState::NotRun, retry));
    context_.metrics_.metrics_.add(context_.metrics_.overQuota_);
    line("overQuota").with("status", 429).with("retryAfterMs", retry).with("afterMs", context_.now() - arrivedAt_).with("config", context_.table_->version());
    end();
}

// Returns the credit of a request that no engine has started.
void RelayedRequest::returnCredit()
{
    if (usesQuota_ && !mayHaveRun())
        context_.quotas_->returnCredit(caller_.workspace_);
    usesQuota_ = false;
}

// Returns how long the first event may still take to meet the target latency. A request that is sent again after an engine was
// lost may already be late. Its answer is then worth less, but it still gets at least half of the time left until its deadline.
Duration RelayedRequest::firstEventBudget() const
{
    const Duration inTime = route_.targetLatency_ - (context_.now() - arrivedAt_);
    if (isResumed() || hasAnswerStarted_ || mayHaveRun())
        return std::max(inTime, timeLeft() / 2);
    return inTime;
}

void RelayedRequest::dispatch()
{
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Picking;
    if (!isStillAllowed(*context_.table_, caller_))
        return refuseRemovedKey();
    if (isBlocked())
        return handleBlocked();
    if (!hasTimeBeforeStop())
        return refuseStopping();
    if (isResumed() && !context_.board_.hasVersion(service_, boundVersion_))
        return onVersionGone();
    allowLeftEngines();
    const TimePoint now = context_.now();
    const Duration budget = firstEventBudget();
    EnginePick pick = offers_ < maxOffers ? context_.board_.pickOnline(service_, budget, route_.isRepeatable(), tried_, now, boundVersion_, route_.maxEventGap_) : EnginePick {};
    // A free slot goes to the requests that are already queued, unless this one resumes: its caller has a part of the answer. If the queue is
    // too long for this request to be served in time, it must not take that slot either, because a queued request is about to take it.
    const bool hasSlot = pick.kind_ == PickKind::Free || pick.kind_ == PickKind::PreemptsBatch;
    if (hasSlot && (isResumed() || context_.board_.waiting(service_) == 0))
        return send(pick);
    if (offers_ < maxOffers && enqueue(budget))
        return;
    pick.wait_ = std::max(pick.wait_, queueWait());
    const CapacityBoard::Usage usage = context_.board_.usage(service_);
    line("noEngine").with("service", service_).with("offers", offers_).with("runs", runs_).with("slots", usage.slots_).with("questions", usage.onlineRequests_).with("batchItems", usage.batchItems_).with("waitMs", pick.wait_);
    if (hasAnswerStarted_ || mayHaveRun())
        return lost(http::Error::ConnectFailed);
    refuse(usage.slots_ == 0 ? "noEngine" : "noSlotInTime", pick.wait_);
}

bool RelayedRequest::isBlocked()
{
    const CrashWatch::Verdict verdict = context_.crashes_->judge(fingerprints_);
    blockedBy_ = verdict.blocked_;
    isTrialDue_ = verdict.isTrialDue_;
    return verdict.blocked_ && verdict.blocked_ != trialOf_;
}

void RelayedRequest::handleBlocked()
{
    if (!isTrialDue_ || trialOf_ || mayHaveRun() || hasAnswerStarted_)
        return refuseBlocked();
    phase_ = Phase::Claiming;
    context_.crashes_->claimTrial(*blockedBy_, [weak = weak_from_this(), crashes = context_.crashes_, suspect = *blockedBy_](bool isGranted) {
        const auto self = weak.lock();
        if (self && self->phase_ == Phase::Claiming)
            return self->onTrialClaimed(suspect, isGranted);
        if (isGranted)
            crashes->returnTrial(suspect);
    });
}

void RelayedRequest::onTrialClaimed(Fingerprint suspect, bool isGranted)
{
    if (!isGranted)
        return refuseBlocked();
    trialOf_ = suspect;
    dispatch();
}

// If an engine may have started this attempt, it fails instead, because a refusal states that the request did not run.
void RelayedRequest::refuseBlocked()
{
    if (hasAnswerStarted_ || mayHaveRun()) {
        line("notSentAgain").with("suspect", suspectName(*blockedBy_)).with("runs", runs_).with("started", hasAnswerStarted_ ? "yes" : "no");
        return giveUp();
    }
    const Duration retry = context_.crashes_->blockedFor(*blockedBy_);
    exchange_->respond(refusalResponse(context_.translation_, 503, "request.CrashesEngines", "engines crashed with this content, or with a part of its prompt; it has not run", RunState::NotRun, retry));
    context_.metrics_.metrics_.add(context_.metrics_.refused_);
    context_.metrics_.metrics_.add(context_.metrics_.crashBlocked_);
    line("refused").with("reason", "crashesEngines").with("suspect", suspectName(*blockedBy_)).with("status", 503).with("retryAfterMs", retry).with("afterMs", context_.now() - arrivedAt_);
    end();
}

// No engine of the version that began the stream serves, and none of another version may go on with it.
void RelayedRequest::onVersionGone()
{
    line("versionGone").with("service", service_).with("software", softwareVersion_.name()).with("version", boundVersion_.value()).with("started", hasAnswerStarted_ ? "yes" : "no");
    context_.metrics_.metrics_.add(context_.metrics_.versionGone_);
    if (hasAnswerStarted_ || mayHaveRun())
        return lost(http::Error::ConnectFailed);
    refuseNotRun("versionGone", "stream.VersionGone", "no engine of the software version that began the stream serves; the request has not run");
}

// Unlike refuse(), this doesn't count as a refusal for lack of slots, from which the retry delays of other callers follow.
void RelayedRequest::refuseNotRun(std::string_view reason, std::string_view code, std::string_view message)
{
    const Duration retry = std::min(minRetryAfter, maxRetryDelay());
    exchange_->respond(refusalResponse(context_.translation_, 503, code, message, RunState::NotRun, retry));
    context_.metrics_.metrics_.add(context_.metrics_.refused_);
    line("refused").with("reason", reason).with("status", 503).with("retryAfterMs", retry).with("afterMs", context_.now() - arrivedAt_);
    end();
}

bool RelayedRequest::hasTimeBeforeStop() const
{
    if (context_.stopsAt_ == neverTime || mayHaveRun() || hasAnswerStarted_)
        return true;
    return context_.now() + std::min<Duration>(timeLeft(), context_.board_.meanRun() * longestRunFactor) <= context_.stopsAt_;
}

void RelayedRequest::refuseStopping() { refuseNotRun("stopping", "host.Stopping", "the host stops before an engine could answer; the request has not run"); }

void RelayedRequest::onProcessStops()
{
    if (phase_ == Phase::Ended || hasAnswerStarted_)
        return;
    const bool ran = mayHaveRun();
    releaseEngine();
    if (ran)
        return fail(502, "host.Stopping", "the host stops before the engine has answered; the request may have run", RunState::OutcomeUnknown);
    refuseStopping();
}

void RelayedRequest::refuseRemovedKey()
{
    line("keyRemoved").with("key", caller_.key_->shortText()).with("config", context_.table_->version());
    if (hasAnswerStarted_ || mayHaveRun())
        return lost(http::Error::Cancelled);
    exchange_->respond(unauthorizedResponse(context_.translation_));
    context_.metrics_.metrics_.add(context_.metrics_.unauthorized_);
    end();
}

// Returns the time at which a queued request is given up. Callers abandon a stream that sends nothing for seconds, so a late
// request is refused well before that, with a retry delay. A request that resumes after a lost engine starts a new waiting time:
// its caller already has the first part of the answer, which would be wasted if the request failed for lack of a slot.
TimePoint RelayedRequest::queueDeadline() const
{
    const TimePoint from = isResumed() || hasAnswerStarted_ || mayHaveRun() ? context_.now() : arrivedAt_;
    return std::min(from + route_.targetLatency_ * queueTargetMultiple, deadline_ - minRetryAfter);
}

Duration RelayedRequest::firstEventTime() const
{
    return context_.shares_->isActive() ? context_.board_.expectedFirstEvent() : context_.board_.settings().firstEventTime_;
}

Duration RelayedRequest::queueWait() const
{
    const TimePoint now = context_.now();
    if (!context_.shares_->isActive())
        return context_.board_.queueWait(service_, now);
    const Rank rank = context_.shares_->claim(claimant_, now).rank_;
    return context_.board_.queueWait(service_, rank, context_.shares_->isBelowShare(claimant_, now), now);
}

bool RelayedRequest::enqueue(Duration budget)
{
    const TimePoint now = context_.now();
    const bool shouldQueue = wasRefusedBefore_ || queueWait() <= budget - firstEventTime();
    if (!shouldQueue || now >= queueDeadline())
        return false;
    phase_ = Phase::Waiting;
    SlotQueue::QueuedRequest queued = queueEntry(budget);
    queued.onSlot_ = [self = shared_from_this()](const EnginePick& pick) {
        self->ticket_ = QueueTicket::none();
        self->send(pick);
    };
    queued.onExpired_ = [self = shared_from_this()] {
        self->ticket_ = QueueTicket::none();
        self->onQueueTimeout();
    };
    ticket_ = context_.queue_->enter(std::move(queued));
    context_.metrics_.metrics_.add(context_.metrics_.requestsQueued_);
    line("linedUp").with("rank", claimant_.rank_).with("waiting", context_.board_.waiting(service_)).with("waitMs", queueWait());
    context_.queue_->onCapacityChanged();
    return true;
}

SlotQueue::QueuedRequest RelayedRequest::queueEntry(Duration budget) const
{
    SlotQueue::QueuedRequest queued;
    queued.service_ = service_;
    queued.repeatable_ = route_.isRepeatable();
    queued.version_ = boundVersion_;
    queued.tried_ = tried_;
    queued.claimant_ = claimant_;
    queued.inTimeUntil_ = context_.now() + budget - firstEventTime();
    queued.queueDeadline_ = queueDeadline();
    return queued;
}

void RelayedRequest::onQueueTimeout()
{
    phase_ = Phase::Picking;
    if (hasAnswerStarted_ || mayHaveRun())
        return lost(http::Error::ConnectFailed);
    refuse("noSlotCame", queueWait());
}

void RelayedRequest::send(const EnginePick& pick)
{
    // The verdict may have come while the request waited for a slot, and the process may have got a signal.
    if (isBlocked())
        return refuseBlocked();
    if (!hasTimeBeforeStop())
        return refuseStopping();
    if (trialOf_)
        context_.crashes_->beginTrial(*std::exchange(trialOf_, std::nullopt));
    const EngineEntry* entry = context_.board_.find(pick.engine_);
    const EngineRunPtr run = std::make_shared<EngineRun>(context_.eventLimit(), context_.budget_->hold(http::ByteUse::Answers));
    run->engine_ = pick.engine_;
    run->softwareVersion_ = entry->softwareVersion_;
    run->sentAt_ = context_.now();
    run->heardAt_ = run->sentAt_;
    run_ = run;
    softwareVersion_ = entry->softwareVersion_;
    silentUntilLeft_ = UpstreamId::none();
    tried_.push_back(pick.engine_);
    ++offers_;
    ++runs_;
    phase_ = Phase::Running;
    context_.board_.started(pick.engine_, WorkClass::OnlineRequest);
    context_.shares_->started(claimant_, context_.now());
    if (pick.kind_ == PickKind::PreemptsBatch) {
        context_.metrics_.metrics_.add(context_.metrics_.preemptions_);
        preemptionRequests_ = 0;
        requestPreemption();
    }
    if (pick.kind_ == PickKind::Queues)
        context_.metrics_.metrics_.add(context_.metrics_.queued_);
    context_.fleet_->publishReport();

    static constexpr std::string_view kinds[] = { "none", "free", "displaces", "queues" };
    const EngineUse use = context_.board_.useOf(run->engine_);
    line("sent").with("engine", entry->name_).with("address", toString(entry->at_)).with("software", softwareVersion_.name()).with("pick", kinds[static_cast<std::size_t>(pick.kind_)]).with("offer", offers_).with("questions", use.onlineRequests_).with("batchItems", use.batchItems_).with("sinceArrivalMs", run->sentAt_ - arrivedAt_).with("resumeAfter", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1);
    // A process that is killed must not take this line with it: it is the evidence of whether the request may have run.
    if (!route_.isRepeatable())
        context_.log_.flush();
    http::CallOptions options;
    options.idle_ = timeLeft() + 1s;
    options.echoName_ = context_.translation_.headers_.attemptId_;
    options.echoValue_ = id_;
    options.fresh_ = id_.empty(); // nothing would tell its answer from a second one to an earlier request
    options.sharedBody_ = std::shared_ptr<const std::string>(exchange_, &exchange_->request().body_);
    http::CallHandlers handlers;
    handlers.onHead_ = [self = shared_from_this(), run](const http::ResponseHead& head) { self->onHead(run, head); };
    handlers.onData_ = [self = shared_from_this(), run](std::string_view data) { self->onData(run, data); };
    handlers.onEnd_ = [self = shared_from_this(), run](http::AnswerEnd answerEnd) { self->onEnd(run, answerEnd); };
    handlers.onError_ = [self = shared_from_this(), run](const http::CallFailure& failure) { self->onError(run, failure); };
    run->call_ = context_.engines_.send(entry->at_, outgoingRequest(*entry), options, std::move(handlers));
    checkSilenceAfter(silentRun_ ? maxOverlap : silenceTimeout);
}

http::Request RelayedRequest::outgoingRequest(const EngineEntry& engine) const
{
    const HeaderNames& names = context_.translation_.headers_;
    const http::Request& request = exchange_->request();
    http::Request outgoing { request.method_, request.target_, {}, {} };
    for (const http::HeaderView header : endToEndHeaders(request.headers_)) {
        const bool isReplaced = isSameName(header.name_, names.timeLeft_) || (hasAnswerStarted_ && isSameName(header.name_, names.resumeAfter_));
        if (!isReplaced && !isWithheldHeader(names, table_.get(), header.name_))
            outgoing.headers_.add(header.name_, header.value_);
    }
    outgoing.headers_.add(names.timeLeft_, std::to_string(std::max<std::int64_t>(1, timeLeft() / 1ms)));
    outgoing.headers_.add(names.expectInstance_, engine.name_);
    if (!caller_.workspace_.empty())
        outgoing.headers_.add(names.workspace_, caller_.workspace_);
    if (hasAnswerStarted_ && lastEvent_)
        outgoing.headers_.add(names.resumeAfter_, std::to_string(*lastEvent_));
    return outgoing;
}

// Asks a node that runs a batch item on the engine to preempt it. The datagram may be lost, or that node may already have
// preempted the item for another online request. This request would then wait at the engine until some run ends, which delayed
// first events by 100 to 400 ms when two online requests preempted items on one engine. The nodes are therefore asked in turn, up
// to maxPreemptionRequests times, until the engine responds.
void RelayedRequest::requestPreemption()
{
    const auto holders = context_.board_.nodesRunningBatch(run_->engine_);
    if (holders.empty() || preemptionRequests_ >= maxPreemptionRequests)
        return;
    context_.fleet_->requestPreemption(holders[preemptionRequests_ % holders.size()], run_->engine_);
    ++preemptionRequests_;
    pauseTimer_.expires_after(preemptionRetryDelay);
    pauseTimer_.async_wait([weak = weak_from_this(), offer = offers_](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->phase_ == Phase::Running && !self->run_->head_ && self->offers_ == offer)
            self->requestPreemption();
    });
}

} // namespace jj
