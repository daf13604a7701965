#include "capacity/EngineSpeeds.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace jj {

namespace {

    class SpeedCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "speeds"; }
        std::string message(int /*value*/) const override { return "a time of the settings isn't positive, or a gain isn't between 0 and 1"; }
    };

    // Single events may be early, because several arrive together, or very late, because the network stalls.
    constexpr double maxDifference = 4;
    // A momentary slowdown is no evidence of a lasting one: four times slower for a third of the time moves the lasting part by little.
    constexpr double maxLastingStep = 0.5;
    // Steps by which the usual time follows an event, as a power of two; more for the first events.
    constexpr double usualStep = 0.015;
    // Events at a number of running requests before engines are compared there.
    constexpr std::uint32_t minBucketEvents = 4;
    constexpr double noiseGain = 0.02;
    // Differences smaller than this many mean deviations of single steps are noise.
    constexpr double noiseFactor = 4;
    // The lasting part is a mean over about this many steps at most.
    constexpr double lastingSteps = 50;
    // An event that arrives sooner than this part of the time between events belongs to the same step of the engine.
    constexpr double minStepPart = 0.2;
    // An engine whose last event isn't older than this is busy.
    constexpr Duration busyGap = 1s;
    // After so long without an event, the next ones count for more again.
    constexpr Duration longIdle = 5s;
    // An engine is reported as usual again for this long after an event; an older event may be from before it turned slow.
    constexpr Duration usualReportLifetime = 100ms;
    // A code of a report is this plus the power of two in steps of a sixteenth.
    constexpr double codeOfUsual = 128;
    constexpr double codeSteps = 16;

    // Returns the weight of evidence of this time; 0 if there is none.
    double weightOf(TimePoint at, TimePoint now, Duration halfLife)
    {
        return at == TimePoint() ? 0 : std::exp2(-std::max(0.0, toSeconds(now - at)) / toSeconds(halfLife));
    }

    // Adds the time since the last evidence, if the engine was busy meanwhile.
    Duration longer(Duration seenFor, TimePoint last, TimePoint now, Duration limit)
    {
        const bool isBusy = last != TimePoint() && now - last <= busyGap;
        return isBusy && seenFor < limit ? seenFor + (now - last) : seenFor;
    }

    // Returns the value without the part that may be noise.
    double significant(double value, double minimum) { return std::abs(value) < minimum ? 0 : value; }

    // The mean of what several sources say of an engine at this moment. The newest one counts most: an event that came 60 ms before a load
    // header may be from before the engine turned slow.
    class MomentaryMean {
    public:
        explicit MomentaryMean(TimePoint now)
            : now_(now)
        {
        }

        // `halfLife`: in which the value itself loses its weight.
        void add(double value, TimePoint at, Duration halfLife)
        {
            if (at == TimePoint())
                return;
            const double decayed = value * weightOf(at, now_, halfLife);
            const double ratio = count_ == 0 ? 1 : std::exp2(std::clamp(toSeconds(at - newest_) / toSeconds(freshness), -maxExponent, maxExponent));
            sum_ = (sum_ + ratio * decayed) / (ratio > 1 ? ratio : 1);
            weight_ = (weight_ + ratio) / (ratio > 1 ? ratio : 1);
            newest_ = std::max(newest_, at);
            ++count_;
        }

        double value() const { return count_ == 0 ? 0 : sum_ / weight_; }

    private:
        static constexpr Duration freshness = 50ms; // a source that is older by so much counts half
        static constexpr double maxExponent = 50;

        TimePoint now_;
        TimePoint newest_ {};
        double sum_ = 0;
        double weight_ = 0;
        int count_ = 0;
    };

    // Returns how much of a step is more than noise: what the step before shows too, and what is beyond the delay by a new prompt.
    double confirmedStep(double step, double before)
    {
        constexpr double promptDelay = 1; // a factor of two
        if (step < 0)
            return std::clamp(before, step, 0.0);
        return std::clamp(before, std::max(0.0, step - promptDelay), step);
    }

    double median(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    std::uint8_t encode(double value) { return static_cast<std::uint8_t>(std::clamp(std::round(codeOfUsual + codeSteps * value), 0.0, 255.0)); }

    double decode(std::uint8_t code) { return (code - codeOfUsual) / codeSteps; }

} // namespace

std::error_code make_error_code(SpeedError error)
{
    static const SpeedCategory category;
    return { static_cast<int>(error), category };
}

Result<EngineSpeeds> EngineSpeeds::create(EngineSpeedSettings settings)
{
    const bool areGainsValid = settings.lastingGain_ > 0 && settings.lastingGain_ < 1 && settings.momentaryGain_ > 0 && settings.momentaryGain_ < 1;
    const bool areTimesValid = settings.lastingHalfLife_ > Duration::zero() && settings.momentaryHalfLife_ > Duration::zero() && settings.statedHalfLife_ > Duration::zero();
    if (!areGainsValid || !areTimesValid)
        return SpeedError::BadSettings;
    return EngineSpeeds(settings);
}

