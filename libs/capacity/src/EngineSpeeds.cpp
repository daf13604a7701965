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
    // The median follows by this fraction with each event: slowly enough that a few slow engines don't move it.
    constexpr double medianStep = 0.01;
    // A code of a report is this plus the power of two in steps of a sixteenth.
    constexpr double codeOfUsual = 128;
    constexpr double codeSteps = 16;

    double decayed(double value, Duration age, Duration halfLife) { return value * std::exp2(-std::max(0.0, toSeconds(age)) / toSeconds(halfLife)); }

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

// The median is tracked by steps: each time above it raises it, each time below it lowers it.
double EngineSpeeds::compare(ServiceId service, std::uint32_t running, Duration gap)
{
    const std::size_t bucket = std::min<std::size_t>(running, Medians::buckets - 1);
    double& median = medians_[service].seconds_[bucket];
    const double seconds = toSeconds(gap);
    if (median <= 0)
        median = seconds;
    const double difference = std::clamp(std::log2(seconds / median), -maxDifference, maxDifference);
    median *= difference > 0 ? 1 + medianStep : 1 - medianStep;
    return difference;
}

void EngineSpeeds::recordEventGap(UpstreamId engine, ServiceId service, std::uint32_t running, Duration gap, TimePoint now)
{
    if (gap <= Duration::zero())
        return;
    const double difference = compare(service, running, gap);
    Engine& one = engines_[engine];
    one.lasting_ = decayed(one.lasting_, now - one.lastingAt_, settings_.lastingHalfLife_);
    one.momentary_ = decayed(one.momentary_, now - one.momentaryAt_, settings_.momentaryHalfLife_);
    checkStated(one, difference - one.lasting_, now);
    const double momentary = isStatedValid(one, now) ? decayed(one.stated_, now - one.statedAt_, settings_.statedHalfLife_) : 0;
    // The first events count for more, so that the lasting part is known soon.
    const double gain = std::max(settings_.lastingGain_, 1.0 / (one.events_ + 1));
    one.lasting_ += gain * (difference - momentary - one.lasting_);
    one.momentary_ += settings_.momentaryGain_ * (difference - one.lasting_ - one.momentary_);
    one.lastingAt_ = now;
    one.momentaryAt_ = now;
    one.seenAt_ = now;
    ++one.events_;
    const bool isSlow = valueOf(one, now) >= settings_.minDifference_;
    if (!isSlow)
        one.slowSince_ = {};
    else if (one.slowSince_ == TimePoint())
        one.slowSince_ = now;
}

void EngineSpeeds::recordStatedSlowdown(UpstreamId engine, std::uint32_t percent, TimePoint now)
{
    if (percent == 0)
        return;
    constexpr double usualPercent = 100;
    Engine& one = engines_[engine];
    one.stated_ = std::clamp(std::log2(percent / usualPercent), -maxDifference, maxDifference);
    one.statedAt_ = now;
    one.seenAt_ = now;
}

void EngineSpeeds::checkStated(Engine& engine, double observed, TimePoint now) const
{
    constexpr double contradiction = 1; // a factor of two
    const bool isFresh = engine.statedAt_ != TimePoint() && now - engine.statedAt_ < settings_.statedHalfLife_;
    if (!isFresh || std::abs(observed - engine.stated_) < contradiction) {
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

double EngineSpeeds::valueOf(const Engine& engine, TimePoint now) const
{
    const bool isKnown = engine.events_ >= settings_.minEvents_;
    const double lasting = isKnown ? decayed(engine.lasting_, now - engine.lastingAt_, settings_.lastingHalfLife_) : 0;
    const double seen = isKnown ? decayed(engine.momentary_, now - engine.momentaryAt_, settings_.momentaryHalfLife_) : 0;
    const bool isStatedNewer = isStatedValid(engine, now) && engine.statedAt_ >= engine.momentaryAt_;
    const double momentary = isStatedNewer ? decayed(engine.stated_, now - engine.statedAt_, settings_.statedHalfLife_) : seen;
    const double own = lasting + momentary;
    if (engine.heardAt_ == TimePoint() || engine.heardAt_ < engine.seenAt_)
        return own;
    // What others report is newer. The older it is, the more counts what this node has learned itself.
    const double weight = std::exp2(-toSeconds(now - engine.heardAt_) / toSeconds(settings_.momentaryHalfLife_));
    const double rest = isKnown ? lasting : decayed(engine.heard_, now - engine.heardAt_, settings_.lastingHalfLife_);
    return weight * engine.heard_ + (1 - weight) * rest;
}

double EngineSpeeds::difference(UpstreamId engine, TimePoint now) const
{
    const auto found = engines_.find(engine);
    if (found == engines_.end())
        return 0;
    const double value = valueOf(found->second, now);
    return std::abs(value) < settings_.minDifference_ ? 0 : value;
}

double EngineSpeeds::slowdown(UpstreamId engine, TimePoint now) const { return std::exp2(difference(engine, now)); }

void EngineSpeeds::apply(NodeId /*node*/, std::span<const EngineSpeedReport> report, TimePoint now)
{
    for (const EngineSpeedReport& one : report) {
        Engine& engine = engines_[one.engine_];
        // Several nodes see the engine at the same moment; their reports are averaged.
        const bool isRecent = engine.heardAt_ != TimePoint() && now - engine.heardAt_ < settings_.momentaryHalfLife_;
        engine.heard_ = isRecent ? (engine.heard_ + decode(one.code_)) / 2 : decode(one.code_);
        engine.heardAt_ = now;
    }
}

std::vector<EngineSpeedReport> EngineSpeeds::ownReport(TimePoint now) const
{
    std::vector<EngineSpeedReport> report;
    for (const auto& [id, engine] : engines_) {
        const bool isRecent = engine.seenAt_ != TimePoint() && now - engine.seenAt_ < settings_.reportLifetime_;
        if (!isRecent)
            continue;
        const double value = valueOf(engine, now);
        if (std::abs(value) >= settings_.minDifference_)
            report.push_back({ id, encode(value) });
    }
    std::sort(report.begin(), report.end(), [](const EngineSpeedReport& a, const EngineSpeedReport& b) { return a.engine_ < b.engine_; });
    return report;
}

std::vector<EngineSpeeds::SlowEngine> EngineSpeeds::slowEngines(TimePoint now) const
{
    std::vector<SlowEngine> slow;
    for (const auto& [id, engine] : engines_) {
        const double value = valueOf(engine, now);
        if (value >= settings_.minDifference_)
            slow.push_back({ id, std::exp2(value), isStatedValid(engine, now) && engine.stated_ >= settings_.minDifference_, engine.slowSince_ });
    }
    std::sort(slow.begin(), slow.end(), [](const SlowEngine& a, const SlowEngine& b) { return a.slowdown_ > b.slowdown_; });
    return slow;
}

} // namespace jj
