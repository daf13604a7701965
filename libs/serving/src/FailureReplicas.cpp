// Records are sent as calls, whose replies carry the receivers' records.
#include "FailureReplicas.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    // Including this host, which may be among those that the hash chooses.
    constexpr std::size_t replicas = 4;
    constexpr Duration shareTimeout = 600ms;

} // namespace

std::vector<NodeId> chooseFailureReplicas(std::uint64_t job, const std::vector<FailureReplicaCandidate>& candidates)
{
    std::vector<ReplicaCandidate> live, staying;
    for (const FailureReplicaCandidate& candidate : candidates) {
        live.push_back(candidate.host_);
        if (!candidate.isLeaving_)
            staying.push_back(candidate.host_);
    }
    std::vector<NodeId> nodes = chooseReplicas(job, staying, replicas);
    for (const NodeId node : chooseReplicas(job, live, replicas)) {
        if (std::find(nodes.begin(), nodes.end(), node) == nodes.end())
            nodes.push_back(node);
    }
    return nodes;
}

void FailureReplicas::share(const JobFailures& failures)
{
    for (const NodeId node : replicasOf(failures.job_.name_))
        fleet_.request(node, ShareFailuresRequest { failures }, shareTimeout, [this, node, job = failures.job_](const Result<PeerReply>& reply) { handleReply(node, job, reply); });
}

JobFailures FailureReplicas::handle(const JobFailures& failures)
{
    scheduler_.handleFailures(failures, SystemClock().now());
    return scheduler_.answerTo(failures);
}

void FailureReplicas::handleReply(NodeId from, const JobKey& job, const Result<PeerReply>& reply)
{
    const auto* known = reply ? std::get_if<ShareFailuresReply>(&reply.value()) : nullptr;
    if (!known) {
        log_.line("failuresNotShared").with("job", job.name_).with("node", fleet_.addressOf(from)).with("error", reply ? "unexpected reply" : reply.error().message());
        return;
    }
    // The hosts that hold copies now may not be those that held them before.
    if (scheduler_.handleFailures(known->failures_, SystemClock().now()))
        share(scheduler_.failuresOf(job));
}

std::vector<NodeId> FailureReplicas::replicasOf(const JobName& job) const
{
    std::vector<FailureReplicaCandidate> candidates { { { fleet_.self(), fleet_.domain() } } };
    for (const Peer& peer : fleet_.peers()) {
        if (peer.isLive())
            candidates.push_back({ { peer.node_, peer.domain_ }, peer.leaving_ });
    }
    std::vector<NodeId> nodes = chooseFailureReplicas(hash64(job), candidates);
    std::erase(nodes, fleet_.self());
    return nodes;
}

} // namespace jj
