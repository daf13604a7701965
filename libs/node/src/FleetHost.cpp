// One turn: events into both cores, then their commands until there are none.
#include "FleetHost.h"

#include "Translate.h"
#include "base/Hash.h"
#include "objects/ObjectApi.h"
#include "settings/FleetConfig.h"

#include <algorithm>
#include <boost/json.hpp>

namespace jj {

namespace {

    constexpr Duration tickPeriod = 20ms;
    // The status lists all members, so putting it together each tick would cost an idle node most of its time.
    constexpr Duration statusPeriod = 100ms;
    // Until a region's size is known, each node takes this part of the link between regions.
    constexpr std::uint64_t linkShares = 8;
    constexpr Duration quarantineTime = std::chrono::hours(1);

    // Rendezvous weight of a node for a partition, as for homes of engines.
    std::uint64_t weightOf(PartitionId partition, NodeId node) { return mixHash(partition.value() + 1, node.value()); }

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Dead:
            return "dead";
        case MemberState::Left:
            return "left";
        }
        return "unknown";
    }

} // namespace

FleetHost::FleetHost(Runtime& runtime, const FleetHostSettings& settings, const WireKey& key, ObjectClient& store, FleetViewBoard& view, EventWriter* events, FleetOutlets outlets)
    : runtime_(runtime)
    , settings_(settings)
    , store_(store)
    , view_(view)
    , events_(events)
    , outlets_(std::move(outlets))
    , codec_(key, nodeIdOf(settings.listen_))
    , membership_({ settings.listen_, settings.region_, settings.failureDomain_ }, settings.membership_, runtime.now(), SystemClock().wallNow(), nodeIdOf(settings.listen_).value())
    , follower_(nodeIdOf(settings.listen_), settings.region_, FollowerSettings(), runtime.now(), nodeIdOf(settings.listen_).value())
    , firstIncarnation_(membership_.incarnation())
    , now_(runtime.now())
{
}

void FleetHost::start()
{
    actor_ = runtime_.spawn(tickPeriod, [this](TimePoint now) { onTick(now); });
    actor_.post([this](TimePoint now) {
        HostsListed listed;
        for (const PeerAddress& seed : settings_.seeds_) {
            if (seed != settings_.listen_)
                listed.hosts_.push_back({ seed, {}, settings_.region_, false });
        }
        membership_.handle(listed, now, SystemClock().wallNow());
        outlets_.feed_(NodeChanged { membership_.node(), settings_.region_, NodeState::Live });
        runCommands(now);
    });
}

void FleetHost::onTick(TimePoint now)
{
    membership_.tick(now, SystemClock().wallNow());
    follower_.tick(now);
    runCommands(now);
    if (homesDirty_)
        rebuildHomes();
    runCommands(now);
    if (now - published_ < statusPeriod)
        return;
    published_ = now;
    publishStatus();
    // A node without updates would otherwise keep its last events to itself, and lose them when it is killed.
    if (events_)
        events_->flushIfDue(SystemClock().wallNow());
}

void FleetHost::runCommands(TimePoint now)
{
    now_ = now;
    for (;;) {
        const auto memberCommands = membership_.takeCommands();
        const auto followCommands = follower_.takeCommands();
        if (memberCommands.empty() && followCommands.empty())
            return;
        for (const MembershipCommand& command : memberCommands)
            std::visit([this](const auto& one) { perform(one); }, command);
        for (const FollowerCommand& command : followCommands)
            std::visit([this](const auto& one) { perform(one); }, command);
    }
}

void FleetHost::record(EventKind kind, NodeId peer, ObjectVersion version)
{
    if (!events_)
        return;
    TimelineEvent event;
    event.kind_ = kind;
    event.detail_.peer_ = peer;
    event.detail_.version_ = version;
    events_->write(std::move(event), SystemClock().wallNow());
}

void FleetHost::onDatagram(std::string_view bytes)
{
    actor_.post([this, bytes = std::string(bytes)](TimePoint now) {
        const auto datagram = codec_.decode(bytes);
        const WallTime wall = SystemClock().wallNow();
        if (datagram)
            membership_.handle(DatagramReceived { datagram.value().sender_, datagram.value().incarnation_, datagram.value().message_ }, now, wall);
        else if (datagram.error() == WireError::StaleIncarnation)
            membership_.handle(StaleDatagram { codec_.staleSender() }, now, wall);
        runCommands(now);
    });
}

