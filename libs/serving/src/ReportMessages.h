// Datagrams between nodes: load reports of nodes, load summaries of cells, preemption requests, and messages about quotas,
// streams, what crashes engines and the slot time of workspaces.
//
// Messages are encoded with cereal's portable archive and end with an authentication code of the fleet's key (wire/Key.h). The lengths of
// all lists are limited, so decoding allocates a bounded amount of memory whatever the bytes are.
#pragma once

#include "base/Result.h"
#include "capacity/NodeUse.h"
#include "crashes/SuspectMessages.h"
#include "shares/ShareMessages.h"
#include "streams/StreamMessages.h"
#include "wire/Key.h"
#include "workspaces/QuotaMessages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jj {

// A datagram of this size fits into one network frame, with room for tunnel headers.
constexpr std::size_t frameBytes = 1400;
// The largest datagram that is received. IP fragments datagrams that are larger than a frame.
constexpr std::size_t maxPeerDatagramBytes = 16 * 1024;

// The load and state of a node as it reports them. A report replaces all earlier ones of the node.
struct NodeReport {
    NodeUse use_;
    bool runsJobs_ = false;
    bool leaving_ = false;
    std::uint64_t configVersion_ = 0; // of the configuration that the node applies; 0: none
    std::uint64_t enginesVersion_ = 0; // of the last change of an engine's entry that the node has applied; 0: none
    bool watching_ = false; // the node follows the store itself, and the store answers it
    bool spoolsJobs_ = false; // the node has a disk and spools jobs on it while the store is unavailable
    std::uint32_t spooledJobs_ = 0; // number of jobs that are spooled on its disk
    bool isStoreUnreachable_ = false; // the node can't reach the store itself; peers may relay its calls
    bool isOverloaded_ = false; // the node has more work than its share of a processor allows
};

// Requests the preemption of a batch item: the sender sends an online request to an engine without free slots, where the receiver, or a
// node of its cell, runs a batch item.
struct PreemptRequest {
    NodeId from_;
    UpstreamId engine_;
    bool isForwarded_ = false; // forwarded by a delegate of the cell that runs the item
};

// A node of a cell that others rely on, because it runs jobs, follows the store or holds spooled jobs, or that needs an operator's
// attention.
struct CellNode {
    NodeId node_;
    bool runsJobs_ = false;
    bool watching_ = false;
    bool spoolsJobs_ = false;
    std::uint32_t spooledJobs_ = 0;
    bool isBehind_ = false; // the node applies an older configuration than the delegate
    bool isStoreUnreachable_ = false;
};

// The load and state of a cell as one of its delegates sees them. A summary replaces all earlier ones of the cell.
struct CellSummary {
    CellUse use_;
    Duration age_ {}; // at the time of sending
    std::uint64_t configVersion_ = 0; // applied by the delegate; lowered by a forwarding node that has an older one
    std::uint64_t enginesVersion_ = 0;
    std::uint32_t liveNodes_ = 0;
    std::vector<CellNode> nodes_; // only nodes whose reports the delegate has received recently
};

// Sent by a delegate: the summary of its own cell to the delegates of other cells, or the summaries received from those to the nodes of
// its own cell.
struct CellDigest {
    std::vector<CellSummary> cells_;
    bool isForwarded_ = false; // forwarded by a delegate to its own cell
};

using PeerDatagram = std::variant<NodeReport, PreemptRequest, CellDigest, QuotaReport, AdmissionRequest, AdmissionDecision, QuotaNotice, StreamRecords, StreamQuery, StreamAnswer, SuspectRecords, ShareReport, ShareSum>;

std::string encode(const WireKey& key, const PeerDatagram& datagram);
// Returns PeerError::Unauthentic or PeerError::Unreadable if the bytes can't be accepted.
Result<PeerDatagram> decodeDatagram(const WireKey& key, std::string_view bytes);

// Packs the summaries that a delegate forwards to its own cell into digests. Each digest fits into a frame unless a single summary is
// larger.
std::vector<CellDigest> packDigests(const std::vector<CellSummary>& cells);

} // namespace jj
