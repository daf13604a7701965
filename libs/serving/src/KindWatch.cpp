// One call at a time.
#include "KindWatch.h"

namespace jj {

namespace {

    constexpr Duration heldOpen = 15s;
    constexpr Duration retryPeriod = 1s;

} // namespace

void KindWatch::tick(TimePoint now)
{
    if (!busy_ && now >= nextAt_)
        seen_.isNone() ? read() : watch();
}

void KindWatch::again()
{
    nextAt_ = SystemClock().now() + retryPeriod;
    seen_ = ObjectVersion::none();
}

void KindWatch::read()
{
    busy_ = true;
    store_.once(ObjectCall::list(kind_), [this](const ObjectAnswer& answer) {
        busy_ = false;
        if (!answer.ok())
            return again();
        for (const ObjectEntry& entry : answer.entries_)
            found_(entry.key_);
        seen_ = answer.version_;
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
        watch();
    });
}

} // namespace jj
