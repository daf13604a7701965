// Connects this node to the other nodes of the fleet: membership, load reports, and calls between nodes.
//
// Membership (libs/membership) discovers nodes and detects their failure; ReportExchange.h distributes the load reports. This class
// provides the sockets for both. All work runs on the caller's thread.
#pragma once

#include "DecisionLog.h"
#include "Dissemination.h"
#include "PeerMessages.h"
#include "PeerTable.h"
#include "ReportExchange.h"
#include "SpoolReplicas.h"
#include "TrafficCounts.h"
#include "WatchChoice.h"
#include "base/Result.h"
#include "membership/MembershipCore.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jj {

struct FleetOptions {
    PeerAddress at_; // UDP port of membership and TCP port of calls; reports use the next UDP port
    std::vector<PeerAddress> seeds_;
    RegionId region_;
    FailureDomainId domain_;
    bool runsJobs_ = false;
    WireKey key_;
    Incarnation incarnation_;
    MembershipSettings membership_;
    std::size_t connections_ = 512; // of other nodes at once; beyond it, those are closed that have been idle for longest
};

struct FleetHandlers {
    // The handlers down to onCell_ have the same meaning as in ExchangeOutlets.
    std::function<NodeReport()> ownReport_;
    std::function<KnownVersions()> ownVersions_;
    std::function<CellUse()> ownCell_;
    std::function<void(const NodeReport&, bool isSameCell)> onReport_;
    std::function<void(const CellSummary&, TimePoint at)> onCell_;
    std::function<void(const PreemptRequest&)> onPreemptRequest_;
    // A message about quotas has arrived: QuotaReport, AdmissionRequest, AdmissionDecision or QuotaNotice.
    std::function<void(const PeerDatagram&)> onQuotaMessage_;
    // A message about streams has arrived: StreamRecords, StreamQuery or StreamAnswer.
    std::function<void(const PeerDatagram&)> onStreamMessage_;
    // A message about the slot time of workspaces has arrived: ShareReport or ShareSum.
    std::function<void(const PeerDatagram&)> onShareMessage_;
    // The node was live and has been declared dead or has left.
    std::function<void(NodeId)> onNodeDown_;
    // The process on the node has started, or rejoined the fleet as a new incarnation.
    std::function<void(NodeId)> onNodeStarted_;
    // Records about what crashes engines have arrived.
    std::function<void(const SuspectRecords&)> onSuspectRecords_;
    // The assignment of nodes and engines to cells has changed.
    std::function<void()> onCellsChanged_;
    // This node has rejoined the fleet as a new incarnation, for example after the others had declared it dead.
    std::function<void()> onRejoined_;
    // Answers a call of a peer. The reply function is called at most once, either immediately or later.
    std::function<void(PeerCall, std::function<void(PeerReply)>)> onCall_;
};

class Fleet {
public:
    // Returns an error if the ports of options.at_ can't be opened.
    // Fails with the system's error and the address that can't be listened on.
    static Checked<std::unique_ptr<Fleet>> create(boost::asio::io_context& io, const FleetOptions& options, DecisionLog& log, FleetHandlers handlers);
    ~Fleet();

    void tick(TimePoint now, WallTime wall);
    // Schedules the sending of this node's changed report: in the next iteration of the event loop, or later if ReportPace requires it.
    void publishReport();
    // Requests that a batch item on the engine is preempted. `holder` runs such an item, or is a delegate of a cell that does.
    void requestPreemption(NodeId holder, UpstreamId engine);
    // Forwards a preemption request, which this node received as a delegate, to the node of its cell that runs the item.
    void forwardPreemptRequest(const PreemptRequest& request, NodeId holder);
    // Send a datagram to a node, which may be unknown, or to all live nodes.
    void send(NodeId node, const PeerDatagram& datagram);
    void sendToAll(const PeerDatagram& datagram);
    using ReplyHandler = std::function<void(Result<PeerReply>)>;
    // Calls a peer. Completes with PeerError::Unreachable if the peer is unknown, refuses the connection, sends nothing for `timeout` or
    // replies with an HTTP error status, and with an error of decodeReply() if it can't decode the reply.
    void request(NodeId node, const PeerCall& call, Duration timeout, ReplyHandler done);

    void beginLeaving();
    bool isLeaving() const { return exchange_->isLeaving(); }
    // Announces that this node has left the fleet, just before the process exits.
    void finishLeaving();

