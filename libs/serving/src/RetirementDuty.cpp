// Follows the orders like the configuration: read once, then calls that are held open.
#include "RetirementDuty.h"

namespace jj {

namespace {

    // Orders give seconds, and each held-open call is priced.
    constexpr Duration heldOpen = 15s;
    constexpr Duration retryPeriod = 500ms;
    constexpr Duration reportBound = 30s;

} // namespace

RetirementDuty::RetirementDuty(StoreLink& store, const Translation& translation, DecisionLog& log, std::string host, std::function<void()> begin, std::function<bool()> isEmpty)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , key_(translation.keys_.retirements_ + std::move(host))
    , begin_(std::move(begin))
    , isEmpty_(std::move(isEmpty))
{
}

void RetirementDuty::tick(TimePoint now)
{
    if (!busy_ && now >= nextAt_)
        seen_.isNone() ? read() : watch();
    if (asked_ && !reported_ && !reporting_ && isEmpty_())
        report(true);
}

void RetirementDuty::again(TimePoint now)
{
    nextAt_ = now + retryPeriod;
    seen_ = ObjectVersion::none();
}

void RetirementDuty::read()
{
    busy_ = true;
    store_.once(ObjectCall::list(translation_.keys_.retirements_), [this](const ObjectAnswer& answer) {
        busy_ = false;
        if (!answer.ok())
            return again(SystemClock().now());
        for (const ObjectEntry& entry : answer.entries_)
            learned(entry.key_);
        seen_ = answer.version_;
        watch();
    });
}

void RetirementDuty::watch()
{
    busy_ = true;
    store_.once(ObjectCall::changes(translation_.keys_.retirements_, seen_, heldOpen), [this](const ObjectAnswer& answer) {
        busy_ = false;
        if (!answer.ok())
            return again(SystemClock().now());
        for (const ObjectChange& change : answer.changes_) {
            if (change.kind_ == ChangeKind::Put)
                learned(change.key_);
        }
        seen_ = answer.version_;
        watch();
    });
}

void RetirementDuty::learned(const std::string& key)
{
    if (key != key_ || asked_)
        return;
    asked_ = true;
    log_.line("retirementAsked").with("key", key);
    begin_();
    report(false);
}

void RetirementDuty::report(bool completed)
{
    reporting_ = true;
    store_.send(ObjectCall::report(key_, translation_.writeRetirement_(completed)), CallClass::Commit, SystemClock().now() + reportBound, [this, completed](const SettledAnswer& answer, TimePoint) {
        reporting_ = false;
        reported_ = reported_ || (completed && answer.ok());
        log_.line("retirementReported").with("state", completed ? "completed" : "running").with("error", answer.ok() ? "" : answer.answer_.error_.message());
    });
}

} // namespace jj
