// Events of membership: datagrams, the platform's list, and what the host program says.
#include "membership/MembershipCore.h"

#include "base/Hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jj {

namespace {

    // Sending all members to one that joins is bounded, so that a whole fleet that starts at once doesn't drown in it.
    constexpr Duration stateInterval = 80ms;
    constexpr std::size_t rumorsPerState = 20;

    // While a new configuration version is being applied, what is learned of it is passed on this often.
    constexpr Duration reportInterval = 150ms;

    // Age of a region's contact grows by this with each node that passes it on, so that it can't stay young by going round.
    constexpr Duration contactHopBound = 50ms;

    constexpr std::size_t maxRelays = 64;

    Incarnation incarnationAt(WallTime wall) { return Incarnation(static_cast<std::uint64_t>(std::max<std::int64_t>(1, wall.time_since_epoch().count()))); }

} // namespace

MembershipCore::MembershipCore(const Self& self, const MembershipSettings& settings, TimePoint now, WallTime wall, std::uint64_t seed)
    : settings_(settings)
    , random_(mixHash(seed, nodeIdOf(self.endpoint_).value()))
    , now_(now)
    , wall_(wall)
    , board_(nodeIdOf(self.endpoint_), settings)
    , prober_(settings)
    , lastTick_(now)
    , nextProbe_(now)
    , nextSuspect_(now)
    , nextSeed_(now)
    , nextBridge_(now)
    , nextNotice_(now)
    , nextState_(now)
    , nextReport_(now)
{
    self_.node_ = nodeIdOf(self.endpoint_);
    self_.endpoint_ = self.endpoint_;
    self_.region_ = self.region_;
    self_.domain_ = self.domain_;
    self_.incarnation_ = incarnationAt(wall);
    // Nodes that start together don't probe in step.
    nextProbe_ += Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(settings.probePeriod_.count())));
}

void MembershipCore::handle(const MembershipEvent& event, TimePoint now, WallTime wall)
{
    noteClock(now, wall);
    std::visit([this](const auto& concrete) { on(concrete); }, event);
}

std::vector<MembershipCommand> MembershipCore::takeCommands()
{
    return std::exchange(commands_, {});
}

std::vector<HomeCandidate> MembershipCore::homeCandidates() const
{
    std::vector<HomeCandidate> candidates;
    if (!self_.leaving_ && self_.state_ == MemberState::Alive)
        candidates.push_back({ self_.node_, self_.region_ });
    for (NodeId node : members_.rows().ids()) {
        const Row row = *members_.rows().find(node);
        if (members_.isLiveAt(row) && !members_.rows().get<MemberAttributes>(row).leaving_)
            candidates.push_back({ node, members_.rows().get<MemberPlace>(row).region_ });
    }
    return candidates;
}

ConfigVersion MembershipCore::inForceEverywhere() const
{
    ConfigVersion lowest = self_.inForce_;
    for (NodeId node : members_.rows().ids()) {
        const Row row = *members_.rows().find(node);
        if (members_.isLiveAt(row) && isLater(lowest, members_.rows().get<MemberAttributes>(row).inForce_))
            lowest = members_.rows().get<MemberAttributes>(row).inForce_;
    }
    return lowest;
}

bool MembershipCore::isReachable(RegionId region, TimePoint now) const
{
    if (region == self_.region_)
        return true;
    const auto found = std::find_if(regions_.begin(), regions_.end(), [region](const auto& state) { return state.region_ == region; });
    return found != regions_.end() && now - found->heardAt_ < settings_.regionTimeout_;
}

void MembershipCore::on(const DatagramReceived& event)
{
    if (event.sender_ == self_.node_)
        return;
    const auto* known = members_.rows().cell<MemberStanding>(event.sender_);
    if (known && event.incarnation_ < known->incarnation_) {
        on(StaleDatagram { event.sender_ });
        return;
    }
    std::visit([this, &event](const auto& message) { onMessage(event.sender_, message); }, event.message_);
}

// A process that woke, or started with its clock behind, speaks with an incarnation that its peers hold for past. It learns the
// one they hold from its own entry in the digest, and goes on above it.
void MembershipCore::on(const StaleDatagram& event)
{
    if (now_ < nextState_)
        return;
    nextState_ = now_ + stateInterval;
    send(event.sender_, Notice { digestFor(event.sender_, event.sender_) });
}

void MembershipCore::on(const HostsListed& event)
{
    hasList_ = true;
    listed_.clear();
    seeds_.clear();
    for (const ListedHost& host : event.hosts_) {
        const NodeId node = nodeIdOf(host.endpoint_);
        if (node == self_.node_)
            continue;
        listed_[node] = host.leaving_;
        if (auto* evidence = members_.rows().cell<MemberEvidence>(node))
            evidence->listedLeaving_ = host.leaving_;
        else
            seeds_.push_back(host);
    }
}

