// Upkeep of what a node knows of the fleet.
#include "Fleet.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

const ServicePolicy& Fleet::policy(ServiceId service) const
{
    static const ServicePolicy standard;
    const auto found = policies_.find(service);
    return found == policies_.end() ? standard : found->second;
}

std::uint32_t Fleet::slotsOf(const UpstreamChanged& upstream) const
{
    return upstream.slots_ > 0 ? upstream.slots_ : policy(upstream.service_).slots_;
}

void Fleet::apply(const UpstreamChanged& event)
{
    if (UpstreamChanged* known = upstreams_.cell<UpstreamChanged>(event.upstream_)) {
        const UpstreamChanged before = *known;
        *known = event;
        if (before.service_ != event.service_ || before.region_ != event.region_)
            rebuildPool(before.service_, before.region_);
    } else {
        UpstreamView view;
        view.home_ = findHome(event.upstream_, event.region_, TimePoint {});
        upstreams_.insert(event.upstream_, event, view);
    }
    if (std::find(regions_.begin(), regions_.end(), event.region_) == regions_.end()) {
        regions_.push_back(event.region_);
        std::sort(regions_.begin(), regions_.end(), [this](RegionId a, RegionId b) {
            return std::pair(a != settings_.region_, a) < std::pair(b != settings_.region_, b);
        });
    }
    if (event.state_ == UpstreamState::Gone)
        upstreams_.erase(event.upstream_);
    rebuildPool(event.service_, event.region_);
}

void Fleet::rebuildPool(ServiceId service, RegionId region)
{
    Pool& pool = pools_[std::pair(service, region)];
    pool = Pool {};
    for (const UpstreamChanged& each : upstreams_.column<UpstreamChanged>()) {
        if (each.service_ != service || each.region_ != region || each.state_ != UpstreamState::Serving)
            continue;
        pool.serving_.push_back(each.upstream_);
        for (int i = 0; i < ringPointsEach; ++i)
            pool.ring_.push_back({ mixHash(each.upstream_.value(), static_cast<std::uint64_t>(i)), each.upstream_ });
    }
    std::sort(pool.serving_.begin(), pool.serving_.end());
    std::sort(pool.ring_.begin(), pool.ring_.end());
}

const Pool* Fleet::pool(ServiceId service, RegionId region) const
{
    const auto found = pools_.find(std::pair(service, region));
    return found == pools_.end() ? nullptr : &found->second;
}

void Fleet::apply(const NodeChanged& event, TimePoint now)
{
    if (event.state_ == NodeState::Gone)
        members_.erase(event.node_);
    else if (MemberView* known = members_.cell<MemberView>(event.node_))
        *known = MemberView { event.region_, event.state_, known->silentUntil_ };
    else
        members_.insert(event.node_, MemberView { event.region_, event.state_, {} });
    // A host that came back counts its reports anew.
    for (UpstreamView& each : upstreams_.column<UpstreamView>()) {
        if (each.load_.home_ == event.node_)
            each.loadKnown_ = false;
    }
    refreshHomes(now);
}

void Fleet::apply(const LinkChanged& event)
{
    LinkView& link = links_[event.region_];
    link.up_ = event.up_;
    link.delay_ = event.delay_;
    link.budget_.setRate(event.bytesPerSecond_);
}

LinkView* Fleet::link(RegionId region)
{
    const auto found = links_.find(region);
    return found == links_.end() ? nullptr : &found->second;
}

void Fleet::apply(const ConfigurationApplied& event)
{
    // A version below one that was seen is a late message: applying it would revert an accepted configuration.
    if (!version_.isNone() && event.version_ < version_)
        return;
    version_ = event.version_;
    policies_.clear();
    for (const ServicePolicy& policy : event.services_)
        policies_.insert_or_assign(policy.service_, policy);
}

void Fleet::apply(const HomeReported& event)
{
    for (const HomeLoad& load : event.loads_) {
        UpstreamView* known = view(load.upstream_);
        if (!known)
            continue;
        if (known->loadKnown_ && known->load_.home_ == load.home_ && load.sequence_ <= known->load_.sequence_)
            continue;
        known->load_ = load;
        known->loadKnown_ = true;
        known->sentOnline_ = 0;
        known->sentBatch_ = 0;
    }
}

void Fleet::apply(const EngineReported& event)
{
    UpstreamView* known = view(event.upstream_);
    if (!known || event.at_ < known->report_.at_)
        return;
    known->report_ = event;
    if (settings_.features_.homes_)
        return;
    // Without homes the engine's own lagging report is all that a node knows.
    known->load_.onlineRunning_ = event.running_ + event.waiting_;
    known->sentOnline_ = 0;
    known->sentBatch_ = 0;
}

void Fleet::markSilent(NodeId node, TimePoint now)
{
    MemberView* member = members_.cell<MemberView>(node);
    if (!member || node == settings_.self_)
        return;
    member->silentUntil_ = now + silenceFor;
    refreshHomes(now);
}

void Fleet::tick(TimePoint now)
{
    if (now >= nextSilenceEnd_)
        refreshHomes(now);
}

// Rendezvous hashing over the live nodes of the engine's region; leaving nodes take no new duty. Without one there, the region's
// engines are served from anywhere.
NodeId Fleet::findHome(UpstreamId upstream, RegionId region, TimePoint now) const
{
    if (!settings_.features_.homes_)
        return settings_.self_;
    NodeId best = NodeId::none();
    std::pair<bool, std::uint64_t> bestScore { false, 0 };
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const MemberView& member = members_.column<MemberView>()[i];
        if (member.state_ != NodeState::Live || member.silentUntil_ > now)
            continue;
        const NodeId node = members_.ids()[i];
        const std::pair score(member.region_ == region, mixHash(node.value(), upstream.value()));
        if (best.isNone() || score > bestScore) {
            best = node;
            bestScore = score;
        }
    }
    return best;
}

void Fleet::refreshHomes(TimePoint now)
{
    liveNodes_ = 0;
    nextSilenceEnd_ = neverTime;
    for (const MemberView& member : members_.column<MemberView>()) {
        liveNodes_ += member.state_ == NodeState::Live ? 1 : 0;
        if (member.silentUntil_ > now)
            nextSilenceEnd_ = std::min(nextSilenceEnd_, member.silentUntil_);
    }
    liveNodes_ = std::max<std::size_t>(liveNodes_, 1);
    const auto infos = upstreams_.column<UpstreamChanged>();
    const auto views = upstreams_.column<UpstreamView>();
    for (std::size_t i = 0; i < infos.size(); ++i)
        views[i].home_ = findHome(infos[i].upstream_, infos[i].region_, now);
}

} // namespace jj
