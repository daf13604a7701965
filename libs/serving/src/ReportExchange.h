// Which node gets reports of what the others run, and when.
//
// A node reports each change to the nodes of its cell (Cells.h) at once, or at the cell's pace. Each cell has two delegates, which sum up
// what they hear and send the sum to the delegates of the other cells; those pass it on to their own cell. So what a node hears grows
// with its cell and with the number of cells, and not with the nodes.
//
// Failure met: every node sent its report to every other one twice a second. It shows as 600 datagrams a second and node in a fleet of 295, of
// which 380 came from outside the cell, as 5.5 MB a second between regions, and as days that take more of the processors than there is.
//
// Failure met: a delegate is paused or cut off, and nobody knows for two seconds. The guard: both delegates send, each to the delegate of its
// own rank, the second one less often; what comes first is taken.
//
// No socket or clock: times and datagrams go in, and datagrams with their receivers come out.
#pragma once

#include "Cells.h"
#include "PeerTable.h"
#include "ReportMessages.h"
#include "ReportPace.h"

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace jj {

struct ExchangeSelf {
    NodeId node_;
    RegionId region_;
    FailureDomainId domain_;
    Incarnation incarnation_;
    bool runsJobs_ = false;
};

struct KnownVersions {
    std::uint64_t config_ = 0;
    std::uint64_t engines_ = 0;
};

struct ExchangeOutlets {
    // What goes out with each report of this node; node, incarnation and sequence are filled in here.
    std::function<NodeReport()> ownReport_;
    std::function<KnownVersions()> ownVersions_;
    // What its cell runs, by all that this node has heard.
    std::function<CellUse()> ownCell_;
    // `isMate`: of this node's cell.
    std::function<void(const NodeReport&, bool isMate)> onReport_;
    // Of another cell, as it was at `at`.
    std::function<void(const CellSummary&, TimePoint at)> onCell_;
    // Nodes and engines belong to other cells than before.
    std::function<void()> onCellsChanged_;
    std::function<void(std::span<const PeerAddress>, const PeerDatagram&)> send_;
};

class ReportExchange {
public:
    // `peers` outlives this object.
    ReportExchange(const ExchangeSelf& self, PeerTable& peers, ExchangeOutlets outlets);

    // This node's report has changed; it goes out with sendPending(), or at the cell's pace if that is slower.
    void publish();
    void sendPending(TimePoint now);
    void tick(TimePoint now);
    void received(const NodeReport& report, TimePoint now);
    void received(const CellDigest& digest, TimePoint now);
    // From now on each report says that this node leaves.
    void beginLeaving(TimePoint now);

    const Cells& cells() const { return cells_; }
    CellId ownCell() const { return cells_.cellOf(self_.node_); }
    // Live nodes of this node's cell, this one included.
    const std::vector<NodeId>& mates() const { return cells_.nodesOf(ownCell()); }
    bool isLeaving() const { return leaving_; }
    // This node's cell, and the others as they were heard last, with the age of each.
    std::vector<CellSummary> summaries(TimePoint now) const;

private:
    struct Known {
        CellSummary summary_;
        TimePoint at_ {};
        bool isPassedOn_ = false; // to this node's cell
    };

    void refreshCells(TimePoint now);
    void sendReport(bool toAll, TimePoint now);
    // This node's rank among its cell's delegates; none: delegatesOfCell.
    std::size_t delegateRank() const;
    void tickDelegate(TimePoint now);
    void sendSummary(std::size_t rank, TimePoint now);
    void passOn(TimePoint now);
    CellSummary ownSummary(TimePoint now) const;
    Duration summaryPeriod(std::size_t rank) const;
    std::vector<PeerAddress> addressesOf(const std::vector<NodeId>& nodes) const;

    ExchangeSelf self_;
    PeerTable& peers_;
    ExchangeOutlets outlets_;
    Cells cells_;
    std::uint64_t seenRevision_ = 0; // of peers_, at the last look at the cells
    TimePoint cellsAt_ {};
    std::vector<PeerAddress> mateAddresses_;

    std::uint32_t sequence_ = 0;
    ReportPace pace_;
    bool pending_ = false; // a report is to be sent, as soon as the pace allows
    TimePoint reportedAt_ {};
    bool reportedWatching_ = false;
    bool leaving_ = false;

    bool isDirty_ = false; // something of this cell has changed since the last summary
    TimePoint summedUpAt_ {};
    TimePoint passedOnAt_ {};
    std::uint64_t sentVersions_ = 0; // sum of the versions in the last summary: both only grow
    std::map<CellId, Known> known_; // other cells that were heard
};

} // namespace jj
