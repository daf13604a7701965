// Hosts membership and the configuration follower in one actor: who lives, and what is in force.
//
// Membership's changes go to the decision core (homes), to the job core (partitions) and to the links (addresses). A new
// configuration becomes a FleetView, which the other parts read.
#pragma once

#include "DatagramSocket.h"
#include "FleetView.h"
#include "Runtime.h"
#include "events/EventWriter.h"
#include "follower/FollowerCore.h"
#include "jobs/JobTypes.h"
#include "membership/MembershipCore.h"
#include "objectclient/ObjectClient.h"
#include "telemetry/Log.h"
#include "wire/DatagramCodec.h"
#include "wire/LinkMessages.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace jj {

struct FleetOutlets {
    std::function<void(Event)> feed_; // to the decision core
    std::function<void(std::vector<PartitionId> owned, std::vector<PartitionId> standby)> assign_; // to the job core
    std::function<void(const PeerAddress&)> learn_; // an address for links
    std::function<void(NodeId, const LinkMessage&)> send_; // on a link
    std::function<void(const PeerAddress&, std::string)> sendDatagram_;
};

struct FleetStatus {
    NodeId self_;
    Incarnation incarnation_;
    bool ready_ = false;
    bool leaving_ = false;
    ConfigVersion applied_;
    ConfigVersion inForceEverywhere_;
    struct Member {
        NodeId node_;
        std::string address_;
        std::string state_;
        ConfigVersion applied_;
    };
    std::vector<Member> members_;
};

struct FleetHostSettings {
    PeerAddress listen_;
    RegionId region_;
    FailureDomainId failureDomain_;
    std::vector<PeerAddress> seeds_;
    std::uint32_t partitions_ = 64;
    MembershipSettings membership_;
    LinkConfig link_;
};

class FleetHost {
public:
    FleetHost(Runtime& runtime, const FleetHostSettings& settings, const WireKey& key, ObjectClient& store, FleetViewBoard& view, EventWriter* events, FleetOutlets outlets);

    void start();
    void onDatagram(std::string_view bytes);
    void onConfigRequest(NodeId from, ConfigVersion wanted);
    void onConfigReply(NodeId from, const ConfigReply& reply);
    void measured(const std::vector<HomeLoad>& loads);
    void quarantined(Fingerprint fingerprint);
    void upstreamLeaving(UpstreamId upstream, bool leaving);
    // The platform's list of hosts as it was read just now, in JSON; text that isn't a list is ignored.
    void hostsRead(std::string body);
    // An operator's conditional write through this node succeeded.
    void configWritten(ConfigVersion version, std::string value);

    void beginLeaving();
    void finishLeaving();

    Incarnation incarnation() const { return firstIncarnation_; }
    FleetStatus status() const;
    // Whether this node is the home of an upstream now.
    bool isHome(UpstreamId upstream, RegionId region) const;
    // Nodes that hold a job's partition, or would: the owner and its standby.
    std::vector<NodeId> holdersOf(PartitionId partition) const;

private:
    void onTick(TimePoint now);
    void runCommands(TimePoint now);
    void perform(const SendDatagram& command);
    void perform(const MemberChanged& command);
    void perform(const Rejoined& command);
    void perform(const ConfigVersionLearned& command);
    void perform(const LoadLearned& command);
    void perform(const QuarantineLearned& command);
    void perform(const UpstreamMarkLearned& command);
    void perform(const RegionReachChanged& command);
    void perform(const OpenWatch& command);
    void perform(const CloseWatch& command);
    void perform(const ReadStore& command);
    void perform(const AskPeer& command);
    void perform(const ApplyConfig& command);
    void rebuildHomes();
    void publishStatus();
    void takeHosts(const std::string& body, TimePoint now);
    void record(EventKind kind, NodeId peer, ObjectVersion version = {});

    Runtime& runtime_;
    FleetHostSettings settings_;
    ObjectClient& store_;
    FleetViewBoard& view_;
    EventWriter* events_;
    FleetOutlets outlets_;
    Log log_ { "membership" };
    Log configLog_ { "settings" };

    // Owned by the actor's turns.
    DatagramCodec codec_;
    MembershipCore membership_;
    FollowerCore follower_;
    WatchId watch_;
    std::uint64_t watchEpoch_ = 0; // tells a watch that was closed from the one that is open
    std::map<FetchId, NodeId> asked_; // peers that were asked for a configuration
    Incarnation firstIncarnation_;
    TimePoint now_;
    TimePoint published_;
    bool homesDirty_ = true;

    mutable std::mutex statusLock_;
    FleetStatus status_; // guarded by statusLock_, with homes_ and candidates_
    Homes homes_;
    std::vector<HomeCandidate> candidates_;
    CoreActor actor_;
};

} // namespace jj
