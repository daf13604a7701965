// Holds the records of streams for as long as their callers can resume them. Bounded in number and age.
#pragma once

#include "base/Time.h"
#include "streams/StreamMessages.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace jj {

class StreamTable {
public:
    // `lifetime`: how long a record is held. `maxRecords`: the oldest ones are dropped beyond it.
    StreamTable(Duration lifetime, std::size_t maxRecords)
        : lifetime_(lifetime)
        , maxRecords_(maxRecords)
    {
    }

    // Adds a record, or renews it; a record of no stream is ignored. A record that contradicts the one that is held makes the stream's version unknown for good.
    void put(const StreamRecord& record, TimePoint now);
    // Returns null if there is no record. The pointer is valid until the next call that changes the table.
    const StreamRecord* find(StreamId stream, TimePoint now) const;
    void expire(TimePoint now);
    std::size_t size() const { return records_.size(); }
    // Calls visit(record) for each record of the service.
    template <class Visit>
    void forEachOf(ServiceId service, Visit visit) const
    {
        for (const auto& [stream, held] : records_) {
            if (held.record_.service_ == service)
                visit(held.record_);
        }
    }

private:
    struct Held {
        StreamRecord record_;
        TimePoint putAt_ {};
    };
    struct Put {
        StreamId stream_;
        TimePoint at_ {};
    };

    void dropOldest();

    Duration lifetime_;
    std::size_t maxRecords_;
    std::unordered_map<StreamId, Held> records_;
    // Invariant: in order of time; each record has one entry with its putAt_, and may have earlier ones that are out of date.
    std::deque<Put> puts_;
};

} // namespace jj
