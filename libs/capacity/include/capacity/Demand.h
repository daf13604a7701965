// Work of batch jobs that is promised: how much of it is due by when, and how much the engines can do until then.
//
//     if (ahead.before(due) + work <= share.until(due, now)) ...      // it can be done in time
//
// Pattern answered: for many seconds jobs ask for more than questions leave. Taken in all the same and run in order of their due times, each
// job gets slots when it is nearly due, few are done in time and all of them wait. Known beforehand, the work that can't be done
// is refused, or stands back as a whole, and the rest is in time.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

// Slot time that is wanted by a time.
struct DemandStep {
    Duration dueIn_ {}; // from when it was told
    Duration work_ {}; // on one slot

    friend bool operator==(const DemandStep&, const DemandStep&) = default;
};

// Steps in order of their due times. Neighbours are joined until there are at most `mostSteps`, with the later due time: told to
// others it must fit into a datagram beside all else, however many jobs a node has.
std::vector<DemandStep> joined(std::vector<DemandStep> steps, std::size_t mostSteps);

// Work of the steps that is due by `dueIn`.
Duration workBefore(const std::vector<DemandStep>& steps, Duration dueIn);

// The slots that questions leave, averaged over their rhythm.
class BatchShare {
public:
    // What is seen now: slots of engines that can be used, and those that questions hold.
    void sample(std::uint32_t slots, std::uint32_t questions, TimePoint now);
    // Slot time that is there for batch until then.
    Duration until(TimePoint due, TimePoint now) const;
    double slots() const { return slots_ - questions_; }

private:
    // Several bursts as they usually follow each other; sooner forgotten, the share would follow each single one.
    static constexpr Duration window = std::chrono::seconds(6);

    double slots_ = 0; // now: an engine that is gone does no more work
    double questions_ = 0; // averaged, from zero on: a node that has just begun expects room
    TimePoint sampledAt_ {};
};

} // namespace jj
