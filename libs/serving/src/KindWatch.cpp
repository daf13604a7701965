// Implements the list and long-poll calls, of which at most one is in flight.
#include "KindWatch.h"

namespace jj {

namespace {

    constexpr Duration longPollTime = 15s;
    constexpr Duration retryPeriod = 1s;
    // Interval of the lists while passive. It bounds the delay until this node finds an object that another node has found but could
    // not report to it.
    constexpr Duration passivePeriod = 15s;

} // namespace

void KindWatch::setPassive(bool isPassive)
{
    // Lists all objects again, because changes were not followed while the watch was passive.
    if (isPassive_ && !isPassive) {
        followedVersion_ = ObjectVersion::none();
        nextCallAt_ = SystemClock().now();
    }
    isPassive_ = isPassive;
}

void KindWatch::tick(TimePoint now)
{
    if (isCallInFlight_ || now < nextCallAt_)
        return;
    if (isPassive_ || followedVersion_.isNone())
        read(isPassive_);
    else
        watch();
}

void KindWatch::scheduleRetry()
{
    nextCallAt_ = SystemClock().now() + retryPeriod;
    followedVersion_ = ObjectVersion::none();
}

void KindWatch::read(bool stale)
{
    isCallInFlight_ = true;
    ObjectCall call = ObjectCall::list(kind_);
    call.stale_ = stale;
    store_.once(call, [this](const ObjectAnswer& answer) {
        isCallInFlight_ = false;
        if (!answer.ok())
            return scheduleRetry();
        for (const ObjectEntry& entry : answer.entries_)
            onFound_(entry.key_);
        followedVersion_ = answer.version_;
        if (isPassive_)
            nextCallAt_ = SystemClock().now() + passivePeriod;
        else
            watch();
    });
}

void KindWatch::watch()
{
    isCallInFlight_ = true;
    store_.once(ObjectCall::changes(kind_, followedVersion_, longPollTime), [this](const ObjectAnswer& answer) {
        isCallInFlight_ = false;
        if (!answer.ok())
            return scheduleRetry();
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put)
                onFound_(change.key_);
        }
        followedVersion_ = answer.version_;
        if (!isPassive_)
            watch();
    });
}

} // namespace jj
