// jjpolicy: measures every policy on the same traces and engine model in one run, and draws the frontier of batch tokens against
// time to first token over the bound on batch concurrency.
#include "Runs.h"
#include "replay/Page.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>

using namespace jj;

namespace {

struct Arguments {
    std::uint64_t seeds_ = 10;
    unsigned threads_ = 4;
    int seconds_ = 30;
    double scale_ = 1;
    std::vector<std::string> profiles_ { "ShortPrompts", "LongPrompts" };
    std::vector<std::string> scenarios_ { "Burst" };
    std::string json_;
    std::string page_;
    bool noFrontier_ = false;
};

void printTable(const std::vector<Row>& rows)
{
    std::printf("%-18s %7s %7s %7s %7s %7s %15s %7s %8s %17s %7s %7s %6s %6s %7s\n", "policy", "p50", "+ms", "p95", "p99", "p99 x", "(low..high)", "tbt95", "batch/s", "(low..high)", "wasted",
        "kept", "jobs", "hits", "att/q");
    for (const Row& row : rows) {
        const Statistic ratio = row.figures_.at("ttft_p99_ratio");
        const Statistic batch = row.figures_.at("batch_tokens_per_second");
        std::printf("%-18s %7.1f %7.1f %7.1f %7.1f %7.2f  (%5.2f..%5.2f) %7.1f %8.0f (%6.0f..%6.0f) %7.4f %7.4f %6.2f %6.2f %7.3f  lost %.0f refused %.0f yields %.0f\n", row.name_.c_str(),
            row.median("ttft_p50_ms"), row.median("ttft_p50_more_ms"), row.median("ttft_p95_ms"), row.median("ttft_p99_ms"), ratio.median_, ratio.low_, ratio.high_,
            row.median("tbt_p95_ms"), batch.median_, batch.low_, batch.high_, row.median("wasted_share"), row.median("deadlines_kept_share"), row.median("jobs_kept_share"),
            row.median("prefix_hit_share"), row.median("attempts_per_question"), row.figures_.at("lost").high_, row.median("refused"), row.median("yields"));
    }
}

boost::json::array toJson(const std::vector<Row>& rows)
{
    boost::json::array array;
    for (const Row& row : rows) {
        boost::json::object figures;
        for (const auto& [name, value] : row.figures_)
            figures[name] = { { "median", value.median_ }, { "low", value.low_ }, { "high", value.high_ } };
        array.push_back({ { "policy", row.name_ }, { "bound", row.bound_ }, { "figures", figures } });
    }
    return array;
}

std::vector<Variant> frontierVariants()
{
    std::vector<Variant> variants;
    for (const double share : { 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0 }) {
        variants.push_back(roundRobin(share));
        variants.push_back(aloneTwoChoices(share));
        variants.push_back(chosenDesign(share));
    }
    return variants;
}

Plot frontierPlot(const std::vector<Row>& rows, const std::string& site, const char* figure)
{
    Plot plot { site + ": batch tokens a second against " + figure, std::string(figure) + " with batch, ms", "tokens a second", {} };
    for (const Row& row : rows) {
        auto curve = std::find_if(plot.curves_.begin(), plot.curves_.end(), [&](const Curve& each) { return each.name_ == row.name_; });
        if (curve == plot.curves_.end())
            curve = plot.curves_.insert(plot.curves_.end(), Curve { row.name_, {} });
        // Beyond it a policy is of no use; the plot would show nothing else.
        constexpr double worst = 1000;
        curve->points_.emplace_back(std::min(worst, row.median(figure)), row.median("batch_tokens_per_second"));
    }
    return plot;
}

void printFrontier(const std::vector<Row>& rows)
{
    std::printf("frontier over batch's share of the slots\n%-18s %6s %8s %8s %8s\n", "policy", "bound", "p50", "p99", "batch/s");
    for (const Row& row : rows)
        std::printf("%-18s %6.2f %8.1f %8.1f %8.0f\n", row.name_.c_str(), row.bound_, row.median("ttft_p50_ms"), row.median("ttft_p99_ms"), row.median("batch_tokens_per_second"));
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures every policy on the same traces and engine model.");
    Arguments arguments;
    app.add_option("--seeds", arguments.seeds_, "seeds 1 to this");
    app.add_option("--threads", arguments.threads_);
    app.add_option("--seconds", arguments.seconds_, "length of each trace");
    app.add_option("--online-scale", arguments.scale_);
    app.add_option("--profile", arguments.profiles_);
    app.add_option("--scenario", arguments.scenarios_);
    app.add_option("--json", arguments.json_);
    app.add_option("--page", arguments.page_);
    app.add_flag("--no-frontier", arguments.noFrontier_);
    CLI11_PARSE(app, argc, argv);

    std::vector<Variant> variants { roundRobin(1.0), aloneTwoChoices(0.6), chosenDesign(1.0) };
    for (const Variant& each : ablations())
        variants.push_back(each);
    boost::json::object report;
    std::vector<Plot> plots;
    for (const std::string& profile : arguments.profiles_) {
        for (const std::string& scenario : arguments.scenarios_) {
            RunPlan plan { {}, arguments.seeds_, arguments.threads_ };
            if (!boost::describe::enum_from_string(profile.c_str(), plan.load_.profile_) || !boost::describe::enum_from_string(scenario.c_str(), plan.load_.scenario_))
                return 2;
            plan.load_.length_ = std::chrono::seconds(arguments.seconds_);
            plan.load_.onlineScale_ = arguments.scale_;
            const std::string site = std::string(profile).append(" ").append(scenario);
            std::printf("== %s, seeds 1..%llu, %d s each; median over seeds\n", site.c_str(), static_cast<unsigned long long>(arguments.seeds_), arguments.seconds_);
            std::vector<Row> rows = measure(variants, plan);
            printTable(rows);
            const double weight = generateTrace(plan.load_).site_.policy_.latencyWeight_;
            const double tightest = Features {}.stepTightening_;
            const Duration target = fromSeconds(0.050 * (1 - tightest * weight));
            std::printf("all-knowing scheduler: %.0f tokens a second with steps of 50 ms, %.0f with the %.0f ms of this site's weight\n", allKnowingTokens(plan.load_, 50ms),
                allKnowingTokens(plan.load_, target), toMilliseconds(target));
            report[site] = toJson(rows);
            if (arguments.noFrontier_ || scenario != "Burst")
                continue;
            rows = measure(frontierVariants(), plan);
            printFrontier(rows);
            report[site + " frontier"] = toJson(rows);
            plots.push_back(frontierPlot(rows, site, "ttft_p50_ms"));
            plots.push_back(frontierPlot(rows, site, "ttft_p99_ms"));
        }
    }
    if (!arguments.json_.empty())
        std::ofstream(arguments.json_) << boost::json::serialize(report) << '\n';
    if (!arguments.page_.empty())
        std::ofstream(arguments.page_) << pageOf("Batch tokens against time to first token", "one curve a policy, over the bound on batch's share of the slots", plots);
    return 0;
}
