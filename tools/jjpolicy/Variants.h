// The policies that are measured against each other: baselines, the chosen design, and the design with one part switched off.
#pragma once

#include "replay/Replay.h"

#include <string>
#include <vector>

namespace jj {

struct Variant {
    std::string name_;
    Features features_;
};

Variant roundRobin(double batchShare);
Variant aloneTwoChoices(double batchShare);
Variant chosenDesign(double batchShare);
std::vector<Variant> ablations();

} // namespace jj
