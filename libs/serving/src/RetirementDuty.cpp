// Starts draining at the first order and reports completion when no job is left.
#include "RetirementDuty.h"

namespace jj {

namespace {

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

void RetirementDuty::tick()
{
    if (asked_ && !reported_ && !reporting_ && isEmpty_())
        report(true);
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
