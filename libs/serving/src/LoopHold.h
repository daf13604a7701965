// Measures a single long delay of the event loop, and how much of it the process spent computing.
//
// A delay with little processor time was spent in a blocking system call, or the process was paused from outside.
#pragma once

#include "base/Time.h"

#include <concepts>
#include <optional>

namespace jj {

struct HeldLoop {
    Duration heldFor_ {};
    // Of all threads. At most samplePeriod of work before the delay is included.
    Duration processorTime_ {};
};

class LoopHold {
public:
    static constexpr Duration heldAfter = 1s;
    static constexpr Duration samplePeriod = 1s;

    // Records a periodic wake-up. Returns the delay if it was long. `processorTime` returns the processor time of the process; it is called
    // once per samplePeriod.
    template <std::invocable ProcessorTime>
    std::optional<HeldLoop> recordWakeUp(TimePoint due, TimePoint now, ProcessorTime processorTime)
    {
        const bool isHeld = now - due >= heldAfter;
        if (!isHeld && now < nextSampleAt_)
            return std::nullopt;
        nextSampleAt_ = now + samplePeriod;
        const Duration used = processorTime();
        const Duration sinceSample = used - sample_;
        sample_ = used;
        return isHeld ? std::optional(HeldLoop { now - due, sinceSample }) : std::nullopt;
    }

private:
    Duration sample_ {}; // processor time at the last sample
    TimePoint nextSampleAt_ {};
};

} // namespace jj
