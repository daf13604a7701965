// Event names of the spool for the log.
#include "ledger/JobSpool.h"

namespace jj {

std::string_view toString(SpoolNote note)
{
    static constexpr std::string_view names[] = { "jobKept", "jobNotKept", "keptJobStored", "keptJobKnown", "keptJobForgotten", "keptJobOutdated", "keptJobUnreadable", "keptJobTriedInVain", "keptJobNotRead", "diskUnusable" };
    return names[static_cast<std::size_t>(note)];
}

} // namespace jj