void MembershipCore::on(const LeaveStarted&)
{
    if (self_.leaving_)
        return;
    self_.leaving_ = true;
    ++self_.revision_;
    broadcasts_.push(self_.node_);
    urgent_ = true;
    nextNotice_ = now_;
    sendNotices();
}

void MembershipCore::on(const LeaveFinished&)
{
    self_.leaving_ = true;
    self_.state_ = MemberState::Left;
    ++self_.revision_;
    // What a process says last can't be repeated: it goes to more members than other updates.
    constexpr std::size_t farewells = 8;
    for (NodeId node : pickLive(farewells, self_.region_, self_.node_))
        send(node, Notice { digestFor(node) });
}

void MembershipCore::on(const ConfigSeen& event)
{
    urgent_ = board_.seeConfig(event.version_) || urgent_;
}

void MembershipCore::on(const ConfigApplied& event)
{
    if (!isLater(event.version_, self_.inForce_))
        return;
    self_.inForce_ = event.version_;
    ++self_.revision_;
    board_.seeConfig(event.version_);
    // Said again even when the version was known: peers fetch the value from a node that applies it.
    urgent_ = true;
}

void MembershipCore::on(const LoadsMeasured& event) { board_.setLoads(event.loads_); }

void MembershipCore::on(const QuarantineStarted& event)
{
    urgent_ = board_.quarantine(event.fingerprint_, event.duration_, now_) || urgent_;
}

void MembershipCore::on(const UpstreamMarked& event)
{
    urgent_ = board_.mark(event.upstream_, event.leaving_, wall_) || urgent_;
}

void MembershipCore::onMessage(NodeId sender, const Ping& ping)
{
    mergeDigest(sender, ping.digest_);
    send(sender, Ack { ping.probe_, self_.node_, digestFor(sender) });
    if (ping.wantsState_)
        sendState(sender);
}

void MembershipCore::onMessage(NodeId sender, const PingRequest& request)
{
    mergeDigest(sender, request.digest_);
    if (relays_.size() >= maxRelays)
        return;
    const std::uint64_t probe = ++lastProbe_;
    relays_.push_back({ probe, request.probe_, sender, request.subject_, now_ + settings_.probeTimeout_ });
    ping(request.subject_, probe);
}

void MembershipCore::onMessage(NodeId sender, const Ack& ack)
{
    mergeDigest(sender, ack.digest_);
    prober_.acknowledge(ack.probe_, ack.subject_);
    auto* evidence = members_.rows().cell<MemberEvidence>(ack.subject_);
    // It lives, whatever is said of it: own evidence is withdrawn, and its refutation is on its way.
    if (evidence && ack.probe_ > evidence->suspectedAfter_ && ack.probe_ <= lastProbe_)
        evidence->deadAt_ = neverTime;
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&ack](const Relay& other) { return other.probe_ == ack.probe_; });
    if (relay == relays_.end() || relay->subject_ != ack.subject_)
        return;
    const Relay done = *relay;
    relays_.erase(relay);
    send(done.requester_, Ack { done.requesterProbe_, done.subject_, digestFor(done.requester_, done.subject_) });
}

void MembershipCore::onMessage(NodeId sender, const Notice& notice)
{
    // Members beyond the sender itself: an answer to wantsState_.
    if (notice.digest_.rumors_.size() > 1)
        hasAnswer_ = true;
    mergeDigest(sender, notice.digest_);
}

void MembershipCore::mergeDigest(NodeId sender, const MembershipDigest& digest)
{
    const bool isFromOwnRegion = regionOf(sender) == self_.region_;
    for (const MemberRumor& rumor : digest.rumors_) {
        if (isFromOwnRegion && members_.isKnown(rumor))
            broadcasts_.countReceived(rumor.node_);
        apply(rumor);
    }
    urgent_ = board_.merge(digest, now_, commands_) || urgent_;
    if (isLater(digest.configVersion_, board_.configVersion())) {
        board_.seeConfig(digest.configVersion_);
        const auto* attributes = members_.rows().cell<MemberAttributes>(sender);
        const bool applies = attributes && !isLater(digest.configVersion_, attributes->inForce_);
        commands_.emplace_back(ConfigVersionLearned { digest.configVersion_, sender, applies });
        urgent_ = true;
    }
    mergeReport(digest.report_);
    hearFromRegion(regionOf(sender), now_);
    for (const RegionContact& contact : digest.regions_)
        hearFromRegion(contact.region_, now_ - std::chrono::milliseconds(contact.ageMs_) - contactHopBound);
}

