// How much of a day's work a schedule does in time that knows all arrivals, run times and slots beforehand.
//
// What it assumes: slots are alike, wherever they are; nothing is lost on the way and no engine or process fails, but for the slots that the
// nodes knew; a run takes what it took that day, or the mean of its kind when it had none; questions go before items and hold
// their slot to the end; items are cut and go on for nothing, one slot each at a time, and are taken in order of their due times, each if
// what is left until then does for it. Questions that can't begin in time are not begun. So it is what a perfect dispatcher with these
// rules reaches, and no proof that nothing better exists.
#pragma once

#include "losses/DayRecord.h"

#include <cstddef>
#include <set>
#include <string>

namespace jj {

struct ReferenceResult {
    std::set<std::string> questions_; // ids of those in time
    std::set<std::string> items_;
};

ReferenceResult scheduleReference(const DayRecord& day);

} // namespace jj
