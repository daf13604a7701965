// From a request's arrival to the engine that gets it: picks, waiting in line, sending.
#include "RelayedRequest.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>

namespace jj {

namespace {

    // Engines that a request is offered to in vain (refused, not connected) before it is refused: each costs a round trip, and by
    // the fourth the counts that led there are wrong anyhow.
    constexpr std::size_t mostOffers = 4;
    // A stream that may go on elsewhere does so when its engine was silent for so long: several times the longest step of a full
    // engine, and well before its caller gives up.
    constexpr Duration resumableSilence = 1200ms;
    // An engine's first event takes some 25 ms; one that hasn't come after twice that waits for a slot.
    constexpr Duration slotAskStep = 50ms;
    constexpr std::size_t mostSlotAsks = 4;
    // A question stays in line for so many times its objective: a late answer serves its caller better than coming back later still.
    constexpr int keepTargets = 4;
    // Of a caller that doesn't say how long it waits.
    constexpr Duration defaultDeadline = 30s;

    Duration deadlineOf(const http::Request& request, const HeaderNames& names)
    {
        const std::string_view text = request.headers_.find(names.timeLeft_);
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (text.empty() || error != std::errc() || milliseconds < 0)
            return defaultDeadline;
        return std::chrono::milliseconds(milliseconds);
    }

} // namespace

DecisionLog::Line RelayedRequest::line(std::string_view event)
{
    DecisionLog::Line entry = context_.log_.line(event);
    entry.with("request", id_).with("route", route_.name_);
    return entry;
}

void RelayedRequest::begin()
{
    const http::Request& request = exchange_->request();
    id_ = request.headers_.find(context_.translation_.headers_.attemptId_);
    const Duration patience = deadlineOf(request, context_.translation_.headers_);
    deadline_ = arrived_ + std::min(patience, route_.timeout_);
    hasReturned_ = context_.queue_->hasReturned(route_.name_, patience, arrived_);
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
    if (offers_ < mostOffers && enqueue(bound))
        return;
    pick.wait_ = std::max(pick.wait_, context_.board_.queueWait(service_, now));
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

// Callers leave a stream that gives nothing for seconds; well before, one that is late anyhow is refused with a time to come back. One that goes on after
// a lost engine waits anew: its caller has the first part, and to cut it for want of a slot would waste that.
TimePoint RelayedRequest::keepUntil() const
{
    const TimePoint from = started_ || mayHaveRun() ? context_.now() : arrived_;
    return std::min(from + route_.targetLatency_ * keepTargets, deadline_ - leastRetryAfter);
}

bool RelayedRequest::enqueue(Duration bound)
{
    const TimePoint now = context_.now();
    const bool isWorthIt = hasReturned_ || context_.board_.isQueueInTime(service_, bound, now);
    if (!isWorthIt || now >= keepUntil())
        return false;
    phase_ = Phase::Waiting;
    SlotQueue::Waiter waiter;
    waiter.service_ = service_;
    waiter.repeatable_ = route_.isRepeatable();
    waiter.tried_ = tried_;
    waiter.inTimeUntil_ = now + bound - context_.board_.settings().firstEvent_;
    waiter.keepUntil_ = keepUntil();
    waiter.take_ = [self = shared_from_this()](const EnginePick& pick) {
        self->ticket_ = QueueTicket::none();
        self->send(pick);
    };
    waiter.giveUp_ = [self = shared_from_this()] {
        self->ticket_ = QueueTicket::none();
        self->giveUpWaiting();
    };
    ticket_ = context_.queue_->enter(std::move(waiter));
    line("linedUp").with("waiting", context_.board_.waiting(service_)).with("waitMs", context_.board_.queueWait(service_, now));
    context_.queue_->mayHaveRoom();
    return true;
}

void RelayedRequest::giveUpWaiting()
{
    phase_ = Phase::Picking;
    if (started_ || mayHaveRun())
        return lost(http::Error::ConnectFailed);
    refuse("noSlotCame", context_.board_.queueWait(service_, context_.now()));
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
    context_.fleet_->publishReport();

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

Fingerprint RelayedRequest::content() const
{
    const http::Request& request = exchange_->request();
    return CrashSuspects::fingerprintOf(request.headers_.find("Host"), request.target_, request.body_);
}

bool RelayedRequest::crashesEngines() const { return !context_.suspects_.blocksNothing() && context_.suspects_.isBlocked(content(), context_.now()); }

} // namespace jj
