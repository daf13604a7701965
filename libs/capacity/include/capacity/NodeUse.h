// What one node runs on each engine, as it reports it to the nodes of its cell, and what a whole cell runs, as other cells hear it.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace jj {

enum class WorkClass : std::uint8_t {
    Question, // somebody waits for its first event
    BatchItem, // gives way to questions and goes on later
};

// Invariant: a whole count, not a difference, so that a lost datagram is made good by the next one.
struct EngineUse {
    UpstreamId engine_;
    std::uint16_t questions_ = 0;
    std::uint16_t batchItems_ = 0;
    std::uint16_t firmItems_ = 0; // of the batch items: those that are due too soon to give way

    friend bool operator==(const EngineUse&, const EngineUse&) = default;
};

// Questions that wait at a node for a slot.
struct ServiceWaiting {
    ServiceId service_;
    std::uint16_t count_ = 0;
    std::uint16_t inTime_ = 0; // of them: those that can still be in time

    friend bool operator==(const ServiceWaiting&, const ServiceWaiting&) = default;
};

// Batch items that wait at a node for a slot and can still be in time.
struct ItemsWaiting {
    ServiceId service_;
    std::uint16_t count_ = 0;
    Duration dueIn_ {}; // of the one that is due first, from when this was sent

    friend bool operator==(const ItemsWaiting&, const ItemsWaiting&) = default;
};

struct NodeUse {
    NodeId node_;
    Incarnation incarnation_; // of the process; a report of an older one is dropped
    std::uint32_t sequence_ = 0; // grows with each report of the process
    std::vector<EngineUse> uses_; // only engines with work
    std::vector<UpstreamId> shunned_; // engines that failed the node lately
    std::vector<ServiceWaiting> waiting_; // only services with waiters
    std::vector<ItemsWaiting> items_; // only services with such items
};

// All nodes of a cell together.
struct CellUse {
    CellId cell_;
    NodeId delegate_; // that sums it up; passes on what is asked of the cell
    std::vector<EngineUse> uses_; // only engines with work of the cell
    std::vector<UpstreamId> shunned_; // engines that failed several of its nodes lately
    std::vector<ServiceWaiting> waiting_;
    std::vector<ItemsWaiting> items_;
};

} // namespace jj
