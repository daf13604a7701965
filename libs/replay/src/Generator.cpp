// Sites and loads of the generated traces.
#include "replay/Generator.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace jj {

namespace {

    // The shape of one deployment's load.
    struct Shape {
        double questionsPerEngine_ = 0; // a second
        std::uint32_t prefixes_ = 0;
        std::uint32_t prefixTokens_ = 0;
        std::uint32_t promptTokens_ = 0; // behind the prefix, mean
        std::uint32_t answerTokens_ = 0; // mean
        Duration deadline_ {};
        std::uint32_t itemPrefix_ = 0;
        std::uint32_t itemPrompt_ = 0; // whole, mean
        std::uint32_t itemAnswer_ = 0;
        double latencyWeight_ = 0.5;
    };

    Shape shapeOf(SiteProfile profile)
    {
        switch (profile) {
        case SiteProfile::ShortPrompts:
            return { 2.0, 40, 224, 130, 80, 3s, 160, 260, 200, 0.8 };
        case SiteProfile::LongPrompts:
            return { 1.8, 30, 160, 340, 60, 3s, 192, 420, 150, 0.2 };
        case SiteProfile::PeakLoad:
            return { 4.2, 200, 224, 150, 100, 2s, 160, 260, 200, 0.5 };
        }
        return {};
    }

    constexpr RegionId firstRegion { 1 };
    constexpr RegionId secondRegion { 2 };

    Site siteOf(SiteProfile profile, const Shape& shape)
    {
        struct Sizes {
            const char* name_;
            std::uint32_t firstNodes_;
            std::uint32_t secondNodes_;
            std::uint32_t firstEngines_;
            std::uint32_t secondEngines_;
        };
        const Sizes sizes = profile == SiteProfile::ShortPrompts ? Sizes { "short-prompts", 6, 2, 12, 6 }
            : profile == SiteProfile::LongPrompts                ? Sizes { "long-prompts", 4, 2, 6, 3 }
                                                                 : Sizes { "peak-load", 3, 1, 6, 3 };
        Site site;
        site.name_ = sizes.name_;
        site.domainDelay_ = profile == SiteProfile::LongPrompts ? 1ms : 500us;
        site.clientDelay_ = profile == SiteProfile::LongPrompts ? 1ms : 3ms;
        // The first region has two failure domains, the second one.
        const auto domainOf = [](std::uint32_t index, bool first) { return FailureDomainId(first ? 1 + index % 2 : 3); };
        for (std::uint32_t i = 0; i < sizes.firstNodes_ + sizes.secondNodes_; ++i) {
            const bool first = i < sizes.firstNodes_;
            site.nodes_.push_back({ NodeId(100 + i), first ? firstRegion : secondRegion, domainOf(i, first) });
        }
        for (std::uint32_t i = 0; i < sizes.firstEngines_ + sizes.secondEngines_; ++i) {
            const bool first = i < sizes.firstEngines_;
            site.engines_.push_back({ UpstreamId(1000 + i), first ? firstRegion : secondRegion, domainOf(i, first) });
        }
        site.policy_.service_ = ServiceId(1);
        site.policy_.latencyWeight_ = shape.latencyWeight_;
        return site;
    }

    class Generator {
    public:
        explicit Generator(const GeneratorOptions& options)
            : options_(options)
            , shape_(shapeOf(options.profile_))
            , random_(options.seed_)
        {
        }

        Trace run()
        {
            trace_.site_ = siteOf(options_.profile_, shape_);
            trace_.site_.length_ = options_.length_;
            addArrivals();
            if (options_.scenario_ == Scenario::Poison)
                addPoison();
            addFaults();
            if (options_.batch_)
                addJobs();
            return std::move(trace_);
        }

    private:
        static constexpr Duration burstEvery = 15s;
        static constexpr Duration burstLength = 2s;
        static constexpr double burstFactor = 10;

        double uniform() { return static_cast<double>(random_() >> 11U) / 9007199254740992.0; }
        // Mean `mean`, between a half and twice it.
        std::uint32_t around(std::uint32_t mean) { return static_cast<std::uint32_t>(mean * std::exp2(2 * uniform() - 1) * 0.924); }

        bool bursts() const { return options_.scenario_ != Scenario::Quiet && options_.scenario_ != Scenario::Steady && options_.scenario_ != Scenario::Poison; }

        double factorAt(Duration at) const
        {
            if (options_.scenario_ == Scenario::Quiet)
                return 0.2;
            return bursts() && at % burstEvery >= burstEvery - burstLength ? burstFactor : 1.0;
        }