// A number of running requests that wasn't seen before starts with this event, as if the engine's factor were known exactly.
double& EngineSpeeds::usualTime(Service& service, std::size_t bucket, double seconds, double own)
{
    if (service.events_[bucket] == 0)
        service.usual_[bucket] = seconds - own;
    return service.usual_[bucket];
}

void EngineSpeeds::recordEventGap(UpstreamId engine, ServiceId service, std::uint32_t running, Duration gap, TimePoint now)
{
    if (gap <= Duration::zero())
        return;
    gap = std::max(gap, settings_.shortestGap_);
    Engine& one = engines_[engine];
    one.service_ = service;
    const bool isFirst = one.eventAt_ == TimePoint();
    const double weight = isFirst ? 1 : std::min(1.0, toSeconds(now - one.eventAt_) / toSeconds(gap));
    if (weight < minStepPart)
        return;
    Service& all = services_[service];
    one.measuredAt_ = now - gap / 2;
    learn(one, all, std::min<std::size_t>(running, Service::buckets - 1), std::log2(toSeconds(gap)), weight, now);
    updateMedian(all, service, now);
    checkStated(one, now);
    noteDifference(engine, one, now);
}

void EngineSpeeds::learn(Engine& engine, Service& service, std::size_t bucket, double seconds, double weight, TimePoint now)
{
    engine.lasting_ = lastingOf(engine, now);
    engine.momentary_ *= weightOf(engine.eventAt_, now, settings_.momentaryHalfLife_);
    if (engine.eventAt_ != TimePoint() && now - engine.eventAt_ > longIdle)
        engine.events_ = std::min(engine.events_, settings_.minEvents_);
    engine.seenFor_ = longer(engine.seenFor_, engine.eventAt_, now, settings_.lastingHalfLife_);
    engine.eventAt_ = now;
    const double predicted = engine.lasting_ + engine.momentary_;
    double& usual = usualTime(service, bucket, seconds, predicted);
    const double observed = std::clamp(seconds - usual, -maxDifference, maxDifference);
    const double residual = observed - predicted;
    const double step = weight * std::max(usualStep, 1.0 / (service.events_[bucket] + 1) / 2);
    usual += std::clamp(residual, -step, step);
    if (service.events_[bucket]++ < minBucketEvents)
        return;
    service.noise_ += noiseGain * weight * (std::min(std::abs(residual), 1.0) - service.noise_);
    // The first events count for more, so that the lasting part is known soon.
    const bool isKnown = engine.events_ >= settings_.minEvents_;
    const double gain = weight * std::max(settings_.lastingGain_, 1.0 / (engine.events_ + 1));
    const double beyond = observed - engine.lasting_;
    engine.lasting_ += gain * (isKnown ? std::clamp(beyond, -maxLastingStep, maxLastingStep) : beyond);
    const double confirmed = confirmedStep(beyond, engine.lastStep_);
    engine.lastStep_ = beyond;
    if (isKnown)
        engine.momentary_ += weight * settings_.momentaryGain_ * (confirmed - engine.momentary_);
    ++engine.events_;
}

// All engines count the same, however many events they bring. What isn't known of an engine is taken from other nodes, and is usual
// otherwise: a node that only sees fast engines would take them for usual, and then agree with no other node.
void EngineSpeeds::updateMedian(Service& service, ServiceId id, TimePoint now)
{
    if (service.medianAt_ != TimePoint() && now - service.medianAt_ < settings_.medianPeriod_)
        return;
    service.medianAt_ = now;
    std::vector<double> lasting;
    std::vector<double> momentary;
    for (const auto& [engine, one] : engines_) {
        if (one.service_ != id)
            continue;
        const bool isKnown = one.events_ >= settings_.minEvents_;
        lasting.push_back(isKnown ? lastingOf(one, now) : service.median_ + heardLastingOf(one, now));
        const bool isRecent = isKnown && now - one.eventAt_ < settings_.momentaryHalfLife_;
        momentary.push_back(isRecent ? one.momentary_ : one.heardMomentary_ * weightOf(one.heardAt_, now, settings_.momentaryHalfLife_));
    }
    service.median_ = median(lasting);
    service.momentaryMedian_ = median(momentary);
}

void EngineSpeeds::recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now)
{
    if (percent == 0)
        return;
    constexpr double usualPercent = 100;
    Engine& one = engines_[engine];
    one.stated_ = std::clamp(std::log2(percent / usualPercent), -maxDifference, maxDifference);
    one.statedAt_ = now;
    noteDifference(engine, one, now);
}

