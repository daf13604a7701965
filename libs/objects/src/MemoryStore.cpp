// The in-memory store's core: one ordered map, one version counter, one history.
#include "objects/MemoryStore.h"

#include <algorithm>

namespace jj {

MemoryStore::MemoryStore(MemoryStoreSettings settings)
    : settings_(settings)
{
    setRates(settings.readsPerSecond_, settings.writesPerSecond_);
}

void MemoryStore::setRates(double readsPerSecond, double writesPerSecond)
{
    const double burst = toSeconds(settings_.burst_);
    reads_ = { readsPerSecond, std::max(1.0, readsPerSecond * burst), {} };
    writes_ = { writesPerSecond, std::max(1.0, writesPerSecond * burst), {} };
}

Duration MemoryStore::take(Bucket& bucket, TimePoint now) const
{
    if (bucket.rate_ <= 0)
        return {};
    const double capacity = std::max(1.0, bucket.rate_ * toSeconds(settings_.burst_));
    if (now > bucket.filledAt_) {
        bucket.tokens_ = std::min(capacity, bucket.tokens_ + toSeconds(now - bucket.filledAt_) * bucket.rate_);
        bucket.filledAt_ = now;
    }
    if (bucket.tokens_ < 1)
        return fromSeconds((1 - bucket.tokens_) / bucket.rate_);
    bucket.tokens_ -= 1;
    return {};
}

ObjectAnswer MemoryStore::apply(const ObjectCall& call, TimePoint now)
{
    if (outage_) {
        ++counts_.unavailable_;
        return ObjectAnswer::failed(ObjectError::Unavailable);
    }
    const Duration wait = take(call.isWrite() ? writes_ : reads_, now);
    if (wait > Duration::zero()) {
        ++counts_.rateLimited_;
        ObjectAnswer answer = ObjectAnswer::failed(ObjectError::RateLimited);
        answer.retryAfter_ = wait;
        return answer;
    }
    ++(call.isWrite() ? counts_.writes_ : counts_.reads_);
    if (call.verb_ == ObjectVerb::List)
        return list(call);
    if (call.verb_ == ObjectVerb::Changes)
        return changes(call);
    if (!isValidKey(call.key_))
        return ObjectAnswer::failed(ObjectError::BadCall);
    return call.isWrite() ? write(call) : get(call);
}

ObjectAnswer MemoryStore::get(const ObjectCall& call) const
{
    const auto found = objects_.find(call.key_);
    if (found == objects_.end())
        return ObjectAnswer::failed(ObjectError::NotFound);
    ObjectAnswer answer;
    answer.version_ = found->second.version_;
    answer.value_ = found->second.value_;
    return answer;
}

ObjectAnswer MemoryStore::list(const ObjectCall& call) const
{
    const std::string& prefix = call.key_;
    const std::uint32_t limit = call.limit_ == 0 ? settings_.listLimit_ : std::min(call.limit_, settings_.listLimit_);
    ObjectAnswer answer;
    answer.version_ = version();
    for (auto place = call.after_ > prefix ? objects_.upper_bound(call.after_) : objects_.lower_bound(prefix); place != objects_.end() && place->first.starts_with(prefix); ++place) {
        if (answer.entries_.size() == limit) {
            answer.next_ = answer.entries_.back().key_;
            break;
        }
        const ObjectEntry& entry = place->second;
        answer.entries_.push_back({ entry.key_, entry.version_, entry.size_, call.withValues_ ? entry.value_ : std::string() });
    }
    return answer;
}

// Answers at once, also without a change: whoever plays the network holds the call open.
ObjectAnswer MemoryStore::changes(const ObjectCall& call) const
{
    auto found = changesAfter(call.key_, call.expected_);
    if (!found)
        return ObjectAnswer::failed(ObjectError::Expired);
    ObjectAnswer answer;
    answer.version_ = version();
    answer.changes_ = std::move(*found);
    return answer;
}

ObjectAnswer MemoryStore::write(const ObjectCall& call)
{
    if (call.value_.size() > maxObjectBytes)
        return ObjectAnswer::failed(ObjectError::TooLarge);
    const auto found = objects_.find(call.key_);
    if (call.verb_ == ObjectVerb::Report) {
        if (found == objects_.end())
            return ObjectAnswer::failed(ObjectError::NotFound);
        reports_[call.key_] = call.value_;
        ObjectAnswer reported;
        reported.version_ = found->second.version_;
        return reported;
    }
    const ObjectVersion standing = found == objects_.end() ? ObjectVersion::none() : found->second.version_;
    const bool removes = call.verb_ == ObjectVerb::Remove;
    if (removes && standing.isNone())
        return ObjectAnswer::failed(ObjectError::NotFound);
    const bool mustMatch = call.verb_ == ObjectVerb::Update || (removes && !call.expected_.isNone());
    const bool conflicts = (call.verb_ == ObjectVerb::Create && !standing.isNone()) || (mustMatch && (standing.isNone() || standing != call.expected_));
    if (conflicts) {
        ++counts_.conflicts_;
        ObjectAnswer answer = ObjectAnswer::failed(ObjectError::Conflict);
        answer.version_ = standing;
        return answer;
    }
    record(removes ? ChangeKind::Remove : ChangeKind::Put, call.key_, call.value_);
    if (removes)
        objects_.erase(found);
    else
        objects_[call.key_] = { call.key_, version(), call.value_.size(), call.value_ };
    ObjectAnswer answer;
    answer.version_ = version();
    return answer;
}

void MemoryStore::record(ChangeKind kind, const std::string& key, const std::string& value)
{
    ++version_;
    if (settings_.keptChanges_ == 0)
        return;
    changes_.push_back({ kind, version(), key, value });
    while (changes_.size() > settings_.keptChanges_)
        changes_.pop_front();
}

std::error_code MemoryStore::openWatch(ObjectVersion from, TimePoint now)
{
    if (outage_)
        return ObjectError::Unavailable;
    if (take(reads_, now) > Duration::zero())
        return ObjectError::RateLimited;
    ++counts_.reads_;
    const std::uint64_t oldest = version_ - changes_.size();
    return from.value() < oldest ? std::error_code(ObjectError::Expired) : std::error_code();
}

std::optional<std::vector<ObjectChange>> MemoryStore::changesAfter(std::string_view prefix, ObjectVersion from) const
{
    const std::uint64_t oldest = version_ - changes_.size();
    if (from.value() < oldest)
        return std::nullopt;
    std::vector<ObjectChange> found;
    const std::uint64_t known = std::min(from.value(), version_) - oldest;
    for (auto place = changes_.begin() + static_cast<std::ptrdiff_t>(known); place != changes_.end(); ++place) {
        if (place->key_.starts_with(prefix))
            found.push_back(*place);
    }
    return found;
}

} // namespace jj
