// Limits how often a node reports its load to its cell.
//
// In a small cell each change is reported immediately. Since every node receives the reports of every other one, the total number of
// received reports grows with the square of the number of nodes. With 180 nodes in a region and 2,350 requests a second, each node would
// receive 4,700 reports a second and spend 5% of a core on them. Therefore a node that receives more than maxReceivedPerSecond_ reports
// a second delays its own reports, so that each one carries several changes. All nodes receive about the same number of reports, so all
// slow down alike, and speed up again when the load falls.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace jj {

struct ReportPaceSettings {
    // Processing a report takes about 11 us on the users' hosts, so 1,000 a second take 1.1% of a core. The budget for all control traffic
    // is 1.4%.
    double maxReceivedPerSecond_ = 1000; // reports per second
    // Below this fraction of maxReceivedPerSecond_ the interval between own reports is shortened again.
    double speedUpFraction_ = 0.8;
    Duration adjustPeriod_ = 200ms;
    Duration intervalStep_ = 5ms;
    // With reports older than this, nodes pick the same engine about as often as without any reports.
    Duration maxInterval_ = 250ms;
};

class ReportPace {
public:
    explicit ReportPace(ReportPaceSettings settings = {})
        : settings_(settings)
    {
    }

    // Records that a report or a digest has arrived; both count as reports.
    void received() { ++received_; }
    void sent(TimePoint now) { reportedAt_ = now; }
    void tick(TimePoint now);
    // Returns the earliest time of the next report.
    TimePoint nextReportAt() const { return reportedAt_ + interval_; }
    Duration interval() const { return interval_; }

private:
    ReportPaceSettings settings_;
    std::uint32_t received_ = 0; // number of reports and digests received since adjustedAt_
    TimePoint adjustedAt_ {};
    TimePoint reportedAt_ {};
    Duration interval_ {}; // minimum time between two reports of this node
};

} // namespace jj
