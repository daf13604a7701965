// Read once, then held-open calls; after whatever goes wrong, read again.
#include "ConfigFollower.h"

namespace jj {

ConfigFollower::ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, Applied applied, AskPeer askPeer)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , times_(times)
    , applied_(std::move(applied))
    , askPeer_(std::move(askPeer))
    , lag_(times)
{
}

void ConfigFollower::tick(TimePoint now)
{
    const bool mustRead = seen_.isNone() && (!passive_ || !hasRead_);
    if (!busy_ && now >= nextAt_ && mustRead)
        read();
    else if (!busy_ && now >= nextAt_ && !passive_)
        watch();
    if (lag_.version() > version() && lag_.mustAskAgain(passive_, now))
        askPeer_();
}

void ConfigFollower::peerHas(std::uint64_t peerVersion, TimePoint now)
{
    if (peerVersion > version() && lag_.mustAsk(peerVersion, passive_, now))
        askPeer_();
}

void ConfigFollower::again(TimePoint now)
{
    nextAt_ = now + retryAfter(times_, failures_);
    ++failures_;
    seen_ = ObjectVersion::none();
    if (version() == 0)
        askPeer_();
}

// A list, since it has a version to watch from also when there is no configuration yet; asking again and again for the first one
// cost 100 calls at the start of 84 nodes.
void ConfigFollower::read()
{
    ObjectCall call = ObjectCall::list(translation_.keys_.config_, true);
    // The first one may be some seconds old: what came since is brought by peers, or by the watch that goes on from it.
    call.stale_ = !hasRead_;
    busy_ = true;
    hasRead_ = true;
    store_.once(call, [this](const ObjectAnswer& answer) {
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return again(at);
        failures_ = 0;
        for (const ObjectEntry& entry : answer.entries_) {
            if (entry.key_ == translation_.keys_.config_)
                take(entry.value_, "store");
        }
        seen_ = answer.version_;
        nextAt_ = at;
    });
}

void ConfigFollower::watch()
{
    busy_ = true;
    store_.once(ObjectCall::changes(translation_.keys_.config_, seen_, times_.heldOpen_), [this](const ObjectAnswer& answer) {
        busy_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return again(at);
        failures_ = 0;
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put && change.key_ == translation_.keys_.config_)
                take(change.value_, "store");
        }
        seen_ = answer.version_;
        nextAt_ = at;
        if (!passive_)
            watch();
    });
}

void ConfigFollower::take(std::string_view value, std::string_view source)
{
    auto config = translation_.readConfig_(value);
    if (!config) {
        log_.line("configUnreadable").with("source", source).with("error", config.error().message());
        return;
    }
    const std::uint64_t offered = config.value().version_;
    if (offered <= version()) {
        if (offered < version())
            log_.line("configOlderDropped").with("source", source).with("version", offered).with("inForce", version());
        return;
    }
    auto table = RouteTable::create(std::move(config.value()));
    if (!table) {
        log_.line("configRefused").with("source", source).with("version", offered).with("error", table.error().message());
        return;
    }
    log_.line("configApplied").with("source", source).with("version", offered).with("before", version()).with("routes", table.value().routes().size());
    table_ = std::make_shared<const RouteTable>(std::move(table.value()));
    value_ = value;
    applied_(table_);
}

} // namespace jj
