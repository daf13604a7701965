// The home's side of requests: taking them over, running them on engines and plain services, passing answers back.
#include "RequestPlane.h"

#include "RequestState.h"
#include "Translate.h"
#include "gateway/ChatCall.h"
#include "http/Client.h"

#include <limits>

namespace jj {

namespace {

    constexpr Duration probeBound = 1s;
    constexpr std::int64_t noSlackMs = std::numeric_limits<std::int64_t>::max();

    std::string streamName(const AttemptId& attempt)
    {
        return idText(attempt.request_.value()) + "-" + std::to_string(attempt.handOver_) + "-" + std::to_string(attempt.number_);
    }

} // namespace

std::shared_ptr<RequestPlane::Run> RequestPlane::run(const RunKey& key) const
{
    const std::lock_guard lock(lock_);
    const auto found = runs_.find(key);
    return found == runs_.end() ? nullptr : found->second;
}

std::shared_ptr<RequestPlane::Run> RequestPlane::takeRun(const RunKey& key)
{
    const std::lock_guard lock(lock_);
    const auto found = runs_.find(key);
    if (found == runs_.end())
        return nullptr;
    std::shared_ptr<Run> run = std::move(found->second);
    runs_.erase(found);
    return run;
}

// Nobody waits for the run any more. Its stream is closed here and not left to the decisions' CancelAttempt, which would find
// no run: the stream would go on to its end in a slot that nobody reads.
bool RequestPlane::dropRun(const RunKey& key)
{
    const auto run = takeRun(key);
    if (!run)
        return false;
    std::shared_ptr<EngineStream> stream;
    {
        const std::lock_guard lock(run->lock_);
        run->attempt_ = {};
        stream = std::move(run->stream_);
    }
    if (stream)
        stream->cancel();
    return true;
}

void RequestPlane::accept(const RequestStart& start, NodeId entry)
{
    auto run = std::make_shared<Run>();
    run->key_ = { start.key_.request_, start.key_.attempt_ };
    run->entry_ = entry;
    run->entryIncarnation_ = start.key_.incarnation_;
    run->start_ = start;
    run->position_ = static_cast<std::uint32_t>(start.resumePosition_);
    if (start.startWithinMs_ > 0)
        run->startBefore_ = SystemClock().now() + std::chrono::milliseconds(start.startWithinMs_);
    HandedOver event;
    event.spec_ = specOf(start, SystemClock().now());
    event.number_ = start.key_.attempt_;
    event.entry_ = entry;
    event.upstream_ = start.upstream_;
    event.position_ = run->position_;
    event.slack_ = start.slackMs_ == noSlackMs ? Duration::max() : Duration(std::chrono::milliseconds(start.slackMs_));
    {
        const std::lock_guard lock(lock_);
        runs_[run->key_] = run;
    }
    feed_(event);
}

void RequestPlane::perform(const Dispatch& command)
{
    const auto run = this->run({ command.attempt_.request_, command.attempt_.handOver_ });
    if (!run)
        return;
    if (refuseLateStart(*run, command))
        return;
    const auto view = view_.current();
    const UpstreamPlace* place = view ? view->upstream(command.upstream_) : nullptr;
    if (!place) {
        feed_(AttemptFailed { command.attempt_, FailureClass::Connect, false, command.position_ });
        return;
    }
    EventDetail detail;
    detail.attempt_ = static_cast<std::int32_t>(command.attempt_.number_);
    detail.position_ = static_cast<std::int32_t>(command.position_);
    record(command.position_ > 0 ? EventKind::StreamResumed : EventKind::AttemptSent, command.attempt_.request_, command.upstream_, std::move(detail));
    if (run->start_.kind_ == RequestKind::PlainCall)
        startPlain(run, command, *place);
    else
        startEngine(run, command, *place);
}

// The failure this meets: an item waits at another node's home while its holder loses the lease; the job is cancelled, the cancel is
// acknowledged since the lease ran out, and then the item starts. The holder's validity travels with the item as time left, and the
// home begins nothing after it, whether or not it hears of the holder again.
//
// The home's decisions hear of it as a failed attempt, since they count the item as running. Reported as the caller's cancel it got lost
// where entry and home are one node: the slot stayed taken until the silence bound, then the engine's circuit opened, and a job of
// 1,000 items stood still for 5 s of every 6.
bool RequestPlane::refuseLateStart(const Run& run, const Dispatch& command)
{
    if (SystemClock().now() < run.startBefore_)
        return false;
    feed_(AttemptFailed { command.attempt_, FailureClass::Lapsed, false, command.position_ });
    return true;
}

void RequestPlane::startEngine(const std::shared_ptr<Run>& run, const Dispatch& command, const UpstreamPlace& place)
{
    const auto view = view_.current();
    const ServiceConfig* service = view->service(run->start_.service_);
    EngineStreamRequest request;
    request.streamId_ = streamName(command.attempt_);
    request.body_ = engineBody(run->start_.body_, command.position_);
    // What may run once could go on nowhere else: its home ends it at its deadline.
    if (!run->start_.repeatable_)
        request.idle_ = std::chrono::milliseconds(run->start_.remainingMs_);
    else if (service)
        request.idle_ = service->noProgressWithin_;
    const AttemptId attempt = command.attempt_;
    const UpstreamId upstream = command.upstream_;
    EngineStreamHandlers handlers;
    handlers.onTokens_ = [this, run, attempt](std::uint32_t position, std::uint32_t count, std::string_view text) { tokens(*run, attempt, position, count, text); };
    handlers.onEnd_ = [this, run, attempt] { feed_(AttemptFinished { attempt, run->position_ }); };
    handlers.onFailure_ = [this, run, attempt, upstream](EngineFailure failure, bool sent, std::string_view) {
        record(EventKind::AttemptFailed, attempt.request_, upstream);
        feed_(AttemptFailed { attempt, failureOf(failure), sent, run->position_ });
    };
    const std::lock_guard lock(run->lock_);
    run->attempt_ = attempt;
    run->position_ = command.position_;
    run->stream_ = EngineStream::start(client_, place.endpoint_, std::move(request), std::move(handlers));
}

void RequestPlane::tokens(Run& run, const AttemptId& attempt, std::uint32_t position, std::uint32_t count, std::string_view text)
{
    {
        const std::lock_guard lock(run.lock_);
        if (run.attempt_ != attempt)
            return dropLate(attempt.request_);
        run.position_ = position;
    }
    if (run.entry_ == self_) {
        entryTokens(run.key_, position, count, text);
    } else {
        AttemptKey key { run.key_.request_, run.key_.number_, run.entryIncarnation_ };
        (void)links_->send(run.entry_, StreamData { key, position - count, count, std::string(text) });
    }
    const std::lock_guard lock(lock_);
    progress_[attempt.request_] = { attempt, position };
}

std::optional<AttemptsProgressed> RequestPlane::takeProgress()
{
    const std::lock_guard lock(lock_);
    if (progress_.empty())
        return std::nullopt;
    AttemptsProgressed event;
    event.progress_.reserve(progress_.size());
    for (const auto& [request, progress] : progress_)
        event.progress_.push_back(progress);
    progress_.clear();
    return event;
}

void RequestPlane::startPlain(const std::shared_ptr<Run>& run, const Dispatch& command, const UpstreamPlace& place)
{
    http::Request request { run->start_.method_, run->start_.path_, {}, run->start_.body_ };
    if (!run->start_.contentType_.empty())
        request.headers_.add("Content-Type", run->start_.contentType_);
    if (!run->start_.idempotencyKey_.empty())
        request.headers_.add("Idempotency-Key", run->start_.idempotencyKey_);
    http::CallOptions options;
    options.idle_ = std::chrono::milliseconds(run->start_.remainingMs_);
    // A pooled connection may be half dead; for a call that may not be repeated that would end as outcomeUnknown for nothing.
    options.fresh_ = !run->start_.repeatable_;
    const AttemptId attempt = command.attempt_;
    const UpstreamId upstream = command.upstream_;
    {
        const std::lock_guard lock(run->lock_);
        run->attempt_ = attempt;
    }
    client_.fetch(place.endpoint_, request, options, [this, run, attempt, upstream](const Result<http::Response>& response, RunState state) {
        if (response)
            return plainAnswer(*run, attempt, response.value().status_, response.value().headers_.find("Content-Type"), response.value().body_);
        record(EventKind::AttemptFailed, attempt.request_, upstream);
        const bool sent = state != RunState::NotRun;
        const FailureClass failure = !sent ? FailureClass::Connect : response.error() == http::Error::NoProgress ? FailureClass::Silent
                                                                                                                 : FailureClass::Disconnected;
        feed_(AttemptFailed { attempt, failure, sent, 0 });
    });
}

void RequestPlane::plainAnswer(Run& run, const AttemptId& attempt, int status, std::string_view contentType, std::string_view body)
{
    {
        const std::lock_guard lock(run.lock_);
        if (run.attempt_ != attempt)
            return dropLate(attempt.request_);
    }
    const auto bytes = static_cast<std::uint32_t>(body.size());
    if (run.entry_ == self_) {
        entryHead(run.key_, status, contentType);
        if (bytes > 0)
            entryTokens(run.key_, bytes, bytes, body);
    } else {
        AttemptKey key { run.key_.request_, run.key_.number_, run.entryIncarnation_ };
        (void)links_->send(run.entry_, StreamHead { key, static_cast<std::uint16_t>(status), std::string(contentType) });
        if (bytes > 0)
            (void)links_->send(run.entry_, StreamData { key, 0, bytes, std::string(body) });
    }
    feed_(AttemptFinished { attempt, bytes });
}

void RequestPlane::perform(const CancelAttempt& command)
{
    const auto run = this->run({ command.attempt_.request_, command.attempt_.handOver_ });
    std::shared_ptr<EngineStream> stream;
    if (run) {
        const std::lock_guard lock(run->lock_);
        if (run->attempt_ != command.attempt_)
            return;
        run->attempt_ = {};
        stream = std::move(run->stream_);
    }
    if (command.reason_ == CancelReason::Yield)
        record(EventKind::StreamYielded, command.attempt_.request_, command.upstream_);
    if (stream)
        stream->cancel();
}

void RequestPlane::perform(const HandBack& command)
{
    const auto run = takeRun(command.handedBack_.handOver_);
    if (command.entry_ == self_)
        return feed_(command.handedBack_);
    if (!run)
        return;
    AttemptKey key { run->key_.request_, run->key_.number_, run->entryIncarnation_ };
    (void)links_->send(command.entry_, toWire(command.handedBack_, key));
}

void RequestPlane::perform(const ProbeUpstream& command)
{
    const auto view = view_.current();
    const UpstreamPlace* place = view ? view->upstream(command.upstream_) : nullptr;
    if (!place) {
        feed_(ProbeEnded { command.upstream_, false });
        return;
    }
    client_.probe(place->endpoint_, "/healthz", probeBound, [this, upstream = command.upstream_](bool alive) { feed_(ProbeEnded { upstream, alive }); });
}

} // namespace jj
