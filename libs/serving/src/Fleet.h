// The other nodes: who lives, what each runs at the engines, and calls between nodes.
//
// Membership (libs/membership) finds and buries nodes; ReportExchange.h says who hears what each runs. This class puts sockets around
// both. All on the caller's thread.
#pragma once

#include "DecisionLog.h"
#include "Keepers.h"
#include "PeerMessages.h"
#include "PeerTable.h"
#include "ReportExchange.h"
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
    PeerAddress at_; // UDP of membership and TCP of calls; reports on the port after it
    std::vector<PeerAddress> seeds_;
    RegionId region_;
    FailureDomainId domain_;
    bool runsJobs_ = false;
    WireKey key_;
    Incarnation incarnation_;
    MembershipSettings membership_;
};

struct FleetHandlers {
    // As those of ReportExchange.h.
    std::function<NodeReport()> ownReport_;
    std::function<KnownVersions()> ownVersions_;
    std::function<CellUse()> ownCell_;
    std::function<void(const NodeReport&, bool isMate)> onReport_;
    std::function<void(const CellSummary&, TimePoint at)> onCell_;
    std::function<void(const GiveWay&)> onGiveWay_;
    std::function<void(NodeId)> onGone_;
    // A mark of content that crashes engines, see CrashSuspects.h.
    std::function<void(Fingerprint mark, Duration remaining)> onCrashMark_;
    // Nodes and engines belong to other cells than before.
    std::function<void()> onCellsChanged_;
    // The membership of this node had lapsed: others believed it dead.
    std::function<void()> onRejoined_;
    // Answers a peer's call, now or later; at most once.
    std::function<void(PeerCall, std::function<void(PeerReply)>)> onCall_;
};

class Fleet {
public:
    // Errors: the address can't be listened on.
    static Result<std::unique_ptr<Fleet>> create(boost::asio::io_context& io, const FleetOptions& options, DecisionLog& log, FleetHandlers handlers);
    ~Fleet();

    void tick(TimePoint now, WallTime wall);
    // This node's report has changed; it goes out before the loop turns again, or at the cell's pace if that is slower.
    void publishReport();
    // Asks a node that runs a batch item on the engine, or a delegate of its cell, to stop it.
    void giveWay(NodeId holder, UpstreamId engine);
    // The same for another node that asked this one, as the delegate of its cell.
    void passOnGiveWay(const GiveWay& ask, NodeId holder);
    using ReplyHandler = std::function<void(Result<PeerReply>)>;
    // Calls a peer; completes with Unreachable after `bound`.
    void ask(NodeId node, const PeerCall& call, Duration bound, ReplyHandler done);

    // Tells all nodes a mark of content that crashes engines.
    void publishCrashMark(Fingerprint mark, Duration remaining);

    void beginLeaving();
    bool isLeaving() const { return exchange_->isLeaving(); }
    // The last reports, before the process ends.
    void finishLeaving();

    NodeId self() const { return self_; }
    RegionId region() const { return options_.region_; }
    // Of a node that isn't known: this one's.
    RegionId regionOf(NodeId node) const;
    const Cells& cells() const { return exchange_->cells(); }
    std::vector<CellSummary> summaries(TimePoint now) const { return exchange_->summaries(now); }
    CellId ownCell() const { return exchange_->ownCell(); }
    // Live nodes of this node's cell, this one included.
    const std::vector<NodeId>& mates() const { return exchange_->mates(); }
    // A node that was never heard of counts as live until this node has been up for settleTime.
    bool isLive(NodeId node) const;
    const std::vector<Peer>& peers() const { return peers_.rows(); }
    // Null: never heard of.
    const Peer* peer(NodeId node) const { return peers_.find(node); }
    // This process still learns who the others are.
    bool isJoining() const { return core_->isJoining(); }
    std::size_t livePeers() const { return peers_.liveNear() + peers_.liveFar(); }
    // For logs; empty when it isn't known.
    std::string addressOf(NodeId node) const;
    // Of this node.
    std::string address() const { return options_.at_.toString(); }
    // Of the live nodes that run jobs and don't leave, in the region of `former` if there are any: who should own the job.
    // Without such nodes any live node serves. None when this node is alone and leaves.
    NodeId preferredOwner(std::string_view job, NodeId former) const;
    // What decides whether this node follows the store.
    std::vector<WatchPeer> watchPeers() const;
    // Hosts that can keep a job on their disks, as many as the losses to be borne ask for; empty when there are too few.
    std::vector<NodeId> keepersOf(const TolerableLosses& losses, const std::vector<NodeId>& without);
    // Some host had jobs on its disk when it was last heard.
    bool anyKeepsJobs() const;
    // Some node that runs jobs can't be heard, so it may believe the same of this one.
    bool mayBeReplaced() const;

private:
    Fleet(boost::asio::io_context& io, FleetOptions options, DecisionLog& log, FleetHandlers handlers);

    struct Sockets;

    Result<void> open();
    void onMembershipDatagram(std::string_view bytes);
    void onReportDatagram(std::string_view bytes);
    void runCommands();
    void perform(const SendDatagram& command);
    void perform(const MemberChanged& command);
    void logChange(const MemberRumor& member);
    void logManyChanges();
    void perform(const Rejoined& command);
    void perform(const ConfigVersionLearned&) { }
    void perform(const LoadLearned&) { }
    void perform(const QuarantineLearned& command);
    void perform(const UpstreamMarkLearned&) { }
    void perform(const RegionReachChanged& command);
    void openExchange();

    boost::asio::io_context& io_;
    FleetOptions options_;
    DecisionLog& log_;
    FleetHandlers handlers_;
    NodeId self_;
    std::unique_ptr<Sockets> sockets_;
    std::unique_ptr<MembershipCore> core_;
    PeerTable peers_;
    std::unique_ptr<ReportExchange> exchange_;
    std::uint64_t keeperTurn_ = 0; // so that jobs spread over the hosts
    bool reportPosted_ = false;
    // Changes of members since changesSince_: lines for the first ones, and counts by state of the rest.
    TimePoint changesSince_ {};
    std::uint32_t changes_ = 0;
    std::array<std::uint32_t, 4> unlogged_ {};
    TimePoint tickedAt_ {};
    TimePoint startedAt_ {};
    TimePoint now_ {};
    // Lives as long as this object; what is posted looks at it first.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jj