void MembershipCore::mergeReport(const ConfigReport& report)
{
    refreshView();
    if (report.version_.isNone() || report.view_ != view_)
        return;
    const std::size_t bits = std::min(viewOrder_.size(), report.applied_.size() * 8);
    bool learned = false;
    for (std::size_t i = 0; i < bits; ++i) {
        if ((report.applied_[i / 8] >> (i % 8) & 1) != 0)
            learned = members_.noteInForce(viewOrder_[i], report.version_) || learned;
    }
    // Passed on at once, but seldom enough that bits are gathered on the way.
    if (!learned || now_ < nextReport_)
        return;
    nextReport_ = now_ + reportInterval;
    urgent_ = true;
}

void MembershipCore::apply(const MemberRumor& rumor)
{
    if (rumor.node_ == self_.node_) {
        hearOfSelf(rumor);
        return;
    }
    const bool isGoneRumor = rumor.state_ == MemberState::Dead || rumor.state_ == MemberState::Left;
    // Word of one that is gone and not known would make it known, and go round for ever.
    if (isGoneRumor && !members_.rows().contains(rumor.node_))
        return;
    const Members::Merged merged = members_.merge(rumor, now_);
    if (!merged.standing_ && !merged.state_)
        return;
    viewDirty_ = true;
    broadcasts_.push(rumor.node_);
    if (merged.isNew_) {
        const auto listed = listed_.find(rumor.node_);
        members_.rows().cell<MemberEvidence>(rumor.node_)->listedLeaving_ = listed != listed_.end() && listed->second;
        std::erase_if(seeds_, [&rumor](const ListedHost& host) { return nodeIdOf(host.endpoint_) == rumor.node_; });
        if (rumor.region_ == self_.region_)
            order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(random_() % (order_.size() + 1)), rumor.node_);
    }
    if (merged.state_) {
        commands_.emplace_back(MemberChanged { *members_.rumorOf(rumor.node_) });
        urgent_ = urgent_ || isGoneRumor || rumor.leaving_;
    }
}

void MembershipCore::hearOfSelf(const MemberRumor& rumor)
{
    if (self_.state_ == MemberState::Left)
        return;
    // Peers hold a later process at this address: this one was started with its clock behind.
    if (rumor.incarnation_ > self_.incarnation_) {
        rejoin(Incarnation(rumor.incarnation_.value() + 1));
        return;
    }
    if (rumor.incarnation_ < self_.incarnation_ || rumor.state_ == MemberState::Alive || rumor.refutation_ < self_.refutation_)
        return;
    if (rumor.state_ == MemberState::Suspect) {
        self_.refutation_ = rumor.refutation_ + 1;
        broadcasts_.push(self_.node_);
        return;
    }
    // Declared dead while it was paused or cut off: its peers have gone on without it.
    rejoin(Incarnation(self_.incarnation_.value() + 1));
}

void MembershipCore::rejoin(Incarnation atLeast)
{
    self_.incarnation_ = std::max(atLeast, incarnationAt(wall_));
    self_.refutation_ = 0;
    self_.revision_ = 0;
    wantsState_ = true;
    idleAnswers_ = 0;
    viewDirty_ = true;
    broadcasts_.push(self_.node_);
    urgent_ = true;
    commands_.emplace_back(Rejoined { self_.incarnation_ });
}

void MembershipCore::hearFromRegion(RegionId region, TimePoint heardAt)
{
    if (region.isNone() || region == self_.region_)
        return;
    const auto found = std::find_if(regions_.begin(), regions_.end(), [region](const auto& state) { return state.region_ == region; });
    if (found != regions_.end())
        found->heardAt_ = std::max(found->heardAt_, heardAt);
    else if (regions_.size() < maxRegions)
        regions_.push_back({ region, heardAt, false });
}

void MembershipCore::sendState(NodeId target)
{
    if (now_ < nextState_)
        return;
    nextState_ = now_ + stateInterval;
    std::vector<MemberRumor> rumors;
    for (NodeId node : members_.rows().ids()) {
        if (node != target && members_.isLive(node))
            rumors.push_back(*members_.rumorOf(node));
    }
    for (std::size_t first = 0; first < rumors.size(); first += rumorsPerState) {
        Notice notice;
        board_.fill(notice.digest_, now_, sendLimit(), false);
        notice.digest_.rumors_.push_back(self_);
        const auto begin = rumors.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = rumors.begin() + static_cast<std::ptrdiff_t>(std::min(first + rumorsPerState, rumors.size()));
        notice.digest_.rumors_.insert(notice.digest_.rumors_.end(), begin, end);
        send(target, std::move(notice));
    }
}

} // namespace jj
