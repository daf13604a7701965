// Brings the engines of one service to their target: a few at a time, each drained, ordered, read back and watched for a while.
#pragma once

#include "orders/OrderTypes.h"
#include "tables/Table.h"

#include <optional>

namespace jj {

// What all rollouts of a node share.
struct RolloutContext {
    OrdersSettings settings_;
    TimePoint now_ {};
    WallTime wall_ {};
    std::uint64_t lastOrder_ = 0;
    std::vector<OrdersCommand> commands_;
};

enum class EnginePhase : std::uint8_t {
    Idle, // nothing under way
    Draining, // marked as leaving; its streams finish
    Ordering, // an order waits for the weight store's pace, or for its answer
    Loading, // accepted; the state doesn't show it yet
    Soaking, // runs the target and takes work; a failure now is blamed on the change
};

class ServiceRollout {
public:
    ServiceRollout() = default;
    explicit ServiceRollout(ServiceId service)
        : service_(service)
    {
    }

    void setDesired(const DesiredService& desired, RolloutContext& context);
    void holdLease(Epoch epoch, TimePoint validUntil, RolloutContext& context);
    void loseLease();
    void load(const RolloutRecord& record, RolloutContext& context);
    void takeState(const StateRead& read, RolloutContext& context);
    void takeAnswer(const OrderAnswered& answer, RolloutContext& context);
    void noteIdle(UpstreamId upstream, RolloutContext& context);
    void noteHealth(UpstreamId upstream, bool failing, RolloutContext& context);
    void tick(RolloutContext& context);

    bool mayStillSend(OrderId order, TimePoint now, const OrdersSettings& settings) const;
    bool owns(OrderId order) const;
    const DesiredService& desired() const { return desired_; }
    // What engines are brought to: the desired target, or the last good one after a rollback.
    const EngineTarget& target() const { return target_; }
    RolloutPhase phase() const { return phase_; }
    std::size_t changing() const;

private:
    struct Seen {
        bool known_ = false;
        bool reading_ = false;
        bool discard_ = false; // the answer under way was asked for before the last order
        EngineTarget state_;
        TimePoint readAt_ {}; // of the last answer, or of the question while reading_
        bool failing_ = false;
    };

    struct Step {
        OrderAction action_ = OrderAction::LoadModel;
        std::string name_;
        std::string version_;

        friend bool operator==(const Step&, const Step&) = default;
    };

    struct Work {
        EnginePhase phase_ = EnginePhase::Idle;
        TimePoint since_ {};
        OrderId order_; // none: none under way
        TimePoint sendBefore_ {};
        Step step_; // the last order's
        bool accepted_ = false; // the engine answered that it carries it out
        std::uint32_t tries_ = 0; // of step_
    };

    bool mayAct(TimePoint now, const OrdersSettings& settings) const;
    void chooseTarget(RolloutContext& context);
    void readStates(RolloutContext& context);
    void advance(Row row, RolloutContext& context);
    void startNext(RolloutContext& context);
    void start(Row row, RolloutContext& context);
    void order(Row row, RolloutContext& context);
    void checkLoaded(Row row, RolloutContext& context);
    void finish(Row row, RolloutContext& context);
    void mark(UpstreamId upstream, bool leaving, RolloutContext& context);
    void blame(Row row, RolloutContext& context);
    void enter(Row row, EnginePhase phase, const RolloutContext& context);
    void setPhase(RolloutPhase phase, RolloutContext& context);
    void checkSettled(RolloutContext& context);
    std::optional<Step> nextStep(const EngineTarget& state) const;
    bool takeLoadToken(const RolloutContext& context);
    std::size_t allowed() const;

    ServiceId service_;
    DesiredService desired_;
    EngineTarget target_;
    RolloutPhase phase_ = RolloutPhase::Settled;
    RolloutRecord record_;
    bool recordKnown_ = false;

    // none: not the holder, or deposed.
    Epoch epoch_;
    Epoch deposed_; // a higher number than this node's has been seen at an engine
    TimePoint validUntil_ {};
    TimePoint actFrom_ {};

    std::uint32_t failures_ = 0;
    double loadTokens_ = 1;
    TimePoint filledAt_ {};
    Table<UpstreamId, Seen, Work> engines_;
};

} // namespace jj
