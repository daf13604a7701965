// Traces made from a seed: the two deployments of today, and one home's share of the size that is expected in two years.
#pragma once

#include "replay/Trace.h"

namespace jj {

enum class SiteProfile : std::uint8_t {
    ShortPrompts, // 8 nodes, 18 engines, short questions, letters to write
    LongPrompts, // 6 nodes, 9 engines, shelf queries with longer prompts, counts
    PeakLoad, // 4 nodes, 9 engines at the load of each of 790: 4.2 questions and 1.8 items a second
};
BOOST_DESCRIBE_ENUM(SiteProfile, ShortPrompts, LongPrompts, PeakLoad)

enum class Scenario : std::uint8_t {
    Quiet, // a fifth of the online load, no burst
    Steady,
    Burst, // tenfold within a second, for two seconds, again and again
    BurstLoss, // the same, with a third of the engines lost during one
    Poison, // one question that crashes engines, sent again to each node
    Stale, // bursts while all reports come two seconds late
    LinkLoss, // bursts while the regions have lost each other
};
BOOST_DESCRIBE_ENUM(Scenario, Quiet, Steady, Burst, BurstLoss, Poison, Stale, LinkLoss)

struct GeneratorOptions {
    SiteProfile profile_ = SiteProfile::ShortPrompts;
    Scenario scenario_ = Scenario::Burst;
    std::uint64_t seed_ = 1;
    Duration length_ = 60s;
    // Multiplies the online load.
    double onlineScale_ = 1.0;
    // Without it, only the online load.
    bool batch_ = true;
};

Trace generateTrace(const GeneratorOptions& options);

} // namespace jj