    NodeId self() const { return self_; }
    RegionId region() const { return options_.region_; }
    FailureDomainId domain() const { return options_.domain_; }
    UpdateDistance distanceTo(const Peer& peer) const { return updateDistance(options_.region_, options_.domain_, peer.region_, peer.domain_); }
    // Returns the region of a node; for an unknown node the region of this one.
    RegionId regionOf(NodeId node) const;
    const Cells& cells() const { return exchange_->cells(); }
    std::vector<CellSummary> summaries(TimePoint now) const { return exchange_->summaries(now); }
    CellId ownCell() const { return exchange_->ownCell(); }
    // Returns the live nodes of this node's cell, including this node.
    const std::vector<NodeId>& cellNodes() const { return exchange_->cellNodes(); }
    // Returns whether a node is live. A node whose report arrived recently counts as live whatever the result of membership probes. An
    // unknown node counts as live while this process has just started, since membership may not have discovered it yet.
    bool isLive(NodeId node) const;
    const std::vector<Peer>& peers() const { return peers_.rows(); }
    // Returns null if the node is unknown.
    const Peer* peer(NodeId node) const { return peers_.find(node); }
    // Returns whether this process is still fetching the list of members.
    bool isJoining() const { return core_->isJoining(); }
    Incarnation incarnation() const { return options_.incarnation_; }
    TimePoint startedAt() const { return startedAt_; }
    const TrafficCounts& traffic() const { return traffic_; }
    std::size_t livePeers() const { return peers_.liveInRegion() + peers_.liveElsewhere(); }
    // Returns the address of a node for logs and operators; empty for an unknown node.
    std::string addressOf(NodeId node) const;
    // Returns the address of this node.
    std::string address() const { return options_.at_.toString(); }
    // Returns the node that should own the job, `former` being its previous owner. Chooses by rendezvous hashing among the live nodes that
    // aren't leaving: first among those that run jobs in the region of `former`, then among all that run jobs, then among all. Returns
    // none if no such node exists, which happens when this node is alone and leaving.
    NodeId preferredOwner(std::string_view job, NodeId former) const;
    // Returns the state of the other nodes that WatchChoice uses to decide whether this node follows the store.
    std::vector<WatchPeer> watchPeers() const;
    // Chooses the hosts that spool a job on their disks, as many as `losses` requires and none of `excluded`. Returns an empty list if too
    // few hosts are available.
    std::vector<NodeId> selectSpoolHosts(const TolerableLosses& losses, const std::vector<NodeId>& excluded);
    // Returns whether the last report of a peer listed spooled jobs and isn't older than a minute.
    bool hasPeerWithSpooledJobs() const;
    // Returns whether the reports of a peer that runs jobs have stopped recently. That peer may have lost the reports of this node as
    // well, and may take over its jobs.
    bool mayBeReplaced() const;

private:
    Fleet(boost::asio::io_context& io, FleetOptions options, DecisionLog& log, FleetHandlers handlers);

    struct Sockets;

    std::optional<Failure> open();
    void onMembershipDatagram(std::string_view bytes);
    void onReportDatagram(std::string_view bytes);
    void runCommands();
    void perform(const SendDatagram& command);
    void perform(const MemberChanged& command);
    void logChange(const MemberRumor& member);
    void logChangeCounts();
    void perform(const Rejoined& command);
    void perform(const ConfigVersionLearned&) { }
    void perform(const LoadLearned&) { }
    void perform(const QuarantineLearned&) { }
    void perform(const UpstreamMarkLearned&) { }
    void perform(const RegionReachChanged& command);
    void createExchange();
    void sendReportDatagram(const PeerAddress& to, TrafficKind kind, std::string_view bytes);
    // Returns the distance to the node at this address; for an unknown node that to another failure domain of the region.
    UpdateDistance distanceTo(const PeerAddress& address) const;

    boost::asio::io_context& io_;
    FleetOptions options_;
    DecisionLog& log_;
    FleetHandlers handlers_;
    NodeId self_;
    std::unique_ptr<Sockets> sockets_;
    std::unique_ptr<MembershipCore> core_;
    PeerTable peers_;
    TrafficCounts traffic_;
    std::unique_ptr<ReportExchange> exchange_;
    std::uint64_t spoolSelections_ = 0; // varies the choice, so that spooled jobs are spread over the hosts
    bool isSendPosted_ = false;
    // Membership changes since changesSince_. The first ones are logged one by one; unloggedChanges_ counts the rest by state.
    TimePoint changesSince_ {};
    std::uint32_t changes_ = 0;
    std::array<std::uint32_t, 4> unloggedChanges_ {};
    TimePoint tickedAt_ {};
    TimePoint startedAt_ {};
    TimePoint now_ {};
    // Set to false by the destructor. Posted callbacks share it and check it before they use this object.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jj
