// The work that one node runs on each engine, as it reports it to the nodes of its cell, and the work of a whole cell, as its delegate
// reports it to other cells.
#pragma once

#include "base/Claim.h"
#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

enum class WorkClass : std::uint8_t {
    OnlineRequest, // a caller waits for its first event
    BatchItem, // can be preempted by online requests, and is resumed later
};

// One node's work on an engine.
//
// Invariant: the counts are totals, not differences, so that the next datagram makes up for a lost one.
struct EngineUse {
    UpstreamId engine_;
    std::uint16_t onlineRequests_ = 0;
    std::uint16_t batchItems_ = 0;
    std::uint16_t nonPreemptibleItems_ = 0; // batch items that are due too soon to be preempted; included in batchItems_

    friend bool operator==(const EngineUse&, const EngineUse&) = default;
};

// Queued online requests of one rank whose workspaces use less than their share, or not.
struct WaitingClass {
    Rank rank_ = 0;
    bool isBelowShare_ = false;
    std::uint16_t count_ = 0;
    std::uint16_t inTime_ = 0;
    float firstUsage_ = 0; // the lowest Claim::usage_ among those that can still meet their target latency, or among all if there are none

    friend bool operator==(const WaitingClass&, const WaitingClass&) = default;
};

// The online requests for a service that are queued at a node until a slot is free.
struct WaitingRequests {
    ServiceId service_;
    std::uint16_t count_ = 0;
    std::uint16_t inTime_ = 0; // those that can still meet their target latency; included in count_
    std::vector<WaitingClass> classes_ {}; // all of count_ by class; empty while all claims are equal

    friend bool operator==(const WaitingRequests&, const WaitingRequests&) = default;
};

// The batch items of a service that are queued at a node until a slot is free and can still be done in time.
struct WaitingItems {
    ServiceId service_;
    std::uint16_t count_ = 0;
    Duration dueIn_ {}; // from the sending of the report until the first item is due

    friend bool operator==(const WaitingItems&, const WaitingItems&) = default;
};

// How much slower than usual an engine is, as codes of EngineSpeeds: its lasting part, and what is beyond it at the moment. A receiver
// that knows nothing else forgets the second one soon.
struct EngineSpeedReport {
    UpstreamId engine_;
    std::uint8_t lasting_ = 0;
    std::uint8_t momentary_ = 0;

    friend bool operator==(const EngineSpeedReport&, const EngineSpeedReport&) = default;
};

// The report of one node to the other nodes of its cell.
struct NodeUse {
    NodeId node_;
    Incarnation incarnation_; // of the process; a report of an older incarnation is dropped
    std::uint32_t sequence_ = 0; // increases with each report of the process
    std::vector<EngineUse> uses_; // only engines with work
    std::vector<UpstreamId> failingEngines_; // engines that failed for the node and have not succeeded since
    std::vector<WaitingRequests> waiting_; // only services with queued requests
    std::vector<WaitingItems> items_; // only services with queued items
    std::vector<EngineSpeedReport> speeds_ {}; // only engines that differ or did until a moment ago, with evidence of the last moments
};

// The report of a cell to other cells: the sum of the reports of its nodes.
struct CellUse {
    CellId cell_;
    NodeId delegate_; // the node that computes the sum, and that forwards preemption requests to the other nodes of the cell
    bool isBrief_ = false; // without uses_ and failingEngines_: the load of the cell's engines isn't known
    std::vector<EngineUse> uses_; // only engines with work of the cell
    std::vector<UpstreamId> failingEngines_; // engines that fail for several of its nodes, or for its only node
    std::vector<WaitingRequests> waiting_;
    std::vector<WaitingItems> items_;
};

} // namespace jj
