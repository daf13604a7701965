// The order of a graceful shutdown, after SIGTERM or `jj drain`.
//
//   1. NotReady: the platform's balancer sends no new callers. LeaveStarted to membership: no new work as home.
//   2. While the mark spreads, callers and peers that haven't heard of it are still served: nothing is refused.
//   3. HandOver: what waits in this home's queues goes to the next homes, batch streams too, with their positions. Repeated, because
//      late requests still come in from nodes that learned of the mark last.
//   4. Open streams finish. ReleaseLeases as soon as no batch item of this node runs.
//   5. LeaveFinished to membership, and Exit with code 0; 1 when the bound cut something off.
//
// Why no request is cut off: a node stops taking work only after the others have had time to learn that it leaves, and it ends only
// when nothing is open. The bound is for streams that hang; it is a setting.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jj {

struct DrainSettings {
    Duration spreadTime_ = 2s; // until the mark is on all nodes and the balancer has seen /readyz
    Duration handOverEvery_ = 250ms;
    Duration quietTime_ = 1s; // nothing open for so long: the last callers' connections are done
    Duration bound_ = 120s;
};

// What the node still has open, counted at each tick.
struct DrainLoad {
    std::size_t callers_ = 0; // requests of callers that this node answers
    std::size_t streams_ = 0; // streams at engines and calls at plain services
    std::size_t queued_ = 0; // requests that wait here as home
    std::size_t batchItems_ = 0; // items of jobs that this node's leases run
    std::size_t leases_ = 0;

    std::size_t open() const { return callers_ + streams_ + queued_ + batchItems_; }
};

enum class DrainAction : std::uint8_t {
    NotReady,
    SpreadMark, // LeaveStarted
    HandOver,
    StopBatch, // the jobs take no new items (DrainAsked)
    ReleaseLeases,
    Farewell, // LeaveFinished
    Exit,
};

class DrainPlan {
public:
    explicit DrainPlan(const DrainSettings& settings = {})
        : settings_(settings)
    {
    }

    // The second and later calls change nothing.
    void begin(TimePoint now);
    bool isDraining() const { return begun_; }
    // What to do now, in order. After Exit nothing more comes.
    std::vector<DrainAction> tick(const DrainLoad& load, TimePoint now);
    // 0 when nothing was cut off. Valid after Exit.
    int exitCode() const { return exitCode_; }

private:
    DrainSettings settings_;
    bool begun_ = false;
    bool announced_ = false;
    bool batchStopped_ = false;
    bool leasesReleased_ = false;
    bool ended_ = false;
    int exitCode_ = 0;
    TimePoint begunAt_ {};
    TimePoint nextHandOver_ {};
    TimePoint lastOpen_ {};
};

} // namespace jj
