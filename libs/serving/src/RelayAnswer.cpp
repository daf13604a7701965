// RelayedRequest: the engine's answer, errors and timeouts, and the answer to the caller.
#include "RelayedRequest.h"

#include "Shares.h"

#include <algorithm>

namespace jj {

namespace {

    // Callers accept a retry delay of at most a third of the time that they have left when the refusal reaches them. The margin
    // covers its transmission.
    constexpr int retryDivisor = 3;
    constexpr Duration retryMargin = 20ms;

    // Between two looks whether a caller that is past its deadline still reads.
    constexpr Duration lateReaderInterval = 500ms;

} // namespace

// ---- the engine's answer

void RelayedRequest::onHead(const EngineRunPtr& run, const http::ResponseHead& head)
{
    if (!isOpen(run))
        return;
    recordBytes(*run);
    run->head_ = head;
    context_.observe(run->engine_, head.headers_);
    run->rejected_ = head.headers_.has(context_.translation_.headers_.notExecuted_) || head.status_ == statusMisdirected;
    // A stream that goes on keeps the signature of its first engine.
    if (!hasAnswerStarted_ && isUnsealedSuccess(context_.translation_.headers_, head))
        return onUnsealed(run);
    if (run == run_ && silentRun_ && !run->rejected_)
        leaveSilentRun();
}

void RelayedRequest::onUnsealed(const EngineRunPtr& run)
{
    const EngineEntry* engine = context_.board_.find(run->engine_);
    line("sealMissing").with("engine", engine ? engine->name_ : "").with("status", run->head_->status_).with("runs", runs_);
    if (run == silentRun_)
        return onSilentRunFailed(true, http::Error::Malformed);
    onEngineLost(http::Error::Malformed);
}

void RelayedRequest::onData(const EngineRunPtr& run, std::string_view data)
{
    if (!isOpen(run))
        return;
    recordBytes(*run);
    if (run != silentRun_ || returnBeforeSend())
        return handleData(run, data);
    run->deferred_.append(data);
    run->hold_.resize(run->heldBytes());
    if (const std::error_code error = findOverLimit(*run))
        onOverLimit(run, error);
}

void RelayedRequest::handleData(const EngineRunPtr& run, std::string_view data)
{
    if (!isOpen(run))
        return;
    if (isReadingStream(*run))
        context_.recordEvents(run->engine_, run->eventClock_, run->scanner_.feed(data, [&](const StreamEvent& event) { onEvent(run, event); }));
    else
        run->body_.append(data);
    run->hold_.resize(run->heldBytes());
    if (!isOpen(run))
        return;
    if (!pendingEvents_.empty())
        exchange_->write(std::exchange(pendingEvents_, {})); // a kept capacity wouldn't be counted by the byte budget
    if (const std::error_code error = findOverLimit(*run))
        return onOverLimit(run, error);
    pauseIfQueueFull(run);
}

void RelayedRequest::onEvent(const EngineRunPtr& run, const StreamEvent& event)
{
    if (!isOpen(run))
        return;
    if (mayRunAgain() && isUnusable(event)) {
        line("streamSpoilt").with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1).with("bytes", event.raw_.size());
        context_.failed(run->engine_, EngineFault::Lost, http::Error::Malformed);
        return lost(http::Error::Malformed);
    }
    // Event ids must be consecutive, otherwise the resumed stream would skip or repeat events.
    const bool isDiscontinuous = hasAnswerStarted_ && lastEvent_ && event.id_ && *event.id_ != *lastEvent_ + 1;
    if (isDiscontinuous) {
        line("streamOutOfStep").with("expected", *lastEvent_ + 1).with("got", *event.id_);
        return lost(http::Error::Malformed);
    }
    if (!run->firstEventAt_ && !bindVersion())
        return;
    recordReplaced();
    // An engine that sends junk has not begun an answer.
    if (!run->isProven_ && !event.isSpoilt() && context_.crashes_->lossPoint(run->firstEventAt_) == LossPoint::InAnswer) {
        run->isProven_ = true;
        context_.crashes_->recordBegun(fingerprints_);
    }
    if (!hasAnswerStarted_) {
        hasAnswerStarted_ = true;
        context_.board_.succeeded(run->engine_, context_.now());
        context_.board_.recordFirstEvent(context_.now() - run->sentAt_);
        exchange_->start(run->head_->status_, endToEndHeaders(run->head_->headers_));
        context_.metrics_.metrics_.observe(context_.metrics_.firstEvent_, toMilliseconds(context_.now() - arrivedAt_));
        line("firstEvent").with("software", run->softwareVersion_.name()).with("afterMs", context_.now() - arrivedAt_).with("engineMs", context_.now() - run->sentAt_).with("objectiveMs", route_.targetLatency_);
    }
    if (event.id_)
        lastEvent_ = event.id_;
    pendingEvents_.append(event.raw_);
}

