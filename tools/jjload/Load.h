// Streamed questions to one or more targets, which take turns, so that one run compares them under the same conditions.
//
// Closed loop: a fixed number of questions is open at any time. Open loop: questions start at random times of a given rate,
// whatever the answers do; their times count from when they were due, so that a slow target doesn't hide its own delay.
#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jj {

struct LoadTarget {
    std::string name_;
    Endpoint endpoint_;
};

struct LoadOptions {
    std::vector<LoadTarget> targets_;
    std::string model_ = "bookhelp";
    std::uint64_t requests_ = 1000; // over all targets
    double rate_ = 0; // requests a second over all targets; 0: closed loop
    std::size_t concurrency_ = 16; // closed loop, over all targets
    int maxTokens_ = 16;
    std::size_t promptBytes_ = 200;
    std::size_t threads_ = 1;
    std::uint64_t seed_ = 1;
    std::uint64_t warmup_ = 0; // first requests that aren't counted
};

// Times in milliseconds.
struct LoadResult {
    std::string name_;
    std::uint64_t answered_ = 0; // whole, up to [DONE]
    std::uint64_t refused_ = 0; // an HTTP error status
    std::uint64_t broken_ = 0; // connection errors and truncated streams
    std::vector<double> firstToken_;
    std::vector<double> whole_;
};

struct LoadReport {
    std::vector<LoadResult> targets_;
    double seconds_ = 0;
};

LoadReport runLoad(const LoadOptions& options);

// The value below which `share` of the samples lie; 0 without samples. Sorts them.
double quantile(std::vector<double>& samples, double share);

} // namespace jj
