// A day's losses by route and cause, each with the part that the reference schedule would have done.
#pragma once

#include "losses/DayRecord.h"
#include "losses/Reference.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace jj {

struct LossRow {
    std::size_t lost_ = 0;
    std::size_t avoidable_ = 0; // of them: in time in the reference schedule
};

struct LossGroup {
    std::size_t asked_ = 0;
    std::size_t inTime_ = 0;
    std::size_t possible_ = 0; // in time in the reference schedule
    std::map<LossCause, LossRow> causes_; // without None
};

// What a workspace's requests of one rank waited for slots, and how many were refused one.
struct WaitGroup {
    std::size_t waited_ = 0;
    std::int64_t waitMs_ = 0; // of all that waited
    std::int64_t longestMs_ = 0;
    std::size_t refused_ = 0; // at once or after they had waited
};

struct LossTable {
    std::map<std::string, LossGroup> groups_; // questions by route, and all items as "items"
    std::map<std::string, LossGroup> workspaces_; // questions by workspace, of those that were logged with one
    std::map<std::pair<std::string, std::int64_t>, WaitGroup> waits_; // by workspace, empty for none, and rank
    // By arrival, from the first one on, in steps of stepMs_; empty when that is zero.
    std::int64_t stepMs_ = 0;
    std::vector<LossGroup> moments_;
};

LossTable tableOf(const DayRecord& day, const ReferenceResult& reference, std::int64_t stepMs = 0);

} // namespace jj
