// The core of an object store kept in memory, for tests and stand-ins: versions, conditional updates, change history for watches,
// rate limits and outages. It answers at once; VirtualStore adds delays and lost answers in virtual time, the stand-in HTTP.
//
// Not thread-safe. Time comes with each call.
#pragma once

#include "objects/ObjectApi.h"

#include <deque>
#include <map>
#include <optional>

namespace jj {

struct MemoryStoreSettings {
    double readsPerSecond_ = 2000; // 0: no limit
    double writesPerSecond_ = 400; // 0: no limit
    Duration burst_ = 1s; // calls saved up while idle, in time
    std::size_t keptChanges_ = 10'000; // history for watches
    std::uint32_t listLimit_ = 1000; // entries in one List answer
};

struct StoreCounts {
    std::uint64_t reads_ = 0; // Get and List that were answered
    std::uint64_t writes_ = 0; // writes that were answered, with or without effect
    std::uint64_t conflicts_ = 0;
    std::uint64_t rateLimited_ = 0;
    std::uint64_t unavailable_ = 0;
};

class MemoryStore {
public:
    explicit MemoryStore(MemoryStoreSettings settings = {});

    ObjectAnswer apply(const ObjectCall& call, TimePoint now);

    // Takes a watch's read out of the rate; RateLimited or Unavailable when it can't be opened now, Expired when `from` is too old.
    std::error_code openWatch(ObjectVersion from, TimePoint now);
    // Changes after `from` under the prefix, in order; nullopt when `from` is older than what is kept.
    std::optional<std::vector<ObjectChange>> changesAfter(std::string_view prefix, ObjectVersion from) const;

    // Each call answers Unavailable while on.
    void setOutage(bool on) { outage_ = on; }
    bool isOut() const { return outage_; }
    void setRates(double readsPerSecond, double writesPerSecond);

    ObjectVersion version() const { return ObjectVersion(version_); }
    const StoreCounts& counts() const { return counts_; }
    const std::map<std::string, ObjectEntry, std::less<>>& objects() const { return objects_; }
    // What was last reported of each object (ObjectVerb::Report).
    const std::map<std::string, std::string, std::less<>>& reports() const { return reports_; }

private:
    struct Bucket {
        double rate_ = 0;
        double tokens_ = 0;
        TimePoint filledAt_ {};
    };

    // Zero when a token was taken, else the time until there is one.
    Duration take(Bucket& bucket, TimePoint now) const;
    ObjectAnswer get(const ObjectCall& call) const;
    ObjectAnswer list(const ObjectCall& call) const;
    ObjectAnswer changes(const ObjectCall& call) const;
    ObjectAnswer write(const ObjectCall& call);
    void record(ChangeKind kind, const std::string& key, const std::string& value);

    MemoryStoreSettings settings_;
    Bucket reads_;
    Bucket writes_;
    bool outage_ = false;
    std::uint64_t version_ = 0;
    std::map<std::string, ObjectEntry, std::less<>> objects_;
    std::map<std::string, std::string, std::less<>> reports_;
    // Invariant: versions in changes_ are consecutive and end at version_.
    std::deque<ObjectChange> changes_;
    StoreCounts counts_;
};

} // namespace jj