// ---- membership's commands

void FleetHost::perform(const SendDatagram& command)
{
    auto bytes = codec_.encode(command.target_, command.selfIncarnation_, command.message_);
    if (bytes)
        outlets_.sendDatagram_(command.endpoint_, std::move(bytes.value()));
    else
        log_.warn("datagramNotSent", { { "error", bytes.error().message() } });
}

void FleetHost::perform(const MemberChanged& command)
{
    const MemberRumor& member = command.member_;
    const bool gone = member.state_ == MemberState::Dead || member.state_ == MemberState::Left;
    const NodeState state = gone ? NodeState::Gone : member.leaving_ ? NodeState::Leaving
                                                                     : NodeState::Live;
    if (!gone)
        outlets_.learn_(member.endpoint_);
    outlets_.feed_(NodeChanged { member.node_, member.region_, state });
    record(gone ? EventKind::MemberGone : member.leaving_ ? EventKind::MemberLeaving
            : member.state_ == MemberState::Suspect       ? EventKind::MemberSuspect
                                                          : EventKind::MemberAlive,
        member.node_);
    log_.info("memberChanged", { { "peer", member.endpoint_.toString() }, { "state", stateName(member.state_) }, { "leaving", member.leaving_ } });
    homesDirty_ = true;
}

void FleetHost::perform(const Rejoined& command)
{
    log_.warn("rejoined", { { "incarnation", command.incarnation_.value() } });
    homesDirty_ = true;
}

void FleetHost::perform(const ConfigVersionLearned& command)
{
    follower_.handle(VersionHeard { command.version_, command.source_, command.sourceApplies_ }, now_);
}

void FleetHost::perform(const LoadLearned& command)
{
    outlets_.feed_(HomeReported { { fromWire(command.load_) } });
}

void FleetHost::perform(const QuarantineLearned& command)
{
    FingerprintLearned learned;
    learned.fingerprint_ = command.fingerprint_;
    learned.crashes_ = 2; // only what crashed twice is quarantined
    outlets_.feed_(learned);
}

void FleetHost::perform(const UpstreamMarkLearned& command)
{
    const auto view = view_.current();
    if (!view)
        return;
    for (const Event& event : view->eventsAfter(nullptr)) {
        const auto* change = std::get_if<UpstreamChanged>(&event);
        if (!change || change->upstream_ != command.mark_.upstream_)
            continue;
        UpstreamChanged marked = *change;
        if (command.mark_.leaving_)
            marked.state_ = UpstreamState::Leaving;
        outlets_.feed_(marked);
    }
}

void FleetHost::perform(const RegionReachChanged& command)
{
    log_.info("regionReach", { { "region", command.region_.value() }, { "reachable", command.reachable_ } });
    LinkChanged link;
    link.region_ = command.region_;
    link.up_ = command.reachable_;
    const auto view = view_.current();
    const LinkConfig config = view ? view->config().link_ : settings_.link_;
    link.bytesPerSecond_ = static_cast<std::uint64_t>(config.bitsPerSecond_) / 8 / linkShares;
    link.delay_ = config.oneWay_;
    outlets_.feed_(link);
    homesDirty_ = true;
}

void FleetHost::rebuildHomes()
{
    homesDirty_ = false;
    const std::vector<HomeCandidate> candidates = membership_.homeCandidates();
    follower_.handle(LiveNodes { candidates }, now_);
    std::vector<PartitionId> owned;
    std::vector<PartitionId> standby;
    {
        const std::lock_guard lock(statusLock_);
        candidates_ = candidates;
        homes_.rebuild(candidates);
    }
    for (std::uint32_t number = 0; number < settings_.partitions_; ++number) {
        const PartitionId partition(number);
        const auto holders = holdersOf(partition);
        if (!holders.empty() && holders[0] == membership_.node())
            owned.push_back(partition);
        else if (holders.size() > 1 && holders[1] == membership_.node())
            standby.push_back(partition);
    }
    outlets_.assign_(std::move(owned), std::move(standby));
}

