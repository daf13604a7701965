// Counts the bytes that this node has exchanged with other nodes, by kind of message and by distance.
//
// Links between failure domains and between regions are shared and paid for. The counts show which kind of message uses them, and how each
// kind grows with the fleet. A datagram and a call are counted by their sender, and a reply by its receiver, so the sum over all nodes
// counts each message once. The headers of IP and UDP are included, those of TCP and HTTP are not.
#pragma once

#include "Dissemination.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jj {

enum class TrafficKind : std::uint8_t {
    Membership,
    Reports, // of this node's load, to its cell
    Summaries, // of cells, between delegates and from a delegate to its cell
    OtherDatagrams, // preemption requests and quotas
    Updates, // of the configuration and of engines, with their requests
    OtherCalls, // jobs, and calls to the store for peers
};

class TrafficCounts {
public:
    static constexpr std::size_t kinds = 6;
    static constexpr std::size_t distances = 3;
    static constexpr std::array<std::string_view, kinds> kindNames { "membership", "reports", "summaries", "otherDatagrams", "updates", "otherCalls" };
    static constexpr std::array<std::string_view, distances> distanceNames { "Domain", "Region", "Elsewhere" };

    void add(TrafficKind kind, UpdateDistance distance, std::size_t bytes) { bytes_[static_cast<std::size_t>(kind)][static_cast<std::size_t>(distance)] += bytes; }
    void addDatagram(TrafficKind kind, UpdateDistance distance, std::size_t bytes)
    {
        constexpr std::size_t headerBytes = 28;
        add(kind, distance, bytes + headerBytes);
    }
    std::uint64_t bytes(std::size_t kind, std::size_t distance) const { return bytes_[kind][distance]; }

private:
    std::array<std::array<std::uint64_t, distances>, kinds> bytes_ {};
};

} // namespace jj
