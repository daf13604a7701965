// Tables from one list of reasons to the other.
#include "Translate.h"

#include <algorithm>
#include <limits>

namespace jj {

namespace {

    struct ReasonRow {
        RefusalReason reason_;
        StreamFailure failure_;
        int status_;
        std::string_view code_;
        std::string_view message_;
    };

    constexpr ReasonRow reasonRows[] = {
        { RefusalReason::None, StreamFailure::None, 500, "decisions.None", "no reason was given" },
        { RefusalReason::DeadlineUnreachable, StreamFailure::DeadlineHopeless, 503, "decisions.DeadlineUnreachable", "the predicted wait passes the deadline" },
        { RefusalReason::Expired, StreamFailure::DeadlinePassed, 504, "decisions.Expired", "the deadline passed" },
        { RefusalReason::QueueFull, StreamFailure::QueueFull, 503, "decisions.QueueFull", "the queue is full" },
        { RefusalReason::NoUpstream, StreamFailure::UpstreamUnknown, 503, "decisions.NoUpstream", "no upstream serves now" },
        { RefusalReason::RetriesExhausted, StreamFailure::UpstreamLost, 502, "decisions.RetriesExhausted", "the upstream failed and no retry is left" },
        { RefusalReason::Quarantined, StreamFailure::Quarantined, 422, "decisions.Quarantined", "this content crashed upstreams before" },
        { RefusalReason::OutcomeUnknown, StreamFailure::UpstreamSilent, 502, "decisions.OutcomeUnknown", "the request may have run and must not run again" },
        { RefusalReason::UpstreamError, StreamFailure::UpstreamRefused, 422, "decisions.UpstreamError", "the upstream refused the request" },
        { RefusalReason::HomeLost, StreamFailure::NotHome, 502, "decisions.HomeLost", "the node before the upstream was lost" },
        { RefusalReason::Cancelled, StreamFailure::Superseded, 499, "decisions.Cancelled", "the request was cancelled" },
    };

    const ReasonRow& rowOf(RefusalReason reason)
    {
        const auto* found = std::find_if(std::begin(reasonRows), std::end(reasonRows), [&](const ReasonRow& row) { return row.reason_ == reason; });
        return found == std::end(reasonRows) ? reasonRows[0] : *found;
    }

    RefusalReason reasonOf(StreamFailure failure)
    {
        const auto* found = std::find_if(std::begin(reasonRows), std::end(reasonRows), [&](const ReasonRow& row) { return row.failure_ == failure; });
        return found == std::end(reasonRows) ? RefusalReason::HomeLost : found->reason_;
    }

