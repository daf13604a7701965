// Usage of this node, claims, and the exchange of usage.
#include "shares/FairShares.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>
#include <string>

namespace jj {

namespace {

    class ShareCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "shares"; }
        std::string message(int /*value*/) const override { return "a time of the settings isn't positive, or a fraction isn't between 0 and 1"; }
    };

    bool isNewer(Incarnation incarnation, std::uint32_t sequence, Incarnation knownIncarnation, std::uint32_t knownSequence)
    {
        return incarnation > knownIncarnation || (incarnation == knownIncarnation && sequence > knownSequence);
    }

} // namespace

std::error_code make_error_code(ShareError error)
{
    static const ShareCategory category;
    return { static_cast<int>(error), category };
}

Result<FairShares> FairShares::create(FairShareSettings settings, NodeId self, Incarnation incarnation)
{
    const bool areTimesValid = settings.halfLife_ > Duration::zero() && settings.reportInterval_ > Duration::zero() && settings.reportTimeout_ > Duration::zero();
    const bool isFractionValid = settings.lowerRanksFraction_ >= 0 && settings.lowerRanksFraction_ < 1;
    if (!areTimesValid || !isFractionValid || settings.maxReported_ == 0)
        return ShareError::BadSettings;
    return FairShares(settings, self, incarnation);
}

void FairShares::setWorkspaces(const std::vector<WorkspaceWeight>& weights)
{
    weights_.clear();
    for (const WorkspaceWeight& one : weights)
        weights_[one.workspace_] = one.weight_;
}

double FairShares::weightOf(WorkspaceId workspace) const
{
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : found->second;
}

// ---- usage of this node

double FairShares::meanSlots(const Usage& usage, TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - usage.at_));
    const double rest = std::exp2(-age / toSeconds(settings_.halfLife_));
    return usage.running_ + (usage.slots_ - usage.running_) * rest;
}

double FairShares::chargedSlots(const Usage& usage, TimePoint now) const
{
    const double ofOneRun = std::numbers::ln2 * toSeconds(expectedRun_) / toSeconds(settings_.halfLife_);
    return meanSlots(usage, now) + usage.running_ * ofOneRun;
}

float FairShares::usageOfOneRun(WorkspaceId workspace) const
{
    return static_cast<float>(std::numbers::ln2 * toSeconds(expectedRun_) / toSeconds(settings_.halfLife_) / weightOf(workspace));
}

void FairShares::change(Usage& usage, int slots, TimePoint now)
{
    usage.slots_ = meanSlots(usage, now);
    usage.at_ = now;
    if (slots > 0)
        ++usage.running_;
    else if (usage.running_ > 0)
        --usage.running_;
}

void FairShares::started(WorkspaceId workspace, Rank rank, TimePoint now)
{
    if (!isActive())
        return;
    if (!workspace.isNone())
        change(ownWorkspaces_[workspace], 1, now);
    change(ownRanks_[rank], 1, now);
}

void FairShares::ended(WorkspaceId workspace, Rank rank, TimePoint now)
{
    const auto found = ownWorkspaces_.find(workspace);
    if (found != ownWorkspaces_.end())
        change(found->second, -1, now);
    const auto ranked = ownRanks_.find(rank);
    if (ranked != ownRanks_.end())
        change(ranked->second, -1, now);
}

// ---- decisions

double FairShares::slotsOf(WorkspaceId workspace, TimePoint now) const
{
    const auto valueOf = [workspace](const std::unordered_map<WorkspaceId, double>& values) {
        const auto found = values.find(workspace);
        return found == values.end() ? 0.0 : found->second;
    };
    const auto own = ownWorkspaces_.find(workspace);
    const double ownSlots = own == ownWorkspaces_.end() ? 0 : chargedSlots(own->second, now);
    return std::max(ownSlots, valueOf(sums_.workspaces_) + ownSlots - valueOf(ownInSums_.workspaces_));
}

double FairShares::slotsOfRank(Rank rank, TimePoint now) const
{
    const auto valueOf = [rank](const std::map<Rank, double>& values) {
        const auto found = values.find(rank);
        return found == values.end() ? 0.0 : found->second;
    };
    const auto own = ownRanks_.find(rank);
    const double ownSlots = own == ownRanks_.end() ? 0 : chargedSlots(own->second, now);
    return std::max(ownSlots, valueOf(sums_.ranks_) + ownSlots - valueOf(ownInSums_.ranks_));
}