// A figure that is too old to be compared with events neither confirms nor ends a contradiction.
void EngineSpeeds::checkStated(Engine& engine, TimePoint now) const
{
    constexpr double contradiction = 1; // a factor of two
    const bool isFresh = engine.statedAt_ != TimePoint() && now - engine.statedAt_ < settings_.statedHalfLife_;
    if (!isFresh || engine.events_ < settings_.minEvents_)
        return;
    if (std::abs(engine.momentary_ - engine.stated_) < contradiction) {
        engine.contradictedSince_ = {};
        return;
    }
    if (engine.contradictedSince_ == TimePoint())
        engine.contradictedSince_ = now;
    if (now - engine.contradictedSince_ >= settings_.contradictionTime_)
        engine.distrustedUntil_ = now + settings_.distrustTime_;
}

bool EngineSpeeds::isStatedValid(const Engine& engine, TimePoint now) const
{
    return engine.statedAt_ != TimePoint() && now >= engine.distrustedUntil_ && now - engine.statedAt_ < 4 * settings_.statedHalfLife_;
}

// Between the events of a busy engine nothing is lost, so that a lasting difference is learned in full.
double EngineSpeeds::lastingOf(const Engine& engine, TimePoint now) const
{
    return engine.lasting_ * weightOf(engine.eventAt_ + busyGap, now, lastingHalfLife(engine.seenFor_));
}

double EngineSpeeds::heardLastingOf(const Engine& engine, TimePoint now) const
{
    return engine.heardLasting_ * weightOf(engine.heardAt_, now, lastingHalfLife(engine.heardFor_));
}

EngineSpeeds::Value EngineSpeeds::valueOf(const Engine& engine, bool withHeard, TimePoint now) const
{
    const bool isKnown = engine.events_ >= settings_.minEvents_;
    const Service* service = isKnown ? &services_.at(engine.service_) : nullptr;
    const double noise = isKnown ? noiseFactor * service->noise_ : 0;
    Value value;
    if (isKnown) {
        const double error = noise / std::sqrt(std::min(lastingSteps, static_cast<double>(engine.events_)));
        value.lasting_ = significant(lastingOf(engine, now) - service->median_, std::max(settings_.minLasting_, error));
    } else if (withHeard)
        value.lasting_ = significant(heardLastingOf(engine, now), settings_.minLasting_);
    MomentaryMean momentary { now };
    if (isKnown)
        momentary.add(significant(engine.momentary_ - service->momentaryMedian_, std::max(settings_.minMomentary_, noise)), engine.measuredAt_, settings_.momentaryHalfLife_);
    if (isStatedValid(engine, now))
        momentary.add(engine.stated_, engine.statedAt_, settings_.statedHalfLife_);
    if (withHeard)
        momentary.add(engine.heardMomentary_, engine.heardAt_, settings_.momentaryHalfLife_);
    value.momentary_ = significant(momentary.value(), settings_.minMomentary_);
    return value;
}

void EngineSpeeds::noteDifference(UpstreamId id, const Engine& engine, TimePoint now)
{
    const double value = valueOf(engine, true, now).sum();
    if (value != 0)
        differing_.insert(id);
    if (value < 0 && !engine.service_.isNone())
        services_[engine.service_].fastAt_ = now;
}

bool EngineSpeeds::isUnobserved(UpstreamId engine, TimePoint now) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return true;
    const Engine& one = found->second;
    const TimePoint seenAt = std::max({ one.events_ < settings_.minEvents_ ? TimePoint() : one.eventAt_, one.statedAt_, one.heardAt_ });
    return seenAt == TimePoint() || now - seenAt >= settings_.evidenceLifetime_;
}

bool EngineSpeeds::hasFast(ServiceId service, TimePoint now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.fastAt_ != TimePoint() && now - found->second.fastAt_ < busyGap;
}

double EngineSpeeds::difference(UpstreamId engine, TimePoint now) const
{
    return differing_.contains(engine) ? valueOf(engines_.at(engine), true, now).sum() : 0;
}

double EngineSpeeds::slowdown(UpstreamId engine, TimePoint now) const { return std::exp2(difference(engine, now)); }

Duration EngineSpeeds::expectedGap(UpstreamId engine, std::uint32_t running, TimePoint now) const
{
    const auto found = engines_.find(engine);
    const auto service = found == engines_.end() ? services_.end() : services_.find(found->second.service_);
    if (service == services_.end())
        return Duration::zero();
    // With more requests the time is longer, so the next smaller number that was seen is a lower bound.
    const Service& all = service->second;
    std::size_t bucket = std::min<std::size_t>(running, Service::buckets - 1);
    while (bucket > 0 && all.events_[bucket] < minBucketEvents)
        --bucket;
    if (all.events_[bucket] < minBucketEvents)
        return Duration::zero();
    return fromSeconds(std::exp2(all.usual_[bucket] + all.median_ + all.momentaryMedian_ + difference(engine, now)));
}

