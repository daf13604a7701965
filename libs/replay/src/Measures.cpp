// Figures of a replay.
#include "replay/Measures.h"

#include <algorithm>

namespace jj {

namespace {

    double share(std::uint64_t part, std::uint64_t whole) { return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole); }

} // namespace

Spread spreadOf(std::vector<double>& values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto at = [&](double rank) { return values[static_cast<std::size_t>(rank * static_cast<double>(values.size() - 1))]; };
    return { at(0.50), at(0.95), at(0.99) };
}

std::map<std::string, double> figuresOf(const Measures& measures)
{
    return {
        { "questions", static_cast<double>(measures.questions_) },
        { "answered_share", share(measures.answered_, measures.questions_) },
        { "refused", static_cast<double>(measures.refused_) },
        { "lost", static_cast<double>(measures.lost_) },
        { "doubled", static_cast<double>(measures.doubled_) },
        { "deadlines_kept_share", share(measures.kept_, measures.questions_) },
        { "ttft_p50_ms", measures.firstToken_.p50_ },
        { "ttft_p95_ms", measures.firstToken_.p95_ },
        { "ttft_p99_ms", measures.firstToken_.p99_ },
        { "tbt_p95_ms", measures.betweenTokens_.p95_ },
        { "attempts_per_question", share(measures.attempts_, measures.questions_) },
        { "prefix_hit_share", share(measures.prefixHits_, measures.prefixTries_) },
        { "items_done", static_cast<double>(measures.itemsDone_) },
        { "batch_tokens_per_second", measures.batchTokensPerSecond_ },
        { "wasted_share", measures.wastedShare_ },
        { "yields", static_cast<double>(measures.yields_) },
        { "jobs_kept_share", share(measures.jobsKept_, measures.jobsDue_) },
        { "engines_crashed", static_cast<double>(measures.enginesCrashed_) },
        { "link_bytes", static_cast<double>(measures.linkBytes_) },
        { "decision_us", measures.decisionMicroseconds_ },
    };
}

} // namespace jj
