// Chooses the route of each call by the outcomes of single tries. Every outcome other than Unavailable, OutcomeUnknown or RateLimited
// shows that the route works.
#include "StoreLink.h"

namespace jj {

namespace {

    // Returns whether the route to the store failed, rather than the call itself.
    bool isRouteError(std::error_code error)
    {
        return error == ObjectError::Unavailable || error == ObjectError::OutcomeUnknown || error == ObjectError::RateLimited;
    }

    std::string_view verbName(ObjectVerb verb)
    {
        static constexpr std::string_view names[] = { "get", "create", "update", "put", "remove", "list", "changes", "report" };
        return names[static_cast<std::size_t>(verb)];
    }

} // namespace

StoreLink::StoreLink(boost::asio::io_context& io, const StoreLinkSettings& settings, const Translation& translation, DecisionLog& log, std::uint64_t seed)
    : settings_(settings)
    , translation_(translation)
    , log_(log)
    , client_(io, { .connectTime_ = 400ms, .pooledIdle_ = 10s, .pooledPerEndpoint_ = 16, .headerBytes_ = 16 * 1024, .bodyBytes_ = 16 * 1024 * 1024 })
    , queue_(settings.queue_, seed)
    , reachableSince_(SystemClock().now())
{
}

Duration StoreLink::timeoutOf(const ObjectCall& call) const { return settings_.answerTimeout_ + call.wait_; }

// While direct calls fail, only a call without long polling tries the direct route again: a long-poll call would take too long to
// show whether the route works.
bool StoreLink::shouldSendDirect(const ObjectCall& call, TimePoint now) const
{
    return !isDirectFailing_ || (call.wait_ == Duration::zero() && now >= nextDirectTryAt_);
}

void StoreLink::send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done)
{
    auto completion = call.isWrite() ? logReadBack(call, std::move(done)) : std::move(done);
    queue_.send(std::move(call), callClass, until, std::move(completion));
    sendQueuedCalls(SystemClock().now());
}

SettledCompletion StoreLink::logReadBack(const ObjectCall& call, SettledCompletion done)
{
    return [this, verb = call.verb_, key = call.key_, done = std::move(done)](const SettledAnswer& answer, TimePoint now) {
        if (answer.isReadBack_)
            log_.line("writeReadBack").with("verb", verbName(verb)).with("key", key).with("version", answer.answer_.version_.value());
        done(answer, now);
    };
}

void StoreLink::tick(TimePoint now)
{
    if (queue_.waiting() > 0)
        sendQueuedCalls(now);
}

void StoreLink::sendQueuedCalls(TimePoint now)
{
    if (isSending_)
        return;
    isSending_ = true;
    queue_.tick(now);
    for (OutgoingCall& outgoing : queue_.take()) {
        once(outgoing.call_, [this, id = outgoing.id_](ObjectAnswer answer) {
            const TimePoint at = SystemClock().now();
            queue_.answered(id, std::move(answer), at);
            sendQueuedCalls(at);
        });
    }
    isSending_ = false;
}

void StoreLink::once(const ObjectCall& call, Completion done)
{
    const TimePoint now = SystemClock().now();
    const bool isPeerBackoffActive = now < nextPeerTryAt_;
    if (!shouldSendDirect(call, now) && !isPeerBackoffActive && peerRoute_) {
        auto completion = [this, call, done](ObjectAnswer answer) {
            recordOutcome(!isRouteError(answer.error_), false, call, answer.error_);
            done(std::move(answer));
        };
        if (peerRoute_(call, timeoutOf(call) + settings_.answerTimeout_ / 2, std::move(completion))) {
            ++counts_.viaPeers_;
            return;
        }
    }
    if (isDirectFailing_)
        nextDirectTryAt_ = now + settings_.directRetryInterval_;
    sendDirect(call, std::move(done));
}

void StoreLink::sendDirect(const ObjectCall& call, Completion done)
{
    ++counts_.direct_;
    ++callCounts_[std::string(verbName(call.verb_)).append(" ").append(call.key_.substr(0, call.key_.find('/')))];
    http::CallOptions options;
    options.idle_ = timeoutOf(call);
    options.total_ = options.idle_ + settings_.transferTime_;
    client_.fetch(settings_.store_, translation_.buildStoreRequest_(call), options, [this, call, done = std::move(done)](const Result<http::Response>& response, RunState run) {
        // A connection that made no progress may be broken, and so may the other pooled connections.
        if (!response && response.error() == http::Error::NoProgress)
            client_.dropPooled(settings_.store_);
        ObjectAnswer answer = translation_.parseStoreAnswer_(call, response, run);
        recordOutcome(!isRouteError(answer.error_), true, call, response ? answer.error_ : response.error());
        if (answer.unreadable_ > 0)
            log_.line("storeEntriesUnreadable").with("verb", verbName(call.verb_)).with("key", call.key_).with("count", answer.unreadable_).with("version", answer.version_.value());
        done(std::move(answer));
    });
}

void StoreLink::recordOutcome(bool answered, bool wasDirect, const ObjectCall& call, std::error_code error)
{
    const TimePoint now = SystemClock().now();
    if (answered) {
        if (wasDirect && isDirectFailing_)
            log_.line("storeRegained").with("way", "direct");
        if (wasDirect)
            isDirectFailing_ = false;
        peerFailures_ = 0;
        if (isUnreachable_) {
            reachableSince_ = now;
            log_.line("storeBack").with("way", wasDirect ? "direct" : "peer");
        }
        isUnreachable_ = false;
        return;
    }
    ++counts_.failed_;
    if (wasDirect) {
        if (!isDirectFailing_)
            log_.line("storeLost").with("way", "direct").with("verb", verbName(call.verb_)).with("key", call.key_).with("error", error.message());
        isDirectFailing_ = true;
        nextDirectTryAt_ = std::max(nextDirectTryAt_, now + settings_.directRetryInterval_);
        if (!peerRoute_ || now < nextPeerTryAt_)
            isUnreachable_ = true;
        return;
    }
    if (++peerFailures_ < settings_.maxPeerFailures_)
        return;
    if (!isUnreachable_)
        log_.line("storeLost").with("way", "peers").with("verb", verbName(call.verb_)).with("error", error.message());
    isUnreachable_ = true;
    peerFailures_ = 0;
    nextPeerTryAt_ = now + settings_.peerBackoff_;
    nextDirectTryAt_ = now;
}

} // namespace jj
