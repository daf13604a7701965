// Datagrams between nodes: authentication, target check and replay window around the membership messages.
//
// Layout: protocol version, type, sender, target, sender's incarnation, counter, payload, 16 bytes of authentication code.
// The counter grows with each datagram of a process, whatever its target.
//
// What the replay window promises: a datagram is taken at most once by a process. A process that has just started remembers
// nothing, so old datagrams that were meant for its address may be taken once more; what they say carries incarnations and
// revisions of its own, so membership ends in the same state with or without them.
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "wire/DatagramMessages.h"
#include "wire/Error.h"
#include "wire/Key.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jj {

constexpr std::size_t datagramHeaderBytes = 34;

// Datagrams of one sender may overtake each other by this many.
constexpr std::uint64_t replayWindow = 64;

// Which datagrams of one sender were taken.
class ReplayWindow {
public:
    // Takes (incarnation, counter) once. Errors: Replayed, StaleIncarnation.
    Result<void> take(Incarnation incarnation, std::uint64_t counter);

private:
    Incarnation incarnation_;
    std::uint64_t highest_ = 0; // highest counter taken
    std::uint64_t seen_ = 0; // bit i: highest_ - i was taken
};

struct Datagram {
    NodeId sender_;
    Incarnation incarnation_; // of the sender's process
    DatagramMessage message_;
};

class DatagramCodec {
public:
    DatagramCodec(const WireKey& key, NodeId self);

    // Error: Oversized when the datagram would pass maxDatagramBytes.
    Result<std::string> encode(NodeId target, Incarnation selfIncarnation, const DatagramMessage& message);

    // Errors, each counted: Oversized, Malformed, WrongVersion, UnknownType, BadMac, WrongTarget, Replayed, StaleIncarnation.
    // After StaleIncarnation staleSender() names the sender: it should be sent a rumor that it is out of date.
    Result<Datagram> decode(std::string_view bytes);

    NodeId staleSender() const { return staleSender_; }
    const WireErrorCounts& errors() const { return errors_; }

    // Drops what is remembered of a sender that left the fleet for good.
    void forget(NodeId sender) { windows_.erase(sender); }

private:
    WireKey key_;
    NodeId self_;
    std::uint64_t counter_ = 0;
    NodeId staleSender_;
    // Only authentic senders get an entry.
    boost::unordered_flat_map<NodeId, ReplayWindow, std::hash<NodeId>> windows_;
    WireErrorCounts errors_;
};

} // namespace jj
