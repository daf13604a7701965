// An agenda of effects and answers over the in-memory store.
#include "objects/VirtualStore.h"

#include <algorithm>

namespace jj {

VirtualStore::VirtualStore(std::uint64_t seed, MemoryStoreSettings settings)
    : core_(settings)
    , random_(seed)
{
}

void VirtualStore::at(TimePoint time, std::function<void()> action)
{
    agenda_.emplace(time, std::move(action));
}

bool VirtualStore::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

Duration VirtualStore::travel()
{
    if (faults_.delayJitter_ <= Duration::zero())
        return faults_.delay_;
    return faults_.delay_ + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(faults_.delayJitter_.count())));
}

void VirtualStore::call(ObjectCall call, const ObjectCompletion& done)
{
    const bool lostAfter = loseNextAnswer_ || chance(faults_.lostAfter_);
    loseNextAnswer_ = false;
    const bool lostBefore = !lostAfter && (loseNextCall_ || chance(faults_.lostBefore_));
    loseNextCall_ = false;
    const TimePoint effectAt = now_ + travel();
    const TimePoint answerAt = effectAt + travel();
    const TimePoint giveUpAt = now_ + faults_.giveUp_;
    const bool answered = !lostAfter && !lostBefore && answerAt <= giveUpAt;
    const ObjectError silence = call.isWrite() ? ObjectError::OutcomeUnknown : ObjectError::Unavailable;
    if (!lostBefore) {
        at(effectAt, [this, call = std::move(call), done, answered, answerAt] {
            ObjectAnswer answer = core_.apply(call, now_);
            deliverChanges();
            if (answered)
                at(answerAt, [done, answer = std::move(answer)]() mutable { done(std::move(answer)); });
        });
    }
    if (!answered)
        at(giveUpAt, [done, silence] { done(ObjectAnswer::failed(silence)); });
}

WatchId VirtualStore::watch(std::string prefix, ObjectVersion from, WatchHandler handler)
{
    const WatchId id(nextWatch_++);
    at(now_ + travel(), [this, id, prefix = std::move(prefix), from, handler = std::move(handler)]() mutable {
        if (const std::error_code error = core_.openWatch(from, now_)) {
            handler.onEnd_(error);
            return;
        }
        watches_[id] = { std::move(prefix), from, std::move(handler) };
        deliverChanges();
    });
    return id;
}

void VirtualStore::unwatch(WatchId watch) { watches_.erase(watch); }

void VirtualStore::deliverChanges()
{
    for (auto& [id, watch] : watches_) {
        auto changes = core_.changesAfter(watch.prefix_, watch.seen_);
        if (!changes)
            continue;
        watch.seen_ = core_.version();
        for (ObjectChange& change : *changes)
            at(now_ + faults_.delay_, [onChange = watch.handler_.onChange_, change = std::move(change)] { onChange(change); });
    }
}

TimePoint VirtualStore::nextAt() const { return agenda_.empty() ? neverTime : agenda_.begin()->first; }

void VirtualStore::advanceTo(TimePoint now)
{
    while (!agenda_.empty() && agenda_.begin()->first <= now) {
        const auto first = agenda_.begin();
        now_ = std::max(now_, first->first);
        const std::function<void()> action = std::move(first->second);
        agenda_.erase(first);
        action();
    }
    now_ = std::max(now_, now);
}

} // namespace jj
