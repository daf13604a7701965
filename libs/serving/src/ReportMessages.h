// Datagrams between nodes: what each runs, what whole cells run, and requests for slots.
//
// Coded with cereal's portable archive within fixed limits, and closed with a code of the fleet's key (wire/Key.h). Whatever the bytes,
// decoding allocates no more than the limits allow.
#pragma once

#include "base/Result.h"
#include "capacity/NodeUse.h"
#include "wire/Key.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jj {

// What fits into a frame of the network with room for tunnels.
constexpr std::size_t frameBytes = 1400;
// The largest datagram that is taken; one that doesn't fit a frame is sent in parts by the network.
constexpr std::size_t mostDatagramBytes = 16 * 1024;

// A node's own report; the latest replaces all earlier ones.
struct NodeReport {
    NodeUse use_;
    bool runsJobs_ = false;
    bool leaving_ = false;
    std::uint64_t configVersion_ = 0; // that it applies; 0: none
    std::uint64_t enginesVersion_ = 0; // of the last change of an engine's entry that it knows; 0: none
    bool watching_ = false; // it follows the store itself, and the store answers it
    bool keepsJobs_ = false; // it has a disk, and takes jobs onto it while the store is away
    std::uint32_t keptJobs_ = 0; // on its disk now
    bool lostStore_ = false; // the store gives it no answer; peers may carry its calls
};

// The sender sends a question to an engine whose slots are full, and the receiver, or a node of its cell, has a batch item there.
struct GiveWay {
    NodeId from_;
    UpstreamId engine_;
    bool isPassedOn_ = false; // by the delegate of the cell that has the item
};

// A node that others rely on (it runs jobs, follows the store or keeps jobs on its disk), or that an operator looks for.
struct CellNode {
    NodeId node_;
    bool runsJobs_ = false;
    bool watching_ = false;
    bool keepsJobs_ = false;
    std::uint32_t keptJobs_ = 0;
    bool isBehind_ = false; // it applies an older configuration than the delegate
    bool lostStore_ = false;
};

// A cell as one of its delegates sees it; the latest replaces all earlier ones of the cell.
struct CellSummary {
    CellUse use_;
    Duration age_ {}; // when it was sent
    std::uint64_t configVersion_ = 0; // of the delegate
    std::uint64_t enginesVersion_ = 0;
    std::uint32_t liveNodes_ = 0;
    std::vector<CellNode> nodes_; // that the delegate has heard just now
};

// From a delegate: its own cell to other cells' delegates, or what those sent to the nodes of its cell.
struct CellDigest {
    std::vector<CellSummary> cells_;
    bool isPassedOn_ = false; // by a delegate to its own cell
};

using PeerDatagram = std::variant<NodeReport, GiveWay, CellDigest>;

std::string encode(const WireKey& key, const PeerDatagram& datagram);
// Errors: Unauthentic, Unreadable.
Result<PeerDatagram> decodeDatagram(const WireKey& key, std::string_view bytes);

// What a delegate passes on to its own cell, in as few digests as fit a frame each.
std::vector<CellDigest> passedOn(const std::vector<CellSummary>& cells);

} // namespace jj
