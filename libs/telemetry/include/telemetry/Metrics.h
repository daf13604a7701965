// Metrics of one process: counters, gauges and distributions, shown as Prometheus text.
//
//     Metrics metrics;
//     const CounterHandle refused = metrics.counter("jj_refused_total", "requests refused", { { "reason", "expired" } });
//     metrics.add(refused);
//     const DistributionHandle ttft = metrics.distribution("jj_first_token_ms", "time to first token");
//     metrics.observe(ttft, 12.5);
//     std::string text = metrics.prometheusText();
//
// Metrics are registered at start and then used by handle, from any thread. Distributions are Boost.Accumulators: count, sum,
// largest value, and the quantiles 0.5, 0.95 and 0.99 by the P-square method, which needs constant memory and is an estimate.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jj {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

enum class CounterHandle : std::size_t {};
enum class GaugeHandle : std::size_t {};
enum class DistributionHandle : std::size_t {};

// What a distribution has seen so far. Quantiles are 0 before the first observation.
struct DistributionSummary {
    std::uint64_t count_ = 0;
    double sum_ = 0;
    double largest_ = 0;
    double p50_ = 0;
    double p95_ = 0;
    double p99_ = 0;
};

class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // The same name and labels give the same handle again. Names follow Prometheus: [a-z_]+, with the unit at the end.
    CounterHandle counter(std::string_view name, std::string_view help, const MetricLabels& labels = {});
    GaugeHandle gauge(std::string_view name, std::string_view help, const MetricLabels& labels = {});
    DistributionHandle distribution(std::string_view name, std::string_view help, const MetricLabels& labels = {});

    void add(CounterHandle counter, std::uint64_t amount = 1);
    void set(GaugeHandle gauge, double value);
    void observe(DistributionHandle distribution, double value);

    std::uint64_t value(CounterHandle counter) const;
    DistributionSummary summary(DistributionHandle distribution) const;

    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace jj