bool FairShares::areLowerRanksStarved(Rank rank, TimePoint now) const
{
    std::map<Rank, double> ranks = sums_.ranks_;
    for (const auto& [own, usage] : ownRanks_)
        ranks.try_emplace(own, 0);
    double all = 0;
    double lower = 0;
    for (const auto& [one, slots] : ranks) {
        const double used = slotsOfRank(one, now);
        all += used;
        lower += one >= rank ? used : 0;
    }
    return all > 0 && lower < settings_.lowerRanksFraction_ * all;
}

Claim FairShares::claim(WorkspaceId workspace, Rank rank, TimePoint now) const
{
    if (!isActive())
        return {};
    Claim claim;
    if (!weights_.empty() && !workspace.isNone())
        claim.usage_ = static_cast<float>(slotsOf(workspace, now) / weightOf(workspace));
    if (!ranksDiffer_ || rank == 0)
        return claim;
    claim.rank_ = areLowerRanksStarved(rank, now) ? 0 : rank;
    return claim;
}

// All active workspaces are visited, so the result is kept for a moment. It changes with the usage, whose half-life is far longer.
double FairShares::meanLevel(TimePoint now) const
{
    constexpr Duration lifetime = 20ms;
    if (levelAt_ != TimePoint() && now - levelAt_ < lifetime)
        return level_;
    double slots = 0;
    double weight = 0;
    for (const WorkspaceShare& one : activeShares(SIZE_MAX, now)) {
        slots += one.slots_;
        weight += weightOf(one.workspace_);
    }
    level_ = weight > 0 ? slots / weight : 0;
    levelAt_ = now;
    return level_;
}

bool FairShares::isBelowShare(WorkspaceId workspace, TimePoint now) const
{
    if (weights_.empty() || workspace.isNone())
        return false;
    return slotsOf(workspace, now) / weightOf(workspace) < meanLevel(now);
}

std::vector<WorkspaceShare> FairShares::activeShares(std::size_t most, TimePoint now) const
{
    std::set<WorkspaceId> known;
    for (const auto& [workspace, usage] : ownWorkspaces_)
        known.insert(workspace);
    for (const auto& [workspace, slots] : sums_.workspaces_)
        known.insert(workspace);
    std::vector<WorkspaceShare> shares;
    double allSlots = 0;
    double allWeights = 0;
    for (const WorkspaceId workspace : known) {
        const double slots = slotsOf(workspace, now);
        if (slots < settings_.minReportedSlots_)
            continue;
        shares.push_back({ workspace, slots, 0 });
        allSlots += slots;
        allWeights += weightOf(workspace);
    }
    for (WorkspaceShare& one : shares)
        one.share_ = allSlots * weightOf(one.workspace_) / allWeights;
    std::sort(shares.begin(), shares.end(), [](const WorkspaceShare& a, const WorkspaceShare& b) { return a.slots_ > b.slots_; });
    shares.resize(std::min(shares.size(), most));
    return shares;
}

// ---- messages

std::vector<WorkspaceUsage> FairShares::largest(std::vector<WorkspaceUsage> usages) const
{
    std::sort(usages.begin(), usages.end(), [](const WorkspaceUsage& a, const WorkspaceUsage& b) { return a.slots_ != b.slots_ ? a.slots_ > b.slots_ : a.workspace_ < b.workspace_; });
    usages.resize(std::min(usages.size(), settings_.maxReported_));
    return usages;
}

std::vector<WorkspaceUsage> FairShares::ownWorkspaces(TimePoint now) const
{
    std::vector<WorkspaceUsage> usages;
    for (const auto& [workspace, usage] : ownWorkspaces_) {
        const auto slots = static_cast<float>(chargedSlots(usage, now));
        if (slots >= settings_.minReportedSlots_)
            usages.push_back({ workspace, slots });
    }
    return largest(std::move(usages));
}

