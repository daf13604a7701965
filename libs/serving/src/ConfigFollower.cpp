// Reads the configuration once; a watcher then long-polls for changes, and reads the configuration again after any failure.
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

// Lists the configuration's key instead of getting it: a list returns a version to watch from even when no configuration exists
// yet. Polling for the first configuration cost 100 calls when 84 nodes started.
void ConfigFollower::read()
{
    ObjectCall call = ObjectCall::list(translation_.keys_.config_, true);
    // The first answer may be some seconds old: newer changes arrive from peers, or from the watch that continues at the answer's
    // version.
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
