// Groups the engines of each service by their distance from this node.
//
//     EngineGroups<Engine> groups;
//     groups.insert(engine, service, EngineDistance::SameCell);       // or moves the engine to another group
//     groups.all(service, EngineDistance::SameCell);
//     groups.sample(service, EngineDistance::OtherRegion, 256, random);
//
// A pick prefers near engines. With the groups it visits the engines of its own cell, whose number is bounded by the size of a cell, and
// looks farther only if it finds no slot there. So the cost of a pick doesn't grow with the fleet.
#pragma once

#include "base/Id.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace jj {

enum class EngineDistance : std::uint8_t {
    SameCell, // the engine belongs to this node's cell
    SameRegion, // it belongs to another cell of this node's region
    OtherRegion, // it is in another region
};

inline constexpr std::array engineDistances { EngineDistance::SameCell, EngineDistance::SameRegion, EngineDistance::OtherRegion };

// The place of an engine in its group. Each engine has one as its member `groupPlace_`, which only EngineGroups changes.
struct EngineGroupPlace {
    ServiceId service_; // none: the engine is in no group
    EngineDistance distance_ = EngineDistance::SameCell;
    std::size_t index_ = 0;
};

// Holds pointers to engines: an engine must be erased before it is destroyed, and must not move in memory.
template <class Engine>
class EngineGroups {
public:
    void insert(Engine& engine, ServiceId service, EngineDistance distance)
    {
        const EngineGroupPlace& place = engine.groupPlace_;
        if (place.service_ == service && place.distance_ == distance)
            return;
        erase(engine);
        std::vector<Engine*>& group = groups_[service][static_cast<std::size_t>(distance)];
        engine.groupPlace_ = { service, distance, group.size() };
        group.push_back(&engine);
    }

    void erase(Engine& engine)
    {
        if (engine.groupPlace_.service_.isNone())
            return;
        std::vector<Engine*>& group = groups_[engine.groupPlace_.service_][static_cast<std::size_t>(engine.groupPlace_.distance_)];
        Engine* last = group.back();
        group[engine.groupPlace_.index_] = last;
        last->groupPlace_.index_ = engine.groupPlace_.index_;
        group.pop_back();
        engine.groupPlace_ = {};
    }

    const std::vector<Engine*>& all(ServiceId service, EngineDistance distance) const
    {
        static const std::vector<Engine*> none;
        const auto found = groups_.find(service);
        return found == groups_.end() ? none : found->second[static_cast<std::size_t>(distance)];
    }

    // Returns at most `limit` engines: the whole group, or evenly spaced ones from a random position.
    template <class Random>
    std::vector<Engine*> sample(ServiceId service, EngineDistance distance, std::size_t limit, Random& random) const
    {
        const std::vector<Engine*>& group = all(service, distance);
        if (group.size() <= limit)
            return group;
        const std::size_t first = std::uniform_int_distribution<std::size_t>(0, group.size() - 1)(random);
        const std::size_t spacing = group.size() / limit;
        std::vector<Engine*> chosen;
        chosen.reserve(limit);
        for (std::size_t count = 0; count < limit; ++count)
            chosen.push_back(group[(first + count * spacing) % group.size()]);
        return chosen;
    }

    // Returns the number of the service's engines at all distances.
    std::size_t count(ServiceId service) const
    {
        std::size_t sum = 0;
        for (const EngineDistance distance : engineDistances)
            sum += all(service, distance).size();
        return sum;
    }

private:
    std::unordered_map<ServiceId, std::array<std::vector<Engine*>, engineDistances.size()>> groups_;
};

} // namespace jj
