// Names of the kinds of events.
#include "events/TimelineEvent.h"

#include <algorithm>

namespace jj {

namespace {

    // In the order of EventKind.
    constexpr std::array<std::string_view, eventKindCount> kindNames = {
        "processStarted", "processStopped", "drainStarted", "drainDone",
        "requestAccepted", "requestRouted", "requestQueued", "attemptSent", "attemptFailed", "firstToken", "requestFinished",
        "requestRefused", "requestCancelled", "lateAnswerDropped", "streamYielded", "streamResumed", "fingerprintSuspected",
        "fingerprintQuarantined",
        "jobAccepted", "jobStarted", "chunkClaimed", "itemStarted", "itemDone", "itemFailed", "chunkCommitted", "commitRefused",
        "jobCompleted", "jobCancelled",
        "leaseTaken", "leaseRenewed", "leaseLost", "intentCreated", "outcomeRecorded",
        "memberAlive", "memberSuspect", "memberGone", "memberLeaving",
        "upstreamUp", "upstreamDown", "upstreamLeaving", "connectionSilent",
        "configSeen", "configApplied", "configRefused", "orderSent", "orderRefused", "orderDone",
        "storeDown", "storeUp",
        "faultSet", "engineCrashed"
    };
    static_assert(!kindNames.back().empty(), "every kind needs a name");

} // namespace

std::string_view toString(EventKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    return index < kindNames.size() ? kindNames[index] : "unknown";
}

std::optional<EventKind> eventKindFrom(std::string_view name)
{
    const auto found = std::find(kindNames.begin(), kindNames.end(), name);
    if (found == kindNames.end())
        return std::nullopt;
    return static_cast<EventKind>(found - kindNames.begin());
}

} // namespace jj
