// Retry, backoff and settling by read-back.
#include "objects/CallQueue.h"

#include <algorithm>
#include <utility>

namespace jj {

CallQueue::CallQueue(CallQueueSettings settings, std::uint64_t seed)
    : settings_(settings)
    , budget_(settings.budget_, seed)
    , random_(seed + 1)
{
}

void CallQueue::send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done)
{
    Call& entry = calls_[{ callClass, nextPlace_++ }];
    entry.call_ = std::move(call);
    entry.class_ = callClass;
    entry.until_ = until;
    entry.done_ = std::move(done);
}

std::vector<OutgoingCall> CallQueue::take() { return std::exchange(outgoing_, {}); }

void CallQueue::tick(TimePoint now)
{
    std::vector<Queue::key_type> expired;
    for (auto& [key, call] : calls_) {
        if (!call.inFlight_.isNone() && now - call.sentAt_ >= settings_.answerBound_) {
            tries_.erase(call.inFlight_);
            call.inFlight_ = CallId::none();
            budget_.answered(ObjectError::OutcomeUnknown, now);
            answerLost(call, now);
        }
        if (call.inFlight_.isNone() && now >= call.until_)
            expired.push_back(key);
    }
    for (const auto& key : expired) {
        const auto place = calls_.find(key);
        if (place != calls_.end())
            finish(place, ObjectAnswer::failed(place->second.answerLost_ ? ObjectError::OutcomeUnknown : ObjectError::Unavailable), now);
    }
    // In order of class, then of entry: a completion above may have added calls.
    for (auto place = calls_.begin(); place != calls_.end() && tries_.size() < settings_.inFlight_; ++place) {
        if (place->second.inFlight_.isNone() && now >= place->second.notBefore_)
            release(place, now);
    }
}

void CallQueue::release(Queue::iterator place, TimePoint now)
{
    Call& call = place->second;
    const bool isWrite = call.step_ == Step::Send && call.call_.isWrite();
    if (!budget_.tryTake(call.class_, isWrite, now))
        return;
    call.inFlight_ = CallId(sent_++);
    call.sentAt_ = now;
    call.firstSentAt_ = std::min(call.firstSentAt_, now);
    tries_[call.inFlight_] = place->first;
    outgoing_.push_back({ call.inFlight_, call.step_ == Step::Send ? call.call_ : ObjectCall::get(call.call_.key_) });
}

void CallQueue::answered(CallId id, ObjectAnswer answer, TimePoint now)
{
    // An answer to a try that was given up, or the same answer twice.
    const auto attempt = tries_.find(id);
    if (attempt == tries_.end())
        return;
    const auto place = calls_.find(attempt->second);
    tries_.erase(attempt);
    place->second.inFlight_ = CallId::none();
    budget_.answered(answer.error_, now);
    if (answer.error_ == ObjectError::RateLimited || answer.error_ == ObjectError::Unavailable)
        backOff(place->second, answer.retryAfter_, now);
    else if (place->second.step_ == Step::ReadBack)
        readBackAnswered(place, std::move(answer), now);
    else
        sendAnswered(place, std::move(answer), now);
}

void CallQueue::sendAnswered(Queue::iterator place, ObjectAnswer answer, TimePoint now)
{
    Call& call = place->second;
    if (answer.error_ == ObjectError::OutcomeUnknown)
        return answerLost(call, now);
    if (call.answerLost_ && answer.error_ == ObjectError::Conflict) {
        call.step_ = Step::ReadBack;
        return;
    }
    const bool removedBefore = call.answerLost_ && call.call_.verb_ == ObjectVerb::Remove && answer.error_ == ObjectError::NotFound;
    if (removedBefore)
        answer = {};
    finish(place, std::move(answer), now);
}

void CallQueue::readBackAnswered(Queue::iterator place, ObjectAnswer answer, TimePoint now)
{
    Call& call = place->second;
    if (answer.error_ == ObjectError::OutcomeUnknown)
        return backOff(call, {}, now);
    const bool absent = answer.error_ == ObjectError::NotFound;
    if (!absent && !answer.ok())
        return finish(place, std::move(answer), now);
    if (!absent && call.call_.verb_ != ObjectVerb::Remove && answer.value_ == call.call_.value_) {
        answer.value_.clear();
        return finish(place, std::move(answer), now);
    }
    const bool unchanged = call.call_.verb_ == ObjectVerb::Create ? absent : !absent && answer.version_ == call.call_.expected_;
    const bool unconditional = call.call_.verb_ == ObjectVerb::Put || (call.call_.verb_ == ObjectVerb::Remove && call.call_.expected_.isNone());
    if (unchanged || (unconditional && !absent)) {
        call.step_ = Step::Send;
        return;
    }
    if (absent && call.call_.verb_ == ObjectVerb::Remove)
        return finish(place, {}, now);
    answer.error_ = ObjectError::Conflict;
    finish(place, std::move(answer), now);
}

void CallQueue::answerLost(Call& call, TimePoint now)
{
    // A report is no condition and no value that could be read back: it is sent again as it is.
    if (call.step_ == Step::Send && call.call_.isWrite() && call.call_.verb_ != ObjectVerb::Report) {
        call.answerLost_ = true;
        call.step_ = Step::ReadBack;
    }
    backOff(call, {}, now);
}

void CallQueue::backOff(Call& call, Duration atLeast, TimePoint now)
{
    constexpr std::uint32_t mostDoublings = 16;
    const Duration full = std::min<Duration>(settings_.longestBackoff_, settings_.firstBackoff_ * (1LL << std::min(call.backoffs_, mostDoublings)));
    ++call.backoffs_;
    const double jitter = std::uniform_real_distribution<>(0.5, 1.0)(random_);
    call.notBefore_ = now + atLeast + fromSeconds(toSeconds(full) * jitter);
}

void CallQueue::finish(Queue::iterator place, ObjectAnswer answer, TimePoint now)
{
    const Call call = std::move(place->second);
    calls_.erase(place);
    call.done_({ std::move(answer), call.firstSentAt_ }, now);
}

} // namespace jj
