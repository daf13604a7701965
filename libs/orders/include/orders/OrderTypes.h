// What orders are about, what the core receives, and what it reports to its host program.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jj {

using OrderId = Id<struct OrderTag>;

// What an engine should run, or runs.
struct EngineTarget {
    std::string model_;
    std::string version_;
    std::map<std::string, std::string> adapters_; // name to version
    std::string role_; // empty: not ordered

    friend bool operator==(const EngineTarget&, const EngineTarget&) = default;
};

struct DesiredService {
    ServiceId service_;
    std::vector<UpstreamId> upstreams_;
    EngineTarget target_;
    bool checksFencing_ = false; // its engines refuse an order with an old fencing number
    double changingShare_ = 0.2; // of its engines that may change at one time
    double loadsPerMinute_ = 6; // what the weight store allows
};

struct OrdersSettings {
    // An order that reaches its engine later than this after it was issued is refused there (410).
    Duration orderLifetime_ = 5s;
    // Bound on the difference between the wall clocks of nodes and engines.
    Duration clockSkew_ = 2s;
    // No order is issued when the lease ends within this time.
    Duration leaseMargin_ = 1s;
    Duration answerTimeout_ = 10s;
    Duration drainBound_ = 30s; // an engine that still runs streams then is changed all the same
    Duration loadBound_ = 180s; // accepted but not in effect: the engine counts as failing
    Duration soakTime_ = 20s; // an engine that fails so soon after its change is blamed on the change
    Duration readBusy_ = 1s; // state of an engine under change
    Duration reconcileEvery_ = 15s; // state of all others: repairs what a stray order did
    std::uint32_t orderTries_ = 3; // refused or unanswered orders before the engine counts as failing
    std::uint32_t failuresToRollBack_ = 1;
};

enum class OrderAction : std::uint8_t {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
    SetRole,
};

enum class OrderResult : std::uint8_t {
    Done,
    StaleFencing, // 409: the engine has seen a higher number
    Expired, // 410
    Failed, // any other refusal
    Unknown, // no answer; it may have taken effect or may still do so
    NotSent, // mayStillSend said no
};

// What the holder of a service's orders keeps in the store, for the next holder.
struct RolloutRecord {
    EngineTarget good_; // the last target that all engines ran; empty model: none yet
    EngineTarget bad_; // the target that was rolled back; empty model: none
    // Engines that the holder has marked as leaving for their change: a new holder takes the marks back.
    std::set<UpstreamId> marked_;

    std::string encode() const; // JSON
    static RolloutRecord decode(const std::string& text); // an empty record when the text isn't one
    friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

// ---- Events

struct DesiredChanged {
    std::vector<DesiredService> services_;
};

// This node holds the service's orders until then; sent at each renewal.
struct OrdersLeaseHeld {
    ServiceId service_;
    Epoch epoch_;
    TimePoint validUntil_ {};
};
struct OrdersLeaseLost {
    ServiceId service_;
};

// Answer to LoadRecord; an empty record when there is none. Not sent while the store can't be read.
struct RecordLoaded {
    ServiceId service_;
    RolloutRecord record_;
};

// Answer to ReadState, from GET /v1/state.
struct StateRead {
    UpstreamId upstream_;
    bool ok_ = false;
    EngineTarget state_;
};

struct OrderAnswered {
    OrderId order_;
    OrderResult result_ = OrderResult::Unknown;
    Epoch highest_; // with StaleFencing: the number that the engine has seen
};

// A drained engine runs no stream any more.
struct EngineIdle {
    UpstreamId upstream_;
};

// The engine crashes, hangs or answers with errors; or does no longer.
struct EngineHealth {
    UpstreamId upstream_;
    bool failing_ = false;
};

using OrdersEvent = std::variant<DesiredChanged, OrdersLeaseHeld, OrdersLeaseLost, RecordLoaded, StateRead, OrderAnswered,
    EngineIdle, EngineHealth>;

// ---- Commands

struct ReadState {
    UpstreamId upstream_;
};

// Send only if mayStillSend(order_) right before; answer with OrderAnswered, once.
struct SendOrder {
    OrderId order_;
    ServiceId service_;
    UpstreamId upstream_;
    OrderAction action_ = OrderAction::LoadModel;
    std::string name_;
    std::string version_;
    Epoch fencing_;
    WallTime expiresAt_ {};
};

// The engine takes no new work, or does again: for membership's UpstreamMarked.
struct MarkUpstream {
    UpstreamId upstream_;
    bool leaving_ = false;
};

struct LoadRecord {
    ServiceId service_;
};

// Conditional on what LoadRecord read; a conflict means another holder: send OrdersLeaseLost.
struct SaveRecord {
    ServiceId service_;
    RolloutRecord record_;
};

enum class RolloutPhase : std::uint8_t {
    Rolling,
    Settled, // all engines run the target
    RolledBack, // the target failed; engines go back to the last good one
    Halted, // the target failed and there is nothing to go back to
};

struct RolloutChanged {
    ServiceId service_;
    RolloutPhase phase_ = RolloutPhase::Settled;
};

using OrdersCommand = std::variant<ReadState, SendOrder, MarkUpstream, LoadRecord, SaveRecord, RolloutChanged>;

} // namespace jj
