// The times at which engines last answered requests with certain parts or contents, bounded in number and age.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jj {

class AnswerHistory {
public:
    AnswerHistory(Duration lifetime, std::size_t capacity)
        : lifetime_(lifetime)
        , capacity_(capacity)
    {
    }

    void record(Fingerprint fingerprint, TimePoint now);
    // Returns the time of the last answer; none if there was none within the lifetime, or it was dropped for lack of room.
    std::optional<TimePoint> find(Fingerprint fingerprint, TimePoint now) const;
    void expire(TimePoint now);
    std::size_t size() const { return times_.size(); }

private:
    struct Entry {
        TimePoint answeredAt_ {};
        TimePoint queuedAt_ {}; // time of the fingerprint's newest element in queue_
    };

    Duration lifetime_;
    std::size_t capacity_;
    std::unordered_map<Fingerprint, Entry> times_;
    // In order of time. Invariant: each fingerprint in times_ has an element with its queuedAt_; earlier elements of it are ignored.
    std::deque<std::pair<TimePoint, Fingerprint>> queue_;
};

} // namespace jj
