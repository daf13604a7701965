// How a region that grows is cut into cells.
#include "Cells.h"

#include "base/Hash.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace jj;

namespace {

const RegionId north { 7 };

NodeId node(std::uint64_t number) { return NodeId(mixHash(1, number)); }
UpstreamId engine(std::uint64_t number) { return UpstreamId(mixHash(2, number)); }

} // namespace

TEST_CASE("a region of today's size is one cell, which stands for the region")
{
    Cells cells;
    CHECK_FALSE(cells.setNodes(42));
    CHECK(cells.cellOf(north, node(1)) == north);
    CHECK(cells.cellOf(north, engine(1)) == north);
}

// In two years: 180 nodes and 395 engines a region. A cell without enough engines for its nodes would send all of its work to others.
TEST_CASE("a region of 180 nodes is cut into four cells, each with its part of the engines")
{
    Cells cells;
    CHECK(cells.setNodes(180));
    CHECK(cells.count() == 4);
    std::map<RegionId, int> nodes;
    std::map<RegionId, int> engines;
    for (std::uint64_t number = 0; number < 180; ++number)
        ++nodes[cells.cellOf(north, node(number))];
    for (std::uint64_t number = 0; number < 395; ++number)
        ++engines[cells.cellOf(north, engine(number))];
    REQUIRE(nodes.size() == 4);
    for (const auto& [cell, count] : nodes) {
        CHECK(count > 25);
        CHECK(count < 65);
        CHECK(engines[cell] > 65);
        CHECK(engines[cell] < 135);
    }
    CHECK(cells.cellOf(RegionId(8), node(1)) != cells.cellOf(north, node(1)));
}

// Nodes count the others by what they have heard, and disagree while some come or go. A node that tells a part of those who listen to it
// would leave the rest with old news for good.
TEST_CASE("the cells of a finer cut are parts of those of a coarser one")
{
    Cells coarse;
    Cells fine;
    coarse.setNodes(100);
    fine.setNodes(200);
    REQUIRE(coarse.count() == 2);
    REQUIRE(fine.count() == 4);
    std::map<RegionId, std::set<RegionId>> within;
    for (std::uint64_t number = 0; number < 200; ++number)
        within[fine.cellOf(north, node(number))].insert(coarse.cellOf(north, node(number)));
    CHECK(std::ranges::all_of(within, [](const auto& entry) { return entry.second.size() == 1; }));
}

TEST_CASE("the number of cells doesn't follow single nodes that come and go")
{
    Cells cells;
    cells.setNodes(113);
    REQUIRE(cells.count() == 4);
    CHECK_FALSE(cells.setNodes(100));
    CHECK_FALSE(cells.setNodes(120));
    CHECK(cells.setNodes(75));
    CHECK(cells.count() == 2);
    CHECK(cells.setNodes(10));
    CHECK(cells.count() == 1);
}
