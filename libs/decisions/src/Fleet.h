// What a node knows of the fleet: upstreams and their load, nodes, homes, links and the services' policies. Shared by both roles.
#pragma once

#include "Budgets.h"
#include "decisions/Decisions.h"
#include "tables/Table.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <map>
#include <tuple>
#include <vector>

namespace jj {

// What this node believes of one upstream, beside what UpstreamChanged says.
struct UpstreamView {
    NodeId home_;
    // Newest report of its home. Invariant: sequence_ never falls for one home_ of the report.
    HomeLoad load_ {};
    bool loadKnown_ = false;
    // Newest report of the engine itself; lags.
    EngineReported report_ {};
    // Handed over by this node since load_ was read.
    std::uint32_t sentOnline_ = 0;
    std::uint32_t sentBatch_ = 0;
    // Failed lately on this node's own requests.
    TimePoint avoidUntil_ {};
};

struct MemberView {
    RegionId region_;
    NodeState state_ = NodeState::Live;
    // Stepped over as a home until then: it lost a hand-over of ours.
    TimePoint silentUntil_ {};
};

// The serving upstreams of one service in one region.
struct Pool {
    struct RingPoint {
        std::uint64_t hash_ = 0;
        UpstreamId upstream_;

        friend bool operator<(const RingPoint& a, const RingPoint& b) { return std::tie(a.hash_, a.upstream_) < std::tie(b.hash_, b.upstream_); }
    };

    std::vector<UpstreamId> serving_;
    // Consistent-hash ring, sorted: the same prefix leads all nodes to the same engine without a message.
    std::vector<RingPoint> ring_;
};

struct LinkView {
    bool up_ = true;
    Duration delay_ {};
    LinkBudget budget_;
};

class Fleet {
public:
    explicit Fleet(const DecisionsSettings& settings)
        : settings_(settings)
    {
    }

    const DecisionsSettings& settings() const { return settings_; }
    const Features& features() const { return settings_.features_; }
    const ServicePolicy& policy(ServiceId service) const;

    void apply(const UpstreamChanged& event);
    void apply(const NodeChanged& event, TimePoint now);
    void apply(const LinkChanged& event);
    void apply(const ConfigurationApplied& event);
    void apply(const HomeReported& event);
    void apply(const EngineReported& event);

    // The node lost a hand-over of ours: the next in the hash order takes its place for a while.
    void markSilent(NodeId node, TimePoint now);
    void tick(TimePoint now);

    const UpstreamChanged* upstream(UpstreamId id) const { return upstreams_.cell<UpstreamChanged>(id); }
    UpstreamView* view(UpstreamId id) { return upstreams_.cell<UpstreamView>(id); }
    const Pool* pool(ServiceId service, RegionId region) const;
    // Regions that have upstreams of the service, this node's own first.
    const std::vector<RegionId>& regions() const { return regions_; }
    LinkView* link(RegionId region);
    // Calls visit(UpstreamId) for each upstream whose home is this node.
    template <class Visit>
    void forEachHomed(Visit&& visit) const
    {
        const auto views = upstreams_.column<UpstreamView>();
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (views[i].home_ == settings_.self_)
                visit(upstreams_.ids()[i]);
        }
    }
    std::size_t liveNodes() const { return liveNodes_; }
    std::uint32_t slotsOf(const UpstreamChanged& upstream) const;

private:
    static constexpr int ringPointsEach = 8;
    static constexpr Duration silenceFor = std::chrono::seconds(2);

    void rebuildPool(ServiceId service, RegionId region);
    NodeId findHome(UpstreamId upstream, RegionId region, TimePoint now) const;
    void refreshHomes(TimePoint now);

    DecisionsSettings settings_;
    Table<UpstreamId, UpstreamChanged, UpstreamView> upstreams_;
    Table<NodeId, MemberView> members_;
    std::map<std::pair<ServiceId, RegionId>, Pool> pools_;
    std::vector<RegionId> regions_;
    boost::unordered_flat_map<RegionId, LinkView, std::hash<RegionId>> links_;
    boost::unordered_flat_map<ServiceId, ServicePolicy, std::hash<ServiceId>> policies_;
    ConfigVersion version_;
    std::size_t liveNodes_ = 1;
    // Earliest end of a member's silence; neverTime when none is silent.
    TimePoint nextSilenceEnd_ = neverTime;
};

} // namespace jj
