// Tests the choice of hosts that spool a job.
#include "SpoolReplicas.h"

#include <doctest/doctest.h>
#include <map>

using namespace jj;

namespace {

// Three hosts with a disk, each in its own failure domain: two in the local region, one in another.
std::vector<SpoolReplicaCandidate> threeHosts()
{
    return { { NodeId(1), FailureDomainId(1), RegionId(1), true }, { NodeId(2), FailureDomainId(2), RegionId(1), true }, { NodeId(3), FailureDomainId(3), RegionId(2), false } };
}

} // namespace

TEST_CASE("serving: a job is spooled nearby, in different failure domains, on one host more than may be lost")
{
    CHECK(chooseSpoolReplicas(threeHosts(), { 1, 0, 0 }, 7).size() == 2);
    for (const NodeId node : chooseSpoolReplicas(threeHosts(), { 1, 0, 0 }, 7))
        CHECK(node != NodeId(3));
    CHECK(chooseSpoolReplicas(threeHosts(), { 2, 0, 0 }, 7).size() == 3);
    std::vector<SpoolReplicaCandidate> sameDomain = threeHosts();
    sameDomain[1].domain_ = FailureDomainId(1);
    const auto chosen = chooseSpoolReplicas(sameDomain, { 1, 0, 0 }, 7);
    CHECK(std::find(chosen.begin(), chosen.end(), NodeId(3)) != chosen.end());
}

// If a whole region may be lost, the job needs copies in two regions, otherwise it must not be acknowledged.
TEST_CASE("serving: copies are in more failure domains and regions than may be lost")
{
    const auto overRegions = chooseSpoolReplicas(threeHosts(), { 1, 0, 1 }, 7);
    REQUIRE(overRegions.size() == 2);
    CHECK(std::find(overRegions.begin(), overRegions.end(), NodeId(3)) != overRegions.end());
    std::vector<SpoolReplicaCandidate> here = threeHosts();
    here.pop_back();
    CHECK(chooseSpoolReplicas(here, { 1, 0, 1 }, 7).empty());
    here[1].domain_ = FailureDomainId(1);
    CHECK(chooseSpoolReplicas(here, { 1, 1, 0 }, 7).empty());
    CHECK(chooseSpoolReplicas(here, { 1, 0, 0 }, 7).size() == 2);
    CHECK(chooseSpoolReplicas({}, { 0, 0, 0 }, 7).empty());
}

TEST_CASE("serving: spooled jobs are spread over all candidate hosts")
{
    std::vector<SpoolReplicaCandidate> many;
    for (std::uint64_t node = 1; node <= 6; ++node)
        many.push_back({ NodeId(node), FailureDomainId(node), RegionId(1), true });
    std::map<NodeId, int> uses;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        for (const NodeId node : chooseSpoolReplicas(many, { 1, 0, 0 }, seed))
            ++uses[node];
    }
    for (const auto& [node, count] : uses)
        CHECK(count > 60);
    CHECK(uses.size() == many.size());
}
