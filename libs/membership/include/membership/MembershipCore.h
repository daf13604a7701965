// One node's membership: events and a time in, commands out.
//
//     MembershipCore core(self, settings, clock.now(), clock.wallNow(), seed);
//     core.handle(HostsListed { hosts }, clock.now(), clock.wallNow());
//     core.tick(clock.now(), clock.wallNow());       // about every 20 ms
//     for (const MembershipCommand& command : core.takeCommands()) ...
//
// How it works: each period one member of the own region is pinged, in shuffled turns. A member that answers neither directly nor
// through helpers is suspected; it may refute; if this node's own probes of it go on failing, it is declared dead. What has changed
// rides on probes and answers. A few nodes of each region, chosen by hash, also ping other regions; nobody suspects a member of
// another region, because the link between regions may be down while both sides live.
//
// Incarnations: a host keeps nothing over a restart, so a process starts with the wall-clock milliseconds as its incarnation. When
// the clock was set back meanwhile, peers still hold the higher incarnation of the process before: they tell the new one, which
// goes on with theirs plus one. Until then (one exchange of datagrams) what it sends counts for nothing. If all peers were
// restarted too, nobody holds the old number, and nothing has to exceed it. A clock set forward makes incarnations large, not wrong.
//
// Same events, times and seed: same commands.
#pragma once

#include "base/Time.h"
#include "membership/Board.h"
#include "membership/Events.h"
#include "membership/Homes.h"
#include "membership/Members.h"
#include "membership/Prober.h"
#include "membership/Settings.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace jj {

class MembershipCore {
public:
    struct Self {
        PeerAddress endpoint_;
        RegionId region_;
        FailureDomainId domain_;
    };

    MembershipCore(const Self& self, const MembershipSettings& settings, TimePoint now, WallTime wall, std::uint64_t seed);

    void handle(const MembershipEvent& event, TimePoint now, WallTime wall);
    void tick(TimePoint now, WallTime wall);
    std::vector<MembershipCommand> takeCommands();

    NodeId node() const { return self_.node_; }
    // This node as it speaks of itself.
    const MemberRumor& self() const { return self_; }
    Incarnation incarnation() const { return self_.incarnation_; }
    bool isLeaving() const { return self_.leaving_; }
    // It knows others, and still asks them for more.
    bool isJoining() const { return wantsState_ && members_.liveCount() > 0; }
    // All others that this node knows, the gone ones for a while too.
    const Members& members() const { return members_; }
    // Live nodes that take new work, this one included unless it leaves: for Homes.
    std::vector<HomeCandidate> homeCandidates() const;

    // The lowest version that all live nodes, this one included, report to apply; none while one of them reports none.
    ConfigVersion inForceEverywhere() const;
    const Board& board() const { return board_; }
    bool isReachable(RegionId region, TimePoint now) const;

private:
    struct Relay {
        std::uint64_t probe_; // this node's
        std::uint64_t requesterProbe_;
        NodeId requester_;
        NodeId subject_;
        TimePoint expires_;
    };

    struct RegionContactState {
        RegionId region_;
        TimePoint heardAt_ {};
        bool reachable_ = false;
    };

    // Events
    void on(const DatagramReceived& event);
    void on(const StaleDatagram& event);
    void on(const HostsListed& event);
    void on(const LeaveStarted&);
    void on(const LeaveFinished&);
    void on(const ConfigSeen& event);
    void on(const ConfigApplied& event);
    void on(const LoadsMeasured& event);
    void on(const QuarantineStarted& event);
    void on(const UpstreamMarked& event);

    // Datagrams
    void onMessage(NodeId sender, const Ping& ping);
    void onMessage(NodeId sender, const PingRequest& request);
    void onMessage(NodeId sender, const Ack& ack);
    void onMessage(NodeId sender, const Notice& notice);
    void mergeDigest(NodeId sender, const MembershipDigest& digest);
    void mergeReport(const ConfigReport& report);
    void apply(const MemberRumor& rumor);
    void hearOfSelf(const MemberRumor& rumor);
    void hearFromRegion(RegionId region, TimePoint heardAt);
    void sendState(NodeId target);

    // Systems, in the order of a tick
    void noteClock(TimePoint now, WallTime wall);
    void startProbes();
    void pingSuspects();
    std::vector<NodeId> ownSuspects() const;
    void advanceProbes();
    void declareDead();
    void pingSeeds();
    void askForState();
    void pingRegions();
    void sendNotices();
    void checkRegions();
    void forgetGone();

    // Sending
    void send(NodeId target, DatagramMessage message);
    MembershipDigest digestFor(NodeId target, NodeId subject = NodeId());
    ConfigReport report();
    void ping(NodeId target, std::uint64_t probe);
    void probe(NodeId target);
    void askHelpers(NodeId subject, std::uint64_t probe);
    void probeFailed(NodeId target);

    void rejoin(Incarnation atLeast);
    std::optional<PeerAddress> endpointOf(NodeId node) const;
    RegionId regionOf(NodeId node) const;
    NodeId nextTarget();
    void refreshView();
    std::vector<NodeId> pickLive(std::size_t count, RegionId region, NodeId except);
    std::uint32_t sendLimit() const;
    bool isGone(const MemberStanding& standing) const { return standing.state_ == MemberState::Dead || standing.state_ == MemberState::Left; }

    // This node as it speaks of itself.
    MemberRumor self_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    TimePoint now_;
    WallTime wall_;

    Members members_;
    Board board_;
    Prober prober_;
    std::vector<Relay> relays_;
    RegionalBroadcasts<NodeId> broadcasts_;
    std::uint64_t lastProbe_ = 0;

    // Members of the own region in the order in which they are probed; shuffled anew after each round.
    std::vector<NodeId> order_;
    std::size_t orderNext_ = 0;
    std::size_t sampleNext_ = 0;

    // The platform's list: hosts that were never heard, and the ids of all that it names.
    std::vector<ListedHost> seeds_;
    boost::unordered_flat_map<NodeId, bool, std::hash<NodeId>> listed_;
    bool hasList_ = false;
    // Asks members for all that they know, see MembershipSettings::joinPeriod_.
    bool wantsState_ = true;
    bool hasAnswer_ = false; // to the last of these questions
    std::size_t knownAtAsk_ = 0; // members, when it was asked
    std::uint32_t idleAnswers_ = 0; // in a row, that brought nothing new
    TimePoint nextJoin_ {};

    std::vector<RegionContactState> regions_;

    TimePoint lastTick_;
    TimePoint nextProbe_;
    TimePoint nextSuspect_;
    TimePoint nextSeed_;
    TimePoint nextBridge_;
    TimePoint nextNotice_;
    TimePoint nextState_;
    TimePoint nextReport_;
    bool urgent_ = false;

    // Derived from members_ and self_; rebuilt when viewDirty_.
    bool viewDirty_ = true;
    std::uint64_t view_ = 0;
    std::vector<NodeId> viewOrder_; // all live nodes, by id
    bool bridge_ = false;

    std::vector<MembershipCommand> commands_;
};

} // namespace jj