// Streams of some engines have no ids, which shows once an event has come.
bool RelayedRequest::isUnusable(const StreamEvent& event) const { return lastEvent_ ? event.isSpoilt() : event.isCorrupt(); }

// The engine may have started again, with another version, since it was picked. Returns false if the run was given up for that.
bool RelayedRequest::bindVersion()
{
    const bool isCertain = isCertainOfVersion(*run_);
    const bool isSameStart = context_.board_.isCurrent(run_->engine_);
    run_->firstEventAt_ = context_.now();
    if (!isCertain) {
        line("versionUncertain").with("software", run_->softwareVersion_.name());
        lost(http::Error::Cancelled);
        return false;
    }
    if (!isSameStart)
        return true;
    boundVersion_ = run_->softwareVersion_.id();
    // A record that arrives after the caller's next attempt is of no use, so it is sent before the event.
    if (!hasAnswerStarted_ && route_.isRepeatable())
        context_.streams_->record({ streamIdOf(caller_.workspace_, beganAs_), idFromName<ServiceId>(service_), boundVersion_ }, context_.now());
    return true;
}

void RelayedRequest::onEnd(const EngineRunPtr& run, http::AnswerEnd answerEnd)
{
    if (!isOpen(run))
        return;
    run->call_ = nullptr;
    recordBytes(*run);
    if (isReadingStream(*run)) {
        const StreamBreak streamBreak = findBreak(*run, answerEnd);
        if (streamBreak == StreamBreak::NoEvent)
            emptyRunAfter_ = lastEvent_;
        if (streamBreak != StreamBreak::None)
            return onStreamBrokenOff(run, answerEnd, streamBreak);
    }
    const http::ResponseHead& head = *run->head_;
    if (run == silentRun_) {
        const bool mayAnswer = isReadingStream(*run) || (!hasAnswerStarted_ && !run->rejected_ && !run->hasFailed());
        if (!mayAnswer)
            return onSilentRunAnswered(run->hasFailed());
        if (!isCertainOfVersion(*run))
            return leaveSilentRun();
        // Its engine no longer works on the request, so that the second run may end instead.
        returnToSilentRun();
        if (!isOpen(run))
            return;
    }
    if (!run->rejected_)
        context_.crashes_->recordAnswer(fingerprints_, head.status_);
    // A 4xx status other than 421 and 429 means that the request itself is at fault. That answer is forwarded to the caller even
    // if the engine did not execute the request.
    const bool isCallersFault = head.status_ >= 400 && head.status_ < firstServerError && head.status_ != statusTooManyRequests && head.status_ != statusMisdirected;
    if (run->rejected_ && !isCallersFault)
        return onNotExecuted();
    if (run->hasFailed())
        context_.failed(run->engine_, EngineFault::Failure, {});
    else
        context_.board_.succeeded(run->engine_, context_.now());
    if (isReadingStream(*run))
        return finishStream(answerEnd);
    if (silentRun_)
        return returnToSilentRun();
    const bool runsAgain = run->hasFailed() && !hasAnswerStarted_ && mayRunAgain();
    if (runsAgain) {
        line("runAgain").with("status", head.status_).with("runs", runs_);
        releaseEngine();
        context_.metrics_.metrics_.add(context_.metrics_.resent_);
        return dispatch();
    }
    forwardBufferedAnswer(answerEnd);
}

StreamBreak RelayedRequest::findBreak(const EngineRun& run, http::AnswerEnd answerEnd) const
{
    EventScanner scanner = run.scanner_;
    const bool hasEvents = scanner.feed(run.deferred_, [](const StreamEvent&) {}) > 0 || run.firstEventAt_;
    const bool isEndConfirmed = lastEvent_ && emptyRunAfter_ == lastEvent_;
    return findStreamBreak(scanner, answerEnd, hasEvents, isEndConfirmed);
}