std::vector<NodeId> FleetHost::holdersOf(PartitionId partition) const
{
    std::vector<NodeId> nodes;
    {
        const std::lock_guard lock(statusLock_);
        for (const HomeCandidate& candidate : candidates_)
            nodes.push_back(candidate.node_);
    }
    const std::size_t wanted = std::min<std::size_t>(2, nodes.size());
    std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(wanted), nodes.end(), [&](NodeId left, NodeId right) { return weightOf(partition, left) > weightOf(partition, right); });
    nodes.resize(wanted);
    return nodes;
}

bool FleetHost::isHome(UpstreamId upstream, RegionId region) const
{
    const std::lock_guard lock(statusLock_);
    return homes_.home(upstream, region) == status_.self_;
}

// ---- the follower's commands

void FleetHost::perform(const OpenWatch& command)
{
    const std::uint64_t epoch = ++watchEpoch_;
    WatchHandler handler;
    handler.onChange_ = [this, epoch](const ObjectChange& change) {
        actor_.post([this, epoch, change](TimePoint now) {
            if (epoch != watchEpoch_ || (change.kind_ == ChangeKind::Put && change.key_ != configKey))
                return;
            follower_.handle(WatchTold { change.version_, change.kind_ != ChangeKind::Put, change.value_ }, now);
            runCommands(now);
        });
    };
    handler.onEnd_ = [this, epoch](std::error_code error) {
        actor_.post([this, epoch, error](TimePoint now) {
            if (epoch != watchEpoch_)
                return;
            watch_ = {};
            follower_.handle(WatchEnded { error == ObjectError::Expired }, now);
            runCommands(now);
        });
    };
    if (!watch_.isNone())
        store_.unwatch(watch_);
    watch_ = store_.watch(std::string(configKey), command.from_, std::move(handler));
}

void FleetHost::perform(const CloseWatch&)
{
    ++watchEpoch_;
    if (!watch_.isNone())
        store_.unwatch(watch_);
    watch_ = {};
}

void FleetHost::perform(const ReadStore& command)
{
    store_.call(ObjectCall::list(std::string(configKey), true), [this, fetch = command.fetch_](const ObjectAnswer& answer) {
        actor_.post([this, fetch, answer](TimePoint now) {
            Fetched fetched;
            fetched.fetch_ = fetch;
            if (answer.ok())
                fetched.storeVersion_ = answer.version_;
            for (const ObjectEntry& entry : answer.entries_) {
                if (entry.key_ != configKey)
                    continue;
                fetched.version_ = ConfigVersion(entry.version_.value());
                fetched.value_ = entry.value_;
            }
            follower_.handle(fetched, now);
            runCommands(now);
        });
    });
}

void FleetHost::perform(const AskPeer& command)
{
    asked_[command.fetch_] = command.peer_;
    outlets_.send_(command.peer_, ConfigRequest { command.version_ });
}

void FleetHost::perform(const ApplyConfig& command)
{
    auto config = parseFleetConfig(command.value_);
    if (!config) {
        configLog_.error("configRefused", { { "version", command.version_.value() }, { "faults", describe(config.error()) } });
        record(EventKind::ConfigRefused, {}, ObjectVersion(command.version_.value()));
        follower_.reject(command.version_);
        return;
    }
    auto view = std::make_shared<const FleetView>(command.version_, std::move(config.value()));
    for (Event& event : view->eventsAfter(view_.current().get()))
        outlets_.feed_(std::move(event));
    view_.set(view);
    membership_.handle(ConfigApplied { command.version_ }, now_, SystemClock().wallNow());
    configLog_.info("configApplied", { { "version", command.version_.value() } });
    record(EventKind::ConfigApplied, {}, ObjectVersion(command.version_.value()));
}

// ---- calls from other threads

void FleetHost::onConfigRequest(NodeId from, ConfigVersion wanted)
{
    actor_.post([this, from, wanted](TimePoint) {
        const ConfigVersion applied = follower_.applied();
        const bool serves = !applied.isNone() && (wanted.isNone() || applied >= wanted);
        outlets_.send_(from, serves ? ConfigReply { applied, follower_.value() } : ConfigReply {});
    });
}

