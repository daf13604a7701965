// Runs and their statistics.
#include "Runs.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace jj {

namespace {

    struct Task {
        std::size_t variant_ = 0;
        GeneratorOptions load_;
        std::map<std::string, double> figures_;
    };

    Statistic statisticOf(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return { values[values.size() / 2], values.front(), values.back() };
    }

    void runAll(std::vector<Task>& tasks, const std::vector<Variant>& variants, unsigned threads)
    {
        std::atomic<std::size_t> next = 0;
        std::vector<std::thread> pool;
        for (unsigned i = 0; i < threads; ++i) {
            pool.emplace_back([&] {
                for (std::size_t at = next++; at < tasks.size(); at = next++) {
                    Task& task = tasks[at];
                    ReplayOptions options;
                    options.features_ = variants[task.variant_].features_;
                    options.seed_ = task.load_.seed_;
                    task.figures_ = figuresOf(replay(generateTrace(task.load_), options));
                }
            });
        }
        for (std::thread& thread : pool)
            thread.join();
    }

} // namespace

std::vector<Row> measure(const std::vector<Variant>& variants, const RunPlan& plan)
{
    std::vector<Task> tasks;
    for (std::size_t variant = 0; variant < variants.size(); ++variant) {
        for (std::uint64_t seed = 1; seed <= plan.seeds_; ++seed) {
            for (const bool batch : { false, true }) {
                GeneratorOptions load = plan.load_;
                load.seed_ = seed;
                load.batch_ = batch;
                tasks.push_back({ variant, load, {} });
            }
        }
    }
    runAll(tasks, variants, plan.threads_);
    std::vector<Row> rows;
    for (std::size_t variant = 0; variant < variants.size(); ++variant) {
        std::map<std::string, std::vector<double>> columns;
        for (std::uint64_t seed = 0; seed < plan.seeds_; ++seed) {
            const std::size_t at = (variant * plan.seeds_ + seed) * 2;
            const auto& alone = tasks[at].figures_;
            const auto& both = tasks[at + 1].figures_;
            for (const auto& [name, value] : both)
                columns[name].push_back(value);
            for (const char* each : { "ttft_p50", "ttft_p95", "ttft_p99" }) {
                const std::string name = std::string(each) + "_ms";
                columns[std::string(each) + "_ratio"].push_back(both.at(name) / std::max(alone.at(name), 1e-9));
                columns[std::string(each) + "_alone_ms"].push_back(alone.at(name));
            }
            columns["ttft_p50_more_ms"].push_back(both.at("ttft_p50_ms") - alone.at("ttft_p50_ms"));
        }
        Row row { variants[variant].name_, variants[variant].features_.batchShare_, {} };
        for (auto& [name, values] : columns)
            row.figures_[name] = statisticOf(std::move(values));
        rows.push_back(std::move(row));
    }
    return rows;
}

double allKnowingTokens(const GeneratorOptions& load, Duration step)
{
    GeneratorOptions options = load;
    options.batch_ = true;
    const Trace trace = generateTrace(options);
    const EngineParameters engine;
    const auto engines = static_cast<double>(trace.site_.engines_.size());
    double online = 0; // engine seconds
    for (const Arrival& each : trace.arrivals_) {
        online += (each.promptTokens_ - each.prefixTokens_) * toSeconds(engine.stepPerPromptToken_);
        online += each.answerTokens_ * toSeconds(engine.stepPerStream_);
    }
    const Job& job = trace.jobs_.front();
    const double token = toSeconds(engine.stepPerStream_)
        + toSeconds(engine.stepPerPromptToken_) * (job.promptTokens_ - job.prefixTokens_) / static_cast<double>(job.answerTokens_);
    const double busy = online / engines / toSeconds(trace.site_.length_); // share of an engine's time
    const double idle = 1.0 - toSeconds(engine.stepBase_) / toSeconds(step) - busy;
    const double byTime = idle / token;
    const double kvTokens = engine.kvBlocks_ * engine.blockTokens_;
    const double byMemory = kvTokens / (job.promptTokens_ - job.prefixTokens_ + job.answerTokens_) / toSeconds(step);
    return engines * std::min(byTime, byMemory);
}

} // namespace jj
