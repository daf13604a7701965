// Orders that an engine takes: load a model, load or unload an adapter, change its role.
//
// Some deployments' engines refuse an order whose fencing number is below the highest seen, others carry out whatever comes.
#pragma once

#include "base/Id.h"
#include "base/Result.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace jj {

enum class OrderKind : std::uint8_t {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
    SetRole,
};

struct EngineOrder {
    OrderKind kind_ = OrderKind::LoadModel;
    std::string name_;
    std::string version_; // of a model or an adapter
    Epoch fencing_; // none: the order carries no number
    WallTime expiry_ = WallTime::max();
};

struct LoadedState {
    std::string model_;
    std::string version_;
    std::map<std::string, std::string> adapters_; // versions by name
    std::string role_ = "serve";
    Epoch fencing_ = Epoch(0); // highest number seen
    std::uint64_t ordersDone_ = 0;
};

class EngineOrders {
public:
    explicit EngineOrders(bool checksFencing)
        : checksFencing_(checksFencing)
    {
    }

    // Errors: OrderExpired, StaleFencing (only where the engine checks). An order that fails changes nothing.
    Result<void> apply(const EngineOrder& order, WallTime now);
    const LoadedState& state() const { return state_; }

private:
    bool checksFencing_;
    LoadedState state_;
};

} // namespace jj
