// Fair shares over a whole fleet in virtual time: each test is a pattern of load or failure. The bounds are the targets of the fair shares. Each
// is also applied to the order of arrival, which must miss it: otherwise the pattern wouldn't show that claims are needed.
#include "ShareFleet.h"

#include <doctest/doctest.h>

#include <string>

using namespace jj;

namespace {

constexpr double worstBound = 0.92;
constexpr double bytesBound = 1000; // a second, sent by a host on the mean, which is also what it receives

ShareFleetShape smallShape()
{
    ShareFleetShape shape;
    shape.hosts_ = 12;
    shape.cells_ = 2;
    shape.engines_ = 32;
    shape.workspaces_ = 50;
    shape.competing_ = 6;
    return shape;
}

ShareFleet::Figures figuresOf(ShareFleet& fleet, Duration before, Duration time)
{
    fleet.advance(before);
    fleet.take();
    fleet.advance(time);
    return fleet.take();
}

void print(const std::string& name, const ShareFleet::Figures& figures)
{
    MESSAGE(name, ": worst ", figures.worst_, ", Jain ", figures.jain_, ", others ran ", figures.background_, ", bytes sent ", figures.sent_, ", ranks ", figures.ofRank_[0], " ", figures.ofRank_[1]);
}

void checkFair(const std::string& name, const ShareFleetShape& shape)
{
    ShareFleet fleet(ShareWay::Exchanged, shape, 1);
    const auto figures = figuresOf(fleet, 6s, 30s);
    print(name, figures);
    CHECK(figures.worst_ >= worstBound);
    CHECK(figures.sent_ < bytesBound);
    ShareFleet byArrival(ShareWay::Fifo, shape, 1);
    CHECK(figuresOf(byArrival, 6s, 30s).worst_ < worstBound);
}

} // namespace

TEST_CASE("fleet: one workspace that requests three times all slots leaves eight small ones what they request")
{
    ShareFleetShape shape = smallShape();
    shape.hosts_ = 3;
    shape.cells_ = 1;
    shape.engines_ = 6;
    shape.competing_ = shape.workspaces_ = 9;
    for (const ShareWay way : { ShareWay::Exchanged, ShareWay::Fifo }) {
        ShareFleet fleet(way, shape, 1);
        for (std::size_t one = 0; one < 8; ++one)
            fleet.setDemand(one, 1);
        fleet.setDemand(8, 72);
        const auto figures = figuresOf(fleet, 6s, 60s);
        print("one large", figures);
        CHECK((figures.worst_ >= worstBound) == (way == ShareWay::Exchanged));
    }
}

TEST_CASE("fleet: workspaces of different sizes, and twice the slots requested")
{
    checkFair("sizes", smallShape());
}

// Guards against claims that count only what a host has run itself.
TEST_CASE("fleet: one host has ten times the callers of the others")
{
    ShareFleetShape shape = smallShape();
    shape.unevenFactor_ = 10;
    checkFair("uneven", shape);
}

TEST_CASE("fleet: weights of 1, 2 and 4")
{
    ShareFleetShape shape = smallShape();
    shape.isUnequal_ = true;
    checkFair("weights", shape);
}

TEST_CASE("fleet: a tenth of the messages is lost, a tenth comes twice, and they overtake each other")
{
    ShareFleetShape shape = smallShape();
    shape.loss_ = 0.1;
    shape.duplicates_ = 0.1;
    shape.jitter_ = 800ms;
    checkFair("bad network", shape);
}

TEST_CASE("fleet: two ranks that each request four fifths of the slots")
{
    ShareFleetShape shape = smallShape();
    shape.ranks_ = 2;
    shape.load_ = 1.6;
    shape.workspaces_ = shape.competing_;
    ShareFleet fleet(ShareWay::Exchanged, shape, 1);
    for (std::size_t one = 0; one < shape.competing_; ++one)
        fleet.setDemand(one, 1.6 * fleet.slots() / 6);
    const auto figures = figuresOf(fleet, 6s, 30s);
    print("ranks", figures);
    CHECK(figures.ofRank_[0] >= 0.95 * 0.8);
    CHECK(figures.ofRank_[1] >= 0.1);
}

// Guards against lower ranks that get nothing while the urgent ones request all slots.
TEST_CASE("fleet: the lower ranks get a tenth while the urgent ones request twice the slots")
{
    ShareFleetShape shape = smallShape();
    shape.ranks_ = 2;
    shape.workspaces_ = shape.competing_;
    shape.load_ = 4;
    ShareFleet fleet(ShareWay::Exchanged, shape, 1);
    const auto figures = figuresOf(fleet, 10s, 30s);
    print("urgent flood", figures);
    CHECK(figures.ofRank_[1] >= 0.1);
    CHECK(figures.ofRank_[0] >= 0.8);
}

TEST_CASE("fleet: hosts killed, restarted, cut off and paused")
{
    const ShareFleetShape shape = smallShape();
    ShareFleet fleet(ShareWay::Exchanged, shape, 1);
    const auto check = [&](const char* event) {
        const auto figures = figuresOf(fleet, 4s, 40s); // after two ages of the reports
        print(event, figures);
        CHECK(figures.worst_ >= worstBound);
    };
    fleet.advance(6s);
    for (std::size_t host = 0; host < shape.hosts_; host += 3)
        fleet.kill(host);
    check("a third killed");
    for (std::size_t host = 0; host < shape.hosts_; ++host)
        fleet.kill(host);
    fleet.advance(1s);
    for (std::size_t host = 0; host < shape.hosts_; ++host)
        fleet.restart(host);
    check("all killed");
    for (std::size_t host = 0; host < shape.hosts_; host += 3)
        fleet.setCut(host, true);
    check("a third cut off");
    for (std::size_t host = 0; host < shape.hosts_; host += 3)
        fleet.setCut(host, false);
    fleet.setPaused(1, true);
    fleet.advance(5s);
    fleet.setPaused(1, false);
    check("one paused and resumed");
}

// Guards against control traffic on fleets that have room for everybody.
TEST_CASE("fleet: nothing is sent while no request waits, and under 1 KB/s while thirty workspaces compete")
{
    ShareFleetShape shape = smallShape();
    shape.competing_ = 30;
    shape.load_ = 0.3;
    ShareFleet idle(ShareWay::Exchanged, shape, 1);
    CHECK(figuresOf(idle, 6s, 10s).sent_ == 0);
    shape.load_ = 2;
    ShareFleet busy(ShareWay::Exchanged, shape, 1);
    const auto figures = figuresOf(busy, 6s, 10s);
    print("thirty", figures);
    CHECK(figures.sent_ > 0);
    CHECK(figures.sent_ < bytesBound);
}