void RelayedRequest::forwardBufferedAnswer(http::AnswerEnd answerEnd)
{
    if (hasAnswerStarted_)
        return lost(http::Error::Truncated); // an error response instead of the rest of a stream
    const int status = run_->head_->status_;
    if (promisesNotRun(status) && !isOnlyRejected())
        return failWithoutPromise(status);
    exchange_->respond({ status, endToEndHeaders(run_->head_->headers_), std::move(run_->body_) });
    const bool isSuccess = status < firstNonSuccess;
    if (isSuccess) {
        context_.board_.recordRunTime(context_.now() - run_->sentAt_);
        context_.metrics_.metrics_.observe(context_.metrics_.firstEvent_, toMilliseconds(context_.now() - arrivedAt_));
    }
    context_.metrics_.metrics_.add(isSuccess ? context_.metrics_.answered_ : context_.metrics_.failed_);
    line("answered").with("status", status).with("afterMs", context_.now() - arrivedAt_).with("runs", runs_).with("end", nameOf(answerEnd));
    end();
}

bool RelayedRequest::isOnlyRejected() const { return run_->rejected_ && runs_ <= 1; }

// The engine's seal vouches for its status, so the answer has neither.
void RelayedRequest::failWithoutPromise(int status)
{
    const EngineEntry* engine = context_.board_.find(run_->engine_);
    line("promiseWithheld").with("engine", engine ? engine->name_ : "").with("status", status).with("rejected", run_->rejected_ ? "yes" : "no").with("runs", runs_);
    fail(statusBadGateway, "engine.Failed", "an engine failed with a status that promises that the request has not run; it may have run", RunState::OutcomeUnknown);
}

void RelayedRequest::onStreamBrokenOff(const EngineRunPtr& run, http::AnswerEnd answerEnd, StreamBreak streamBreak)
{
    line("streamBrokenOff").with("why", nameOf(streamBreak)).with("end", nameOf(answerEnd)).with("restBytes", run->scanner_.rest().size());
    if (run == silentRun_)
        return onSilentRunFailed(true, http::Error::Truncated);
    onEngineLost(http::Error::Truncated);
}

void RelayedRequest::finishStream(http::AnswerEnd answerEnd)
{
    if (!hasAnswerStarted_) {
        exchange_->start(run_->head_->status_, endToEndHeaders(run_->head_->headers_));
        hasAnswerStarted_ = true;
    }
    const std::string& rest = run_->scanner_.rest();
    if (!rest.empty())
        exchange_->write(rest);
    exchange_->end();
    context_.board_.recordRunTime(context_.now() - run_->sentAt_);
    context_.metrics_.metrics_.add(context_.metrics_.answered_);
    line("answered").with("status", run_->head_->status_).with("afterMs", context_.now() - arrivedAt_).with("runs", runs_).with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1).with("end", nameOf(answerEnd)).with("restBytes", rest.size());
    end();
}

void RelayedRequest::onNotExecuted()
{
    const int status = run_->head_->status_;
    const EngineEntry* engine = context_.board_.find(run_->engine_);
    const bool isNamed = run_->head_->headers_.has(context_.translation_.headers_.attemptId_);
    line("notExecuted").with("status", status).with("offer", offers_).with("engine", engine ? engine->name_ : "").with("address", engine ? toString(engine->at_) : "").with("named", isNamed ? "yes" : "no").with("connection", run_->head_->isOnUsedConnection_ ? "used" : "new");
    if (status == statusMisdirected)
        context_.failed(run_->engine_, EngineFault::NotConnected, {});
    else
        context_.board_.recordFullRefusal(run_->engine_, context_.now());
    --runs_;
    if (silentRun_)
        return returnToSilentRun();
    releaseEngine();
    dispatch();
}

