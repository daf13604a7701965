// Baselines and ablations.
#include "Variants.h"

namespace jj {

// Each node sends to the engines in turn, first in first out, within its part of each engine's slots.
Variant roundRobin(double batchShare)
{
    Features features;
    features.routing_ = Routing::RoundRobin;
    features.homes_ = false;
    features.onlineFirst_ = false;
    features.yielding_ = false;
    features.adaptiveConcurrency_ = false;
    features.prefixAffinity_ = false;
    features.slackPacing_ = false;
    features.promptPacing_ = false;
    features.batchShare_ = batchShare;
    return { "round-robin", features };
}

// Each node alone: the less loaded of two by lagging reports, questions sent at once, batch within its part of the slots.
Variant aloneTwoChoices(double batchShare)
{
    Variant variant = roundRobin(batchShare);
    variant.name_ = "alone-two-choices";
    variant.features_.routing_ = Routing::TwoChoices;
    variant.features_.onlineFirst_ = true;
    return variant;
}

Variant chosenDesign(double batchShare)
{
    Variant variant { "chosen", {} };
    variant.features_.batchShare_ = batchShare;
    return variant;
}

std::vector<Variant> ablations()
{
    std::vector<Variant> variants;
    const auto without = [&](const char* name, auto change) {
        Variant variant { name, {} };
        change(variant.features_);
        variants.push_back(variant);
    };
    without("no homes", [](Features& f) { f.homes_ = false; });
    without("no yielding", [](Features& f) { f.yielding_ = false; });
    without("no adaptive limit", [](Features& f) { f.adaptiveConcurrency_ = false; });
    without("no affinity", [](Features& f) { f.prefixAffinity_ = false; });
    without("no slack pacing", [](Features& f) { f.slackPacing_ = false; });
    without("no prompt pacing", [](Features& f) { f.promptPacing_ = false; });
    without("no KV export", [](Features& f) { f.exportKv_ = false; });
    return variants;
}

} // namespace jj
