// Queries of the peer table: which nodes are live, which should own or spool a job, and which may follow the store.
#include "Fleet.h"

#include "base/Hash.h"

#include <algorithm>
#include <array>

namespace jj {

namespace {

    // Time after the start by which membership has discovered all live nodes. Until then an unknown node counts as live.
    constexpr Duration discoveryTime = 4s;
    // A report received within this time outweighs a failed membership probe.
    constexpr Duration freshReportAge = 1200ms;
    // Spooled jobs of a host that has been silent for longer are ignored. By then the other hosts with copies have written them to the
    // store; the silent host submits its copies when it restarts.
    constexpr Duration spooledJobsRetention = 60s;

} // namespace

bool Fleet::isLive(NodeId node) const
{
    if (node == self_)
        return true;
    const Peer* peer = peers_.find(node);
    if (!peer)
        return now_ - startedAt_ < discoveryTime;
    return peer->isLive() || now_ - peer->lastSeenAt_ < freshReportAge;
}

std::string Fleet::addressOf(NodeId node) const
{
    const Peer* peer = peers_.find(node);
    return peer ? peer->at_.toString() : std::string();
}

RegionId Fleet::regionOf(NodeId node) const
{
    const Peer* peer = peers_.find(node);
    return peer ? peer->region_ : options_.region_;
}

NodeId Fleet::preferredOwner(std::string_view job, NodeId former) const
{
    const RegionId region = former == self_ || former.isNone() ? options_.region_ : regionOf(former);
    const std::uint64_t jobHash = hash64(job);
    // By preference: nodes that run jobs in the region, nodes that run jobs elsewhere, all other nodes.
    std::array<std::pair<std::uint64_t, NodeId>, 3> best {};
    const auto consider = [&](NodeId node, RegionId nodeRegion, bool runsJobs) {
        const std::uint64_t weight = mixHash(jobHash, node.value());
        const std::size_t rank = !runsJobs ? 2 : nodeRegion == region ? 0
                                                                      : 1;
        if (best[rank].second.isNone() || weight > best[rank].first)
            best[rank] = { weight, node };
    };
    if (!isLeaving())
        consider(self_, options_.region_, options_.runsJobs_);
    for (const Peer& peer : peers_.rows()) {
        if (peer.isLive() && !peer.leaving_)
            consider(peer.node_, peer.region_, peer.runsJobs_);
    }
    for (const auto& [weight, node] : best) {
        if (!node.isNone())
            return node;
    }
    return NodeId::none();
}

std::vector<WatchPeer> Fleet::watchPeers() const
{
    std::vector<WatchPeer> found;
    found.reserve(peers_.rows().size());
    for (const Peer& peer : peers_.rows()) {
        const bool mayWatch = peer.isLive() && !peer.leaving_ && peer.region_ == options_.region_;
        found.push_back({ peer.node_, mayWatch, peer.watching_ && now_ - peer.lastSeenAt_ < freshReportAge });
    }
    return found;
}

std::vector<NodeId> Fleet::selectSpoolHosts(const TolerableLosses& losses, const std::vector<NodeId>& excluded)
{
    std::vector<SpoolReplicaCandidate> candidates;
    for (const Peer& peer : peers_.rows()) {
        const bool isReportFresh = now_ - peer.lastSeenAt_ < freshReportAge;
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), peer.node_) != excluded.end();
        if (peer.isLive() && isReportFresh && !peer.leaving_ && peer.spoolsJobs_ && !isExcluded)
            candidates.push_back({ peer.node_, peer.domain_, peer.region_, peer.region_ == options_.region_ });
    }
    return chooseSpoolReplicas(std::move(candidates), losses, mixHash(self_.value(), ++spoolSelections_));
}

bool Fleet::hasPeerWithSpooledJobs() const
{
    const auto& rows = peers_.rows();
    return std::any_of(rows.begin(), rows.end(), [this](const Peer& peer) { return peer.spooledJobs_ > 0 && now_ - peer.lastSeenAt_ < spooledJobsRetention; });
}

bool Fleet::mayBeReplaced() const
{
    const auto& rows = peers_.rows();
    return std::any_of(rows.begin(), rows.end(), [this](const Peer& peer) {
        return peer.runsJobs_ && peer.state_ != MemberState::Left && now_ - peer.lastSeenAt_ > freshReportAge && now_ - peer.lastSeenAt_ < 60s;
    });
}

} // namespace jj
