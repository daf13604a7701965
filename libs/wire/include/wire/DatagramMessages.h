// Membership datagrams: probes, their answers, and the digest that rides on each of them.
#pragma once

#include "base/Id.h"
#include "wire/PeerAddress.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace jj {

// A datagram stays within one Ethernet frame with room for tunnels, so that it is never sent in fragments.
constexpr std::size_t maxDatagramBytes = 1400;

constexpr std::size_t maxRumors = 32;
constexpr std::size_t maxLoads = 64;
constexpr std::size_t maxQuarantined = 32;
constexpr std::size_t maxUpstreamMarks = 32;
constexpr std::size_t maxRegions = 8;
constexpr std::size_t maxViewBytes = 256; // one bit a member

// Numbers on the wire; never reuse one.
enum class DatagramType : std::uint8_t {
    Ping = 1,
    PingRequest = 2,
    Ack = 3,
    Notice = 4,
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect, // probes fail; it may still refute
    Dead, // gone without saying so
    Left, // drained and ended
};

// What is said of one member. Of two rumors the higher (incarnation, refutation) holds, and with both equal the worse state;
// attributes (leaving, configuration) are stated by the member alone and follow (incarnation, revision).
struct MemberRumor {
    NodeId node_;
    PeerAddress endpoint_;
    RegionId region_;
    FailureDomainId domain_;
    Incarnation incarnation_; // of the process; grows over restarts and when it finds itself out of date
    std::uint32_t refutation_ = 0; // grows when the member refutes a suspicion
    MemberState state_ = MemberState::Alive;
    std::uint32_t revision_ = 0; // grows with each change of the member's attributes
    bool leaving_ = false; // drains: no new work
    ConfigVersion inForce_; // the configuration version that the member applies; none before the first
};

// Load of one engine as its home saw it.
struct UpstreamLoad {
    UpstreamId upstream_;
    NodeId home_;
    std::uint32_t sequence_ = 0; // grows with each report of this home
    std::uint16_t onlineRunning_ = 0;
    std::uint16_t onlineWaiting_ = 0;
    std::uint16_t batchRunning_ = 0;
    std::uint16_t batchWaiting_ = 0;
    std::uint16_t slots_ = 0; // streams that the engine may run at once
    std::uint16_t batchRoom_ = 0; // batch items that the home would take now
    std::uint16_t waitMs_ = 0; // predicted wait of a new online request, behind all that wait
    std::uint16_t freshWaitMs_ = 0; // the same for a workspace that has nothing waiting
    std::uint32_t stepUs_ = 0; // observed step
    bool suspect_ = false; // failed lately
    std::uint8_t memoryUsed_ = 0; // of the KV memory, percent
};

// Content that crashes upstreams and isn't sent again.
struct QuarantineMark {
    Fingerprint fingerprint_;
    std::uint32_t remainingMs_ = 0; // until the mark ends
};

// An upstream that gets no new work, or does again.
struct UpstreamMark {
    UpstreamId upstream_;
    std::uint64_t revision_ = 0; // the higher one holds: wall-clock milliseconds of the node that saw the change
    bool leaving_ = false;
};

// How long ago the sender's region heard from another region.
struct RegionContact {
    RegionId region_;
    std::uint32_t ageMs_ = 0;
};

// Which members apply a configuration version (or a later one), one bit a member: an eighth of a byte instead of a rumor each.
// The bits are in the order of the live members' node ids. Only a receiver with the same view reads them; the view is a hash of
// all live members with their incarnations.
struct ConfigReport {
    ConfigVersion version_;
    std::uint64_t view_ = 0;
    std::vector<std::uint8_t> applied_;
};

// Rides on every datagram, as much as fits.
struct MembershipDigest {
    ConfigVersion configVersion_; // the highest version that the sender has seen accepted; none before the first
    ConfigReport report_;
    std::vector<RegionContact> regions_;
    std::vector<MemberRumor> rumors_;
    std::vector<UpstreamLoad> loads_;
    std::vector<QuarantineMark> quarantined_;
    std::vector<UpstreamMark> upstreams_;
};

struct Ping {
    static constexpr DatagramType wireType = DatagramType::Ping;

    std::uint64_t probe_ = 0; // the answer repeats it
    bool wantsState_ = false; // the sender has just joined and asks for all members
    MembershipDigest digest_;
};

// Asks the receiver to ping a subject that doesn't answer the sender, and to relay the answer.
struct PingRequest {
    static constexpr DatagramType wireType = DatagramType::PingRequest;

    std::uint64_t probe_ = 0;
    NodeId subject_;
    PeerAddress subjectEndpoint_;
    MembershipDigest digest_;
};

// The subject lives. Sent by the subject, or relayed by the helper that pinged it.
struct Ack {
    static constexpr DatagramType wireType = DatagramType::Ack;

    std::uint64_t probe_ = 0;
    NodeId subject_;
    MembershipDigest digest_;
};

// Carries a digest alone: state for a node that joins, a mark that must not wait, a rumor to a node that is out of date.
struct Notice {
    static constexpr DatagramType wireType = DatagramType::Notice;

    MembershipDigest digest_;
};

using DatagramMessage = std::variant<Ping, PingRequest, Ack, Notice>;

} // namespace jj
