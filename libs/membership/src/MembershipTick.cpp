// The systems of a tick, and the building of digests.
#include "membership/MembershipCore.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jj {

namespace {

    // A tick later than this is put down to this process and not to its peers.
    constexpr Duration lateTick = 100ms;
    // Seeds pinged at once by a node that knows nobody.
    constexpr std::size_t firstSeeds = 3;
    // A member of another region that the platform's list has not named for this long is taken as gone.
    constexpr Duration listLag = 60s;

    std::uint32_t toMs(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

} // namespace

void MembershipCore::tick(TimePoint now, WallTime wall)
{
    noteClock(now, wall);
    if (self_.state_ == MemberState::Left)
        return;
    startProbes();
    pingSuspects();
    advanceProbes();
    declareDead();
    pingSeeds();
    askForState();
    pingRegions();
    sendNotices();
    checkRegions();
    forgetGone();
    board_.expire(now_);
}

// Guards against blaming peers for a pause of this process: after a long one nothing that it believed about time holds, so it
// rejoins; after a short one the answers may still wait unread in the socket, so running bounds are extended by the pause.
void MembershipCore::noteClock(TimePoint now, WallTime wall)
{
    const Duration gap = now - lastTick_;
    now_ = std::max(now, now_);
    wall_ = wall;
    lastTick_ = now_;
    if (gap <= lateTick)
        return;
    prober_.postpone(gap);
    const bool paused = gap > settings_.pauseBound_;
    for (MemberEvidence& evidence : members_.rows().column<MemberEvidence>()) {
        if (evidence.deadAt_ != neverTime)
            evidence.deadAt_ = paused ? neverTime : evidence.deadAt_ + gap;
    }
    if (!paused)
        return;
    prober_.clear();
    relays_.clear();
    rejoin(Incarnation(self_.incarnation_.value() + 1));
}

void MembershipCore::startProbes()
{
    if (now_ < nextProbe_)
        return;
    // Missed periods are not made up for.
    nextProbe_ = std::max(nextProbe_ + settings_.probePeriod_, now_);
    if (const NodeId target = nextTarget(); !target.isNone())
        probe(target);
    for (NodeId suspect : ownSuspects())
        probe(suspect);
}

void MembershipCore::pingSuspects()
{
    if (now_ < nextSuspect_)
        return;
    nextSuspect_ = now_ + settings_.suspectPeriod_;
    for (NodeId suspect : ownSuspects())
        ping(suspect, ++lastProbe_);
}

// Those that this node's own probes speak against, at most suspectProbes_.
std::vector<NodeId> MembershipCore::ownSuspects() const
{
    std::vector<NodeId> suspects;
    for (std::size_t i = 0; i < members_.rows().size() && suspects.size() < settings_.suspectProbes_; ++i) {
        if (members_.rows().get<MemberEvidence>(Row(i)).deadAt_ != neverTime)
            suspects.push_back(members_.rows().idAt(Row(i)));
    }
    return suspects;
}

void MembershipCore::advanceProbes()
{
    for (const Prober::Step& step : prober_.advance(now_)) {
        switch (step.action_) {
        case Prober::Action::Ping:
            ping(step.target_, step.probe_);
            break;
        case Prober::Action::AskHelpers:
            askHelpers(step.target_, step.probe_);
            break;
        case Prober::Action::Fail:
            probeFailed(step.target_);
            break;
        }
    }
    std::erase_if(relays_, [this](const Relay& relay) { return relay.expires_ <= now_; });
}

void MembershipCore::askHelpers(NodeId subject, std::uint64_t probe)
{
    const auto endpoint = endpointOf(subject);
    if (!endpoint)
        return;
    for (NodeId helper : pickLive(settings_.helpers_, self_.region_, subject))
        send(helper, PingRequest { probe, subject, *endpoint, digestFor(helper) });
}

void MembershipCore::probeFailed(NodeId target)
{
    const auto row = members_.rows().find(target);
    if (!row || !members_.isLiveAt(*row))
        return;
    auto& evidence = members_.rows().get<MemberEvidence>(*row);
    if (evidence.deadAt_ == neverTime) {
        evidence.deadAt_ = now_ + settings_.suspicionTimeout_;
        evidence.suspectedAfter_ = lastProbe_;
    }
    MemberRumor rumor = members_.rumorAt(*row);
    rumor.state_ = MemberState::Suspect;
    apply(rumor);
}

void MembershipCore::declareDead()
{
    std::vector<MemberRumor> dead;
    for (std::size_t i = 0; i < members_.rows().size(); ++i) {
        if (members_.rows().get<MemberEvidence>(Row(i)).deadAt_ <= now_ && members_.isLiveAt(Row(i)))
            dead.push_back(members_.rumorAt(Row(i)));
    }
    for (MemberRumor& rumor : dead) {
        rumor.state_ = MemberState::Dead;
        apply(rumor);
    }
}

// Hosts that the platform lists but that were never heard, and dead members: so a node that starts finds the fleet, and two sides
// of a healed cut find each other, at one datagram a period and node.
void MembershipCore::pingSeeds()
{
    if (now_ < nextSeed_)
        return;
    nextSeed_ = now_ + settings_.seedPeriod_;
    std::vector<NodeId> candidates;
    for (const ListedHost& host : seeds_)
        candidates.push_back(nodeIdOf(host.endpoint_));
    for (NodeId node : members_.rows().ids()) {
        if (members_.rows().cell<MemberStanding>(node)->state_ == MemberState::Dead)
            candidates.push_back(node);
    }
    const std::size_t count = members_.liveCount() == 0 ? firstSeeds : 1;
    for (std::size_t i = 0; i < count && !candidates.empty(); ++i) {
        const std::size_t pick = random_() % candidates.size();
        ping(candidates[pick], ++lastProbe_);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

// Failure met: a fleet that starts at once knows its seeds alone. What nodes learn rode on their probes, a dozen members each, and one answer with
// all members ended the search, however few those were. It shows as 295 hosts that know each other only 25 s after a loss of power: jobs without
// owners, and engines chosen without any report of what the others run. The guard: a node goes on asking members at random; as each answer holds all
// that the other has learned, what is known multiplies with each round.
void MembershipCore::askForState()
{
    if (!wantsState_ || now_ < nextJoin_ || members_.liveCount() == 0)
        return;
    const std::size_t known = members_.rows().size();
    idleAnswers_ = known > knownAtAsk_ ? 0 : idleAnswers_ + (hasAnswer_ ? 1 : 0);
    if (idleAnswers_ > settings_.idleAnswers_) {
        wantsState_ = false;
        return;
    }
    nextJoin_ = now_ + settings_.joinPeriod_;
    knownAtAsk_ = known;
    hasAnswer_ = false;
    std::vector<NodeId> candidates;
    for (NodeId node : members_.rows().ids()) {
        if (members_.isLive(node))
            candidates.push_back(node);
    }
    ping(candidates[random_() % candidates.size()], ++lastProbe_);
}

void MembershipCore::pingRegions()
{
    refreshView();
    if (!bridge_ || now_ < nextBridge_)
        return;
    nextBridge_ = now_ + settings_.bridgePeriod_;
    std::vector<RegionId> others;
    for (const MemberPlace& place : members_.rows().column<MemberPlace>()) {
        if (place.region_ != self_.region_ && std::find(others.begin(), others.end(), place.region_) == others.end())
            others.push_back(place.region_);
    }
    for (RegionId region : others) {
        for (NodeId node : pickLive(1, region, self_.node_))
            ping(node, ++lastProbe_);
    }
}

void MembershipCore::sendNotices()
{
    if (!urgent_ || now_ < nextNotice_)
        return;
    urgent_ = false;
    nextNotice_ = now_ + settings_.noticeInterval_;
    for (NodeId node : pickLive(settings_.noticeFanout_, self_.region_, self_.node_))
        send(node, Notice { digestFor(node) });
    refreshView();
    if (!bridge_)
        return;
    for (const RegionContactState& state : regions_) {
        for (NodeId node : pickLive(1, state.region_, self_.node_))
            send(node, Notice { digestFor(node) });
    }
}

void MembershipCore::checkRegions()
{
    for (RegionContactState& state : regions_) {
        const bool reachable = now_ - state.heardAt_ < settings_.regionTimeout_;
        if (reachable == state.reachable_)
            continue;
        state.reachable_ = reachable;
        commands_.emplace_back(RegionReachChanged { state.region_, reachable });
    }
}

void MembershipCore::forgetGone()
{
    std::vector<NodeId> gone;
    for (std::size_t i = 0; i < members_.rows().size(); ++i) {
        const Row row = Row(i);
        const NodeId node = members_.rows().idAt(row);
        const auto& standing = members_.rows().get<MemberStanding>(row);
        const bool listed = listed_.contains(node);
        const bool old = now_ - standing.since_ > settings_.tombstone_;
        // Dead here and on the list: perhaps only cut off, so it stays known and is pinged as a seed.
        const bool confirmed = isGone(standing) && old && (!listed || standing.state_ == MemberState::Left);
        const bool elsewhere = members_.rows().get<MemberPlace>(row).region_ != self_.region_;
        // Nobody here probes members of other regions; while the regions can't reach each other the list alone tells of
        // those that went meanwhile.
        const bool departed = !isGone(standing) && elsewhere && hasList_ && !listed && now_ - standing.since_ > listLag
            && !isReachable(members_.rows().get<MemberPlace>(row).region_, now_);
        if (confirmed || departed)
            gone.push_back(node);
    }
    for (NodeId node : gone) {
        const bool wasLive = members_.isLive(node);
        MemberRumor last = *members_.rumorOf(node);
        members_.erase(node);
        std::erase(order_, node);
        viewDirty_ = true;
        if (wasLive) {
            last.state_ = MemberState::Dead;
            commands_.emplace_back(MemberChanged { last });
        }
    }
}

void MembershipCore::send(NodeId target, DatagramMessage message)
{
    if (const auto endpoint = endpointOf(target))
        commands_.emplace_back(SendDatagram { target, *endpoint, self_.incarnation_, std::move(message) });
}

void MembershipCore::ping(NodeId target, std::uint64_t probe)
{
    send(target, Ping { probe, wantsState_, digestFor(target) });
}

void MembershipCore::probe(NodeId target)
{
    prober_.start(target, ++lastProbe_, now_);
}

MembershipDigest MembershipCore::digestFor(NodeId target, NodeId subject)
{
    MembershipDigest digest;
    const RegionId region = regionOf(target);
    const bool crosses = !region.isNone() && region != self_.region_;
    board_.fill(digest, now_, sendLimit(), crosses);
    digest.report_ = report();
    for (const RegionContactState& state : regions_)
        digest.regions_.push_back({ state.region_, toMs(now_ - state.heardAt_) });

    digest.rumors_.push_back(self_);
    const auto add = [this, &digest](NodeId node) {
        const bool there = std::any_of(digest.rumors_.begin(), digest.rumors_.end(), [node](const MemberRumor& rumor) { return rumor.node_ == node; });
        if (const auto rumor = members_.rumorOf(node); rumor && !there)
            digest.rumors_.push_back(*rumor);
    };
    // What is said of the target itself, so that it can refute at once.
    if (const auto* standing = members_.rows().cell<MemberStanding>(target); standing && standing->state_ != MemberState::Alive)
        add(target);
    if (!subject.isNone())
        add(subject);
    for (NodeId node : broadcasts_.take(settings_.rumorsPerDatagram_, sendLimit(), crosses))
        add(node);
    for (std::size_t i = 0; i < settings_.samplesPerDatagram_ && !members_.rows().empty(); ++i) {
        const Row row = Row(sampleNext_++ % members_.rows().size());
        if (members_.isLiveAt(row))
            add(members_.rows().idAt(row));
    }
    return digest;
}

ConfigReport MembershipCore::report()
{
    refreshView();
    ConfigReport report;
    report.version_ = board_.configVersion();
    if (report.version_.isNone())
        return report;
    report.view_ = view_;
    report.applied_.assign(std::min((viewOrder_.size() + 7) / 8, maxViewBytes), 0);
    for (std::size_t i = 0; i < viewOrder_.size() && i / 8 < report.applied_.size(); ++i) {
        const NodeId node = viewOrder_[i];
        const ConfigVersion applied = node == self_.node_ ? self_.inForce_ : members_.rows().cell<MemberAttributes>(node)->inForce_;
        if (!applied.isNone() && !isLater(report.version_, applied))
            report.applied_[i / 8] = static_cast<std::uint8_t>(report.applied_[i / 8] | 1U << (i % 8));
    }
    return report;
}

std::optional<PeerAddress> MembershipCore::endpointOf(NodeId node) const
{
    if (const auto* place = members_.rows().cell<MemberPlace>(node))
        return place->endpoint_;
    for (const ListedHost& host : seeds_) {
        if (nodeIdOf(host.endpoint_) == node)
            return host.endpoint_;
    }
    return std::nullopt;
}

RegionId MembershipCore::regionOf(NodeId node) const
{
    const auto* place = members_.rows().cell<MemberPlace>(node);
    return place ? place->region_ : RegionId::none();
}

NodeId MembershipCore::nextTarget()
{
    for (std::size_t tries = 0; tries <= order_.size(); ++tries) {
        if (orderNext_ >= order_.size()) {
            std::erase_if(order_, [this](NodeId node) { return !members_.rows().contains(node); });
            std::shuffle(order_.begin(), order_.end(), random_);
            orderNext_ = 0;
            if (order_.empty())
                return NodeId::none();
        }
        const NodeId target = order_[orderNext_++];
        if (members_.isLive(target))
            return target;
    }
    return NodeId::none();
}

void MembershipCore::refreshView()
{
    if (!viewDirty_)
        return;
    viewDirty_ = false;
    viewOrder_.assign(1, self_.node_);
    std::vector<std::pair<std::uint64_t, NodeId>> bridges { { mixHash(self_.node_.value(), 0), self_.node_ } };
    for (NodeId node : members_.rows().ids()) {
        if (!members_.isLive(node))
            continue;
        viewOrder_.push_back(node);
        if (regionOf(node) == self_.region_)
            bridges.emplace_back(mixHash(node.value(), 0), node);
    }
    std::sort(viewOrder_.begin(), viewOrder_.end());
    view_ = 0;
    for (NodeId node : viewOrder_) {
        const Incarnation incarnation = node == self_.node_ ? self_.incarnation_ : members_.rows().cell<MemberStanding>(node)->incarnation_;
        view_ = mixHash(view_, mixHash(node.value(), incarnation.value()));
    }
    std::sort(bridges.begin(), bridges.end());
    bridges.resize(std::min(bridges.size(), settings_.bridges_));
    bridge_ = std::any_of(bridges.begin(), bridges.end(), [this](const auto& entry) { return entry.second == self_.node_; });
}

std::vector<NodeId> MembershipCore::pickLive(std::size_t count, RegionId region, NodeId except)
{
    std::vector<NodeId> candidates;
    for (NodeId node : members_.rows().ids()) {
        if (node != except && regionOf(node) == region && members_.rows().cell<MemberStanding>(node)->state_ == MemberState::Alive)
            candidates.push_back(node);
    }
    std::vector<NodeId> picked;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(picked), static_cast<std::ptrdiff_t>(count), random_);
    return picked;
}

std::uint32_t MembershipCore::sendLimit() const
{
    return static_cast<std::uint32_t>(std::ceil(settings_.rumorFactor_ * std::log2(static_cast<double>(members_.liveCount()) + 2)));
}

} // namespace jj