void FleetHost::onConfigReply(NodeId from, const ConfigReply& reply)
{
    actor_.post([this, from, reply](TimePoint now) {
        // Replies name no fetch: the newest one to this peer is the one that still waits.
        const auto found = std::find_if(asked_.rbegin(), asked_.rend(), [&](const auto& pair) { return pair.second == from; });
        if (found == asked_.rend())
            return;
        const FetchId fetch = found->first;
        std::erase_if(asked_, [&](const auto& pair) { return pair.first <= fetch; });
        follower_.handle(Fetched { fetch, reply.version_, reply.value_, {} }, now);
        runCommands(now);
    });
}

void FleetHost::measured(const std::vector<HomeLoad>& loads)
{
    std::vector<UpstreamLoad> reports;
    reports.reserve(loads.size());
    for (const HomeLoad& load : loads)
        reports.push_back(toWire(load));
    actor_.post([this, reports = std::move(reports)](TimePoint now) {
        membership_.handle(LoadsMeasured { reports }, now, SystemClock().wallNow());
        runCommands(now);
    });
}

void FleetHost::quarantined(Fingerprint fingerprint)
{
    actor_.post([this, fingerprint](TimePoint now) {
        membership_.handle(QuarantineStarted { fingerprint, quarantineTime }, now, SystemClock().wallNow());
        runCommands(now);
    });
}

void FleetHost::upstreamLeaving(UpstreamId upstream, bool leaving)
{
    actor_.post([this, upstream, leaving](TimePoint now) {
        membership_.handle(UpstreamMarked { upstream, leaving }, now, SystemClock().wallNow());
        runCommands(now);
    });
}

void FleetHost::configWritten(ConfigVersion version, std::string value)
{
    actor_.post([this, version, value = std::move(value)](TimePoint now) {
        membership_.handle(ConfigSeen { version }, now, SystemClock().wallNow());
        follower_.handle(ConfigWritten { version, value }, now);
        runCommands(now);
    });
}

void FleetHost::hostsRead(std::string body)
{
    actor_.post([this, body = std::move(body)](TimePoint now) { takeHosts(body, now); });
}

// The list names all hosts of the platform, upstreams among them; only those that answer on the peers' port become members, so
// the others cost one lost datagram a seed period.
void FleetHost::takeHosts(const std::string& body, TimePoint now)
{
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(body, error);
    if (error || !value.is_array())
        return;
    HostsListed listed;
    for (const PeerAddress& seed : settings_.seeds_)
        listed.hosts_.push_back({ seed, {}, settings_.region_, false });
    for (const boost::json::value& element : value.get_array()) {
        const auto* address = element.is_object() ? element.get_object().if_contains("address") : nullptr;
        const auto* state = element.is_object() ? element.get_object().if_contains("state") : nullptr;
        if (!address || !address->is_string())
            continue;
        const auto parsed = PeerAddress::parse(std::string_view(address->get_string()));
        if (parsed && parsed.value() != settings_.listen_)
            listed.hosts_.push_back({ parsed.value(), {}, settings_.region_, state && state->is_string() && state->get_string() == "leaving" });
    }
    membership_.handle(listed, now, SystemClock().wallNow());
    runCommands(now);
}

void FleetHost::beginLeaving()
{
    actor_.post([this](TimePoint now) {
        membership_.handle(LeaveStarted {}, now, SystemClock().wallNow());
        outlets_.feed_(NodeChanged { membership_.node(), settings_.region_, NodeState::Leaving });
        homesDirty_ = true;
        runCommands(now);
    });
}

void FleetHost::finishLeaving()
{
    actor_.post([this](TimePoint now) {
        membership_.handle(LeaveFinished {}, now, SystemClock().wallNow());
        runCommands(now);
    });
}

void FleetHost::publishStatus()
{
    FleetStatus status;
    status.self_ = membership_.node();
    status.incarnation_ = membership_.incarnation();
    status.ready_ = follower_.isReady() && !membership_.isLeaving();
    status.leaving_ = membership_.isLeaving();
    status.applied_ = follower_.applied();
    status.inForceEverywhere_ = membership_.inForceEverywhere();
    for (const NodeId node : membership_.members().rows().ids()) {
        const auto member = membership_.members().rumorOf(node);
        status.members_.push_back({ node, member->endpoint_.toString(), std::string(stateName(member->state_)), member->inForce_ });
    }
    const std::lock_guard lock(statusLock_);
    status_ = std::move(status);
}

FleetStatus FleetHost::status() const
{
    const std::lock_guard lock(statusLock_);
    return status_;
}

} // namespace jj
