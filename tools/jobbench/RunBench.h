// Store calls, recovery, memory slopes and the return of load, over virtual nodes and a store in virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jj {

struct CallFigures {
    std::uint32_t items_ = 0;
    std::uint32_t chunks_ = 0;
    std::uint64_t acceptCalls_ = 0; // until the acknowledgement
    std::uint64_t runCalls_ = 0; // after it, of the job itself
    std::uint64_t backgroundCalls_ = 0; // leases and discovery of all nodes, whatever the jobs
    std::size_t largestLedger_ = 0; // bytes
    double seconds_ = 0; // virtual
};
CallFigures measureCalls(std::uint32_t items, std::uint32_t chunkItems, bool atMostOnce);

struct RecoveryFigures {
    double p50_ = 0; // seconds from the kill to the first item started by the next holder
    double p99_ = 0;
    double worst_ = 0;
    double itemsAgain_ = 0; // a kill, mean
    double itemsAgainWorst_ = 0;
    double leaseTime_ = 0;
};
RecoveryFigures measureRecovery(std::uint32_t kills);

// Bytes that a second holder allocates to open `jobs` waiting jobs.
double measureBytesForJobs(std::uint32_t jobs);
// Bytes that a holder allocates to keep `items` items of one job loaded.
double measureBytesForItems(std::uint32_t items);

// Processor time of one tick of a holder that has `jobs` open jobs, in microseconds.
double measureTick(std::uint32_t jobs);

// Store calls in each second after an outage of a minute, with nine nodes that all have work waiting.
std::vector<std::uint64_t> measureReturn();

} // namespace jj