void RelayedRequest::onError(const EngineRunPtr& run, const http::CallFailure& failure)
{
    if (!isOpen(run))
        return;
    run->call_ = nullptr;
    const bool hasRun = failure.run_ != RunState::NotRun && !run->rejected_;
    if (failure.code_ == http::Error::Unencodable)
        return onUnencodable(failure.code_);
    if (run == silentRun_)
        return onSilentRunFailed(hasRun, failure.code_);
    if (failure.run_ == RunState::NotRun) {
        const EngineEntry* engine = context_.board_.find(run->engine_);
        line("notConnected").with("error", failure.code_.message()).with("offer", offers_).with("engine", engine ? engine->name_ : "");
        context_.failed(run->engine_, EngineFault::NotConnected, failure.code_);
        --runs_;
        if (silentRun_)
            return returnToSilentRun();
        releaseEngine();
        return dispatch();
    }
    // The response head stated that the request was not executed; only the rest of that answer was lost.
    if (!hasRun)
        return onNotExecuted();
    onEngineLost(failure.code_);
}

// No engine is at fault, and each would get the same request.
void RelayedRequest::onUnencodable(std::error_code error)
{
    line("notConnected").with("error", error.message()).with("offer", offers_);
    --runs_;
    releaseEngine();
    if (hasAnswerStarted_ || mayHaveRun())
        return giveUp();
    fail(431, "request.Unencodable", "the request can't be encoded for an engine; it has not run", RunState::NotRun);
}

void RelayedRequest::noteLoss()
{
    const LossPoint point = context_.crashes_->lossPoint(run_->firstEventAt_);
    mustSettle_ = context_.crashes_->mustSettle(fingerprints_, point);
    lostAt_ = context_.now();
    context_.crashes_->recordLoss(fingerprints_, run_->engine_, point);
}

void RelayedRequest::onEngineLost(std::error_code error)
{
    if (isOverLimit(error))
        return onOverLimit(run_, error);
    noteLoss();
    context_.failed(run_->engine_, EngineFault::Lost, error);
    lost(error);
}

bool RelayedRequest::mayRunAgain() const
{
    return mayRepeat() && (hasAttemptLeft() || !leftWhileSilent_.empty());
}

bool RelayedRequest::mayRepeat() const
{
    const bool isVersionUnknown = hasAnswerStarted_ && boundVersion_.isNone();
    // Another run would begin anew behind events that have no ids.
    const bool isPositionUnknown = hasAnswerStarted_ && !lastEvent_;
    return route_.isRepeatable() && !isVersionUnknown && !isPositionUnknown && timeLeft() > Duration::zero() && (isStream() || !hasAnswerStarted_);
}

void RelayedRequest::logLost(std::error_code error, bool goesOn)
{
    DecisionLog::Line entry = line("answerLost");
    if (run_) {
        const EngineEntry* engine = context_.board_.find(run_->engine_);
        entry.with("engine", engine ? engine->name_ : "").with("silentMs", context_.now() - run_->heardAt_).with("inRun", run_->firstEventAt_ ? "events" : "noEvent");
    }
    entry.with("error", error.message()).with("runs", runs_).with("attempts", route_.maxAttempts_).with("config", table_->version()).with("started", hasAnswerStarted_ ? "yes" : "no").with("goesOn", goesOn ? "yes" : "no").with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1).with("parts", partsForLog(joinedValues(exchange_->request().headers_, context_.translation_.headers_.promptParts_)));
}

// Handles a lost or unusable answer to a request that the engine may have run: sends the request again if allowed, else fails it.
void RelayedRequest::lost(std::error_code error)
{
    const bool wasSent = phase_ == Phase::Running;
    if (silentRun_)
        leaveSilentRun();
    const bool mayResend = wasSent && mayRunAgain();
    logLost(error, mayResend);
    if (!pendingEvents_.empty())
        exchange_->write(std::exchange(pendingEvents_, {})); // a kept capacity wouldn't be counted by the byte budget
    releaseEngine();
    if (mayResend) {
        context_.metrics_.metrics_.add(context_.metrics_.resent_);
        return mustSettle_ ? settle() : dispatch();
    }
    giveUp();
}

void RelayedRequest::giveUp()
{
    if (!hasAnswerStarted_)
        return fail(502, "engine.AnswerLost", "the engine's answer was lost; the request may have run", RunState::OutcomeUnknown);
    exchange_->abort();
    context_.metrics_.metrics_.add(context_.metrics_.aborted_);
    end();
}

