// Watching, hearing, fetching and applying configuration versions.
#include "follower/FollowerCore.h"

#include "membership/Members.h"

#include <algorithm>
#include <utility>

namespace jj {

namespace {

    // Stands for the duty "watches the configuration" in the rendezvous hash.
    constexpr UpstreamId watchDuty { 0x636f6e666967 };

} // namespace

FollowerCore::FollowerCore(NodeId self, RegionId region, const FollowerSettings& settings, TimePoint now, std::uint64_t seed)
    : self_(self)
    , region_(region)
    , settings_(settings)
    , random_(seed)
    , now_(now)
    , nextFetch_(now + settings.startGrace_)
    , backoff_(settings.firstBackoff_)
{
}

void FollowerCore::handle(const FollowerEvent& event, TimePoint now)
{
    noteClock(now);
    std::visit([this](const auto& concrete) { on(concrete); }, event);
}

std::vector<FollowerCommand> FollowerCore::takeCommands() { return std::exchange(commands_, {}); }

// A node that wakes after an hour holds a configuration that may be long replaced, and a watch whose connection may be dead.
// It stays on what it has, counts as not ready, and asks anew.
void FollowerCore::noteClock(TimePoint now)
{
    const Duration gap = now - now_;
    now_ = std::max(now, now_);
    if (gap <= settings_.pauseBound_)
        return;
    confirmed_ = false;
    fetching_ = FetchId::none();
    watchFrom_ = ObjectVersion::none();
    endWatch();
    fetchSoon(Duration::zero());
}

void FollowerCore::tick(TimePoint now)
{
    noteClock(now);
    if (watching_ && now_ - watchHeard_ > settings_.watchSilence_)
        endWatch();
    if (watcher_ && !watching_ && !watchFrom_.isNone() && now_ >= watchAgain_)
        openWatch();
    if (!fetching_.isNone() && now_ >= fetchEnds_)
        on(Fetched { fetching_, {}, {}, {} });
    if (fetching_.isNone() && want() != Want::Nothing && now_ >= nextFetch_)
        fetch();
}

void FollowerCore::reject(ConfigVersion version)
{
    ++rejected_;
    rejectedVersion_ = version;
    if (applied_ != version)
        return;
    applied_ = previous_;
    value_ = previousValue_;
}

void FollowerCore::on(const LiveNodes& event)
{
    live_ = event.nodes_;
    std::vector<HomeCandidate> own;
    std::copy_if(live_.begin(), live_.end(), std::back_inserter(own), [this](const HomeCandidate& node) { return node.region_ == region_; });
    Homes homes;
    homes.rebuild(own);
    const std::vector<NodeId> watchers = homes.successors(watchDuty, region_, settings_.watchers_);
    watcher_ = std::find(watchers.begin(), watchers.end(), self_) != watchers.end();
    if (!watcher_) {
        endWatch();
        watchFrom_ = ObjectVersion::none();
    }
}

void FollowerCore::on(const VersionHeard& event)
{
    const bool newer = isLater(event.version_, seen_);
    see(event.version_);
    if (event.version_ == seen_ && event.sourceApplies_)
        source_ = event.source_;
    if (newer && isLater(seen_, applied_))
        fetchSoon(Duration::zero());
}

void FollowerCore::on(const WatchTold& event)
{
    if (!watching_)
        return;
    watchHeard_ = now_;
    backoff_ = settings_.firstBackoff_;
    // A doubled or delayed change doesn't move the position back.
    if (watchFrom_.isNone() || event.version_ > watchFrom_)
        watchFrom_ = event.version_;
    if (!event.isBookmark_)
        offer(ConfigVersion(event.version_.value()), event.value_);
}

void FollowerCore::on(const WatchEnded& event)
{
    if (!watching_)
        return;
    watching_ = false;
    watchAgain_ = now_ + backoff_;
    backoff_ = std::min(2 * backoff_, settings_.longestBackoff_);
    // Only a read tells what stands, and from where to watch on.
    if (event.expired_)
        watchFrom_ = ObjectVersion::none();
}

void FollowerCore::on(const Fetched& event)
{
    if (event.fetch_ != fetching_ || fetching_.isNone())
        return;
    fetching_ = FetchId::none();
    if (!event.storeVersion_.isNone())
        watchFrom_ = event.storeVersion_;
    if (event.version_.isNone()) {
        source_ = NodeId::none();
        const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count()));
        fetchSoon(backoff_ / 2 + Duration(jitter));
        backoff_ = std::min(2 * backoff_, settings_.longestBackoff_);
        return;
    }
    offer(event.version_, event.value_);
    backoff_ = settings_.firstBackoff_;
    // An older value than one that was seen is no answer.
    if (want() != Want::Nothing)
        fetchSoon(backoff_);
}

void FollowerCore::on(const ConfigWritten& event) { offer(event.version_, event.value_); }

void FollowerCore::see(ConfigVersion version)
{
    if (isLater(version, seen_)) {
        seen_ = version;
        source_ = NodeId::none();
    }
}

void FollowerCore::offer(ConfigVersion version, std::string value)
{
    see(version);
    if (version != seen_)
        return;
    confirmed_ = true;
    if (!isLater(version, applied_) || version == rejectedVersion_)
        return;
    previous_ = std::exchange(applied_, version);
    previousValue_ = std::exchange(value_, value);
    commands_.emplace_back(ApplyConfig { version, std::move(value) });
}

FollowerCore::Want FollowerCore::want() const
{
    if (isLater(seen_, applied_) && seen_ != rejectedVersion_)
        return Want::Newer;
    if (watcher_ && watchFrom_.isNone())
        return Want::Position;
    return confirmed_ ? Want::Nothing : Want::Confirmation;
}

void FollowerCore::fetchSoon(Duration delay) { nextFetch_ = now_ + delay; }

// The peer that reported the version first; otherwise store and peers in turn, so that an outage of the store or silent peers
// alone don't keep a node back.
void FollowerCore::fetch()
{
    if (want() == Want::Position) {
        startFetch(true);
        return;
    }
    if (!source_.isNone()) {
        startFetch(false);
        return;
    }
    startFetch(fetchFromStore_);
    fetchFromStore_ = !fetchFromStore_;
}

void FollowerCore::startFetch(bool fromStore)
{
    const NodeId peer = source_.isNone() ? anyPeer() : source_;
    fetching_ = FetchId(++fetches_);
    fetchEnds_ = now_ + settings_.fetchTimeout_;
    if (!fromStore && !peer.isNone()) {
        commands_.emplace_back(AskPeer { fetching_, peer, seen_ });
        return;
    }
    ++storeReads_;
    commands_.emplace_back(ReadStore { fetching_ });
}

void FollowerCore::openWatch()
{
    watching_ = true;
    watchHeard_ = now_;
    commands_.emplace_back(OpenWatch { watchFrom_ });
}

void FollowerCore::endWatch()
{
    if (!watching_)
        return;
    watching_ = false;
    watchAgain_ = now_;
    commands_.emplace_back(CloseWatch {});
}

NodeId FollowerCore::anyPeer()
{
    std::vector<NodeId> peers;
    for (const HomeCandidate& node : live_) {
        if (node.node_ != self_ && node.region_ == region_)
            peers.push_back(node.node_);
    }
    return peers.empty() ? NodeId::none() : peers[random_() % peers.size()];
}

} // namespace jj
