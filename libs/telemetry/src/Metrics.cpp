// Cells live in deques, so that handles stay valid while others register.
#include "telemetry/Metrics.h"

#include <algorithm>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <sstream>

namespace jj {

namespace {

    namespace acc = boost::accumulators;
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
    using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

    struct Identity {
        std::string name_;
        std::string help_;
        std::string labels_; // as they stand in the text, without braces
    };

    struct CounterCell {
        Identity identity_;
        std::atomic<std::uint64_t> value_ = 0;
    };

    struct GaugeCell {
        Identity identity_;
        std::atomic<double> value_ = 0;
    };

    struct DistributionCell {
        Identity identity_;
        mutable std::mutex lock_;
        Totals totals_;
        Quantile p50_ { acc::quantile_probability = 0.5 };
        Quantile p95_ { acc::quantile_probability = 0.95 };
        Quantile p99_ { acc::quantile_probability = 0.99 };
    };

    std::string escaped(std::string_view text)
    {
        std::string result;
        for (const char letter : text) {
            if (letter == '\\' || letter == '"')
                result += '\\';
            if (letter == '\n')
                result += "\\n";
            else
                result += letter;
        }
        return result;
    }

    std::string labelText(const MetricLabels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "" : ",") + name + "=\"" + escaped(value) + '"';
        return text;
    }

    template <class Handle, class Cell>
    Handle findOrAdd(std::deque<Cell>& cells, std::string_view name, std::string_view help, const MetricLabels& labels)
    {
        const std::string text = labelText(labels);
        const auto found = std::find_if(cells.begin(), cells.end(), [&](const Cell& cell) { return cell.identity_.name_ == name && cell.identity_.labels_ == text; });
        if (found != cells.end())
            return static_cast<Handle>(found - cells.begin());
        cells.emplace_back().identity_ = { std::string(name), std::string(help), text };
        return static_cast<Handle>(cells.size() - 1);
    }

    std::string sampleName(const Identity& identity, std::string_view suffix, std::string_view extraLabel = {})
    {
        std::string labels = identity.labels_;
        if (!extraLabel.empty())
            labels += (labels.empty() ? "" : ",") + std::string(extraLabel);
        return identity.name_ + std::string(suffix) + (labels.empty() ? "" : "{" + labels + "}");
    }

    // Prometheus wants all samples of a name together, below one header.
    class TextPages {
    public:
        void add(const Identity& identity, std::string_view type, const std::string& samples)
        {
            std::string& page = pages_[identity.name_];
            if (page.empty())
                page = "# HELP " + identity.name_ + " " + identity.help_ + "\n# TYPE " + identity.name_ + " " + std::string(type) + "\n";
            page += samples;
        }

        std::string text() const
        {
            std::string all;
            for (const auto& [name, page] : pages_)
                all += page;
            return all;
        }

    private:
        std::map<std::string, std::string> pages_;
    };

    DistributionSummary summarize(const DistributionCell& cell)
    {
        const std::lock_guard lock(cell.lock_);
        DistributionSummary summary;
        summary.count_ = acc::count(cell.totals_);
        if (summary.count_ == 0)
            return summary;
        summary.sum_ = acc::sum(cell.totals_);
        summary.largest_ = acc::max(cell.totals_);
        summary.p50_ = acc::p_square_quantile(cell.p50_);
        summary.p95_ = acc::p_square_quantile(cell.p95_);
        summary.p99_ = acc::p_square_quantile(cell.p99_);
        return summary;
    }

    std::string distributionText(const DistributionCell& cell)
    {
        const DistributionSummary summary = summarize(cell);
        const Identity& identity = cell.identity_;
        std::ostringstream out;
        out << sampleName(identity, "", "quantile=\"0.5\"") << ' ' << summary.p50_ << '\n';
        out << sampleName(identity, "", "quantile=\"0.95\"") << ' ' << summary.p95_ << '\n';
        out << sampleName(identity, "", "quantile=\"0.99\"") << ' ' << summary.p99_ << '\n';
        out << sampleName(identity, "_sum") << ' ' << summary.sum_ << '\n';
        out << sampleName(identity, "_count") << ' ' << summary.count_ << '\n';
        return out.str();
    }

    template <class Value>
    std::string plainText(const Identity& identity, Value value)
    {
        std::ostringstream out;
        out << sampleName(identity, "") << ' ' << value << '\n';
        return out.str();
    }

} // namespace

struct Metrics::State {
    mutable std::mutex registration_; // guards the deques' shapes; the cells guard themselves
    std::deque<CounterCell> counters_;
    std::deque<GaugeCell> gauges_;
    std::deque<DistributionCell> distributions_;

    template <class Cell, class Handle>
    Cell& cell(std::deque<Cell>& cells, Handle handle) const
    {
        const std::lock_guard lock(registration_);
        return cells[static_cast<std::size_t>(handle)];
    }
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

CounterHandle Metrics::counter(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    const std::lock_guard lock(state_->registration_);
    return findOrAdd<CounterHandle>(state_->counters_, name, help, labels);
}

GaugeHandle Metrics::gauge(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    const std::lock_guard lock(state_->registration_);
    return findOrAdd<GaugeHandle>(state_->gauges_, name, help, labels);
}

DistributionHandle Metrics::distribution(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    const std::lock_guard lock(state_->registration_);
    return findOrAdd<DistributionHandle>(state_->distributions_, name, help, labels);
}

void Metrics::add(CounterHandle counter, std::uint64_t amount)
{
    state_->cell(state_->counters_, counter).value_.fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::set(GaugeHandle gauge, double value)
{
    state_->cell(state_->gauges_, gauge).value_.store(value, std::memory_order_relaxed);
}

void Metrics::observe(DistributionHandle distribution, double value)
{
    DistributionCell& cell = state_->cell(state_->distributions_, distribution);
    const std::lock_guard lock(cell.lock_);
    cell.totals_(value);
    cell.p50_(value);
    cell.p95_(value);
    cell.p99_(value);
}

std::uint64_t Metrics::value(CounterHandle counter) const
{
    return state_->cell(state_->counters_, counter).value_.load(std::memory_order_relaxed);
}

DistributionSummary Metrics::summary(DistributionHandle distribution) const
{
    return summarize(state_->cell(state_->distributions_, distribution));
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(state_->registration_);
    TextPages pages;
    for (const CounterCell& cell : state_->counters_)
        pages.add(cell.identity_, "counter", plainText(cell.identity_, cell.value_.load(std::memory_order_relaxed)));
    for (const GaugeCell& cell : state_->gauges_)
        pages.add(cell.identity_, "gauge", plainText(cell.identity_, cell.value_.load(std::memory_order_relaxed)));
    for (const DistributionCell& cell : state_->distributions_)
        pages.add(cell.identity_, "summary", distributionText(cell));
    return pages.text();
}

} // namespace jj
