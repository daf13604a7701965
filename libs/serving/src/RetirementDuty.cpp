// Starts draining at the first order and reports completion when no job is left.
#include "RetirementDuty.h"

namespace jj {

namespace {

    constexpr Duration reportTimeout = 30s;

} // namespace

RetirementDuty::RetirementDuty(StoreLink& store, const Translation& translation, DecisionLog& log, std::string host, std::function<void()> startDraining, std::function<bool()> isEmpty)
    : store_(store)
    , translation_(translation)
    , log_(log)
    , key_(translation.keys_.retirements_ + std::move(host))
    , startDraining_(std::move(startDraining))
    , isEmpty_(std::move(isEmpty))
{
}

void RetirementDuty::tick()
{
    if (isOrdered_ && !isCompletionReported_ && !isReportInFlight_ && isEmpty_())
        report(true);
}

void RetirementDuty::onOrderFound(const std::string& key)
{
    if (key != key_ || isOrdered_)
        return;
    isOrdered_ = true;
    log_.line("retirementAsked").with("key", key);
    startDraining_();
    report(false);
}

void RetirementDuty::report(bool completed)
{
    isReportInFlight_ = true;
    store_.send(ObjectCall::report(key_, translation_.formatRetirement_(completed)), CallClass::Commit, SystemClock().now() + reportTimeout, [this, completed](const SettledAnswer& answer, TimePoint) {
        isReportInFlight_ = false;
        isCompletionReported_ = isCompletionReported_ || (completed && answer.ok());
        log_.line("retirementReported").with("state", completed ? "completed" : "running").with("error", answer.ok() ? "" : answer.answer_.error_.message());
    });
}

} // namespace jj
