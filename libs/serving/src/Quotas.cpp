// All live hosts that aren't leaving are candidates for accountants, this one included.
#include "Quotas.h"

#include <algorithm>

namespace jj {

namespace {

    constexpr Duration refreshPeriod = 100ms;
    constexpr Duration dropPeriod = 1s;
    // Other hosts have noticed a new host, and have reported to it for as long as an account counts as young.
    constexpr Duration settleTime = 3s;
    // A host that has been down for longer was removed, or its callers have found other hosts.
    constexpr Duration downHostRetention = 60s;

    QuotaSettings settingsWith(const QuotaBound& bound)
    {
        QuotaSettings settings;
        settings.bound_ = bound;
        return settings;
    }

} // namespace

KnownHosts countHosts(const std::vector<Peer>& peers, RegionId ownRegion, TimePoint now)
{
    KnownHosts hosts { { 1, 1 }, {} };
    for (const Peer& peer : peers) {
        const bool isRemoved = peer.state_ == MemberState::Left || (!peer.isLive() && now - peer.downSince_ > downHostRetention);
        if (isRemoved)
            continue;
        KnownHosts::Count& count = peer.region_ == ownRegion ? hosts.near_ : hosts.far_;
        ++count.known_;
        count.live_ += peer.isLive() ? 1 : 0;
    }
    return hosts;
}

double reachableShare(const KnownHosts& hosts, double isolatedBelow)
{
    const auto all = static_cast<double>(hosts.all());
    const double reached = static_cast<double>(hosts.near_.live_ + hosts.far_.live_) / all;
    if (reached < isolatedBelow)
        return reached;
    const bool isRegionLost = hosts.far_.known_ > 0 && hosts.far_.live_ == 0;
    return isRegionLost ? static_cast<double>(hosts.near_.known_) / all : 1;
}

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
    outlets.hosts_ = [this] { return hosts_.all(); };
    outlets.sendReport_ = [this](NodeId to, const QuotaReport& report) {
        if (to == fleet_.self())
            return accountant_.handle(report, SystemClock().now());
        fleet_.send(to, report);
    };
    outlets.sendRequest_ = [this](NodeId to, const AdmissionRequest& request) {
        if (to != fleet_.self())
            return fleet_.send(to, request);
        const TimePoint now = SystemClock().now();
        gate_.handle(accountant_.decide(request, now), now);
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
    // Without a configuration this host knows no quota. It doesn't answer, and the sender queries another host.
    if (!table_)
        return;
    const TimePoint now = SystemClock().now();
    if (const auto* report = std::get_if<QuotaReport>(&message))
        accountant_.handle(*report, now);
    else if (const auto* request = std::get_if<AdmissionRequest>(&message))
        fleet_.send(request->from_, accountant_.decide(*request, now));
    else if (const auto* decision = std::get_if<AdmissionDecision>(&message))
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
    hosts_ = countHosts(fleet_.peers(), fleet_.region(), now);
    accountant_.setShare(reachableShare(hosts_, settings_.isolatedBelow_));
    if (!isDropDue)
        return;
    accountant_.keepOnly([this](WorkspaceId workspace) {
        const std::vector<NodeId> accountants = accountantsOf(workspace);
        return std::find(accountants.begin(), accountants.end(), fleet_.self()) != accountants.end();
    });
}

} // namespace jj
