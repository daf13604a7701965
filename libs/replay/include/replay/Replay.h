// Replays a trace in virtual time: one core of `decisions` for each node, one model engine for each engine of the site, and fixed
// message delays between them. The same trace, options and seed give the same measures (but for the decisions' CPU time).
//
//     const Measures measures = replay(generateTrace({ .scenario_ = Scenario::Burst }), {});
#pragma once

#include "decisions/Features.h"
#include "replay/Measures.h"
#include "replay/Trace.h"

namespace jj {

struct ReplayOptions {
    Features features_ {};
    std::uint64_t seed_ = 1;
    // Engines keep the KV state of streams that yield.
    bool enginesExportKv_ = true;
    EngineParameters engine_ {};
    // After the trace's end, for what is still running online.
    Duration drain_ = 10s;
};

Measures replay(const Trace& trace, const ReplayOptions& options);

} // namespace jj
