// Tests the choice of hosts that records of failed items are sent to.
#include "FailureReplicas.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace jj;

namespace {

constexpr std::uint64_t job = 7;
constexpr std::uint64_t hosts = 12;

std::vector<FailureReplicaCandidate> manyHosts()
{
    std::vector<FailureReplicaCandidate> candidates;
    for (std::uint64_t host = 1; host <= hosts; ++host)
        candidates.push_back({ { NodeId(host), FailureDomainId(static_cast<std::uint32_t>(1 + host % 4)) } });
    return candidates;
}

} // namespace

// Guards against failures that are counted anew, because all hosts that know them are leaving when the job's next owner asks.
TEST_CASE("serving: hosts that held records of failed items are asked while they leave, and others get copies")
{
    auto candidates = manyHosts();
    const auto before = chooseFailureReplicas(job, candidates);
    REQUIRE(before.size() == 4);
    for (auto& candidate : candidates)
        candidate.isLeaving_ = std::find(before.begin(), before.end(), candidate.host_.node_) != before.end();
    const auto after = chooseFailureReplicas(job, candidates);
    CHECK(after.size() == 8);
    for (const NodeId node : before)
        CHECK(std::count(after.begin(), after.end(), node) == 1);
}
