// Parts of the policy that can be switched off one by one and numbers that can be turned, so that each can be measured against
// the rest. Production runs the defaults; docs/design/05-policy.md gives the figures behind them.
#pragma once

#include <cstdint>

namespace jj {

// How an entry node picks an engine.
enum class Routing : std::uint8_t {
    RoundRobin,
    TwoChoices, // the less loaded of two drawn at random, by the engines' own lagging reports
    PredictedWait, // the shortest predicted time to first token, from the homes' reports and what was sent since
};

struct Features {
    Routing routing_ = Routing::PredictedWait;
    // Off: each node dispatches straight to every engine and knows only its own streams there.
    bool homes_ = true;
    // Off: first in first out, online and batch alike.
    bool onlineFirst_ = true;
    // Off: a batch stream keeps its slot until it ends.
    bool yielding_ = true;
    // Off: batch fills slots up to a fixed share, whatever the time between tokens.
    bool adaptiveConcurrency_ = true;
    bool prefixAffinity_ = true;
    bool slackPacing_ = true;
    // Off: batch prompts start whenever a slot is free, however much prompt work the engine has.
    bool promptPacing_ = true;
    // Off: a stream that yields is resumed by position alone.
    bool exportKv_ = true;
    // Largest share of an engine's slots that batch may take, before any adaptation.
    double batchShare_ = 1.0;
    // Engines drawn at random for each choice, beside those that may hold the prefix.
    std::uint32_t candidates_ = 6;
    // Prompt tokens of batch that an engine works on at once.
    std::uint32_t batchPromptTokens_ = 512;
    // Online prompt tokens waiting or worked on at an engine from which on all its batch streams yield.
    std::uint32_t pressureTokens_ = 1024;
    // How much of the bound on time between tokens batch leaves free when only the tail counts.
    double stepTightening_ = 0.4;
    // Questions a second at an engine at which its batch begins to shrink, at twice that it is gone: when only the tail counts,
    // and how much more when only throughput counts.
    double coolRate_ = 3;
    double coolRateRange_ = 8;
    // Weight of an engine's own rate of questions against the mean of its sisters at the same home.
    double ownHeatWeight_ = 0.4;
    // Share of an engine's slots that batch keeps when its job's slack has run out.
    double urgentShare_ = 0.1;
};

} // namespace jj