bool EngineSpeeds::isTrialDue(UpstreamId engine, TimePoint now) const
{
    if (difference(engine, now) <= 0)
        return false;
    const Engine& one = engines_.at(engine);
    // Neither a figure that is ignored nor one that states that the engine works as usual is evidence that it is slow.
    const bool isStatedSlow = one.stated_ >= settings_.minMomentary_ && now >= one.distrustedUntil_;
    const bool isHeardSlow = one.heardLasting_ + one.heardMomentary_ >= settings_.minLasting_;
    const TimePoint seenAt = std::max({ one.eventAt_, isStatedSlow ? one.statedAt_ : TimePoint(), isHeardSlow ? one.heardAt_ : TimePoint() });
    const Duration interval = std::clamp<Duration>(std::max(one.seenFor_, one.heardFor_) / 4, settings_.minTrialInterval_, settings_.maxTrialInterval_);
    return now - seenAt >= interval;
}

void EngineSpeeds::apply(NodeId /*node*/, std::span<const EngineSpeedReport> report, TimePoint now)
{
    for (const EngineSpeedReport& one : report) {
        Engine& engine = engines_[one.engine_];
        // Several nodes see the engine at the same moment; their reports are averaged.
        const double share = engine.heardAt_ != TimePoint() && now - engine.heardAt_ < settings_.momentaryHalfLife_ ? 0.5 : 1;
        engine.heardLasting_ += share * (decode(one.lasting_) - engine.heardLasting_);
        engine.heardMomentary_ += share * (decode(one.momentary_) - engine.heardMomentary_);
        engine.heardFor_ = longer(engine.heardFor_, engine.heardAt_, now, settings_.lastingHalfLife_);
        engine.heardAt_ = now;
        noteDifference(one.engine_, engine, now);
    }
}

void EngineSpeeds::remove(UpstreamId engine)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return;
    const ServiceId service = found->second.service_;
    differing_.erase(engine);
    engines_.erase(found);
    if (std::none_of(engines_.begin(), engines_.end(), [service](const auto& entry) { return entry.second.service_ == service; }))
        services_.erase(service);
}

std::vector<EngineSpeedReport> EngineSpeeds::ownReport(TimePoint now) const
{
    std::vector<EngineSpeedReport> report;
    for (const UpstreamId id : differing_) {
        const Engine& engine = engines_.at(id);
        const TimePoint seenAt = std::max(engine.eventAt_, engine.statedAt_);
        if (seenAt == TimePoint() || now - seenAt >= settings_.reportLifetime_)
            continue;
        const Value value = valueOf(engine, false, seenAt);
        // The report that it works as usual again spares other nodes the test.
        const bool isUsualAgain = engine.events_ >= settings_.minEvents_ && now - engine.eventAt_ < usualReportLifetime && std::abs(engine.lastStep_) < settings_.minMomentary_;
        if (value.sum() != 0 || isUsualAgain)
            report.push_back({ id, encode(value.lasting_), encode(value.momentary_) });
    }
    // A message holds a limited number, so the largest differences come first.
    std::sort(report.begin(), report.end(), [](const EngineSpeedReport& a, const EngineSpeedReport& b) {
        const double sizeOfA = std::abs(decode(a.lasting_) + decode(a.momentary_));
        const double sizeOfB = std::abs(decode(b.lasting_) + decode(b.momentary_));
        return sizeOfA != sizeOfB ? sizeOfA > sizeOfB : a.engine_ < b.engine_;
    });
    return report;
}

std::vector<EngineSpeeds::SlowEngine> EngineSpeeds::slowEngines(TimePoint now)
{
    std::vector<SlowEngine> slow;
    for (auto it = differing_.begin(); it != differing_.end();) {
        Engine& engine = engines_.at(*it);
        const double value = valueOf(engine, true, now).sum();
        if (value <= 0)
            engine.slowSince_ = {};
        else if (engine.slowSince_ == TimePoint())
            engine.slowSince_ = now;
        if (value > 0)
            slow.push_back({ *it, std::exp2(value), isStatedValid(engine, now) && engine.stated_ >= settings_.minMomentary_, engine.slowSince_ });
        it = value == 0 ? differing_.erase(it) : std::next(it);
    }
    std::sort(slow.begin(), slow.end(), [](const SlowEngine& a, const SlowEngine& b) { return a.slowdown_ > b.slowdown_; });
    return slow;
}

} // namespace jj
