// Usage of this node, claims, and the exchange of usage.
#include "shares/FairShares.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace jj {

namespace {

    class ShareCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "shares"; }
        std::string message(int /*value*/) const override { return "a time of the settings isn't positive, or a fraction isn't between 0 and 1"; }
    };

    // Below it a quotient of usage and weight is meaningless.
    constexpr double minWeight = 1e-6;

    bool isNewer(Incarnation incarnation, std::uint32_t sequence, Incarnation knownIncarnation, std::uint32_t knownSequence)
    {
        return incarnation > knownIncarnation || (incarnation == knownIncarnation && sequence > knownSequence);
    }

    // Headers, authentication code and fixed fields, which ReportMessages encodes in about this many bytes.
    constexpr std::size_t messageBytes = 80;

    // Estimates what a message takes on the wire.
    template <class Message>
    std::size_t bytesOf(const Message& message)
    {
        return messageBytes + message.workspaces_.size() * (sizeof(WorkspaceId) + sizeof(float)) + message.ranks_.size() * (sizeof(Rank) + sizeof(float));
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
    if (!areTimesValid || !isFractionValid || settings.maxReported_ == 0 || settings.bytesPerSecond_ == 0)
        return ShareError::BadSettings;
    return FairShares(settings, self, incarnation);
}

