// One proxied request, from its arrival until its answer, refusal or failure.
//
// RelayedRequest.cpp has the way to an engine, RelayAnswer.cpp the way back, RelayReaders.cpp callers that read slowly and limits of bytes,
// RelaySilence.cpp what happens when nothing comes back.
#pragma once

#include "Caller.h"
#include "Context.h"
#include "CrashWatch.h"
#include "EngineRun.h"
#include "SlotQueue.h"
#include "StreamEnd.h"
#include "StreamVersions.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace jj {

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
public:
    // Minimum retry delay for a refused caller, a fraction of the time that an online request occupies a slot. A caller that
    // retried sooner would find the same engines full.
    static constexpr Duration minRetryAfter = 150ms;
    // An engine counts as silent after this long without a byte: several times the longest step of a fully loaded engine.
    static constexpr Duration silenceTimeout = 1200ms;
    // How long the silent run may stay open once the second one was sent. An engine on which nothing waits answers within a fraction of this.
    static constexpr Duration maxOverlap = 200ms;
    // Maximum number of engines that a request is sent to. Each one that rejects it or can't be connected to costs a round trip,
    // and after four of them the load counts behind the choice are evidently wrong.
    static constexpr std::size_t maxOffers = 4;

    RelayedRequest(Context& context, std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller, std::shared_ptr<std::unordered_set<RelayedRequest*>> open)
        : context_(context)
        , exchange_(std::move(exchange))
        , table_(std::move(table))
        , route_(route)
        , caller_(std::move(caller))
        , timer_(context.io_)
        , pauseTimer_(context.io_)
        , silenceTimer_(context.io_)
        , readTimer_(context.io_)
        , open_(std::move(open))
        , arrivedAt_(context.now())
    {
        open_->insert(this);
    }

    ~RelayedRequest() { open_->erase(this); }
    RelayedRequest(const RelayedRequest&) = delete;
    RelayedRequest& operator=(const RelayedRequest&) = delete;

    void begin();
    // Answers the request if its answer hasn't started: as not run if it wasn't sent, else as a failure.
    void onProcessStops();