void RelayedRequest::settle()
{
    phase_ = Phase::Settling;
    mustSettle_ = false;
    pauseTimer_.expires_after(CrashWatch::settlingTime);
    pauseTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->phase_ == Phase::Settling)
            self->dispatch();
    });
}

// ---- refusals, failures and completion

Duration RelayedRequest::maxRetryDelay() const { return std::max<Duration>(timeLeft() / retryDivisor - retryMargin, 1ms); }

void RelayedRequest::refuse(std::string_view reason, Duration wait)
{
    const Duration rest = context_.queue_->refused(service_, wait, context_.now());
    const Duration retry = std::clamp<Duration>(rest, std::min(minRetryAfter, maxRetryDelay()), maxRetryDelay());
    exchange_->respond(refusalResponse(context_.translation_, 503, "overload.NoSlot", "no engine can take the request in time; it has not run", RunState::NotRun, retry));
    context_.metrics_.metrics_.add(context_.metrics_.refused_);
    context_.shares_->refused(claimant_);
    line("refused").with("reason", reason).with("rank", claimant_.rank_).with("status", 503).with("retryAfterMs", retry).with("afterMs", context_.now() - arrivedAt_);
    end();
}

void RelayedRequest::fail(int status, std::string_view code, std::string_view message, RunState run)
{
    exchange_->respond(refusalResponse(context_.translation_, status, code, message, run, {}));
    context_.metrics_.metrics_.add(context_.metrics_.failed_);
    line("failed").with("status", status).with("code", code).with("afterMs", context_.now() - arrivedAt_).with("runs", runs_);
    end();
}

void RelayedRequest::onTimeout()
{
    if (phase_ == Phase::Ended)
        return;
    // What is left of the answer has waited for this caller, not for the engine.
    if (hasAnswerStarted_ && phase_ == Phase::Running && isReaderMoving()) {
        timer_.expires_after(lateReaderInterval);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                self->onTimeout();
        });
        return;
    }
    line("timedOut").with("runs", runs_).with("started", hasAnswerStarted_ ? "yes" : "no");
    const bool ran = mayHaveRun();
    if (phase_ == Phase::Running && run_->isSilent_)
        context_.failed(run_->engine_, EngineFault::Lost, http::Error::NoProgress);
    releaseEngine();
    if (hasAnswerStarted_) {
        exchange_->abort();
        context_.metrics_.metrics_.add(context_.metrics_.aborted_);
        return end();
    }
    if (ran)
        return fail(504, "request.TimedOut", "no answer within the request's time; it may have run", RunState::OutcomeUnknown);
    refuse("timedOut", minRetryAfter);
}

void RelayedRequest::onCallerDisconnected()
{
    if (phase_ == Phase::Ended)
        return;
    line("callerLeft").with("why", exchange_->wasCutOff() ? "readerStalled" : "closed").with("afterMs", context_.now() - arrivedAt_).with("started", hasAnswerStarted_ ? "yes" : "no").with("runs", runs_);
    context_.metrics_.metrics_.add(context_.metrics_.disconnected_);
    releaseEngine();
    end();
}

void RelayedRequest::releaseEngine()
{
    leaveQueue();
    close(run_);
    close(silentRun_);
}

void RelayedRequest::leaveQueue()
{
    if (ticket_.isNone())
        return;
    context_.queue_->leave(ticket_);
    ticket_ = QueueTicket::none();
}

void RelayedRequest::close(EngineRunPtr& run)
{
    if (!run)
        return;
    const EngineRunPtr closed = std::exchange(run, nullptr);
    if (closed->call_)
        closed->call_->cancel();
    closed->call_ = nullptr;
    context_.board_.ended(closed->engine_, WorkClass::OnlineRequest);
    context_.shares_->ended(claimant_, context_.now());
    context_.queue_->onSlotFreed();
    context_.fleet_->publishReport();
}

void RelayedRequest::end()
{
    releaseEngine();
    phase_ = Phase::Ended;
    if (trialOf_)
        context_.crashes_->returnTrial(*std::exchange(trialOf_, std::nullopt));
    returnCredit();
    timer_.cancel();
    pauseTimer_.cancel();
    silenceTimer_.cancel();
    readTimer_.cancel();
}

} // namespace jj
