// Periods and bounds of membership. The defaults aim at detection within 3 s at 5% loss and no false death below 20%.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace jj {

struct MembershipSettings {
    // One probe starts each period, whatever the size of the fleet.
    Duration probePeriod_ = 250ms;
    // A probe pings its target at 0 and again after this time, and then asks helpers.
    Duration retryAfter_ = 60ms;
    Duration helpersAfter_ = 130ms;
    // Without an answer until then the probe has failed.
    Duration probeTimeout_ = 330ms;
    std::size_t helpers_ = 3;

    // A suspect that doesn't refute within this time, while this node's own probes of it go on failing, is declared dead.
    Duration suspicionTimeout_ = 800ms;
    // Besides, this many suspects of this node's own are probed again each period and pinged each suspectPeriod_: with many
    // answers due, losing all of them means death and not bad luck.
    std::size_t suspectProbes_ = 2;
    Duration suspectPeriod_ = 100ms;

    // A gap between two ticks over this time means that the process was paused: it rejoins with a new incarnation.
    Duration pauseBound_ = 1s;

    // Hosts of the platform's list that were never heard, and dead members that it still lists, are pinged one a period.
    Duration seedPeriod_ = 500ms;
    // A member that is gone is remembered at least this long, so that late rumors don't bring it back.
    Duration tombstone_ = 60s;

    // A node that has started or rejoined asks one member after the other for all that it knows, until answers bring nothing new.
    Duration joinPeriod_ = 100ms;
    std::uint32_t idleAnswers_ = 2; // so many rounds without a new member end it

    // Nodes of a region that carry digests to other regions, and how often each does.
    std::size_t bridges_ = 2;
    Duration bridgePeriod_ = 500ms;
    // Without a datagram from a region for this long it counts as out of reach.
    Duration regionTimeout_ = 4s;

    // An update that must not wait for a probe goes to this many members at once.
    std::size_t noticeFanout_ = 3;
    Duration noticeInterval_ = 50ms;

    // A rumor is sent this many times the logarithm of the fleet's size.
    double rumorFactor_ = 1.5;
    // What a datagram carries besides what the sender states of itself.
    std::size_t rumorsPerDatagram_ = 12;
    std::size_t samplesPerDatagram_ = 2; // members in turn, so that a lost rumor is made good
    std::size_t loadsPerDatagram_ = 6;
    std::size_t marksPerDatagram_ = 6;
};

} // namespace jj
