// Events that membership takes, and commands that it gives its host program.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "wire/DatagramMessages.h"

#include <variant>
#include <vector>

namespace jj {

// A datagram that the codec took.
struct DatagramReceived {
    NodeId sender_;
    Incarnation incarnation_;
    DatagramMessage message_;
};

// A datagram of an incarnation that its sender should have left behind (WireError::StaleIncarnation).
struct StaleDatagram {
    NodeId sender_;
};

struct ListedHost {
    PeerAddress endpoint_;
    FailureDomainId domain_;
    RegionId region_;
    bool leaving_ = false;
};

// The platform's list of hosts, as read just now; it lags.
struct HostsListed {
    std::vector<ListedHost> hosts_;
};

// This node drains: no new work, the mark goes out at once.
struct LeaveStarted { };
// This node is done; the host program ends after sending the commands that follow.
struct LeaveFinished { };

// A configuration version is known to be accepted.
struct ConfigSeen {
    ConfigVersion version_;
};
// This node applies a configuration version.
struct ConfigApplied {
    ConfigVersion version_;
};

// Load of the engines that this node is home of; replaces the last report.
struct LoadsMeasured {
    std::vector<UpstreamLoad> loads_;
};

struct QuarantineStarted {
    Fingerprint fingerprint_;
    Duration duration_ {};
};

struct UpstreamMarked {
    UpstreamId upstream_;
    bool leaving_ = false;
};

using MembershipEvent = std::variant<DatagramReceived, StaleDatagram, HostsListed, LeaveStarted, LeaveFinished, ConfigSeen,
    ConfigApplied, LoadsMeasured, QuarantineStarted, UpstreamMarked>;

// Encode with DatagramCodec for this target, with this incarnation of the sender, and send.
struct SendDatagram {
    NodeId target_;
    PeerAddress endpoint_;
    Incarnation selfIncarnation_;
    DatagramMessage message_;
};

// A member is new, runs as another process, or its state or leaving mark changed. Homes are to be rebuilt when its state or mark says so.
struct MemberChanged {
    MemberRumor member_;
};

// This node was out of date (paused, declared dead, or started with a clock behind) and goes on as a new incarnation.
// Its leases and its duties as home are to be taken as lost; its own callers' requests go on.
struct Rejoined {
    Incarnation incarnation_;
};

// A configuration version is accepted that this node hadn't seen. `source_` named it and may be asked for the value when
// `sourceApplies_`.
struct ConfigVersionLearned {
    ConfigVersion version_;
    NodeId source_;
    bool sourceApplies_ = false;
};

struct LoadLearned {
    UpstreamLoad load_;
};

struct QuarantineLearned {
    Fingerprint fingerprint_;
    Duration remaining_ {};
};

struct UpstreamMarkLearned {
    UpstreamMark mark_;
};

// A region came into reach or went out of reach.
struct RegionReachChanged {
    RegionId region_;
    bool reachable_ = false;
};

using MembershipCommand = std::variant<SendDatagram, MemberChanged, Rejoined, ConfigVersionLearned, LoadLearned, QuarantineLearned,
    UpstreamMarkLearned, RegionReachChanged>;

} // namespace jj
