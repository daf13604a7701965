// Replays of many policies over many seeds, in parallel, with and without batch on the same online load.
#pragma once

#include "Variants.h"
#include "replay/Generator.h"

#include <map>
#include <string>
#include <vector>

namespace jj {

struct Statistic {
    double median_ = 0;
    double low_ = 0;
    double high_ = 0;
};

// The figures of one policy over the seeds. Beside those of figuresOf there are `..._ratio` (with batch over without) and
// `ttft_p50_more_ms`.
struct Row {
    std::string name_;
    double bound_ = 1; // batch's share of the slots
    std::map<std::string, Statistic> figures_;

    double median(const std::string& figure) const
    {
        const auto found = figures_.find(figure);
        return found == figures_.end() ? 0 : found->second.median_;
    }
};

struct RunPlan {
    GeneratorOptions load_;
    std::uint64_t seeds_ = 10;
    unsigned threads_ = 4;
};

std::vector<Row> measure(const std::vector<Variant>& variants, const RunPlan& plan);

// Batch tokens a second that an all-knowing scheduler gets out of the same engines beside the same online load, when every step
// is filled up to `step`: work per step divided by what a batch token costs, prompts of a shared prefix counted once.
double allKnowingTokens(const GeneratorOptions& load, Duration step);

} // namespace jj
