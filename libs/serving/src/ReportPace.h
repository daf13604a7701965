// How often a node reports to its cell what it runs.
//
// Each change is reported at once while the cell is small. Failure met: every node hears every other one's reports, so their number grows with
// the square of the fleet; at 180 nodes of a region and 2,350 requests a second each would hear 4,700 a second, 5% of a core for reports
// alone. The guard: while more is heard than a node should spend on it, its own reports wait for each other and carry several changes. All
// nodes hear about the same, so all slow down alike, and speed up again when it gets quiet.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace jj {

struct ReportPaceSettings {
    // One costs some 11 us on the users' hosts, so a thousand a second are 1.1% of a core; 1.4% are to be spent on control.
    double mostHeard_ = 1000; // a second
    // Below this part of it reports come sooner again.
    double easyPart_ = 0.8;
    Duration judgedEvery_ = 200ms;
    Duration step_ = 5ms;
    // Picks by older reports than this collide about as often as picks by none.
    Duration longest_ = 250ms;
};

class ReportPace {
public:
    explicit ReportPace(ReportPaceSettings settings = {})
        : settings_(settings)
    {
    }

    void heard() { ++heard_; }
    void sent(TimePoint now) { reportedAt_ = now; }
    void tick(TimePoint now);
    // When the next report may go.
    TimePoint nextAt() const { return reportedAt_ + interval_; }
    Duration interval() const { return interval_; }

private:
    ReportPaceSettings settings_;
    std::uint32_t heard_ = 0; // since judgedAt_
    TimePoint judgedAt_ {};
    TimePoint reportedAt_ {};
    Duration interval_ {}; // between two reports of this node
};

} // namespace jj
