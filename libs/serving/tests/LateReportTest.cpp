// Tests that a node's latest report counts, in whatever order its reports arrive.
#include "ReportExchange.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

// A node that receives the reports of one peer.
struct Receiver {
    const PeerAddress peerAt_ { 0x0a000002, 7000 };
    const NodeId peerNode_ = nodeIdOf(peerAt_);
    const TimePoint now_ { 100s };
    PeerTable peers_ { RegionId(1) };
    std::uint64_t received_ = 0;
    ReportExchange exchange_ { { NodeId(1), RegionId(1), FailureDomainId(1), Incarnation(1), true }, peers_, outlets() };

    ExchangeOutlets outlets()
    {
        ExchangeOutlets outlets;
        outlets.onReport_ = [this](const NodeReport&, bool) { ++received_; };
        return outlets;
    }

    void learnPeer(Incarnation incarnation)
    {
        MemberRumor rumor;
        rumor.node_ = peerNode_;
        rumor.endpoint_ = peerAt_;
        rumor.region_ = RegionId(1);
        rumor.domain_ = FailureDomainId(2);
        rumor.incarnation_ = incarnation;
        rumor.state_ = MemberState::Alive;
        peers_.apply(rumor, now_);
    }

    NodeReport report(Incarnation process, std::uint64_t sequence) const
    {
        NodeReport report;
        report.use_.node_ = peerNode_;
        report.use_.incarnation_ = process;
        report.use_.sequence_ = sequence;
        report.spoolsJobs_ = true;
        return report;
    }

    const Peer& peer() const { return *peers_.find(peerNode_); }
};

} // namespace

// Guards against 404 for a job that is spooled on a host, because an older report of that host, from before the job, arrived after a newer one.
TEST_CASE("serving: a report that arrives after a later one of its sender changes nothing")
{
    Receiver receiver;
    receiver.learnPeer(Incarnation(10));
    const NodeReport earlier = receiver.report(Incarnation(10), 1);
    NodeReport later = receiver.report(Incarnation(10), 2);
    later.spooledJobs_ = 1;
    receiver.exchange_.handle(later, receiver.now_);
    receiver.exchange_.handle(earlier, receiver.now_ + 1ms);
    CHECK(receiver.peer().spooledJobs_ == 1);
    CHECK(receiver.peer().lastSeenAt_ == receiver.now_);
    CHECK(receiver.received_ == 1);

    // Also a report of the process before.
    const NodeReport restarted = receiver.report(Incarnation(20), 1);
    receiver.exchange_.handle(restarted, receiver.now_ + 2ms);
    CHECK(receiver.peer().spooledJobs_ == 0);
    receiver.exchange_.handle(later, receiver.now_ + 3ms);
    CHECK(receiver.peer().spooledJobs_ == 0);
}

// Guards against a host whose reports count for nothing after its clock was set back and it was started again.
TEST_CASE("serving: the reports of a new incarnation count whatever its clock says")
{
    Receiver receiver;
    receiver.learnPeer(Incarnation(10));
    receiver.exchange_.handle(receiver.report(Incarnation(10), 50), receiver.now_);
    receiver.learnPeer(Incarnation(11));
    NodeReport report = receiver.report(Incarnation(5), 1);
    report.spooledJobs_ = 2;
    receiver.exchange_.handle(report, receiver.now_ + 1ms);
    CHECK(receiver.peer().spooledJobs_ == 2);
}

// Guards against a host that gets no jobs and spools none after a restart, because the receiver, which had been paused, read of the restart
// before it read the last reports of the process that left.
TEST_CASE("serving: a host that has been started again doesn't count as leaving for a late report of its former process")
{
    Receiver receiver;
    receiver.learnPeer(Incarnation(10));
    NodeReport leaving = receiver.report(Incarnation(10), 50);
    leaving.leaving_ = true;
    receiver.learnPeer(Incarnation(20));
    receiver.exchange_.handle(leaving, receiver.now_);
    receiver.exchange_.handle(receiver.report(Incarnation(20), 1), receiver.now_ + 1ms);
    CHECK(!receiver.peer().leaving_);
}

// Guards against jobs that are handed to a host which is leaving.
TEST_CASE("serving: a host counts as leaving if either its report or membership says so")
{
    Receiver receiver;
    receiver.learnPeer(Incarnation(10));
    NodeReport leaving = receiver.report(Incarnation(10), 1);
    leaving.leaving_ = true;
    receiver.exchange_.handle(leaving, receiver.now_);
    CHECK(receiver.peer().leaving_);

    MemberRumor rumor;
    rumor.node_ = receiver.peerNode_;
    rumor.endpoint_ = receiver.peerAt_;
    rumor.region_ = RegionId(1);
    rumor.domain_ = FailureDomainId(2);
    rumor.incarnation_ = Incarnation(20);
    rumor.leaving_ = true;
    receiver.peers_.apply(rumor, receiver.now_);
    receiver.exchange_.handle(receiver.report(Incarnation(20), 1), receiver.now_ + 1ms);
    CHECK(receiver.peer().leaving_);
}
