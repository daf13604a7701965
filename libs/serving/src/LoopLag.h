// Detects by late wake-ups that the event loop has more work than its share of a processor allows.
//
// How long connections and requests wait in the kernel before the loop reads them can't be measured. A periodic wake-up waits for the same
// loop. A single late one may follow a pause of the process; several in a row are due to the work of the loop.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace jj {

class LoopLag {
public:
    // A share that is given out in slices of 100 ms delays a wake-up of a loop with little work by less than this.
    static constexpr Duration lateAfter = 40ms;
    static constexpr std::uint32_t lateWakeUpsForOverload = 4;

    // Records a periodic wake-up. Returns whether isOverloaded() has changed.
    bool recordWakeUp(TimePoint due, TimePoint now)
    {
        const bool wasOverloaded = isOverloaded();
        lateWakeUps_ = now - due >= lateAfter ? lateWakeUps_ + 1 : 0;
        return wasOverloaded != isOverloaded();
    }
    bool isOverloaded() const { return lateWakeUps_ >= lateWakeUpsForOverload; }

private:
    std::uint32_t lateWakeUps_ = 0; // in a row
};

} // namespace jj