private:
    enum class Phase : std::uint8_t {
        Admitting, // waiting for the decision about its workspace's quota
        Resolving, // finding out which software version began the stream that its caller resumes
        Picking,
        Claiming, // it may be a trial of what blocks it, and waits until the store has counted it
        Waiting, // queued for a slot
        Settling, // its engine was lost; waits until the hosts know which engines crashed
        Running, // sent to an engine whose answer has not ended
        Ended,
    };

    void admit();
    void onAdmission(const QuotaGate::Answer& answer);
    void returnCredit();
    // Reads which stream the caller resumes. Returns false if the request is malformed and has been refused.
    bool readResume();
    // `why` is what can't be read of its header.
    void refuseMalformed(std::string_view code, std::string_view why);
    // Finds the software version of the stream that the caller resumes, then sends the request.
    void resolveStream();
    void onResolved(const StreamResolution& resolution);
    void dispatch();
    // Returns whether requests like this one crash engines, so that it must not be sent.
    bool isBlocked();
    void refuseBlocked();
    // Refuses a blocked request, or sends it as a trial if one is due.
    void handleBlocked();
    void onTrialClaimed(Fingerprint suspect, bool isGranted);
    void onVersionGone();
    // Refuses the request as not run, for another reason than a lack of slots.
    void refuseNotRun(std::string_view reason, std::string_view code, std::string_view message);
    void refuseStopping();
    // Returns whether an engine is expected to answer before the process stops, or the request was sent before.
    bool hasTimeBeforeStop() const;
    // Refuses a request whose key was removed while it waited.
    void refuseRemovedKey();
    // Returns how long an engine is expected to take for the first event.
    Duration firstEventTime() const;
    // Returns how long the request would wait in the queue.
    Duration queueWait() const;
    // Queues the request for a slot. Returns false if no slot is expected to become free in time.
    bool enqueue(Duration budget);
    void onQueueTimeout();
    // Returns the entry under which the request waits for a slot, without its handlers.
    SlotQueue::QueuedRequest queueEntry(Duration budget) const;
    void leaveQueue();
    void send(const EnginePick& pick);
    http::Request outgoingRequest(const EngineEntry& engine) const;
    void onHead(const EngineRunPtr& run, const http::ResponseHead& head);
    // Handles a success without its engine's signature, of which the caller may get nothing.
    void onUnsealed(const EngineRunPtr& run);
    void onData(const EngineRunPtr& run, std::string_view data);
    // Handles bytes of the run that the request goes on with.
    void handleData(const EngineRunPtr& run, std::string_view data);
    void onEnd(const EngineRunPtr& run, http::AnswerEnd answerEnd);
    void onError(const EngineRunPtr& run, const http::CallFailure& failure);
    void onEvent(const EngineRunPtr& run, const StreamEvent& event);
    // Returns whether another run should bring this event, because bytes of it are lost or wrong.
    bool isUnusable(const StreamEvent& event) const;
    // Binds the request, at the first event of a run, to the software version of its engine.
    bool bindVersion();

    void onNotExecuted();
    void onUnencodable(std::error_code error);
    void requestPreemption();
    // Handles a connection to the engine that broke while the request may have run.
    void onEngineLost(std::error_code error);
    // Records that the run's engine may have crashed with the request.
    void noteLoss();
    void lost(std::error_code error);
    // A line is written when its object ends, so this one must end before others begin.
    void logLost(std::error_code error, bool goesOn);
    // Ends a request that may have run and isn't sent again.
    void giveUp();
    // Waits before the request is sent to another engine.
    void settle();
    void forwardBufferedAnswer(http::AnswerEnd answerEnd);
    // Returns whether no engine has begun to work on the request: run_ is the only run, and its engine did not execute it.
    bool isOnlyRejected() const;
    // Answers a request that may have run, and whose engine failed with a status that promises the contrary.
    void failWithoutPromise(int status);
    // Handles a stream that the engine broke off although its answer ended in order.
    void onStreamBrokenOff(const EngineRunPtr& run, http::AnswerEnd answerEnd, StreamBreak streamBreak);
    void finishStream(http::AnswerEnd answerEnd);
    void refuse(std::string_view reason, Duration wait);
    void fail(int status, std::string_view code, std::string_view message, RunState run);
    void onTimeout();
    void onCallerDisconnected();
    // Leaves the slot queue, and ends all runs.
    void releaseEngine();
    // Cancels the call to the engine and frees its slot. The run is none afterwards.
    void close(EngineRunPtr& run);
    void end();

    // ---- engines that fall silent (RelaySilence.cpp)
    // Records that a byte came from the run's engine.
    void recordBytes(EngineRun& run);
    void checkSilenceAfter(Duration delay);
    // Checks once the engine of run_ has been silent for silenceTimeout, which may be now.
    void checkSilenceWhenDue();
    void checkSilence();
    void noteSilence();
    // Begins a line about the end of the time in which two runs are open.
    DecisionLog::Line overlapLine(std::string_view event, const EngineRun& silent, const EngineRun& second);
    // Opens a second run beside the silent one if the request may run again and another engine has a free slot, or waits for a slot.
    void tryOtherEngine();
    // ---- callers that read slowly
    // Stops reading from the engine if the caller's queue is full.
    void pauseIfQueueFull(const EngineRunPtr& run);
    void resumeReading();
    // Calls readAfterPause() when the engine hasn't been read for as long as it may be.
    void scheduleRead();
    // Reads one piece more, because engines cut off an answer that isn't read for some seconds.
    void readAfterPause();
    // Returns whether the caller still takes bytes that are ready.
    bool isReaderMoving() const;
    // Ends a run of whose answer an element exceeded its limit, or for which there is no space.
    void onOverLimit(const EngineRunPtr& run, std::error_code error);
    // Returns the element of the run's answer that has exceeded its limit; no error if there is none.
    std::error_code findOverLimit(EngineRun& run) const;

    // Lets the request go back to engines that it left while they were silent, if no other one or no attempt is left: they may be sound, and
    // another run there is no attempt at a further engine.
    void allowLeftEngines();
    bool mayTryOtherEngine();
    bool startSecondRun(const EnginePick& pick);
    // The second run hasn't answered for as long as two of them may be open.
    void endOverlap();
    // The second run has not begun and never will: the silent one goes on alone.
    void returnToSilentRun();
    // The second run has begun, or may have: it goes on alone.
    void leaveSilentRun();
    // Returns to the silent run if the second one was not sent yet. Returns false if it was.
    bool returnBeforeSend();
    // Records that the run has done better than a silent one that ended for it.
    void recordReplaced();
    // The silent run ended with a whole answer that its caller can't get: a refusal or a failure.
    void onSilentRunAnswered(bool hasFailed);
    // The answer of the silent run can't go on: its connection broke, or its engine did not run the request.
    void onSilentRunFailed(bool hasRun, std::error_code error);

    // Returns whether the run's answer is a stream of events.
    bool isReadingStream(const EngineRun& run) const { return isStream() && run.head_ && run.head_->status_ == http::statusOk && !run.rejected_; }
    // Returns whether the run's answer is still awaited.
    bool isOpen(const EngineRunPtr& run) const { return phase_ == Phase::Running && (run == run_ || run == silentRun_); }
    // Returns whether the request may be sent once more after a run whose answer can't go on.
    bool mayRunAgain() const;
    bool hasAttemptLeft() const { return runs_ < std::max(route_.maxAttempts_, 1U); }
    // Returns whether anything but the number of attempts forbids another run.
    bool mayRepeat() const;
    // Returns whether the run's stream, as far as it has come, is incomplete at this end of the answer.
    StreamBreak findBreak(const EngineRun& run, http::AnswerEnd answerEnd) const;
    // Returns whether the run's next event may follow the events that the caller has: its engine is known not to have started again, with
    // another version, since it was picked.
    bool isCertainOfVersion(const EngineRun& run) const { return run.firstEventAt_ || !isResumed() || context_.board_.isCurrent(run.engine_); }
    // Returns whether the request may leave a silent engine.
    bool mayMove() const { return route_.isRepeatable() && isStream(); }
    // Returns whether the request goes on with a stream of which events were sent to the caller before.
    bool isResumed() const { return !boundVersion_.isNone(); }
    bool isStream() const { return route_.kind_ == RouteKind::Streaming; }
    bool mayHaveRun() const { return runs_ > 0; }
    Duration timeLeft() const { return deadline_ - context_.now(); }
    // Returns the longest retry delay that the caller accepts.
    Duration maxRetryDelay() const;
    Duration firstEventBudget() const;
    TimePoint queueDeadline() const;
    DecisionLog::Line line(std::string_view event);

    Context& context_;
    std::shared_ptr<http::Exchange> exchange_;
    std::shared_ptr<const RouteTable> table_; // keeps route_ alive
    const Route& route_;
    const Caller caller_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer pauseTimer_; // until another node is asked to preempt a batch item, or in phase Settling
    boost::asio::steady_timer silenceTimer_; // until the next checkSilence()
    boost::asio::steady_timer readTimer_; // until the next readAfterPause()
    Claimant claimant_;
    std::size_t preemptionRequests_ = 0;
    std::shared_ptr<std::unordered_set<RelayedRequest*>> open_; // all open requests of the process
    const TimePoint arrivedAt_;
    TimePoint deadline_ {};
    std::string service_;
    std::string id_;
    RequestFingerprints fingerprints_; // what it may share with requests that crash engines
    std::optional<Fingerprint> blockedBy_; // the suspect that blocks it
    bool isTrialDue_ = false; // of blockedBy_, at this host
    std::optional<Fingerprint> trialOf_; // a suspect that doesn't block its next send, which is a trial; none once it was sent
    bool mustSettle_ = false; // its engine was lost, and a part of its prompt was never answered
    TimePoint lostAt_ {}; // when its last engine was lost or fell silent
    bool wasRefusedBefore_ = false; // the caller was probably refused before and would give up after another refusal

    Phase phase_ = Phase::Admitting;
    bool usesQuota_ = false; // admitted, and its credit is not returned
    std::vector<UpstreamId> tried_;
    std::vector<UpstreamId> leftWhileSilent_; // those of tried_ that the request left after a silence, and that no other run has replaced
    UpstreamId silentUntilLeft_; // the last one of leftWhileSilent_ if it was still silent when run_ answered; none: it wasn't
    std::size_t offers_ = 0; // number of engines that the request was sent to, including those that did not run it
    std::uint32_t runs_ = 0; // number of engines that may have started the request
    QueueTicket ticket_; // set in phase Waiting, and while a request whose engine is silent waits for a slot elsewhere
    EngineRunPtr run_; // set in phase Running
    // Invariant: set only while run_ may replace it: its engine fell silent, and run_ was opened beside it.
    EngineRunPtr silentRun_;
    SoftwareVersion softwareVersion_; // of the engine that the request was last sent to
    // The software version that wrote the events which the caller has; none while it has none. Only engines of this version may go on.
    SoftwareVersionId boundVersion_;
    bool isResumedByCaller_ = false; // the caller has events of an earlier attempt
    std::string beganAs_; // attempt id that brought the stream's first event; empty: the caller names none
    bool hasAnswerStarted_ = false; // the response head has been sent to the caller
    std::string pendingEvents_; // complete events that are not yet written to the caller
    std::optional<std::uint64_t> lastEvent_;
    std::optional<std::uint64_t> emptyRunAfter_; // the event after which a run resumed that ended without an event
};

} // namespace jj
