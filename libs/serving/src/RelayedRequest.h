// One proxied request, from its arrival until its answer, refusal or failure.
#pragma once

#include "Caller.h"
#include "Context.h"
#include "CrashWatch.h"
#include "EventScanner.h"
#include "SlotQueue.h"
#include "StreamEnd.h"
#include "StreamVersions.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
public:
    // Minimum retry delay for a refused caller, a fraction of the time that an online request occupies a slot. A caller that
    // retried sooner would find the same engines full.
    static constexpr Duration minRetryAfter = 150ms;

    RelayedRequest(Context& context, std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller, std::shared_ptr<std::size_t> open)
        : context_(context)
        , exchange_(std::move(exchange))
        , table_(std::move(table))
        , route_(route)
        , caller_(std::move(caller))
        , timer_(context.io_)
        , pauseTimer_(context.io_)
        , openCount_(std::move(open))
        , arrivedAt_(context.now())
    {
        ++*openCount_;
    }

    ~RelayedRequest() { --*openCount_; }
    RelayedRequest(const RelayedRequest&) = delete;
    RelayedRequest& operator=(const RelayedRequest&) = delete;

    void begin();

private:
    enum class Phase : std::uint8_t {
        Admitting, // waiting for the decision about its workspace's quota
        Resolving, // finding out which software version began the stream that its caller resumes
        Picking,
        Waiting, // queued for a slot
        Settling, // its engine was lost; waits until the hosts know which engines crashed
        Sent, // sent to an engine, no response head received yet
        Reading, // receiving the engine's answer
        Ended,
    };

    void admit();
    void onAdmission(const QuotaGate::Answer& answer);
    void returnCredit();
    // Reads which stream the caller resumes. Returns false if the request is malformed and has been refused.
    bool readResume();
    void refuseMalformedResume(std::string_view why);
    // Finds the software version of the stream that the caller resumes, then sends the request.
    void resolveStream();
    void onResolved(const StreamResolution& resolution);
    void dispatch();
    // Returns whether requests like this one crash engines, so that it must not be sent. If it isn't and blockedBy_ is set, it is a trial.
    bool isBlocked();
    void refuseBlocked();
    void onVersionGone();
    // Refuses a request that resumes a stream, as not run.
    void refuseResume(std::string_view reason, std::string_view code, std::string_view message);
    // Refuses a request whose key was removed while it waited.
    void refuseRemovedKey();
    // Queues the request for a slot. Returns false if no slot is expected to become free in time.
    bool enqueue(Duration budget);
    void onQueueTimeout();
    void send(const EnginePick& pick);
    void onHead(const http::ResponseHead& head);
    void onData(std::string_view data);
    void onEnd(http::AnswerEnd answerEnd);
    void onError(const http::CallFailure& failure);
    void onEvent(const StreamEvent& event);
    // Binds the request, at the first event of a run, to the software version of its engine.
    bool bindVersion();

    void onNotExecuted();
    void requestPreemption();
    // Handles a connection to the engine that broke while the request may have run.
    void onEngineLost(std::error_code error);
    void lost(std::error_code error);
    // Ends a request that may have run and isn't sent again.
    void giveUp();
    // Waits before the request is sent to another engine.
    void settle();
    void forwardBufferedAnswer(http::AnswerEnd answerEnd);
    // Handles a stream that the engine broke off although its answer ended in order.
    void onStreamBrokenOff(http::AnswerEnd answerEnd, StreamBreak streamBreak);
    void finishStream(http::AnswerEnd answerEnd);
    void refuse(std::string_view reason, Duration wait);
    void fail(int status, std::string_view code, std::string_view message, RunState run);
    void onTimeout();
    void onCallerDisconnected();
    // Leaves the slot queue, or cancels the call to the engine and frees its slot.
    void releaseEngine();
    void end();

    // Returns whether the answer being received is a stream of events.
    bool isReadingStream() const { return isStream() && head_.status_ == http::statusOk && !rejected_; }
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
    std::size_t preemptionRequests_ = 0;
    std::shared_ptr<std::size_t> openCount_;
    const TimePoint arrivedAt_;
    TimePoint deadline_ {};
    std::string service_;
    std::string id_;
    RequestFingerprints fingerprints_; // what it may share with requests that crash engines
    std::optional<Fingerprint> blockedBy_; // the suspect that blocks it
    bool mustSettle_ = false; // its engine was lost, and a part of its prompt was never answered
    bool wasRefusedBefore_ = false; // the caller was probably refused before and would give up after another refusal

    Phase phase_ = Phase::Admitting;
    bool usesQuota_ = false; // admitted, and its credit is not returned
    std::vector<UpstreamId> tried_;
    std::size_t offers_ = 0; // number of engines that the request was sent to, including those that did not run it
    std::uint32_t runs_ = 0; // number of engines that may have started the request
    QueueTicket ticket_; // set in phase Waiting
    UpstreamId engine_; // engine that the request was sent to; none in phases Picking and Waiting
    SoftwareVersion softwareVersion_; // of the engine that the request was last sent to
    // The software version that wrote the events which the caller has; none while it has none. Only engines of this version may go on.
    SoftwareVersionId boundVersion_;
    bool isResumedByCaller_ = false; // the caller has events of an earlier attempt
    std::string beganAs_; // attempt id that brought the stream's first event; empty: the caller names none
    TimePoint sentAt_ {};
    TimePoint heardAt_ {}; // when the engine sent its last byte, or when the request was sent
    std::shared_ptr<http::Call> call_;

    http::ResponseHead head_; // of the answer being received
    bool rejected_ = false; // the answer states that the engine did not run the request
    std::optional<TimePoint> runFirstEventAt_; // time of this run's first event; none: no event of it has arrived
    bool isProven_ = false; // the run has gone on for long enough that the request doesn't crash its engine
    bool hasAnswerStarted_ = false; // the response head has been sent to the caller
    std::string body_; // of an answer that is not streamed
    EventScanner scanner_;
    std::string pendingEvents_; // complete events that are not yet written to the caller
    std::optional<std::uint64_t> lastEvent_;
    std::optional<std::uint64_t> emptyRunAfter_; // the event after which a run resumed that ended without an event
};

} // namespace jj
