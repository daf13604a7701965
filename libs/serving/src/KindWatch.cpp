// Implements the list and long-poll calls, of which at most one is in flight.
#include "KindWatch.h"

namespace jj {

namespace {

    constexpr Duration heldOpen = 15s;
    constexpr Duration retryPeriod = 1s;
    // Interval of the lists while passive. It bounds the delay until this node finds an object that another node has found but could
    // not report to it.
    constexpr Duration passivePeriod = 15s;

} // namespace

void KindWatch::setPassive(bool passive)
{
    // Lists all objects again, because changes were not followed while the watch was passive.
    if (passive_ && !passive) {
        seen_ = ObjectVersion::none();
        nextAt_ = SystemClock().now();
    }
    passive_ = passive;
}

void KindWatch::tick(TimePoint now)
{
    if (busy_ || now < nextAt_)
        return;
    if (passive_ || seen_.isNone())
        read(passive_);
    else
        watch();
}

void KindWatch::again()
{
    nextAt_ = SystemClock().now() + retryPeriod;
    seen_ = ObjectVersion::none();
}

void KindWatch::read(bool stale)
{
    busy_ = true;
    ObjectCall call = ObjectCall::list(kind_);
    call.stale_ = stale;
    store_.once(call, [this](const ObjectAnswer& answer) {
        busy_ = false;
        if (!answer.ok())
            return again();
        for (const ObjectEntry& entry : answer.entries_)
            found_(entry.key_);
        seen_ = answer.version_;
        if (passive_)
            nextAt_ = SystemClock().now() + passivePeriod;
        else
            watch();
    });
}

void KindWatch::watch()
{
    busy_ = true;
    store_.once(ObjectCall::changes(kind_, seen_, heldOpen), [this](const ObjectAnswer& answer) {
        busy_ = false;
        if (!answer.ok())
            return again();
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put)
                found_(change.key_);
        }
        seen_ = answer.version_;
        if (!passive_)
            watch();
    });
}

} // namespace jj
