// One request's way.
#include "Relay.h"

#include "EventScanner.h"
#include "SlotLine.h"
#include "base/Hash.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <vector>

namespace jj {

namespace {

    // Engines that a request is offered to in vain (refused, not connected) before it is refused: each costs a round trip, and by
    // the fourth the counts that led there are wrong anyhow.
    constexpr std::size_t mostOffers = 4;
    // A stream that may go on elsewhere does so when its engine was silent for so long: several times the longest step of a full
    // engine, and well before its caller gives up.
    constexpr Duration resumableSilence = 1200ms;
    // A refused caller comes back after at least so long: a question's part of a slot. Sooner it would meet the same full engines.
    constexpr Duration leastRetryAfter = 150ms;
    constexpr Duration mostRetryAfter = 1500ms;
    // An engine's first event takes some 25 ms; one that hasn't come after twice that waits for a slot.
    constexpr Duration slotAskStep = 50ms;
    constexpr std::size_t mostSlotAsks = 4;
    // A question stays in line for so many times its objective: a late answer serves its caller better than coming back later still.
    constexpr int keepTargets = 4;
    // Callers wait for at most a third of what they have left.
    constexpr int retryShare = 3;
    constexpr Duration defaultDeadline = 30s;

    constexpr int statusOk = 200;
    constexpr int firstNonSuccess = 300;
    constexpr int firstServerError = 500;
    constexpr int misdirected = 421;

    class RelayedRequest : public std::enable_shared_from_this<RelayedRequest> {
    public:
        RelayedRequest(Context& context, std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, std::shared_ptr<std::size_t> open)
            : context_(context)
            , exchange_(std::move(exchange))
            , table_(std::move(table))
            , route_(route)
            , timer_(context.io_)
            , slotTimer_(context.io_)
            , open_(std::move(open))
            , arrived_(context.now())
        {
            ++*open_;
        }

        ~RelayedRequest() { --*open_; }
        RelayedRequest(const RelayedRequest&) = delete;
        RelayedRequest& operator=(const RelayedRequest&) = delete;

        void begin();

    private:
        enum class Phase : std::uint8_t {
            Picking,
            Waiting, // in line for a slot
            Sent, // at an engine, no head yet
            Reading, // its answer comes
            Ended,
        };

        void dispatch();
        void block();
        // No slot is free: lines up if one comes in time; false: it doesn't.
        bool lineUp(Duration bound);
        void giveUpWaiting();
        void send(const EnginePick& pick);
        void onHead(const http::ResponseHead& head);
        void onData(std::string_view data);
        void onEnd();
        void onError(const http::CallFailure& failure);
        void onEvent(const StreamEvent& event);

        void notExecuted();
        void askForSlot();
        void lost(std::error_code error);
        void passWhole();
        void finishStream();
        void refuse(std::string_view reason, Duration wait);
        void fail(int status, std::string_view code, std::string_view message, RunState run);
        void onTimeout();
        void onCallerLeft();
        void leaveEngine();
        void end();

        bool isStream() const { return route_.kind_ == RouteKind::Streaming; }
        bool mayHaveRun() const { return runs_ > 0; }
        Duration left() const { return deadline_ - context_.now(); }
        // What a caller's further attempt has in common with this one.
        Fingerprint content() const;
        bool crashesEngines() const;
        Duration pickBound() const;
        TimePoint keepUntil() const;
        DecisionLog::Line line(std::string_view event);

        Context& context_;
        std::shared_ptr<http::Exchange> exchange_;
        std::shared_ptr<const RouteTable> table_; // keeps route_ alive
        const Route& route_;
        boost::asio::steady_timer timer_;
        boost::asio::steady_timer slotTimer_; // until the next holder of a batch item is asked
        std::size_t slotAsks_ = 0;
        std::shared_ptr<std::size_t> open_;
        const TimePoint arrived_;
        TimePoint deadline_ {};
        std::string service_;
        std::string id_;

