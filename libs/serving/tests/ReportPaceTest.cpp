// How many reports nodes hear when a region grows.
//
// The load: each entry takes requests at random moments; each request changes what the node runs twice. Today 42 nodes of a region change
// 12 times a second each, which is what a day of 84 nodes showed; in two years 180 nodes change 26 times a second each.
#include "ReportPace.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace jj;

namespace {

struct Heard {
    double perSecond_ = 0; // reports that one node hears
    Duration meanDelay_ {}; // from a change to the report that carries it
};

// The last 20 of 30 s, in steps of a millisecond.
Heard play(std::size_t nodes, double changesPerSecond)
{
    struct Node {
        ReportPace pace_;
        std::vector<TimePoint> unreported_; // changes that wait for a report
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
            if (node.unreported_.empty() || now < node.pace_.nextAt())
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
                    other.pace_.heard();
            }
        }
    }
    return { reports / toSeconds(end - from), fromSeconds(toSeconds(delays) / reported) };
}

} // namespace

TEST_CASE("in a region of today's size each change is reported at once")
{
    const Heard heard = play(42, 12);
    CHECK(heard.perSecond_ > 480);
    CHECK(heard.meanDelay_ == Duration::zero());
}

// The region has grown fourfold and each node takes twice the requests. Without a pace each node hears 4,700 reports a second.
TEST_CASE("in a region of 180 nodes a node hears a thousand reports a second, and changes wait for a tenth of a second")
{
    const Heard heard = play(180, 26);
    CHECK(heard.perSecond_ < 1150);
    CHECK(heard.perSecond_ > 700);
    CHECK(heard.meanDelay_ < 110ms);
}
