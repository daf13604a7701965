// Tests how many reports each node receives when a region grows.
//
// Requests arrive at each entry at random, and each request changes the load of its node twice: when it starts and when it ends. In
// the first test the load of each of the 42 nodes of a region changes 12 times a second, as observed on a day in a fleet of 84 nodes. The
// second test assumes the size in two years: 180 nodes in a region, each with 26 changes a second.
#include "ReportPace.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace jj;

namespace {

struct ReportStats {
    double perSecond_ = 0; // reports that one node receives
    Duration meanDelay_ {}; // from a change to the report that contains it
};

// Simulates 30 s in steps of a millisecond, and returns the results for the last 20 s.
ReportStats simulate(std::size_t nodes, double changesPerSecond)
{
    struct Node {
        ReportPace pace_;
        std::vector<TimePoint> unreported_; // times of changes that haven't been reported yet
    };
    constexpr Duration step = 1ms;
    const TimePoint end = TimePoint() + 30s;
    const TimePoint from = TimePoint() + 10s;
    std::mt19937_64 random(5);
    std::bernoulli_distribution changes(changesPerSecond * toSeconds(step));
    std::vector<Node> all(nodes);
    double reports = 0;
    double reported = 0;
    Duration delays {};
    for (TimePoint now {}; now < end; now += step) {
        for (Node& node : all) {
            node.pace_.tick(now);
            if (changes(random))
                node.unreported_.push_back(now);
            if (node.unreported_.empty() || now < node.pace_.nextReportAt())
                continue;
            if (now >= from) {
                reports += 1;
                reported += static_cast<double>(node.unreported_.size());
                for (const TimePoint at : node.unreported_)
                    delays += now - at;
            }
            node.unreported_.clear();
            node.pace_.sent(now);
            for (Node& other : all) {
                if (&other != &node)
                    other.pace_.received();
            }
        }
    }
    return { reports / toSeconds(end - from), fromSeconds(toSeconds(delays) / reported) };
}

} // namespace

TEST_CASE("in a region of 42 nodes each change is reported immediately")
{
    const ReportStats received = simulate(42, 12);
    CHECK(received.perSecond_ > 480);
    CHECK(received.meanDelay_ == Duration::zero());
}

// The region has four times as many nodes, and each node twice as many requests. Without a limit each node would receive 4,700 reports a
// second.
TEST_CASE("in a region of 180 nodes a node receives about 1,000 reports a second, and changes are reported after about 100 ms")
{
    const ReportStats received = simulate(180, 26);
    CHECK(received.perSecond_ < 1150);
    CHECK(received.perSecond_ > 700);
    CHECK(received.meanDelay_ < 110ms);
}
