// What a replay measures.
#pragma once

#include "base/Time.h"
#include "decisions/Fields.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jj {

// Times in milliseconds.
struct Spread {
    double p50_ = 0;
    double p95_ = 0;
    double p99_ = 0;
};
BOOST_DESCRIBE_STRUCT(Spread, (), (p50_, p95_, p99_))

// Sorts the values.
Spread spreadOf(std::vector<double>& values);

// One second of the trace, for the plots.
struct Second {
    std::uint32_t arrivals_ = 0;
    std::uint32_t queued_ = 0; // at the homes, at its end
    double firstTokenWorst_ = 0; // milliseconds, of the requests that arrived in it
    std::uint32_t batchTokens_ = 0;
    std::uint32_t yields_ = 0;
};
BOOST_DESCRIBE_STRUCT(Second, (), (arrivals_, queued_, firstTokenWorst_, batchTokens_, yields_))

struct Measures {
    std::uint64_t questions_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t notRun_ = 0; // refusals that say so
    // Neither answered nor refused when the replay ended: has to be 0.
    std::uint64_t lost_ = 0;
    // Answered twice: has to be 0.
    std::uint64_t doubled_ = 0;
    // First token within the request's deadline.
    std::uint64_t kept_ = 0;
    Spread firstToken_;
    Spread betweenTokens_;
    std::uint64_t attempts_ = 0; // online, on engines
    std::uint64_t retries_ = 0;
    std::uint64_t prefixHits_ = 0; // attempts whose prefix was cached, of all with a prefix
    std::uint64_t prefixTries_ = 0;

    std::uint64_t itemsDone_ = 0;
    std::uint64_t itemsRefused_ = 0; // and tried again by the job's worker
    double batchTokensPerSecond_ = 0;
    // Tokens of prompt and answer worked on more than once or thrown away, per token of batch answers.
    double wastedShare_ = 0;
    std::uint64_t yields_ = 0;
    std::uint64_t jobsDue_ = 0;
    std::uint64_t jobsKept_ = 0;

    std::uint64_t enginesCrashed_ = 0;
    std::uint64_t linkBytes_ = 0;
    double decisionMicroseconds_ = 0; // CPU time a call of handle, wall clock; differs from run to run
    std::vector<Second> seconds_;
};

// The figures by name, for reports and outcomes.
std::map<std::string, double> figuresOf(const Measures& measures);

} // namespace jj