        void addArrivals()
        {
            const double rate = shape_.questionsPerEngine_ * options_.onlineScale_ * static_cast<double>(trace_.site_.engines_.size());
            // Thinning of the highest rate gives a Poisson process of each moment's rate.
            const double most = rate * (bursts() ? burstFactor : 1.0);
            double at = 0;
            while (true) {
                at += -std::log(1.0 - uniform()) / most;
                const Duration time = fromSeconds(at);
                if (time >= options_.length_)
                    return;
                if (uniform() * most <= rate * factorAt(time))
                    trace_.arrivals_.push_back(question(time));
            }
        }

        Arrival question(Duration at)
        {
            Arrival arrival;
            arrival.at_ = at;
            const double draw = uniform();
            // Some groups ask far more than others.
            arrival.workspace_ = WorkspaceId(static_cast<std::uint64_t>(draw * draw * 40));
            const auto engine = static_cast<std::size_t>(uniform() * static_cast<double>(trace_.site_.engines_.size()));
            arrival.region_ = trace_.site_.engines_[engine].region_;
            const double popular = uniform();
            arrival.prefix_ = PrefixId(1 + static_cast<std::uint64_t>(popular * popular * shape_.prefixes_));
            arrival.prefixTokens_ = shape_.prefixTokens_;
            arrival.promptTokens_ = shape_.prefixTokens_ + around(shape_.promptTokens_);
            arrival.answerTokens_ = std::max(1U, around(shape_.answerTokens_));
            arrival.maxOutputTokens_ = shape_.answerTokens_ * 2;
            arrival.deadline_ = shape_.deadline_;
            return arrival;
        }

        void addPoison()
        {
            Arrival poison = question(options_.length_ / 3);
            poison.poison_ = true;
            const auto place = std::lower_bound(trace_.arrivals_.begin(), trace_.arrivals_.end(), poison, [](const Arrival& a, const Arrival& b) { return a.at_ < b.at_; });
            trace_.arrivals_.insert(place, poison);
        }

        void addFaults()
        {
            const auto engines = static_cast<std::uint32_t>(trace_.site_.engines_.size());
            const Duration third = options_.length_ / 3 / burstEvery * burstEvery + burstEvery - burstLength + 500ms;
            if (options_.scenario_ == Scenario::BurstLoss) {
                for (std::uint32_t i = 0; i < engines; i += 3)
                    trace_.faults_.push_back({ third, FaultKind::EngineLost, i });
                for (std::uint32_t i = 0; i < engines; i += 3)
                    trace_.faults_.push_back({ third + 8s, FaultKind::EngineBack, i });
            } else if (options_.scenario_ == Scenario::Stale) {
                trace_.faults_.push_back({ 0s, FaultKind::ReportsStale, 0 });
            } else if (options_.scenario_ == Scenario::LinkLoss) {
                trace_.faults_.push_back({ options_.length_ / 4, FaultKind::LinkLost, 0 });
                trace_.faults_.push_back({ options_.length_ * 3 / 4, FaultKind::LinkBack, 0 });
            }
        }

        // Work without end for idle capacity, from four workspaces in each region, and one job that is due within the trace.
        void addJobs()
        {
            constexpr std::uint32_t endless = 100'000;
            for (std::uint32_t i = 0; i < 8; ++i) {
                const Duration deadline = options_.length_ * 100'000;
                trace_.jobs_.push_back(job(0s, i, i % 2 == 0 ? firstRegion : secondRegion, endless, deadline));
            }
            const auto seconds = static_cast<std::uint32_t>(toSeconds(options_.length_));
            trace_.jobs_.push_back(job(1s, 8, firstRegion, 8 * seconds, options_.length_ * 3 / 4));
        }

        Job job(Duration at, std::uint32_t index, RegionId region, std::uint32_t items, Duration deadline)
        {
            Job job;
            job.at_ = at;
            job.job_ = JobId(options_.seed_ * 100 + index);
            job.workspace_ = WorkspaceId(500 + index);
            job.region_ = region;
            job.items_ = items;
            job.promptTokens_ = shape_.itemPrompt_;
            job.prefix_ = PrefixId(10'000 + index);
            job.prefixTokens_ = shape_.itemPrefix_;
            job.answerTokens_ = shape_.itemAnswer_;
            job.maxOutputTokens_ = shape_.itemAnswer_ * 2;
            job.deadline_ = deadline;
            return job;
        }

        GeneratorOptions options_;
        Shape shape_;
        std::mt19937_64 random_;
        Trace trace_;
    };

} // namespace

Trace generateTrace(const GeneratorOptions& options) { return Generator(options).run(); }

} // namespace jj
