// A request waits only for the decision of an accountant; every other case is decided at once.
#include "workspaces/QuotaGate.h"

#include "base/Hash.h"

#include <algorithm>

namespace jj {

namespace {

    // Retry delays vary by this factor, so that the callers of a workspace don't all return at the same moment.
    constexpr double minSpread = 0.75;
    constexpr double maxSpread = 1.5;

} // namespace

QuotaGate::QuotaGate(QuotaSettings settings, NodeId self, Incarnation incarnation, QuotaOutlets outlets, TimePoint now)
    : settings_(settings)
    , self_(self)
    , incarnation_(incarnation)
    , outlets_(std::move(outlets))
    , cautiousUntil_(now + settings.caution_)
    , tickedAt_(now)
    , random_(mixHash(self.value(), incarnation.value()))
{
}

void QuotaGate::admit(WorkspaceId workspace, const Quota& quota, TimePoint now, Done done)
{
    if (quota.isUnlimited())
        return done({ true, {} }, now);
    if (now - tickedAt_ > settings_.pauseThreshold_)
        cautiousUntil_ = now + settings_.caution_;
    Usage& usage = usages_[workspace];
    if (now < usage.refusingUntil_)
        return refuse(usage.refusalWait_, done, now);
    if (now >= usage.scarceUntil_ && now >= cautiousUntil_) {
        count(workspace, 1, now);
        ++totals_.admitted_;
        return done({ true, {} }, now);
    }
    ++totals_.requested_;
    requestDecision(nextNumber_++, { workspace, quota, 0, now, std::move(done) }, now);
}

void QuotaGate::requestDecision(std::uint32_t number, PendingRequest pending, TimePoint now)
{
    const std::vector<NodeId> accountants = outlets_.accountantsOf_(pending.workspace_);
    if (pending.requested_ >= accountants.size())
        return decideAlone(pending, now);
    const NodeId accountant = accountants[pending.requested_++];
    pending.sentAt_ = now;
    const AdmissionRequest message { self_, incarnation_, number, pending.workspace_, usages_[pending.workspace_].admitted_ };
    pending_[number] = std::move(pending);
    // The decision may arrive within this call, if this host is the accountant.
    outlets_.sendRequest_(accountant, message);
}

void QuotaGate::handle(const AdmissionDecision& decision, TimePoint now)
{
    const auto found = pending_.find(decision.number_);
    if (found == pending_.end() || found->second.workspace_ != decision.workspace_)
        return;
    const PendingRequest pending = std::move(found->second);
    pending_.erase(found);
    if (!decision.isAdmitted_) {
        Usage& usage = usages_[decision.workspace_];
        usage.refusingUntil_ = now + settings_.refusalTime_;
        usage.refusalWait_ = decision.wait_;
        return refuse(decision.wait_, pending.done_, now);
    }
    count(decision.workspace_, 1, now);
    ++totals_.admitted_;
    pending.done_({ true, {} }, now);
}

void QuotaGate::handle(const QuotaNotice& notice, TimePoint now)
{
    for (const WorkspaceId workspace : notice.scarce_)
        usages_[workspace].scarceUntil_ = now + settings_.noticeLifetime_;
    for (const WorkspaceId workspace : notice.ample_) {
        const auto found = usages_.find(workspace);
        if (found != usages_.end())
            found->second.scarceUntil_ = now;
    }
}

// The share of each host is equal, and a host saves up at most one request, so that idle hosts don't hold the credit of busy ones.
void QuotaGate::decideAlone(const PendingRequest& pending, TimePoint now)
{
    ++totals_.unanswered_;
    Usage& usage = usages_[pending.workspace_];
    const double perSecond = pending.quota_.perSecond_ / static_cast<double>(std::max<std::size_t>(outlets_.hosts_(), 1));
    const double elapsed = usage.ownRefilledAt_ == TimePoint() ? 0 : toSeconds(now - usage.ownRefilledAt_);
    usage.ownRefilledAt_ = now;
    usage.ownTokens_ = std::min(1.0, usage.ownTokens_ + elapsed * perSecond);
    if (usage.ownTokens_ < 1)
        return refuse(settings_.refusalTime_ * 4, pending.done_, now);
    usage.ownTokens_ -= 1;
    count(pending.workspace_, 1, now);
    ++totals_.admitted_;
    pending.done_({ true, {} }, now);
}

void QuotaGate::refuse(Duration wait, const Done& done, TimePoint now)
{
    ++totals_.refused_;
    const double spread = std::uniform_real_distribution<double>(minSpread, maxSpread)(random_);
    done({ false, fromSeconds(toSeconds(wait) * spread) }, now);
}

void QuotaGate::count(WorkspaceId workspace, std::int64_t requests, TimePoint now)
{
    unreported_.insert(workspace);
    Usage& usage = usages_[workspace];
    usage.admitted_ += requests;
    usage.changedAt_ = now;
    usage.isDirty_ = true;
}

void QuotaGate::returnCredit(WorkspaceId workspace, TimePoint now)
{
    ++totals_.returned_;
    count(workspace, -1, now);
}

void QuotaGate::tick(TimePoint now)
{
    if (now - tickedAt_ > settings_.pauseThreshold_)
        cautiousUntil_ = now + settings_.caution_;
    tickedAt_ = now;
    sendReports(now);
    std::vector<std::uint32_t> late;
    for (const auto& [number, pending] : pending_) {
        if (now - pending.sentAt_ >= settings_.decisionTimeout_)
            late.push_back(number);
    }
    for (const std::uint32_t number : late) {
        PendingRequest pending = std::move(pending_.at(number));
        pending_.erase(number);
        // A new number: the late decision of the accountant that was queried before must not count twice.
        requestDecision(nextNumber_++, std::move(pending), now);
    }
}

void QuotaGate::sendReports(TimePoint now)
{
    std::map<NodeId, std::vector<QuotaCount>> reports;
    std::erase_if(unreported_, [&](WorkspaceId workspace) {
        Usage& usage = usages_.at(workspace);
        const bool isRepeated = !usage.isDirty_ && now - usage.changedAt_ >= settings_.repeatAfter_;
        if (!usage.isDirty_ && !isRepeated)
            return false;
        if (usage.isDirty_)
            usage.latest_ = usage.admitted_ - std::exchange(usage.reported_, usage.admitted_);
        usage.isDirty_ = false;
        for (const NodeId accountant : outlets_.accountantsOf_(workspace))
            reports[accountant].push_back({ workspace, usage.admitted_, usage.latest_ });
        return isRepeated;
    });
    for (auto& [accountant, counts] : reports)
        outlets_.sendReport_(accountant, { self_, incarnation_, ++sequence_, std::move(counts) });
}

std::vector<NodeId> chooseAccountants(WorkspaceId workspace, const std::vector<AccountantCandidate>& candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, AccountantCandidate>> ranked;
    ranked.reserve(candidates.size());
    for (const AccountantCandidate& candidate : candidates)
        ranked.emplace_back(mixHash(workspace.value(), candidate.node_.value()), candidate);
    const std::size_t chosen = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosen), ranked.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    ranked.resize(chosen);
    std::stable_partition(ranked.begin(), ranked.end(), [](const auto& entry) { return entry.second.isSettled_; });
    std::vector<NodeId> nodes;
    nodes.reserve(ranked.size());
    for (const auto& [rank, candidate] : ranked)
        nodes.push_back(candidate.node_);
    return nodes;
}

} // namespace jj