std::vector<RankUsage> FairShares::ownRanks(TimePoint now) const
{
    std::vector<RankUsage> usages;
    for (const auto& [rank, usage] : ownRanks_)
        usages.push_back({ rank, static_cast<float>(chargedSlots(usage, now)) });
    return usages;
}

void FairShares::expire(TimePoint now)
{
    std::erase_if(ownWorkspaces_, [&](const auto& entry) { return entry.second.running_ == 0 && meanSlots(entry.second, now) < settings_.minReportedSlots_ / 2; });
    std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at_ > settings_.reportTimeout_; });
    if (std::erase_if(cellSums_, [&](const auto& entry) { return now - entry.second.at_ > settings_.reportTimeout_; }) > 0)
        rebuildSums();
}

std::optional<ShareReport> FairShares::nextReport(TimePoint now)
{
    if (now - reportedAt_ < settings_.reportInterval_)
        return std::nullopt;
    expire(now);
    if (!isActive() || !isCompeting(now))
        return std::nullopt;
    reportedAt_ = now;
    ShareReport report { self_, incarnation_, ++sequence_, ownWorkspaces(now), ownRanks(now) };
    lastReported_ = {};
    lastReported_.add(report.workspaces_, report.ranks_);
    return report;
}

void FairShares::applyReport(const ShareReport& report, TimePoint now)
{
    const auto [found, isFirst] = reports_.try_emplace(report.node_);
    ReceivedReport& known = found->second;
    if (!isFirst && !isNewer(report.incarnation_, report.sequence_, known.report_.incarnation_, known.report_.sequence_))
        return;
    known = { report, now };
    competedAt_ = now;
}

ShareSum FairShares::sumOf(CellId cell, bool isOfFleet, const SlotsInUse& slots)
{
    ShareSum sum { cell, isOfFleet, incarnation_, ++sumSequence_, {}, {} };
    for (const auto& [workspace, used] : slots.workspaces_)
        sum.workspaces_.push_back({ workspace, static_cast<float>(used) });
    sum.workspaces_ = largest(std::move(sum.workspaces_));
    for (const auto& [rank, used] : slots.ranks_)
        sum.ranks_.push_back({ rank, static_cast<float>(used) });
    return sum;
}

std::optional<FairShares::Sums> FairShares::nextSums(CellId cell, TimePoint now)
{
    if (now - summedAt_ < settings_.reportInterval_)
        return std::nullopt;
    expire(now);
    if (!isActive() || !isCompeting(now))
        return std::nullopt;
    summedAt_ = now;
    lastReported_ = {};
    lastReported_.add(ownWorkspaces(now), ownRanks(now));
    SlotsInUse slots = lastReported_;
    for (const auto& [node, received] : reports_) {
        if (node != self_)
            slots.add(received.report_.workspaces_, received.report_.ranks_);
    }
    Sums sums { sumOf(cell, false, slots), {} };
    for (const auto& [other, received] : cellSums_) {
        if (other != cell)
            slots.add(received.sum_.workspaces_, received.sum_.ranks_);
    }
    sums.ofFleet_ = sumOf(cell, true, slots);
    return sums;
}

void FairShares::applySum(const ShareSum& sum, TimePoint now)
{
    if (sum.isOfFleet_)
        std::erase_if(cellSums_, [&](const auto& entry) { return entry.first != sum.cell_; });
    const auto [found, isFirst] = cellSums_.try_emplace(sum.cell_);
    ReceivedSum& known = found->second;
    if (!isFirst && !isNewer(sum.incarnation_, sum.sequence_, known.sum_.incarnation_, known.sum_.sequence_))
        return;
    known = { sum, now };
    ownInSums_ = lastReported_;
    rebuildSums();
}

void FairShares::SlotsInUse::add(const std::vector<WorkspaceUsage>& workspaces, const std::vector<RankUsage>& ranks)
{
    for (const WorkspaceUsage& one : workspaces)
        workspaces_[one.workspace_] += one.slots_;
    for (const RankUsage& one : ranks)
        ranks_[one.rank_] += one.slots_;
}

void FairShares::rebuildSums()
{
    sums_ = {};
    if (cellSums_.empty())
        ownInSums_ = {};
    for (const auto& [cell, received] : cellSums_)
        sums_.add(received.sum_.workspaces_, received.sum_.ranks_);
}

} // namespace jj
