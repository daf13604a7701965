// Distributes load reports between the nodes of the fleet.
//
// A node reports each change of its load to the other nodes of its cell (Cells.h), immediately or as ReportPace.h allows. Each cell has two
// delegates, which summarize the reports of their cell and send the summary to the delegates of the other cells; those forward it to the
// nodes of their own cell. The number of datagrams that a node receives therefore depends on the size of its cell and the number of
// cells, and not on the number of nodes.
//
// A summary states the load of each engine only to the cells that have the sender's cell as a neighbour (Cells.h). The other cells get brief
// summaries, which hold the waiting work, the versions and the nodes that others rely on. So the load that a node receives depends on its
// neighbours and not on the number of cells.
//
// Without cells, every node sent its report to every other node twice a second. In a fleet of 295 nodes each node received 600 datagrams a
// second, 380 of them from outside its cell; 5.5 MB a second crossed between regions, and a test day needed more processor time than the
// machine had.
//
// It takes up to two seconds to detect that a delegate is paused or partitioned; with one delegate the other cells would receive no
// summaries of its cell in that time. Therefore both delegates send summaries: the first one to the first delegate of each other cell, the
// second one, less often, to the second delegate. A receiver uses a summary if it is newer than the last one that it has of the cell.
//
// This class uses no socket or clock: the caller passes in the time and received datagrams, and sends the datagrams it produces.
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

// The versions up to which a node has applied all changes of the configuration and of the engines; 0: none.
struct KnownVersions {
    std::uint64_t config_ = 0;
    std::uint64_t engines_ = 0;
};

struct ExchangeOutlets {
    // Returns the content of this node's next report. ReportExchange fills in the node, its incarnation and the sequence number.
    std::function<NodeReport()> ownReport_;
    std::function<KnownVersions()> ownVersions_;
    // Returns the load of this node's cell, according to the reports that this node has received.
    std::function<CellUse()> ownCell_;
    // A report of another node has arrived. `isSameCell` says whether that node is in the same cell.
    std::function<void(const NodeReport&, bool isSameCell)> onReport_;
    // A summary of another cell has arrived, which describes its state at the time `at`.
    std::function<void(const CellSummary&, TimePoint at)> onCell_;
    // The assignment of nodes and engines to cells has changed.
    std::function<void()> onCellsChanged_;
    std::function<void(std::span<const PeerAddress>, const PeerDatagram&)> send_;
};

class ReportExchange {
public:
    // `peers` must outlive this object.
    ReportExchange(const ExchangeSelf& self, PeerTable& peers, ExchangeOutlets outlets);

    // Marks this node's report as changed, so that sendPending() or a later tick sends it.
    void publish();
    // Sends the changed report if the report pace allows it now.
    void sendPending(TimePoint now);
    void tick(TimePoint now);
    void handle(const NodeReport& report, TimePoint now);
    void handle(const CellDigest& digest, TimePoint now);
    // Sends a report to all live nodes that this node is leaving; all later reports say so too.
    void beginLeaving(TimePoint now);

    const Cells& cells() const { return cells_; }
    CellId ownCell() const { return cells_.cellOf(self_.node_); }
    // Returns the live nodes of this node's cell, including this node.
    const std::vector<NodeId>& cellNodes() const { return cells_.nodesOf(ownCell()); }
    bool isLeaving() const { return leaving_; }
    // Returns a fresh summary of this node's cell and the last received summary of each other cell, with their ages.
    std::vector<CellSummary> summaries(TimePoint now) const;

private:
    struct ReceivedSummary {
        CellSummary summary_;
        TimePoint at_ {};
        bool isForwarded_ = false; // already forwarded to the nodes of this node's cell, by this node or by the other delegate
    };

    void refreshCells(TimePoint now);
    void sendReport(bool toAll, TimePoint now);
    // Returns this node's rank among the delegates of its cell, or their number if this node isn't one.
    std::size_t delegateRank() const;
    void tickDelegate(TimePoint now);
    void sendSummary(std::size_t rank, bool alsoBrief, TimePoint now);
    void forwardSummaries(TimePoint now);
    CellSummary ownSummary(TimePoint now) const;
    Duration summaryPeriod(std::size_t rank) const;
    std::vector<PeerAddress> addressesOf(const std::vector<NodeId>& nodes) const;

    ExchangeSelf self_;
    PeerTable& peers_;
    ExchangeOutlets outlets_;
    Cells cells_;
    std::uint64_t seenRevision_ = 0; // revision of peers_ at the last rebuild of the cells
    TimePoint cellsRebuiltAt_ {};
    std::vector<PeerAddress> cellPeerAddresses_;

    std::uint32_t sequence_ = 0;
    ReportPace pace_;
    bool isReportPending_ = false; // a report has to be sent as soon as the pace allows
    TimePoint reportedAt_ {};
    bool reportedWatching_ = false;
    bool leaving_ = false;

    bool isDirty_ = false; // reports were published or received since the last summary, so the load of this cell may have changed
    TimePoint lastSummaryAt_ {};
    TimePoint lastBriefAt_ {}; // of the last brief summary
    TimePoint forwardedAt_ {};
    std::uint64_t sentVersionSum_ = 0; // sum of both versions in the last summary; neither ever decreases
    std::map<CellId, ReceivedSummary> receivedSummaries_; // the newest received summary of each other cell
};

} // namespace jj
