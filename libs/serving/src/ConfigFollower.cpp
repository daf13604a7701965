// Reads the configuration once; a watcher then long-polls for changes, and reads the configuration again after any failure.
#include "ConfigFollower.h"

#include "ConfigCodec.h"

namespace jj {

ConfigFollower::ConfigFollower(StoreLink& store, const Translation& translation, DecisionLog& log, FollowerTimes times, OnApplied onApplied, RequestFromPeer requestFromPeer)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , times_(times)
    , onApplied_(std::move(onApplied))
    , requestFromPeer_(std::move(requestFromPeer))
    , lag_(times)
{
}

void ConfigFollower::tick(TimePoint now)
{
    const bool needsRead = followedVersion_.isNone() && (!isPassive_ || !hasRead_);
    if (!isCallInFlight_ && now >= nextCallAt_ && needsRead)
        read();
    else if (!isCallInFlight_ && now >= nextCallAt_ && !isPassive_)
        watch();
    if (lag_.version() > version() && lag_.mustRequest(isPassive_, now))
        requestFromPeer_();
}

void ConfigFollower::onPeerVersion(std::uint64_t peerVersion, TimePoint now)
{
    if (peerVersion > version() && lag_.recordPeerVersion(peerVersion, isPassive_, now))
        requestFromPeer_();
}

void ConfigFollower::scheduleRetry(TimePoint now)
{
    nextCallAt_ = now + retryDelay(times_, failures_);
    ++failures_;
    followedVersion_ = ObjectVersion::none();
    if (version() == 0)
        requestFromPeer_();
}

// Lists the configuration's key instead of getting it: a list returns a version to watch from even when no configuration exists
// yet. Polling for the first configuration cost 100 calls when 84 nodes started.
void ConfigFollower::read()
{
    ObjectCall call = ObjectCall::list(translation_.keys_.config_, true);
    // The first answer may be some seconds old: newer changes arrive from peers, or from the watch that continues at the answer's
    // version.
    call.stale_ = !hasRead_;
    isCallInFlight_ = true;
    hasRead_ = true;
    store_.once(call, [this](const ObjectAnswer& answer) {
        isCallInFlight_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return scheduleRetry(at);
        failures_ = 0;
        for (const ObjectEntry& entry : answer.entries_) {
            if (entry.key_ == translation_.keys_.config_)
                applyStored(entry.value_);
        }
        followedVersion_ = answer.version_;
        nextCallAt_ = at;
    });
}

void ConfigFollower::watch()
{
    isCallInFlight_ = true;
    store_.once(ObjectCall::changes(translation_.keys_.config_, followedVersion_, times_.longPollTime_), [this](const ObjectAnswer& answer) {
        isCallInFlight_ = false;
        const TimePoint at = SystemClock().now();
        if (!answer.ok())
            return scheduleRetry(at);
        failures_ = 0;
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put && change.key_ == translation_.keys_.config_)
                applyStored(change.value_);
        }
        followedVersion_ = answer.version_;
        nextCallAt_ = at;
        if (!isPassive_)
            watch();
    });
}

void ConfigFollower::applyStored(std::string_view value) { apply(translation_.parseConfig_(value), "store"); }

void ConfigFollower::applyUpdate(std::string_view encodedConfig)
{
    auto config = decodeConfig(encodedConfig);
    apply(config ? Checked<RouteConfig>(std::move(config.value())) : Checked<RouteConfig>(Failure { config.error(), {} }), "peer");
}

void ConfigFollower::apply(Checked<RouteConfig> config, std::string_view source)
{
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
    encoded_ = encode(table_->config());
    onApplied_(table_);
}

} // namespace jj
