// Chooses the route of each call by the outcomes of single tries. Every outcome other than Unavailable, OutcomeUnknown or RateLimited
// shows that the route works.
#include "StoreLink.h"

namespace jj {

namespace {

    // Returns whether the route to the store failed, rather than the call itself.
    bool isWayError(std::error_code error)
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
    , backSince_(SystemClock().now())
{
}

Duration StoreLink::boundOf(const ObjectCall& call) const { return settings_.answerBound_ + call.wait_; }

// While direct calls fail, only a call without long polling tries the direct route again: a long-poll call would take too long to
// show whether the route works.
bool StoreLink::goesDirect(const ObjectCall& call, TimePoint now) const
{
    return !directFails_ || (call.wait_ == Duration::zero() && now >= directAgainAt_);
}

void StoreLink::send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done)
{
    queue_.send(std::move(call), callClass, until, std::move(done));
    pump(SystemClock().now());
}

void StoreLink::tick(TimePoint now)
{
    if (queue_.waiting() > 0)
        pump(now);
}

void StoreLink::pump(TimePoint now)
{
    if (pumping_)
        return;
    pumping_ = true;
    queue_.tick(now);
    for (OutgoingCall& outgoing : queue_.take()) {
        once(outgoing.call_, [this, id = outgoing.id_](ObjectAnswer answer) {
            const TimePoint at = SystemClock().now();
            queue_.answered(id, std::move(answer), at);
            pump(at);
        });
    }
    pumping_ = false;
}

void StoreLink::once(const ObjectCall& call, Completion done)
{
    const TimePoint now = SystemClock().now();
    const bool peersRest = now < peersAgainAt_;
    if (!goesDirect(call, now) && !peersRest && peers_) {
        auto completion = [this, call, done](ObjectAnswer answer) {
            learned(!isWayError(answer.error_), false, call, answer.error_);
            done(std::move(answer));
        };
        if (peers_(call, boundOf(call) + settings_.answerBound_ / 2, std::move(completion))) {
            ++counts_.viaPeers_;
            return;
        }
    }
    if (directFails_)
        directAgainAt_ = now + settings_.directEvery_;
    direct(call, std::move(done));
}

void StoreLink::direct(const ObjectCall& call, Completion done)
{
    ++counts_.direct_;
    ++callCounts_[std::string(verbName(call.verb_)).append(" ").append(call.key_.substr(0, call.key_.find('/')))];
    http::CallOptions options;
    options.idle_ = boundOf(call);
    client_.fetch(settings_.store_, translation_.writeStoreCall_(call), options, [this, call, done = std::move(done)](const Result<http::Response>& response, RunState run) {
        // A connection that made no progress may be broken, and so may the other pooled connections.
        if (!response && response.error() == http::Error::NoProgress)
            client_.dropPooled(settings_.store_);
        ObjectAnswer answer = translation_.readStoreAnswer_(call, response, run);
        learned(!isWayError(answer.error_), true, call, response ? answer.error_ : response.error());
        done(std::move(answer));
    });
}

void StoreLink::learned(bool answered, bool wasDirect, const ObjectCall& call, std::error_code error)
{
    const TimePoint now = SystemClock().now();
    if (answered) {
        if (wasDirect && directFails_)
            log_.line("storeRegained").with("way", "direct");
        if (wasDirect)
            directFails_ = false;
        peersFailed_ = 0;
        if (away_) {
            backSince_ = now;
            log_.line("storeBack").with("way", wasDirect ? "direct" : "peer");
        }
        away_ = false;
        return;
    }
    ++counts_.failed_;
    if (wasDirect) {
        if (!directFails_)
            log_.line("storeLost").with("way", "direct").with("verb", verbName(call.verb_)).with("key", call.key_).with("error", error.message());
        directFails_ = true;
        directAgainAt_ = std::max(directAgainAt_, now + settings_.directEvery_);
        if (!peers_ || now < peersAgainAt_)
            away_ = true;
        return;
    }
    if (++peersFailed_ < settings_.peersTried_)
        return;
    if (!away_)
        log_.line("storeLost").with("way", "peers").with("verb", verbName(call.verb_)).with("error", error.message());
    away_ = true;
    peersFailed_ = 0;
    peersAgainAt_ = now + settings_.peersPause_;
    directAgainAt_ = now;
}

} // namespace jj