void FairShares::setWorkspaces(const std::vector<WorkspaceWeight>& weights)
{
    weights_.clear();
    for (const WorkspaceWeight& one : weights)
        weights_[one.workspace_] = std::max(one.weight_, minWeight);
    levelAt_ = {};
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

double FairShares::chargeOfOneRun() const { return std::numbers::ln2 * toSeconds(expectedRun_) / toSeconds(settings_.halfLife_); }

double FairShares::chargedSlots(const Usage& usage, TimePoint now) const
{
    return meanSlots(usage, now) + usage.running_ * chargeOfOneRun();
}

float FairShares::usageOfOneRun(WorkspaceId workspace) const
{
    const double scale = settings_.isOwnUsageLeading_ && !others_.workspaces_.empty() ? fleetRatio_ : 1;
    return static_cast<float>(scale * chargeOfOneRun() / weightOf(workspace));
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

// Runs count before shares are in force too: otherwise their ends would be taken for ends of runs that started later.
void FairShares::started(WorkspaceId workspace, Rank rank, TimePoint now)
{
    if (!workspace.isNone())
        change(ownWorkspaces_[workspace], 1, now);
    change(ownRanks_[rank], 1, now);
}

void FairShares::ended(WorkspaceId workspace, Rank rank, TimePoint now)
{
    const auto found = ownWorkspaces_.find(workspace);
    if (found != ownWorkspaces_.end())
        change(found->second, -1, now);
    // While shares aren't in force, nothing else removes the entry.
    if (found != ownWorkspaces_.end() && found->second.running_ == 0 && !isActive())
        ownWorkspaces_.erase(found);
    const auto ranked = ownRanks_.find(rank);
    if (ranked != ownRanks_.end())
        change(ranked->second, -1, now);
}

// ---- decisions

double FairShares::slotsOf(WorkspaceId workspace, TimePoint now) const
{
    const auto own = ownWorkspaces_.find(workspace);
    const auto others = others_.workspaces_.find(workspace);
    return (own == ownWorkspaces_.end() ? 0 : chargedSlots(own->second, now)) + (others == others_.workspaces_.end() ? 0 : others->second);
}

double FairShares::deviation(WorkspaceId workspace, TimePoint now) const
{
    constexpr double most = 100;
    const double share = shareLevel(now) * weightOf(workspace);
    return share > 0 ? std::clamp(slotsOf(workspace, now) / share, 1 / most, most) : 1;
}

// The square of the deviation makes up for connections that are spread unevenly. A higher power makes the hosts act on each sum together, and
// overshoot.
double FairShares::claimedSlots(WorkspaceId workspace, TimePoint now) const
{
    if (!settings_.isOwnUsageLeading_ || others_.workspaces_.empty())
        return slotsOf(workspace, now);
    const auto found = ownWorkspaces_.find(workspace);
    const double own = found == ownWorkspaces_.end() ? 0 : chargedSlots(found->second, now);
    // Half a run, so that workspaces which this node hasn't served yet are ordered by the sums.
    const double prior = chargeOfOneRun() / 2;
    const auto correction = corrections_.find(workspace);
    const double ratio = deviation(workspace, now);
    return std::max(own, (own + prior) * fleetRatio_ * ratio * ratio * (correction == corrections_.end() ? 1 : correction->second));
}

// A larger step would correct the same deviation several times before the usage, a mean over seconds, shows the effect.
void FairShares::updateCorrections(TimePoint now)
{
    constexpr double mostPerStep = 2;
    if (correctedAt_ != TimePoint() && now - correctedAt_ < settings_.reportInterval_)
        return;
    correctedAt_ = now;
    std::unordered_map<WorkspaceId, double> corrections;
    for (const auto& [workspace, slots] : others_.workspaces_) {
        const auto before = corrections_.find(workspace);
        const double step = std::pow(std::clamp(deviation(workspace, now), 1 / mostPerStep, mostPerStep), settings_.correctionGain_);
        corrections[workspace] = std::clamp((before == corrections_.end() ? 1 : before->second) * step, 1 / settings_.maxCorrection_, settings_.maxCorrection_);
    }
    corrections_ = std::move(corrections);
}

double FairShares::ownSlotsFrom(Rank rank, TimePoint now) const
{
    double slots = 0;
    for (auto own = ownRanks_.lower_bound(rank); own != ownRanks_.end(); ++own)
        slots += chargedSlots(own->second, now);
    return slots;
}

double FairShares::slotsFrom(Rank rank, TimePoint now) const
{
    double slots = ownSlotsFrom(rank, now);
    for (auto others = others_.ranks_.lower_bound(rank); others != others_.ranks_.end(); ++others)
        slots += others->second;
    return slots;
}

std::optional<Rank> FairShares::mostUrgentRank(TimePoint now) const
{
    std::optional<Rank> first;
    for (const auto& [rank, slots] : others_.ranks_) {
        if (slots >= settings_.minReportedSlots_ && (!first || rank < *first))
            first = rank;
    }
    for (const auto& [rank, usage] : ownRanks_) {
        if (chargedSlots(usage, now) >= settings_.minReportedSlots_ && (!first || rank < *first))
            first = rank;
    }
    return first;
}

// All hosts see a lack of slot time of the lower ranks at the same time, and correct it before reports of each other's corrections arrive. So
// each gives them only a part of its own slots. The part grows while all together have too little, as when few hosts have such requests.
bool FairShares::areLowerRanksStarved(Rank rank, TimePoint now) const
{
    const auto first = mostUrgentRank(now);
    if (!first || rank <= *first)
        return false;
    const auto lower = static_cast<Rank>(*first + 1);
    const double wanted = settings_.lowerRanksFraction_ * lowerRanksMargin;
    return slotsFrom(lower, now) < wanted * slotsFrom(0, now) && ownSlotsFrom(lower, now) < ownLowerFraction_ * std::max(1.0, ownSlotsFrom(0, now));
}

void FairShares::adaptLowerFraction(TimePoint now)
{
    const double least = settings_.lowerRanksFraction_ * lowerRanksMargin;
    const auto first = ranksDiffer_ ? mostUrgentRank(now) : std::nullopt;
    const bool isLacking = first && slotsFrom(static_cast<Rank>(*first + 1), now) < settings_.lowerRanksFraction_ * slotsFrom(0, now);
    constexpr double step = 1.25;
    ownLowerFraction_ = std::clamp(isLacking ? ownLowerFraction_ * step : ownLowerFraction_ / step, least, std::max(least, 1.0));
}

// A request of a starved lower rank goes before all of the most urgent one: with the same rank alone it would lose to any workspace that
// has used less. Among such requests the rank and then the usage still decide.
Claim FairShares::claim(WorkspaceId workspace, Rank rank, TimePoint now) const
{
    if (!isActive())
        return {};
    Claim claim;
    if (!weights_.empty() && !workspace.isNone())
        claim.usage_ = static_cast<float>(claimedSlots(workspace, now) / weightOf(workspace));
    if (!ranksDiffer_ || rank == 0)
        return claim;
    if (areLowerRanksStarved(rank, now))
        return { 0, static_cast<float>(rank) - 256 + claim.usage_ / (1 + claim.usage_) };
    claim.rank_ = rank;
    return claim;
}

// The mean is that of the slots, not of the workspaces: thousands of workspaces that want almost nothing would lower it. Those that use far
// less don't want their shares, or don't get them. In both cases the rest is what the others may use, so they are left out. All active
// workspaces are visited, so the result is kept for a moment. It changes with the usage, whose half-life is far longer.
double FairShares::shareLevel(TimePoint now) const
{
    constexpr Duration lifetime = 20ms;
    constexpr double farLess = 0.5;
    if (levelAt_ != TimePoint() && now - levelAt_ < lifetime)
        return level_;
    const auto levelOf = [this](const WorkspaceShare& one) { return one.slots_ / weightOf(one.workspace_); };
    std::vector<WorkspaceShare> active = activeUsage(now);
    double level = 0;
    for (std::size_t before = active.size() + 1; active.size() < before;) {
        before = active.size();
        double slots = 0;
        double levels = 0;
        for (const WorkspaceShare& one : active) {
            slots += one.slots_;
            levels += one.slots_ * levelOf(one);
        }
        level = slots > 0 ? levels / slots : 0;
        std::erase_if(active, [&](const WorkspaceShare& one) { return levelOf(one) < farLess * level; });
    }
    level_ = level;
    levelAt_ = now;
    return level_;
}

bool FairShares::isBelowShare(WorkspaceId workspace, TimePoint now) const
{
    if (weights_.empty() || workspace.isNone())
        return false;
    return slotsOf(workspace, now) / weightOf(workspace) < settings_.belowShareFraction_ * shareLevel(now);
}

std::vector<WorkspaceShare> FairShares::activeUsage(TimePoint now) const
{
    std::vector<WorkspaceShare> shares;
    const auto add = [&](WorkspaceId workspace) {
        const double slots = slotsOf(workspace, now);
        if (slots >= settings_.minReportedSlots_)
            shares.push_back({ workspace, slots, 0 });
    };
    for (const auto& [workspace, usage] : ownWorkspaces_)
        add(workspace);
    for (const auto& [workspace, slots] : others_.workspaces_) {
        if (!ownWorkspaces_.contains(workspace))
            add(workspace);
    }
    return shares;
}

std::vector<WorkspaceShare> FairShares::activeShares(std::size_t most, TimePoint now) const
{
    std::vector<WorkspaceShare> shares = activeUsage(now);
    const double level = shareLevel(now);
    for (WorkspaceShare& one : shares)
        one.share_ = level * weightOf(one.workspace_);
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
    const auto isOld = [&](const auto& received) { return now - received.at_ > settings_.reportTimeout_; };
    std::erase_if(ownWorkspaces_, [&](const auto& entry) { return entry.second.running_ == 0 && meanSlots(entry.second, now) < settings_.minReportedSlots_ / 2; });
    std::erase_if(reports_, [&](const auto& entry) { return isOld(entry.second); });
    std::erase_if(cellSums_, [&](const auto& entry) { return isOld(*entry.second); });
    if (fleetSum_ && isOld(*fleetSum_))
        fleetSum_.reset();
    const bool wasDelegate = ownCell_.has_value();
    if (wasDelegate && now - summedAt_ > settings_.reportTimeout_)
        ownCell_.reset();
    if (!fleetSum_ && !ownCell_)
        others_ = {};
    else if (wasDelegate && !ownCell_)
        rebuildOthers(now);
}

Duration FairShares::pauseAfter(std::size_t bytes) const
{
    return std::max(settings_.reportInterval_, fromSeconds(static_cast<double>(bytes) / static_cast<double>(settings_.bytesPerSecond_)));
}

std::optional<ShareReport> FairShares::nextReport(TimePoint now)
{
    if (now < reportAt_)
        return std::nullopt;
    expire(now);
    if (!isActive() || !isCompeting(now))
        return std::nullopt;
    ShareReport report { self_, incarnation_, ++sequence_, ownWorkspaces(now), ownRanks(now) };
    reportAt_ = now + pauseAfter(bytesOf(report));
    return report;
}

void FairShares::applyReport(const ShareReport& report, TimePoint now)
{
    if (report.node_ == self_)
        return;
    const auto [found, isFirst] = reports_.try_emplace(report.node_);
    ReceivedReport& known = found->second;
    if (!isFirst && !isNewer(report.incarnation_, report.sequence_, known.report_.incarnation_, known.report_.sequence_))
        return;
    known = { report, now };
    competedAt_ = now;
}

ShareSum FairShares::sumOf(CellId cell, bool isOfFleet, const SlotsInUse& slots) const
{
    ShareSum sum { cell, isOfFleet, incarnation_, sumSequence_, {}, {}, self_ };
    for (const auto& [workspace, used] : slots.workspaces_) {
        if (used >= settings_.minReportedSlots_)
            sum.workspaces_.push_back({ workspace, static_cast<float>(used) });
    }
    sum.workspaces_ = largest(std::move(sum.workspaces_));
    for (const auto& [rank, used] : slots.ranks_)
        sum.ranks_.push_back({ rank, static_cast<float>(used) });
    return sum;
}

std::optional<FairShares::Sums> FairShares::nextSums(CellId cell, TimePoint now)
{
    if (now < sumAt_)
        return std::nullopt;
    expire(now);
    if (!isActive() || !isCompeting(now))
        return std::nullopt;
    summedAt_ = now;
    ownCell_ = cell;
    rebuildOthers(now);
    SlotsInUse slots;
    slots.add(ownWorkspaces(now), ownRanks(now));
    for (const auto& [node, received] : reports_)
        slots.add(received.report_.workspaces_, received.report_.ranks_);
    ++sumSequence_;
    Sums sums { sumOf(cell, false, slots) };
    for (const auto& [other, received] : cellSums_) {
        if (other != cell)
            slots.add(received->sum_.workspaces_, received->sum_.ranks_);
    }
    fleetSlots_ = std::move(slots);
    sumAt_ = now + pauseAfter(bytesOf(sumOf(cell, true, fleetSlots_)));
    return sums;
}

ShareSum FairShares::sumFor(NodeId node) const
{
    SlotsInUse slots = fleetSlots_;
    const auto found = reports_.find(node);
    if (found != reports_.end())
        slots.remove(found->second.report_);
    return sumOf(ownCell_.value_or(CellId()), true, slots);
}

void FairShares::applySum(const ShareSum& sum, TimePoint now)
{
    if (sum.delegate_ == self_ || (!sum.isOfFleet_ && sum.cell_ == ownCell_))
        return;
    std::optional<ReceivedSum>& known = sum.isOfFleet_ ? fleetSum_ : cellSums_[sum.cell_];
    // Sequence numbers of two delegates can't be compared. Each replaces the other's sum.
    const bool isOfSame = known && known->sum_.delegate_ == sum.delegate_;
    if (isOfSame && !isNewer(sum.incarnation_, sum.sequence_, known->sum_.incarnation_, known->sum_.sequence_))
        return;
    known = ReceivedSum { sum, now };
    rebuildOthers(now);
}

void FairShares::SlotsInUse::add(const std::vector<WorkspaceUsage>& workspaces, const std::vector<RankUsage>& ranks)
{
    const auto isValid = [](float slots) { return std::isfinite(slots) && slots > 0; };
    for (const WorkspaceUsage& one : workspaces) {
        if (isValid(one.slots_))
            workspaces_[one.workspace_] += one.slots_;
    }
    for (const RankUsage& one : ranks) {
        if (isValid(one.slots_))
            ranks_[one.rank_] += one.slots_;
    }
}

void FairShares::SlotsInUse::remove(const ShareReport& report)
{
    for (const WorkspaceUsage& one : report.workspaces_)
        workspaces_[one.workspace_] -= one.slots_;
    for (const RankUsage& one : report.ranks_)
        ranks_[one.rank_] = std::max(0.0, ranks_[one.rank_] - one.slots_);
}

// A delegate adds up what it has received itself: the sum of another delegate of its cell has the same nodes' reports in it.
void FairShares::rebuildOthers(TimePoint now)
{
    others_ = {};
    levelAt_ = {};
    if (ownCell_) {
        for (const auto& [node, received] : reports_)
            others_.add(received.report_.workspaces_, received.report_.ranks_);
        for (const auto& [cell, received] : cellSums_) {
            if (cell != *ownCell_)
                others_.add(received->sum_.workspaces_, received->sum_.ranks_);
        }
    } else if (fleetSum_) {
        others_.add(fleetSum_->sum_.workspaces_, fleetSum_->sum_.ranks_);
    }
    const double own = ownSlotsFrom(0, now);
    fleetRatio_ = own > 0 ? std::clamp(slotsFrom(0, now) / own, 1.0, settings_.maxFleetRatio_) : 1;
    updateCorrections(now);
    adaptLowerFraction(now);
}

} // namespace jj
