// Computes how long engines whose entries are missing stay in use after the store was unreachable.
//
// Entries that expired during a store outage are registered again within about two seconds of the store's recovery; an entry that
// is still missing then belongs to an engine that was removed. The grace period starts at the recovery of the store, as seen by
// this node.
//
// The period must not start when a removal is seen. If it did, a node that had briefly lost the store and saw an engine leave without
// notice nearly two seconds after the recovery would use it for two more seconds, and would be the only node to send it requests
// later than the time limit for leaving engines. A period that starts at the recovery ends before any such limit.
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace jj {

class OutageGrace {
public:
    explicit OutageGrace(Duration grace)
        : grace_(grace)
    {
    }

    // Records that a call could not reach the store.
    void recordFailure(TimePoint now) { failedAt_ = now; }
    // Records that the store answered a call. The first answer after an outage marks the store's recovery.
    void recordSuccess(TimePoint now)
    {
        if (failedAt_ == neverTime)
            return;
        failedAt_ = neverTime;
        recoveredAt_ = now;
    }

    // Returns the rest of the grace period, or zero if missing engines are to be removed at once. `reachableSince` is the time since
    // which this node's other calls have reached the store.
    Duration remaining(TimePoint reachableSince, TimePoint now) const { return std::max<Duration>(std::max(recoveredAt_, reachableSince) + grace_ - now, Duration::zero()); }

private:
    Duration grace_;
    TimePoint failedAt_ = neverTime; // neverTime if no call has failed since the last answer
    TimePoint recoveredAt_ {};
};

} // namespace jj
