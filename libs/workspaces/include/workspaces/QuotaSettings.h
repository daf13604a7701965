// The bound on what a workspace may run over all hosts, and the times of the messages that keep it.
#pragma once

#include "base/Time.h"
#include "workspaces/WorkspaceTable.h"

namespace jj {

// In any span of window_, a workspace may run (perSecond x window_ + burst) x (1 + over_) + slack_ requests.
struct QuotaBound {
    Duration window_ = 5s;
    double over_ = 0.1;
    double slack_ = 20;

    // Returns the number of requests that the bound allows beyond the quota itself.
    double allowanceOf(const Quota& quota) const { return over_ * (quota.perSecond_ * toSeconds(window_) + quota.burst_) + slack_; }
};

struct QuotaSettings {
    QuotaBound bound_;
    // Hosts that keep the account of a workspace. The first one that answers decides; the others have the same counts and can take over.
    std::size_t accountants_ = 3;
    // A host that reaches less than this share of the hosts it knows counts as cut off, and uses only that share of the quotas.
    double isolatedBelow_ = 0.25;
    // Hosts request decisions once the credit lasts for less than this time at the present demand. It covers the way of the counts to
    // the accountant and of its notice back, between regions.
    Duration reserveTime_ = 150ms;
    // Mean age of the arrivals from which the demand is estimated.
    Duration demandTime_ = 400ms;
    // Time that a host waits for a decision before it queries the next accountant; a round trip between regions and a busy process.
    Duration decisionTimeout_ = 80ms;
    // Hosts refuse locally for this time after a refusal, so that a flood costs each host few messages.
    Duration refusalTime_ = 50ms;
    // Notices of scarce workspaces are repeated, and expire at hosts that no longer receive them.
    Duration noticePeriod_ = 400ms;
    Duration noticeLifetime_ = 1500ms;
    // A host that has just started, or was paused for longer than pauseThreshold_, requests decisions, since it may have missed notices.
    Duration caution_ = 1500ms;
    Duration pauseThreshold_ = 500ms;
    // A count is repeated after this time, to make up for a lost datagram.
    Duration repeatAfter_ = 250ms;
};

} // namespace jj