        Phase phase_ = Phase::Picking;
        std::vector<UpstreamId> tried_;
        std::size_t offers_ = 0;
        std::uint32_t runs_ = 0; // engines that may have begun to work on it
        LineTicket ticket_; // while Waiting
        UpstreamId engine_; // that it is at; none while Picking or Waiting
        TimePoint sentAt_ {};
        std::shared_ptr<http::Call> call_;

        http::ResponseHead head_; // of the answer that is being read
        bool rejected_ = false; // the answer says that the engine didn't run it
        bool started_ = false; // the caller has the head
        std::string body_; // of an answer that is passed on whole
        EventScanner scanner_;
        std::string ready_; // events of the bytes at hand, for one write
        std::optional<std::uint64_t> lastEvent_;
    };

    DecisionLog::Line RelayedRequest::line(std::string_view event)
    {
        DecisionLog::Line entry = context_.log_.line(event);
        entry.with("request", id_).with("route", route_.name_);
        return entry;
    }

    Duration deadlineOf(const http::Request& request, const HeaderNames& names)
    {
        const std::string_view text = request.headers_.find(names.timeLeft_);
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (text.empty() || error != std::errc() || milliseconds < 0)
            return defaultDeadline;
        return std::chrono::milliseconds(milliseconds);
    }

