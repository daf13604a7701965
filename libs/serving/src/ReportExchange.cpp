// Decides at each tick, by comparing times, which reports and summaries are due.
#include "ReportExchange.h"

#include <algorithm>

namespace jj {

namespace {

    // An unchanged report is repeated after this time, to make up for lost datagrams.
    constexpr Duration reportRefreshPeriod = 500ms;
    // A report newer than this shows that its sender is alive and reachable. A delegate lists only nodes with such a report in its summary.
    // It is also the upper limit for the age that a received summary states.
    constexpr Duration freshReportAge = 1200ms;
    // Time between two summaries of a changed cell. It grows with the fleet within the bounds below, so small fleets update faster.
    constexpr Duration summaryPeriodPerNode = 5ms;
    constexpr Duration minSummaryPeriod = 45ms;
    constexpr Duration maxSummaryPeriod = 250ms;
    // Time between two summaries of an unchanged cell; well below CapacitySettings::cellTimeout_, after which a summary expires.
    constexpr Duration summaryRefreshPeriod = 500ms;
    // Minimum time between two summaries if the second one reports a new version of the configuration or the engines.
    constexpr Duration minVersionInterval = 20ms;
    // Nodes that aren't live count for the split into cells for this time, so that the split doesn't change while many nodes restart.
    constexpr Duration downNodeRetention = 60s;
    // Without a membership change the cells are rebuilt after this time, to drop nodes that have been down for longer than
    // downNodeRetention.
    constexpr Duration cellsRebuildPeriod = 10s;

} // namespace

ReportExchange::ReportExchange(const ExchangeSelf& self, PeerTable& peers, ExchangeOutlets outlets)
    : self_(self)
    , peers_(peers)
    , outlets_(std::move(outlets))
{
    cells_.rebuild({ { self_.node_, self_.region_, self_.domain_, true, false } });
}

// ---- own reports

void ReportExchange::publish()
{
    isReportPending_ = true;
    isDirty_ = true;
}

// A report that the pace doesn't allow yet is sent by a later tick.
void ReportExchange::sendPending(TimePoint now)
{
    if (isReportPending_ && now >= pace_.nextReportAt())
        sendReport(false, now);
}

void ReportExchange::sendReport(bool toAll, TimePoint now)
{
    NodeReport report = outlets_.ownReport_();
    report.use_.node_ = self_.node_;
    report.use_.incarnation_ = self_.incarnation_;
    report.use_.sequence_ = ++sequence_;
    report.runsJobs_ = self_.runsJobs_;
    report.leaving_ = leaving_;
    isReportPending_ = false;
    reportedAt_ = now;
    pace_.sent(now);
    // All nodes need to know immediately which nodes follow the store, because they start or stop following it accordingly.
    const bool hasWatchingChanged = report.watching_ != reportedWatching_;
    reportedWatching_ = report.watching_;
    if (!toAll && !hasWatchingChanged)
        return outlets_.send_(cellPeerAddresses_, report);
    std::vector<PeerAddress> all;
    for (const Peer& peer : peers_.rows()) {
        if (peer.isLive())
            all.push_back(peer.at_);
    }
    outlets_.send_(all, report);
}

void ReportExchange::beginLeaving(TimePoint now)
{
    leaving_ = true;
    sendReport(true, now);
}

void ReportExchange::handle(const NodeReport& report, TimePoint now)
{
    pace_.received();
    Peer* peer = peers_.find(report.use_.node_);
    if (peer && peer->hasLaterReport(report.use_.incarnation_, report.use_.sequence_))
        return;
    isDirty_ = true;
    if (peer) {
        peer->reportIncarnation_ = report.use_.incarnation_;
        peer->reportSequence_ = report.use_.sequence_;
        peer->runsJobs_ = report.runsJobs_;
        peer->leaving_ = peer->isMemberLeaving_ || report.leaving_;
        peer->lastSeenAt_ = now;
        peer->configVersion_ = report.configVersion_;
        peer->enginesVersion_ = report.enginesVersion_;
        peer->watching_ = report.watching_;
        peer->spoolsJobs_ = report.spoolsJobs_;
        peer->spooledJobs_ = report.spooledJobs_;
        peer->isStoreUnreachable_ = report.isStoreUnreachable_;
        peer->isOverloaded_ = report.isOverloaded_;
    }
    outlets_.onReport_(report, cells_.cellOf(report.use_.node_) == ownCell());
}

// ---- periodic work

void ReportExchange::tick(TimePoint now)
{
    refreshCells(now);
    pace_.tick(now);
    if (now - reportedAt_ >= reportRefreshPeriod)
        sendReport(false, now);
    else
        sendPending(now);
    tickDelegate(now);
}

void ReportExchange::refreshCells(TimePoint now)
{
    if (seenRevision_ == peers_.revision() && now - cellsRebuiltAt_ < cellsRebuildPeriod)
        return;
    seenRevision_ = peers_.revision();
    cellsRebuiltAt_ = now;
    std::vector<CellMember> members { { self_.node_, self_.region_, self_.domain_, true, leaving_ } };
    for (const Peer& peer : peers_.rows()) {
        if (peer.isLive() || now - peer.downSince_ < downNodeRetention)
            members.push_back({ peer.node_, peer.region_, peer.domain_, peer.isLive(), peer.leaving_ });
    }
    const Cells::Change change = cells_.rebuild(members);
    if (change.nodes_) {
        std::vector<NodeId> others = cellNodes();
        std::erase(others, self_.node_);
        cellPeerAddresses_ = addressesOf(others);
    }
    if (!change.layout_)
        return;
    const std::vector<CellId> cells = cells_.cells();
    std::erase_if(receivedSummaries_, [&cells](const auto& entry) { return std::find(cells.begin(), cells.end(), entry.first) == cells.end(); });
    outlets_.onCellsChanged_();
}

std::vector<PeerAddress> ReportExchange::addressesOf(const std::vector<NodeId>& nodes) const
{
    std::vector<PeerAddress> addresses;
    for (const NodeId node : nodes) {
        if (const Peer* peer = peers_.find(node))
            addresses.push_back(peer->at_);
    }
    return addresses;
}

// ---- delegates

std::size_t ReportExchange::delegateRank() const
{
    const auto& delegates = cells_.delegates(ownCell());
    return static_cast<std::size_t>(std::find(delegates.begin(), delegates.end(), self_.node_) - delegates.begin());
}

Duration ReportExchange::summaryPeriod(std::size_t rank) const
{
    const auto nodes = static_cast<Duration::rep>(peers_.liveInRegion() + peers_.liveElsewhere());
    const Duration period = std::clamp<Duration>(summaryPeriodPerNode * nodes, minSummaryPeriod, maxSummaryPeriod);
    return period * static_cast<Duration::rep>(rank + 1);
}

void ReportExchange::tickDelegate(TimePoint now)
{
    const std::size_t rank = delegateRank();
    if (rank >= cells_.delegates(ownCell()).size())
        return;
    const KnownVersions versions = outlets_.ownVersions_();
    const bool hasNewVersion = versions.config_ + versions.engines_ > sentVersionSum_ && now - lastSummaryAt_ >= minVersionInterval;
    const bool isDue = isDirty_ && now - lastSummaryAt_ >= summaryPeriod(rank);
    const bool isBriefDue = now - lastBriefAt_ >= summaryRefreshPeriod * static_cast<Duration::rep>(rank + 1);
    if (hasNewVersion || isDue || isBriefDue || now - lastSummaryAt_ >= summaryRefreshPeriod)
        sendSummary(rank, hasNewVersion || isBriefDue, now);
    const bool hasNew = std::any_of(receivedSummaries_.begin(), receivedSummaries_.end(), [](const auto& entry) { return !entry.second.isForwarded_; });
    if (hasNew && now - forwardedAt_ >= summaryPeriod(rank))
        forwardSummaries(now);
}

CellSummary ReportExchange::ownSummary(TimePoint now) const
{
    const NodeReport own = outlets_.ownReport_();
    CellSummary summary;
    summary.use_ = outlets_.ownCell_();
    summary.use_.cell_ = ownCell();
    summary.use_.delegate_ = self_.node_;
    summary.configVersion_ = own.configVersion_;
    summary.enginesVersion_ = own.enginesVersion_;
    summary.liveNodes_ = static_cast<std::uint32_t>(cellNodes().size());
    if (self_.runsJobs_ || own.watching_ || own.spooledJobs_ > 0 || own.isStoreUnreachable_)
        summary.nodes_.push_back({ self_.node_, self_.runsJobs_, own.watching_, own.spoolsJobs_, own.spooledJobs_, false, own.isStoreUnreachable_ });
    for (const NodeId node : cellNodes()) {
        const Peer* peer = peers_.find(node);
        if (!peer || now - peer->lastSeenAt_ >= freshReportAge)
            continue;
        const bool isBehind = peer->configVersion_ < own.configVersion_;
        const bool isReliedOn = peer->runsJobs_ || peer->watching_ || peer->spooledJobs_ > 0;
        if (isReliedOn || isBehind || peer->isStoreUnreachable_)
            summary.nodes_.push_back({ node, peer->runsJobs_, peer->watching_, peer->spoolsJobs_, peer->spooledJobs_, isBehind, peer->isStoreUnreachable_ });
    }
    return summary;
}

std::vector<CellSummary> ReportExchange::summaries(TimePoint now) const
{
    std::vector<CellSummary> all { ownSummary(now) };
    for (const auto& [cell, latest] : receivedSummaries_) {
        all.push_back(latest.summary_);
        all.back().age_ = now - latest.at_;
    }
    return all;
}

void ReportExchange::sendSummary(std::size_t rank, bool alsoBrief, TimePoint now)
{
    CellSummary summary = ownSummary(now);
    isDirty_ = false;
    lastSummaryAt_ = now;
    sentVersionSum_ = summary.configVersion_ + summary.enginesVersion_;
    std::vector<NodeId> neighbours;
    std::vector<NodeId> others;
    for (const CellId cell : cells_.cells()) {
        const auto& delegates = cells_.delegates(cell);
        if (cell != ownCell() && !delegates.empty())
            (cells_.isNeighbour(cell, ownCell()) ? neighbours : others).push_back(delegates[std::min(rank, delegates.size() - 1)]);
    }
    if (!neighbours.empty())
        outlets_.send_(addressesOf(neighbours), CellDigest { { summary }, false });
    if (!alsoBrief)
        return;
    lastBriefAt_ = now;
    summary.use_.isBrief_ = true;
    summary.use_.uses_.clear();
    summary.use_.failingEngines_.clear();
    if (!others.empty())
        outlets_.send_(addressesOf(others), CellDigest { { summary }, false });
}

void ReportExchange::forwardSummaries(TimePoint now)
{
    const KnownVersions versions = outlets_.ownVersions_();
    std::vector<CellSummary> summaries;
    for (auto& [cell, latest] : receivedSummaries_) {
        if (latest.isForwarded_)
            continue;
        latest.isForwarded_ = true;
        CellSummary& summary = summaries.emplace_back(latest.summary_);
        summary.age_ = now - latest.at_;
        // Versions that this node hasn't applied yet aren't advertised to its cell. Otherwise all nodes of the cell would request the
        // update from one remote delegate; this way they request it within their cell once a node there has it.
        summary.configVersion_ = std::min(summary.configVersion_, versions.config_);
        summary.enginesVersion_ = std::min(summary.enginesVersion_, versions.engines_);
    }
    forwardedAt_ = now;
    for (const CellDigest& digest : packDigests(summaries))
        outlets_.send_(cellPeerAddresses_, digest);
}

void ReportExchange::handle(const CellDigest& digest, TimePoint now)
{
    pace_.received();
    for (const CellSummary& summary : digest.cells_) {
        if (summary.use_.cell_ == ownCell())
            continue;
        const TimePoint at = now - std::clamp<Duration>(summary.age_, Duration::zero(), freshReportAge);
        ReceivedSummary& latest = receivedSummaries_[summary.use_.cell_];
        if (latest.at_ >= at)
            continue;
        latest = { summary, at, digest.isForwarded_ };
        for (const CellNode& node : summary.nodes_) {
            Peer* peer = peers_.find(node.node_);
            if (!peer)
                continue;
            peer->lastSeenAt_ = now;
            peer->runsJobs_ = node.runsJobs_;
            peer->watching_ = node.watching_;
            peer->spoolsJobs_ = node.spoolsJobs_;
            peer->spooledJobs_ = node.spooledJobs_;
            peer->isStoreUnreachable_ = node.isStoreUnreachable_;
        }
        if (Peer* delegate = peers_.find(summary.use_.delegate_)) {
            delegate->configVersion_ = summary.configVersion_;
            delegate->enginesVersion_ = summary.enginesVersion_;
        }
        outlets_.onCell_(summary, at);
    }
}

} // namespace jj
