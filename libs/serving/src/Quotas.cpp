// All live hosts that aren't leaving are candidates for accountants, this one included.
#include "Quotas.h"

#include <algorithm>

namespace jj {

namespace {

    constexpr Duration refreshPeriod = 100ms;
    constexpr Duration dropPeriod = 1s;
    // Other hosts have noticed a new host, and have reported to it for as long as an account counts as young.
    constexpr Duration settleTime = 3s;

    QuotaSettings settingsWith(const QuotaBound& bound)
    {
        QuotaSettings settings;
        settings.bound_ = bound;
        return settings;
    }

} // namespace

Quotas::Quotas(Fleet& fleet, const QuotaBound& bound)
    : fleet_(fleet)
    , settings_(settingsWith(bound))
    , accountant_(settings_)
    , gate_(settings_, fleet.self(), fleet.incarnation(), outlets(), SystemClock().now())
{
}

QuotaOutlets Quotas::outlets()
{
    QuotaOutlets outlets;
    outlets.accountantsOf_ = [this](WorkspaceId workspace) { return accountantsOf(workspace); };
    outlets.hosts_ = [this] { return fleet_.peers().size() + 1; };
    outlets.sendReport_ = [this](NodeId to, const QuotaReport& report) {
        if (to == fleet_.self())
            return accountant_.handle(report, SystemClock().now());
        fleet_.send(to, report);
    };
    outlets.sendAsk_ = [this](NodeId to, const QuotaAsk& ask) {
        if (to != fleet_.self())
            return fleet_.send(to, ask);
        const TimePoint now = SystemClock().now();
        gate_.handle(accountant_.decide(ask, now), now);
    };
    return outlets;
}

std::vector<NodeId> Quotas::accountantsOf(WorkspaceId workspace) const { return chooseAccountants(workspace, candidates_, settings_.accountants_); }

void Quotas::setTable(std::shared_ptr<const RouteTable> table)
{
    // The accountant refers to the workspaces of the old table until it has the new ones.
    const std::shared_ptr<const RouteTable> old = std::exchange(table_, std::move(table));
    accountant_.setWorkspaces(table_->workspaces(), SystemClock().now());
}

const Quota* Quotas::quotaOf(const std::string& workspace) const
{
    const WorkspaceTable* workspaces = table_ ? table_->workspaces() : nullptr;
    const Workspace* found = workspaces ? workspaces->find(idFromName<WorkspaceId>(workspace)) : nullptr;
    return found && !found->quota_.isUnlimited() ? &found->quota_ : nullptr;
}

void Quotas::admit(const std::string& workspace, std::function<void(const QuotaGate::Answer&)> done)
{
    const Quota* quota = quotaOf(workspace);
    if (!quota)
        return done({ true, {} });
    gate_.admit(idFromName<WorkspaceId>(workspace), *quota, SystemClock().now(), [done = std::move(done)](const QuotaGate::Answer& answer, TimePoint) { done(answer); });
}

void Quotas::returnCredit(const std::string& workspace)
{
    if (quotaOf(workspace))
        gate_.returnCredit(idFromName<WorkspaceId>(workspace), SystemClock().now());
}

void Quotas::handle(const PeerDatagram& message)
{
    const TimePoint now = SystemClock().now();
    if (const auto* report = std::get_if<QuotaReport>(&message))
        accountant_.handle(*report, now);
    else if (const auto* ask = std::get_if<QuotaAsk>(&message))
        fleet_.send(ask->from_, accountant_.decide(*ask, now));
    else if (const auto* decision = std::get_if<QuotaDecision>(&message))
        gate_.handle(*decision, now);
    else if (const auto* notice = std::get_if<QuotaNotice>(&message))
        gate_.handle(*notice, now);
}

void Quotas::tick(TimePoint now)
{
    if (!table_ || !table_->workspaces())
        return;
    refreshCandidates(now);
    gate_.tick(now);
    if (const auto notice = accountant_.takeNotice(now)) {
        gate_.handle(*notice, now);
        fleet_.sendToAll(*notice);
    }
}

void Quotas::refreshCandidates(TimePoint now)
{
    if (now - refreshedAt_ < refreshPeriod)
        return;
    const bool isDropDue = refreshedAt_.time_since_epoch() / dropPeriod != now.time_since_epoch() / dropPeriod;
    refreshedAt_ = now;
    candidates_.clear();
    if (!fleet_.isLeaving())
        candidates_.push_back({ fleet_.self(), now - fleet_.startedAt() >= settleTime });
    for (const Peer& peer : fleet_.peers()) {
        if (peer.isLive() && !peer.leaving_)
            candidates_.push_back({ peer.node_, now - peer.liveSince_ >= settleTime });
    }
    accountant_.setShare(reachableShare());
    if (!isDropDue)
        return;
    accountant_.keepOnly([this](WorkspaceId workspace) {
        const std::vector<NodeId> accountants = accountantsOf(workspace);
        return std::find(accountants.begin(), accountants.end(), fleet_.self()) != accountants.end();
    });
}

double Quotas::reachableShare() const
{
    struct Count {
        std::size_t known_ = 0;
        std::size_t live_ = 0;
    };
    Count near { 1, 1 };
    Count far;
    for (const Peer& peer : fleet_.peers()) {
        if (peer.state_ == MemberState::Left)
            continue;
        Count& count = peer.region_ == fleet_.region() ? near : far;
        ++count.known_;
        count.live_ += peer.isLive() ? 1 : 0;
    }
    const bool isRegionLost = far.known_ > 0 && far.live_ == 0;
    const double reachable = static_cast<double>(near.live_ + far.live_) / static_cast<double>(near.known_ + far.known_);
    const double withoutRegion = static_cast<double>(near.known_) / static_cast<double>(near.known_ + far.known_);
    if (reachable < settings_.isolatedBelow_)
        return reachable;
    return isRegionLost ? withoutRegion : 1;
}

} // namespace jj
