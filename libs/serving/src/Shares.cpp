#include "Shares.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jj {

namespace {

    // On whose behalf the requests of public routes wait: with usage of their own, they would go before those of all workspaces.
    const WorkspaceId publicClaimant = idFromName<WorkspaceId>("public\n"); // no name of a workspace has a line break

    Rank rankOf(std::uint32_t priority) { return static_cast<Rank>(std::min<std::uint32_t>(priority, UINT8_MAX)); }

    // A workspace without a quota weighs as much as the others do on the mean.
    std::vector<WorkspaceWeight> weightsOf(const std::vector<Workspace>& workspaces)
    {
        double sum = 0;
        std::size_t count = 0;
        for (const Workspace& one : workspaces) {
            sum += one.quota_.isUnlimited() ? 0 : one.quota_.perSecond_;
            count += one.quota_.isUnlimited() ? 0U : 1U;
        }
        const double mean = count == 0 ? 1 : sum / static_cast<double>(count);
        std::vector<WorkspaceWeight> weights;
        weights.reserve(workspaces.size());
        for (const Workspace& one : workspaces)
            weights.push_back({ one.id(), one.quota_.isUnlimited() ? mean : one.quota_.perSecond_ });
        weights.push_back({ publicClaimant, mean });
        return weights;
    }

    // Items of jobs run on what online requests leave, so the priorities of batch routes don't count.
    std::set<std::uint32_t> onlinePriorities(const RouteTable& table)
    {
        std::set<std::uint32_t> priorities;
        bool mayNameNone = !table.workspaces();
        if (table.workspaces()) {
            for (const Workspace& one : table.workspaces()->rows()) {
                mayNameNone = mayNameNone || !one.priority_;
                if (one.priority_)
                    priorities.insert(*one.priority_);
            }
        }
        for (const Route& route : table.routes()) {
            const bool isOnline = route.kind_ != RouteKind::Batch;
            if (isOnline && (mayNameNone || route.isPublic_))
                priorities.insert(route.priority_);
        }
        return priorities;
    }

} // namespace

Shares::Shares(Fleet& fleet, CapacityBoard& board)
    : fleet_(fleet)
    , board_(board)
    , shares_(FairShares::create(FairShareSettings(), fleet.self(), fleet.incarnation()).value())
    , items_(FairShares::create(FairShareSettings(), fleet.self(), fleet.incarnation()).value())
{
}

void Shares::setTable(const std::shared_ptr<const RouteTable>& table)
{
    table_ = table;
    const bool isAnyPublic = std::any_of(table->routes().begin(), table->routes().end(), [](const Route& route) { return route.isPublic_; });
    const bool areThereSeveral = table->workspaces() && table->workspaces()->rows().size() + (isAnyPublic ? 1U : 0U) > 1;
    const std::vector<WorkspaceWeight> weights = areThereSeveral ? weightsOf(table->workspaces()->rows()) : std::vector<WorkspaceWeight>();
    shares_.setWorkspaces(weights);
    items_.setWorkspaces(weights);
    shares_.setRanksDiffer(onlinePriorities(*table).size() > 1);
}

Claimant Shares::claimantOf(const Route& route, const std::string& workspace) const
{
    Claimant claimant { publicClaimant, rankOf(route.priority_) };
    if (workspace.empty())
        return claimant;
    claimant.workspace_ = idFromName<WorkspaceId>(workspace);
    const Workspace* known = table_ && table_->workspaces() ? table_->workspaces()->find(claimant.workspace_) : nullptr;
    if (known && known->priority_)
        claimant.rank_ = rankOf(*known->priority_);
    return claimant;
}

void Shares::itemStarted(const std::string& workspace, TimePoint now)
{
    if (!workspace.empty())
        items_.started(idFromName<WorkspaceId>(workspace), 0, now);
}

void Shares::itemEnded(const std::string& workspace, TimePoint now)
{
    if (!workspace.empty())
        items_.ended(idFromName<WorkspaceId>(workspace), 0, now);
}

double Shares::itemUsage(const std::string& workspace, TimePoint now) const
{
    return workspace.empty() ? 0 : items_.claim(idFromName<WorkspaceId>(workspace), 0, now).usage_;
}

std::string Shares::nameOf(WorkspaceId workspace) const
{
    if (workspace == publicClaimant)
        return "public";
    const Workspace* known = table_ && table_->workspaces() ? table_->workspaces()->find(workspace) : nullptr;
    return known ? known->name_ : std::string();
}

void Shares::refused(const Claimant& claimant)
{
    if (isActive())
        ++refused_[claimant.workspace_];
}

std::vector<Shares::Competitor> Shares::takeCompetitors(std::size_t most, const std::map<WorkspaceId, std::size_t>& waiting, TimePoint now)
{
    const auto countIn = [](const std::map<WorkspaceId, std::size_t>& counts, WorkspaceId workspace) {
        const auto found = counts.find(workspace);
        return found == counts.end() ? 0 : found->second;
    };
    std::vector<Competitor> competitors;
    if (std::exchange(hasCompeted_, false)) {
        for (const WorkspaceShare& one : shares_.activeShares(most, now))
            competitors.push_back({ nameOf(one.workspace_), one.slots_, one.share_, countIn(waiting, one.workspace_), countIn(refused_, one.workspace_) });
    }
    refused_.clear();
    return competitors;
}

double Shares::lowestRatio(const std::map<WorkspaceId, std::size_t>& waiting, TimePoint now) const
{
    double lowest = 1;
    for (const WorkspaceShare& one : shares_.activeShares(SIZE_MAX, now)) {
        if (waiting.contains(one.workspace_) && one.share_ > 0)
            lowest = std::min(lowest, one.slots_ / one.share_);
    }
    return lowest;
}

void Shares::tick(TimePoint now)
{
    if (!shares_.isActive())
        return;
    shares_.setExpectedRun(board_.meanRun());
    if (board_.isAnyWaiting()) {
        shares_.recordCompetition(now);
        hasCompeted_ = true;
    }
    const std::vector<NodeId>& delegates = fleet_.cells().delegates(fleet_.ownCell());
    const bool isDelegate = delegates.empty() || delegates.front() == fleet_.self();
    isDelegate ? sendSums(now) : sendReport(now);
}

void Shares::sendReport(TimePoint now)
{
    if (const auto report = shares_.nextReport(now))
        fleet_.send(fleet_.cells().delegates(fleet_.ownCell()).front(), *report);
}

void Shares::sendSums(TimePoint now)
{
    const CellId own = fleet_.ownCell();
    const auto sums = shares_.nextSums(own, now);
    if (!sums)
        return;
    for (const NodeId node : fleet_.cellNodes()) {
        if (node != fleet_.self())
            fleet_.send(node, shares_.sumFor(node));
    }
    for (const CellId cell : fleet_.cells().cells()) {
        const std::vector<NodeId>& delegates = fleet_.cells().delegates(cell);
        if (cell != own && !delegates.empty())
            fleet_.send(delegates.front(), sums->ofCell_);
    }
}

void Shares::handle(const PeerDatagram& message, TimePoint now)
{
    if (const auto* report = std::get_if<ShareReport>(&message))
        shares_.applyReport(*report, now);
    else if (const auto* sum = std::get_if<ShareSum>(&message))
        shares_.applySum(*sum, now);
}

} // namespace jj
