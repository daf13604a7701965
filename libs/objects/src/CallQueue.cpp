// Retry, backoff and settling by read-back.
#include "objects/CallQueue.h"

#include <algorithm>
#include <cmath>
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

bool CallQueue::isWriteInDoubt(std::string_view key) const
{
    return std::any_of(calls_.begin(), calls_.end(), [key](const auto& entry) {
        const Call& call = entry.second;
        return call.call_.isWrite() && call.call_.key_ == key && (call.answerLost_ || !call.inFlight_.isNone());
    });
}

std::vector<OutgoingCall> CallQueue::take() { return std::exchange(outgoing_, {}); }

void CallQueue::tick(TimePoint now)
{
    std::vector<Queue::key_type> expired;
    for (auto& [key, call] : calls_) {
        if (!call.inFlight_.isNone() && now - call.sentAt_ >= settings_.answerBound_) {
            dropTries(key);
            call.inFlight_ = CallId::none();
            call.hedged_ = 0;
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
        Call& call = place->second;
        if (call.inFlight_.isNone() && now >= call.notBefore_)
            release(place, now);
        else if (!call.inFlight_.isNone() && call.hedged_ < settings_.hedges_ && mayHedge(call) && now - call.sentAt_ >= hedgeAfter() * (1LL << call.hedged_))
            hedge(place, now);
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
    tries_[call.inFlight_] = { place->first, now };
    outgoing_.push_back({ call.inFlight_, call.step_ == Step::Send ? call.call_ : ObjectCall::get(call.call_.key_) });
}

void CallQueue::answered(CallId id, ObjectAnswer answer, TimePoint now)
{
    // An answer to a try that was given up, or the same answer twice.
    const auto attempt = tries_.find(id);
    if (attempt == tries_.end())
        return;
    const auto place = calls_.find(attempt->second.call_);
    const bool isAnswer = answer.error_ != ObjectError::OutcomeUnknown;
    if (isAnswer)
        learnDelay(now - attempt->second.sentAt_);
    budget_.answered(answer.error_, now);
    // Another try of the call is still under way, and this one ended without telling anything.
    const bool isLast = std::count_if(tries_.begin(), tries_.end(), [&](const auto& entry) { return entry.second.call_ == place->first; }) == 1;
    const bool tellsNothing = !isAnswer || answer.error_ == ObjectError::Unavailable || answer.error_ == ObjectError::RateLimited;
    if (!isLast && tellsNothing) {
        tries_.erase(attempt);
        return;
    }
    dropTries(place->first);
    place->second.inFlight_ = CallId::none();
    place->second.hedged_ = 0;
    if (answer.error_ == ObjectError::RateLimited || answer.error_ == ObjectError::Unavailable)
        backOff(place->second, answer.retryAfter_, now);
    else if (place->second.step_ == Step::ReadBack)
        readBackAnswered(place, std::move(answer), now);
    else
        sendAnswered(place, std::move(answer), now);
}

// A write without a condition that lands late could undo what came after it.
bool CallQueue::mayHedge(const Call& call)
{
    const bool isUnconditional = call.call_.verb_ == ObjectVerb::Put || call.call_.verb_ == ObjectVerb::Report || (call.call_.verb_ == ObjectVerb::Remove && call.call_.expected_.isNone());
    return call.step_ == Step::ReadBack || !isUnconditional;
}

// The same try again, beside the one that is under way. Its effect may come first or second; both want the same.
void CallQueue::hedge(Queue::iterator place, TimePoint now)
{
    Call& call = place->second;
    const bool isWrite = call.step_ == Step::Send && call.call_.isWrite();
    if (!budget_.tryTake(call.class_, isWrite, now))
        return;
    if (isWrite)
        call.answerLost_ = true;
    ++call.hedged_;
    call.inFlight_ = CallId(sent_++);
    tries_[call.inFlight_] = { place->first, now };
    outgoing_.push_back({ call.inFlight_, call.step_ == Step::Send ? call.call_ : ObjectCall::get(call.call_.key_) });
}

Duration CallQueue::hedgeAfter() const
{
    constexpr double spreads = 4;
    return std::max<Duration>(settings_.leastHedge_, fromSeconds(meanSeconds_ + spreads * spreadSeconds_));
}

void CallQueue::learnDelay(Duration delay)
{
    // The gains with which TCP learns its round trip.
    constexpr double meanGain = 0.125;
    constexpr double spreadGain = 0.25;
    const double seconds = toSeconds(delay);
    spreadSeconds_ += spreadGain * (std::abs(seconds - meanSeconds_) - spreadSeconds_);
    meanSeconds_ += meanGain * (seconds - meanSeconds_);
}

void CallQueue::dropTries(const std::pair<CallClass, Place>& call)
{
    std::erase_if(tries_, [&call](const auto& entry) { return entry.second.call_ == call; });
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
        return finish(place, std::move(answer), now, true);
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

void CallQueue::finish(Queue::iterator place, ObjectAnswer answer, TimePoint now, bool isReadBack)
{
    const Call call = std::move(place->second);
    calls_.erase(place);
    call.done_({ std::move(answer), call.firstSentAt_, isReadBack, call.answerLost_ }, now);
}

} // namespace jj