    void RelayedRequest::begin()
    {
        const http::Request& request = exchange_->request();
        id_ = request.headers_.find(context_.translation_.headers_.attemptId_);
        deadline_ = arrived_ + std::min(deadlineOf(request, context_.translation_.headers_), route_.timeout_);
        service_ = RouteTable::pickService(route_, hash64(id_));
        if (const std::string_view resume = request.headers_.find(context_.translation_.headers_.resumeAfter_); !resume.empty()) {
            std::uint64_t event = 0;
            if (std::from_chars(resume.data(), resume.data() + resume.size(), event).ec == std::errc())
                lastEvent_ = event;
        }
        exchange_->onClosed([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onCallerLeft();
        });
        timer_.expires_at(deadline_);
        // The timer holds the request: without it nobody would while no engine has it.
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error)
                self->onTimeout();
        });
        dispatch();
    }

    // How long the first event may still take. One that is late already is worth less, and gets half of what is left.
    Duration RelayedRequest::pickBound() const
    {
        const Duration inTime = route_.targetLatency_ - (context_.now() - arrived_);
        if (started_ || mayHaveRun())
            return std::max(inTime, left() / 2);
        return inTime;
    }

    void RelayedRequest::dispatch()
    {
        if (phase_ == Phase::Ended)
            return;
        phase_ = Phase::Picking;
        if (crashesEngines())
            return block();
        const TimePoint now = context_.now();
        const Duration bound = pickBound();
        EnginePick pick = offers_ < mostOffers ? context_.board_.pickQuestion(service_, bound, route_.isRepeatable(), tried_, now) : EnginePick {};
        // A free slot belongs to those who wait for one already, and a line that is too long for this request will have it in a moment.
        const bool isFree = pick.kind_ == PickKind::Free || pick.kind_ == PickKind::Displaces;
        if (isFree && context_.board_.waiting(service_) == 0)
            return send(pick);
        if (offers_ < mostOffers && lineUp(bound))
            return;
        pick.wait_ = std::max(pick.wait_, context_.board_.lineWait(service_, now));
        const CapacityBoard::Usage usage = context_.board_.usage(service_);
        line("noEngine").with("service", service_).with("offers", offers_).with("runs", runs_).with("slots", usage.slots_).with("questions", usage.questions_).with("batchItems", usage.batchItems_).with("waitMs", pick.wait_);
        if (started_ || mayHaveRun())
            return lost(http::Error::ConnectFailed);
        refuse(usage.slots_ == 0 ? "noEngine" : "noSlotInTime", pick.wait_);
    }

    // Its content has taken down engines. An attempt that was at one of them has run; any other hasn't.
    void RelayedRequest::block()
    {
        if (started_ || mayHaveRun())
            return lost(http::Error::ConnectFailed);
        exchange_->respond(refusal(context_.translation_, 503, "request.CrashesEngines", "engines went down with this content; it has not run", RunState::NotRun, CrashSuspects::blockTime));
        context_.metrics_.metrics_.add(context_.metrics_.refused_);
        line("refused").with("reason", "crashesEngines").with("status", 503).with("afterMs", context_.now() - arrived_);
        end();
    }

    // Callers leave a stream that gives nothing for seconds; well before, one that is late anyhow is told to come back. One that goes on after
    // a lost engine waits anew: its caller has the first part, and to cut it for want of a slot would waste that.
    TimePoint RelayedRequest::keepUntil() const
    {
        const TimePoint from = started_ || mayHaveRun() ? context_.now() : arrived_;
        return std::min(from + route_.targetLatency_ * keepTargets, deadline_ - leastRetryAfter);
    }

    bool RelayedRequest::lineUp(Duration bound)
    {
        const TimePoint now = context_.now();
        if (!context_.board_.isLineInTime(service_, bound, now) || now >= keepUntil())
            return false;
        phase_ = Phase::Waiting;
        SlotLine::Waiter waiter;
        waiter.service_ = service_;
        waiter.repeatable_ = route_.isRepeatable();
        waiter.tried_ = tried_;
        waiter.inTimeUntil_ = now + bound - context_.board_.settings().firstEvent_;
        waiter.keepUntil_ = keepUntil();
        waiter.take_ = [self = shared_from_this()](const EnginePick& pick) {
            self->ticket_ = LineTicket::none();
            self->send(pick);
        };
        waiter.giveUp_ = [self = shared_from_this()] {
            self->ticket_ = LineTicket::none();
            self->giveUpWaiting();
        };
        ticket_ = context_.line_->enter(std::move(waiter));
        line("linedUp").with("waiting", context_.board_.waiting(service_)).with("waitMs", context_.board_.lineWait(service_, now));
        context_.line_->mayHaveRoom();
        return true;
    }

    void RelayedRequest::giveUpWaiting()
    {
        phase_ = Phase::Picking;
        if (started_ || mayHaveRun())
            return lost(http::Error::ConnectFailed);
        refuse("noSlotCame", context_.board_.lineWait(service_, context_.now()));
    }

    void RelayedRequest::send(const EnginePick& pick)
    {
        const EngineEntry* entry = context_.board_.find(pick.engine_);
        const HeaderNames& names = context_.translation_.headers_;
        const http::Request& request = exchange_->request();
        engine_ = pick.engine_;
        tried_.push_back(engine_);
        ++offers_;
        ++runs_;
        phase_ = Phase::Sent;
        sentAt_ = context_.now();
        head_ = {};
        rejected_ = false;
        body_.clear();
        scanner_.reset();
        context_.board_.started(engine_, WorkClass::Question);
        if (pick.kind_ == PickKind::Displaces) {
            context_.metrics_.metrics_.add(context_.metrics_.displaced_);
            slotAsks_ = 0;
            askForSlot();
        }
        if (pick.kind_ == PickKind::Queues)
            context_.metrics_.metrics_.add(context_.metrics_.queued_);
        context_.fleet_->tell();

        http::Request outgoing { request.method_, request.target_, {}, request.body_ };
        for (const http::Header& header : passedHeaders(request.headers_)) {
            const bool isOurs = header.name_ == names.timeLeft_ || header.name_ == names.expectInstance_ || (started_ && header.name_ == names.resumeAfter_);
            if (!isOurs)
                outgoing.headers_.add(header.name_, header.value_);
        }
        outgoing.headers_.add(names.timeLeft_, std::to_string(std::max<std::int64_t>(1, left() / 1ms)));
        outgoing.headers_.add(names.expectInstance_, entry->name_);
        if (started_ && lastEvent_)
            outgoing.headers_.add(names.resumeAfter_, std::to_string(*lastEvent_));
        static constexpr std::string_view kinds[] = { "none", "free", "displaces", "queues" };
        const EngineUse use = context_.board_.useOf(engine_);
        line("sent").with("engine", entry->name_).with("pick", kinds[static_cast<std::size_t>(pick.kind_)]).with("offer", offers_).with("questions", use.questions_).with("batchItems", use.batchItems_).with("sinceArrivalMs", sentAt_ - arrived_).with("resumeAfter", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1);
        http::CallOptions options;
        options.idle_ = route_.isRepeatable() && isStream() ? std::min(resumableSilence, left()) : left() + 1s;
        options.echoName_ = names.attemptId_;
        options.echoValue_ = id_;
        http::CallHandlers handlers;
        handlers.onHead_ = [self = shared_from_this()](const http::ResponseHead& head) { self->onHead(head); };
        handlers.onData_ = [self = shared_from_this()](std::string_view data) { self->onData(data); };
        handlers.onEnd_ = [self = shared_from_this()] { self->onEnd(); };
        handlers.onError_ = [self = shared_from_this()](const http::CallFailure& failure) { self->onError(failure); };
        call_ = context_.engines_.send(entry->at_, outgoing, options, std::move(handlers));
    }

    // Failure met: the datagram that asks a batch item to give way is lost, or its holder has stopped that item for another question
    // already; the question waits at the engine for whichever run ends first. It shows as first events of 100 to 400 ms where two
    // questions displaced at one engine. Holders are asked in turn until the engine begins.
    void RelayedRequest::askForSlot()
    {
        const auto holders = context_.board_.batchHolders(engine_);
        if (holders.empty() || slotAsks_ >= mostSlotAsks)
            return;
        context_.fleet_->giveWay(holders[slotAsks_ % holders.size()], engine_);
        ++slotAsks_;
        slotTimer_.expires_after(slotAskStep);
        slotTimer_.async_wait([weak = weak_from_this(), offer = offers_](const boost::system::error_code& error) {
            const auto self = weak.lock();
            if (!error && self && self->phase_ == Phase::Sent && self->offers_ == offer)
                self->askForSlot();
        });
    }

    // ---- the engine's answer

    void RelayedRequest::onHead(const http::ResponseHead& head)
    {
        if (phase_ != Phase::Sent)
            return;
        phase_ = Phase::Reading;
        head_ = head;
        context_.observe(engine_, head.headers_);
        rejected_ = head.headers_.has(context_.translation_.headers_.notExecuted_) || head.status_ == misdirected;
    }

    void RelayedRequest::onData(std::string_view data)
    {
        if (phase_ != Phase::Reading)
            return;
        const bool streams = isStream() && head_.status_ == statusOk && !rejected_;
        if (!streams) {
            body_.append(data);
            return;
        }
        scanner_.feed(data, [this](const StreamEvent& event) { onEvent(event); });
        if (phase_ != Phase::Reading || ready_.empty())
            return;
        exchange_->write(ready_);
        ready_.clear();
    }

    void RelayedRequest::onEvent(const StreamEvent& event)
    {
        if (phase_ != Phase::Reading)
            return;
        // A run that doesn't go on behind the last event would leave a hole or say things twice.
        const bool isOutOfStep = started_ && lastEvent_ && event.id_ && *event.id_ != *lastEvent_ + 1;
        if (isOutOfStep) {
            line("streamOutOfStep").with("expected", *lastEvent_ + 1).with("got", *event.id_);
            return lost(http::Error::Malformed);
        }
        if (!started_) {
            started_ = true;
            context_.board_.succeeded(engine_, context_.now());
            exchange_->start(head_.status_, passedHeaders(head_.headers_));
            context_.metrics_.metrics_.observe(context_.metrics_.firstEvent_, toMilliseconds(context_.now() - arrived_));
            line("firstEvent").with("afterMs", context_.now() - arrived_).with("engineMs", context_.now() - sentAt_);
        }
        if (event.id_)
            lastEvent_ = event.id_;
        ready_.append(event.raw_);
    }

    Fingerprint RelayedRequest::content() const
    {
        const http::Request& request = exchange_->request();
        return CrashSuspects::fingerprintOf(request.headers_.find("Host"), request.target_, request.body_);
    }

    bool RelayedRequest::crashesEngines() const { return !context_.suspects_.blocksNothing() && context_.suspects_.isBlocked(content(), context_.now()); }

    void RelayedRequest::onEnd()
    {
        if (phase_ != Phase::Reading)
            return;
        call_ = nullptr;
        if (!rejected_)
            context_.suspects_.answered(content(), context_.now());
        // "Bad request, not executed" is the caller's own fault, and the engine's answer says it best.
        const bool isCallersFault = head_.status_ >= 400 && head_.status_ < firstServerError && head_.status_ != 429 && head_.status_ != misdirected;
        if (rejected_ && !isCallersFault)
            return notExecuted();
        if (head_.status_ >= firstServerError)
            context_.failed(engine_, EngineFault::Failure, {});
        else
            context_.board_.succeeded(engine_, context_.now());
        if (isStream() && head_.status_ == statusOk)
            return finishStream();
        const bool mayRunAgain = head_.status_ >= firstServerError && route_.isRepeatable() && runs_ < route_.maxAttempts_ && left() > Duration::zero() && !started_;
        if (mayRunAgain) {
            line("runAgain").with("status", head_.status_).with("runs", runs_);
            leaveEngine();
            context_.metrics_.metrics_.add(context_.metrics_.resent_);
            return dispatch();
        }
        passWhole();
    }

    void RelayedRequest::passWhole()
    {
        if (started_)
            return lost(http::Error::Truncated); // a failure in place of the rest of a stream
        http::Response response { head_.status_, passedHeaders(head_.headers_), std::move(body_) };
        exchange_->respond(response);
        const bool isSuccess = head_.status_ < firstNonSuccess;
        if (isSuccess) {
            context_.board_.measured(context_.now() - sentAt_);
            context_.metrics_.metrics_.observe(context_.metrics_.firstEvent_, toMilliseconds(context_.now() - arrived_));
        }
        context_.metrics_.metrics_.add(isSuccess ? context_.metrics_.answered_ : context_.metrics_.failed_);
        line("answered").with("status", head_.status_).with("afterMs", context_.now() - arrived_).with("runs", runs_);
        end();
    }

    void RelayedRequest::finishStream()
    {
        if (!started_) {
            exchange_->start(head_.status_, passedHeaders(head_.headers_));
            started_ = true;
        }
        if (!scanner_.rest().empty())
            exchange_->write(scanner_.rest());
        exchange_->end();
        context_.board_.measured(context_.now() - sentAt_);
        context_.metrics_.metrics_.add(context_.metrics_.answered_);
        line("answered").with("status", head_.status_).with("afterMs", context_.now() - arrived_).with("runs", runs_).with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1);
        end();
    }

    void RelayedRequest::notExecuted()
    {
        line("notExecuted").with("status", head_.status_).with("offer", offers_);
        if (head_.status_ == misdirected)
            context_.failed(engine_, EngineFault::NotConnected, {});
        else
            context_.board_.refusedAsFull(engine_, context_.now());
        --runs_;
        leaveEngine();
        dispatch();
    }

    void RelayedRequest::onError(const http::CallFailure& failure)
    {
        if (phase_ != Phase::Sent && phase_ != Phase::Reading)
            return;
        call_ = nullptr;
        if (failure.run_ == RunState::NotRun) {
            line("notConnected").with("error", failure.code_.message()).with("offer", offers_);
            context_.failed(engine_, EngineFault::NotConnected, failure.code_);
            --runs_;
            leaveEngine();
            return dispatch();
        }
        // The head said "not executed" and only the rest of that answer was lost.
        if (rejected_)
            return notExecuted();
        context_.suspects_.lost(content(), engine_, context_.now());
        context_.failed(engine_, EngineFault::Lost, failure.code_);
        lost(failure.code_);
    }

    // The engine may have run it, and its answer is gone or can't be used.
    void RelayedRequest::lost(std::error_code error)
    {
        const bool mayGoOn = route_.isRepeatable() && runs_ < std::max(route_.maxAttempts_, 1U) && left() > Duration::zero() && (isStream() || !started_);
        line("answerLost").with("error", error.message()).with("runs", runs_).with("started", started_ ? "yes" : "no").with("goesOn", mayGoOn ? "yes" : "no").with("lastEvent", lastEvent_ ? static_cast<std::int64_t>(*lastEvent_) : -1);
        if (!ready_.empty()) {
            exchange_->write(ready_);
            ready_.clear();
        }
        leaveEngine();
        const bool wasAsked = phase_ != Phase::Picking;
        if (mayGoOn && wasAsked) {
            context_.metrics_.metrics_.add(context_.metrics_.resent_);
            return dispatch();
        }
        if (!started_)
            return fail(502, "engine.AnswerLost", "the engine's answer was lost; the request may have run", RunState::OutcomeUnknown);
        exchange_->abort();
        context_.metrics_.metrics_.add(context_.metrics_.brokenOff_);
        end();
    }

    // ---- ends

    void RelayedRequest::refuse(std::string_view reason, Duration wait)
    {
        const Duration most = std::min<Duration>(mostRetryAfter, left() / retryShare);
        const Duration rest = context_.line_->refused(service_, wait, context_.now());
        const Duration retry = std::clamp<Duration>(rest, std::min(leastRetryAfter, most), std::max(most, Duration(1ms)));
        exchange_->respond(refusal(context_.translation_, 503, "overload.NoSlot", "no engine can take the request in time; it has not run", RunState::NotRun, retry));
        context_.metrics_.metrics_.add(context_.metrics_.refused_);
        line("refused").with("reason", reason).with("status", 503).with("retryAfterMs", retry).with("afterMs", context_.now() - arrived_);
        end();
    }

    void RelayedRequest::fail(int status, std::string_view code, std::string_view message, RunState run)
    {
        exchange_->respond(refusal(context_.translation_, status, code, message, run, {}));
        context_.metrics_.metrics_.add(context_.metrics_.failed_);
        line("failed").with("status", status).with("code", code).with("afterMs", context_.now() - arrived_).with("runs", runs_);
        end();
    }

    void RelayedRequest::onTimeout()
    {
        if (phase_ == Phase::Ended)
            return;
        line("timedOut").with("runs", runs_).with("started", started_ ? "yes" : "no");
        const bool ran = mayHaveRun();
        leaveEngine();
        if (started_) {
            exchange_->abort();
            context_.metrics_.metrics_.add(context_.metrics_.brokenOff_);
            return end();
        }
        if (ran)
            return fail(504, "request.TimedOut", "no answer within the request's time; it may have run", RunState::OutcomeUnknown);
        refuse("timedOut", leastRetryAfter);
    }

    void RelayedRequest::onCallerLeft()
    {
        if (phase_ == Phase::Ended)
            return;
        line("callerLeft").with("afterMs", context_.now() - arrived_).with("started", started_ ? "yes" : "no").with("runs", runs_);
        context_.metrics_.metrics_.add(context_.metrics_.left_);
        leaveEngine();
        end();
    }

    void RelayedRequest::leaveEngine()
    {
        if (!ticket_.isNone()) {
            context_.line_->leave(ticket_);
            ticket_ = LineTicket::none();
        }
        if (engine_.isNone())
            return;
        if (call_)
            call_->cancel();
        call_ = nullptr;
        context_.board_.ended(engine_, WorkClass::Question);
        engine_ = UpstreamId::none();
        context_.line_->slotEnded();
        context_.fleet_->tell();
    }

    void RelayedRequest::end()
    {
        leaveEngine();
        phase_ = Phase::Ended;
        timer_.cancel();
        slotTimer_.cancel();
    }

} // namespace

void Relay::handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route)
{
    std::make_shared<RelayedRequest>(context_, std::move(exchange), std::move(table), route, open_)->begin();
}

} // namespace jj
