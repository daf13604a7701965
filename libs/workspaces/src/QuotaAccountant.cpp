// All changes of an account first refill its bucket up to the present time.
#include "workspaces/QuotaAccountant.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jj {

namespace {

    // Part of the allowance beyond the quota that deepens each bucket. The rest is for what hosts admit before they know that credit is
    // scarce, and for accounts that start anew, also twice in one window.
    constexpr double depthFraction = 0.5;
    // Part of the allowance with which an account starts.
    constexpr double startFraction = 0.4;
    // Credit is ample again above this many reserves, and above this part of the depth.
    constexpr double ampleReserves = 2;
    constexpr double ampleFraction = 0.25;

} // namespace

double QuotaAccountant::depthOf(const Account& account) const
{
    return std::max(1.0, share_ * (account.quota_.burst_ + depthFraction * settings_.bound_.allowanceOf(account.quota_)));
}

QuotaAccountant::Account* QuotaAccountant::accountOf(WorkspaceId workspace, TimePoint now)
{
    const auto found = accounts_.find(workspace);
    if (found != accounts_.end())
        return &found->second;
    const Workspace* known = table_ ? table_->find(workspace) : nullptr;
    if (!known || known->quota_.isUnlimited())
        return nullptr;
    Account& account = accounts_[workspace];
    account.quota_ = known->quota_;
    account.tokens_ = std::min(depthOf(account), startFraction * share_ * settings_.bound_.allowanceOf(account.quota_));
    account.refilledAt_ = now;
    return &account;
}

void QuotaAccountant::setWorkspaces(const WorkspaceTable* table, TimePoint now)
{
    table_ = table;
    std::erase_if(accounts_, [table](const auto& entry) {
        const Workspace* known = table ? table->find(entry.first) : nullptr;
        return !known || known->quota_.isUnlimited();
    });
    for (auto& [workspace, account] : accounts_) {
        const Quota& quota = table->find(workspace)->quota_;
        if (quota == account.quota_)
            continue;
        refill(account, now);
        account.tokens_ += std::max(0.0, quota.burst_ - account.quota_.burst_);
        account.quota_ = quota;
        account.tokens_ = std::min(account.tokens_, depthOf(account));
        updateState(account);
    }
}

void QuotaAccountant::refill(Account& account, TimePoint now) const
{
    const double elapsed = std::max(0.0, toSeconds(now - account.refilledAt_));
    account.refilledAt_ = now;
    account.tokens_ = std::min(depthOf(account), account.tokens_ + elapsed * share_ * account.quota_.perSecond_);
    account.demand_ *= std::exp(-elapsed / toSeconds(settings_.demandTime_));
    account.returning_ = std::max(0.0, account.returning_ - elapsed * share_ * account.quota_.perSecond_);
}

void QuotaAccountant::charge(Account& account, double requests) const
{
    const double maxDebt = account.quota_.perSecond_ * toSeconds(settings_.bound_.window_) + account.quota_.burst_;
    account.tokens_ = std::clamp(account.tokens_ - requests, -maxDebt, depthOf(account));
    account.demand_ = std::max(0.0, account.demand_ + requests / toSeconds(settings_.demandTime_));
}

void QuotaAccountant::updateState(Account& account) const
{
    const double reserve = account.demand_ * toSeconds(settings_.reserveTime_);
    const bool isLow = account.tokens_ < std::max(1.0, reserve);
    const bool isHigh = account.tokens_ >= std::max(ampleReserves * reserve, ampleFraction * depthOf(account));
    const bool isScarce = isLow || (account.isScarce_ && !isHigh);
    if (isScarce != account.isScarce_)
        account.isAnnounced_ = false;
    account.isScarce_ = isScarce;
}

// After a pause the reports of the whole pause arrive at once. Charged against a bucket that has been refilled only up to its depth, they
// would take credit that was used and earned again meanwhile.
void QuotaAccountant::detectPause(TimePoint now)
{
    if (now - std::exchange(activeAt_, now) > settings_.pauseThreshold_)
        accounts_.clear();
}

void QuotaAccountant::handle(const QuotaReport& report, TimePoint now)
{
    detectPause(now);
    for (const QuotaCount& count : report.counts_) {
        Account* account = accountOf(count.workspace_, now);
        if (!account)
            continue;
        refill(*account, now);
        const auto [entry, isNew] = account->hosts_.try_emplace(report.from_);
        HostCount& known = entry->second;
        const bool isSameProcess = !isNew && known.incarnation_ == report.incarnation_;
        if (!isNew && (report.incarnation_ < known.incarnation_ || (isSameProcess && report.sequence_ <= known.sequence_)))
            continue;
        const std::int64_t admitted = isSameProcess ? count.admitted_ - known.admitted_ : count.latest_;
        known = { report.incarnation_, report.sequence_, count.admitted_ };
        charge(*account, static_cast<double>(admitted));
        updateState(*account);
    }
}

AdmissionDecision QuotaAccountant::decide(const AdmissionRequest& request, TimePoint now)
{
    detectPause(now);
    AdmissionDecision decision { request.number_, request.workspace_, true, {} };
    Account* account = accountOf(request.workspace_, now);
    if (!account)
        return decision;
    refill(*account, now);
    decision.isAdmitted_ = account->tokens_ >= 1;
    if (decision.isAdmitted_) {
        charge(*account, 1);
        // The host's next report includes the admitted request.
        const auto [host, isNew] = account->hosts_.try_emplace(request.from_, HostCount { request.incarnation_, 0, request.admitted_ });
        if (host->second.incarnation_ < request.incarnation_)
            host->second = { request.incarnation_, 0, request.admitted_ };
        if (host->second.incarnation_ == request.incarnation_)
            ++host->second.admitted_;
    } else {
        account->demand_ += 1 / toSeconds(settings_.demandTime_);
        // Callers return one after the other, at the pace at which credit comes.
        const double missing = 1 - account->tokens_ + account->returning_;
        account->returning_ += 1;
        decision.wait_ = std::max<Duration>(settings_.refusalTime_, fromSeconds(missing / std::max(share_ * account->quota_.perSecond_, 0.01)));
    }
    updateState(*account);
    return decision;
}

std::optional<QuotaNotice> QuotaAccountant::takeNotice(TimePoint now)
{
    detectPause(now);
    QuotaNotice notice;
    for (auto& [workspace, account] : accounts_) {
        if (account.isScarce_) {
            refill(account, now);
            updateState(account);
        }
        const bool isDue = !account.isAnnounced_ || (account.isScarce_ && now - account.announcedAt_ >= settings_.noticePeriod_);
        if (!isDue)
            continue;
        account.isAnnounced_ = true;
        account.announcedAt_ = now;
        (account.isScarce_ ? notice.scarce_ : notice.ample_).push_back(workspace);
    }
    if (notice.scarce_.empty() && notice.ample_.empty())
        return std::nullopt;
    return notice;
}

void QuotaAccountant::keepOnly(const std::function<bool(WorkspaceId)>& isKept)
{
    std::erase_if(accounts_, [&isKept](const auto& entry) { return !isKept(entry.first); });
}

} // namespace jj
