// What an engine tells of itself: load reports that lag, and cache events that come late and with gaps.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace jj {

// The engine's load as it stood at `at_`. KV memory is in blocks.
struct LoadReport {
    TimePoint at_ {};
    int running_ = 0;
    int waiting_ = 0;
    int kvUsed_ = 0;
    int kvTotal_ = 0;
    Duration step_ {}; // length of the step under way, zero when idle
    bool leaving_ = false;
};

// Keeps snapshots of the load and gives the newest that is at least `lag` old.
class LoadHistory {
public:
    LoadHistory(Duration lag, Duration period)
        : lag_(lag)
        , period_(period)
    {
    }

    bool wants(TimePoint now) const { return snapshots_.empty() || now - snapshots_.back().at_ >= period_; }
    void record(const LoadReport& report);
    LoadReport reportAt(TimePoint now) const;

private:
    // Enough for a lag of 64 periods; older snapshots go.
    static constexpr std::size_t maxSnapshots = 64;

    Duration lag_;
    Duration period_;
    // Invariant: in order of at_, at least one period apart.
    std::deque<LoadReport> snapshots_;
};

enum class CacheEventKind : std::uint8_t {
    Stored,
    Evicted,
};

struct CacheEvent {
    std::uint64_t sequence_ = 0;
    PrefixId prefix_;
    CacheEventKind kind_ = CacheEventKind::Stored;
    TimePoint visibleAt_ {};
};

// Log of cache events. Each event takes a sequence number; some are lost, which readers see as a gap.
class CacheEventLog {
public:
    CacheEventLog(Duration lag, double lossRate, std::uint64_t seed)
        : lag_(lag)
        , lossRate_(lossRate)
        , random_(seed)
    {
    }

    void add(PrefixId prefix, CacheEventKind kind, TimePoint now);
    // Appends the events from sequence number `from` on that can be seen now; gives the number to ask from next time.
    std::uint64_t read(std::uint64_t from, TimePoint now, std::vector<CacheEvent>& events) const;

private:
    static constexpr std::size_t maxEvents = 4096;

    Duration lag_;
    double lossRate_;
    std::mt19937_64 random_;
    std::uint64_t nextSequence_ = 0;
    // Invariant: in order of sequence_, and visibleAt_ never falls.
    std::deque<CacheEvent> events_;
};

} // namespace jj
