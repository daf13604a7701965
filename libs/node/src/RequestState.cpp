// A request as it travels between nodes: times travel as time left, since clocks of two hosts are never compared.
#include "RequestState.h"

#include <algorithm>
#include <limits>

namespace jj {

namespace {

    constexpr std::uint32_t noDeadlineMs = std::numeric_limits<std::uint32_t>::max();
    constexpr std::int64_t noSlackMs = std::numeric_limits<std::int64_t>::max();

    std::uint32_t remainingMs(TimePoint deadline)
    {
        if (deadline == neverTime)
            return noDeadlineMs;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SystemClock().now()).count();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, noDeadlineMs - 1));
    }

} // namespace

RequestStart startMessage(const EntryRequest& request, const SendToHome& command, const AttemptKey& key)
{
    const RequestSpec& spec = request.spec_;
    RequestStart start;
    start.key_ = key;
    start.upstream_ = command.upstream_;
    start.service_ = spec.service_;
    start.workspace_ = spec.workspace_;
    start.kind_ = request.kind_;
    start.class_ = spec.class_ == RequestClass::Online ? TrafficClass::Online : TrafficClass::Batch;
    start.repeatable_ = spec.idempotent_;
    start.promptTokens_ = spec.promptTokens_;
    start.maxTokens_ = spec.maxOutputTokens_;
    start.resumePosition_ = command.position_;
    start.fingerprint_ = spec.fingerprint_;
    start.prefix_ = spec.prefix_;
    start.prefixTokens_ = spec.prefixTokens_;
    start.originRegion_ = spec.originRegion_;
    start.job_ = spec.job_;
    start.slackMs_ = command.slack_ == Duration::max() ? noSlackMs : command.slack_ / 1ms;
    start.remainingMs_ = remainingMs(spec.deadline_);
    if (request.startBefore_ != neverTime) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.startBefore_ - SystemClock().now()).count();
        // 0 means "no bound" on the wire; a bound that has passed is sent as the shortest one.
        start.startWithinMs_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 1, noDeadlineMs - 1));
    }
    start.method_ = request.method_;
    start.path_ = request.path_;
    start.contentType_ = request.contentType_;
    start.idempotencyKey_ = request.idempotencyKey_;
    start.body_ = request.body_;
    return start;
}

RequestSpec specOf(const RequestStart& start, TimePoint now)
{
    RequestSpec spec;
    spec.id_ = start.key_.request_;
    spec.service_ = start.service_;
    spec.workspace_ = start.workspace_;
    spec.class_ = start.class_ == TrafficClass::Online ? RequestClass::Online : RequestClass::Batch;
    spec.job_ = start.job_;
    spec.promptTokens_ = start.promptTokens_;
    spec.prefix_ = start.prefix_;
    spec.prefixTokens_ = std::min(start.prefixTokens_, start.promptTokens_);
    spec.maxOutputTokens_ = start.maxTokens_;
    spec.bytes_ = static_cast<std::uint32_t>(start.body_.size());
    spec.deadline_ = start.remainingMs_ == noDeadlineMs ? neverTime : now + std::chrono::milliseconds(start.remainingMs_);
    spec.fingerprint_ = start.fingerprint_;
    spec.idempotent_ = start.repeatable_;
    spec.originRegion_ = start.originRegion_;
    return spec;
}

} // namespace jj