    template <class Small, class Large>
    Small clampTo(Large value)
    {
        return static_cast<Small>(std::clamp<std::int64_t>(static_cast<std::int64_t>(value), 0, std::numeric_limits<Small>::max()));
    }

} // namespace

StreamEnd toWire(const HandedBack& handedBack, const AttemptKey& key)
{
    StreamEnd end;
    end.key_ = key;
    switch (handedBack.outcome_) {
    case HandOverOutcome::Answered:
        end.finish_ = Finish::Complete;
        break;
    case HandOverOutcome::Refused:
        end.finish_ = Finish::Failed;
        break;
    case HandOverOutcome::Returned:
        end.finish_ = Finish::Moved;
        break;
    }
    end.failure_ = rowOf(handedBack.reason_).failure_;
    end.runState_ = handedBack.runState_;
    end.retryAfterMs_ = clampTo<std::uint32_t>(handedBack.retryAfter_ / 1ms);
    end.position_ = handedBack.position_;
    end.failedOn_ = handedBack.failedOn_;
    end.crashes_ = handedBack.crashes_;
    return end;
}

HandedBack fromWire(const StreamEnd& end)
{
    HandedBack handedBack;
    handedBack.handOver_ = { end.key_.request_, end.key_.attempt_ };
    handedBack.outcome_ = end.finish_ == Finish::Complete ? HandOverOutcome::Answered : end.finish_ == Finish::Moved ? HandOverOutcome::Returned
                                                                                                                     : HandOverOutcome::Refused;
    handedBack.reason_ = reasonOf(end.failure_);
    handedBack.runState_ = end.runState_;
    handedBack.retryAfter_ = std::chrono::milliseconds(end.retryAfterMs_);
    handedBack.position_ = static_cast<std::uint32_t>(end.position_);
    handedBack.failedOn_ = end.failedOn_;
    handedBack.crashes_ = end.crashes_;
    return handedBack;
}

UpstreamLoad toWire(const HomeLoad& load)
{
    UpstreamLoad report;
    report.upstream_ = load.upstream_;
    report.onlineRunning_ = clampTo<std::uint16_t>(load.onlineRunning_);
    report.onlineWaiting_ = clampTo<std::uint16_t>(load.onlineWaiting_);
    report.batchRunning_ = clampTo<std::uint16_t>(load.batchRunning_);
    report.batchWaiting_ = clampTo<std::uint16_t>(load.batchWaiting_);
    report.slots_ = clampTo<std::uint16_t>(load.slots_);
    report.batchRoom_ = clampTo<std::uint16_t>(load.batchRoom_);
    report.waitMs_ = clampTo<std::uint16_t>(load.onlineWait_ / 1ms);
    report.freshWaitMs_ = clampTo<std::uint16_t>(load.freshWait_ / 1ms);
    report.stepUs_ = clampTo<std::uint32_t>(load.step_ / 1us);
    report.suspect_ = load.suspect_;
    return report;
}

HomeLoad fromWire(const UpstreamLoad& report)
{
    HomeLoad load;
    load.upstream_ = report.upstream_;
    load.home_ = report.home_;
    load.sequence_ = report.sequence_;
    load.onlineRunning_ = report.onlineRunning_;
    load.onlineWaiting_ = report.onlineWaiting_;
    load.batchRunning_ = report.batchRunning_;
    load.batchWaiting_ = report.batchWaiting_;
    load.slots_ = report.slots_;
    load.batchRoom_ = report.batchRoom_;
    load.onlineWait_ = std::chrono::milliseconds(report.waitMs_);
    load.freshWait_ = std::chrono::milliseconds(report.freshWaitMs_);
    load.step_ = std::chrono::microseconds(report.stepUs_);
    load.suspect_ = report.suspect_;
    return load;
}

FailureClass failureOf(EngineFailure failure)
{
    switch (failure) {
    case EngineFailure::Connect:
        return FailureClass::Connect;
    case EngineFailure::Overloaded:
        return FailureClass::Overloaded;
    case EngineFailure::Rejected:
        return FailureClass::Rejected;
    case EngineFailure::ServerError:
        return FailureClass::ServerError;
    case EngineFailure::Disconnected:
        return FailureClass::Disconnected;
    case EngineFailure::Crashed:
        return FailureClass::Crashed;
    case EngineFailure::Silent:
        return FailureClass::Silent;
    }
    return FailureClass::ServerError;
}

CallerRefusal refusalOf(const Refuse& refuse)
{
    const ReasonRow& row = rowOf(refuse.reason_);
    return { row.status_, row.code_, row.message_, refuse.runState_, refuse.retryAfter_ };
}

RunOutcome outcomeOf(const Refuse& refuse)
{
    // An engine that was lost in the middle of an answer, which no other can continue, has not refused the request.
    const bool isRefusedByUpstream = refuse.reason_ == RefusalReason::UpstreamError && refuse.runState_ == RunState::Ran;
    if (isRefusedByUpstream)
        return RunOutcome::Refused;
    if (refuse.reason_ == RefusalReason::Quarantined)
        return RunOutcome::Quarantined;
    return refuse.runState_ == RunState::NotRun ? RunOutcome::NotRun : RunOutcome::Failed;
}

} // namespace jj
