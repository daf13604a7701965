// What the jobs learn of a run that ended without an answer.
#include "Translate.h"

#include <doctest/doctest.h>

using namespace jj;

// Guards against items that are listed as refused by an engine that was lost in the middle of their answer.
TEST_CASE("node: only an answer of the engine ends an item as refused")
{
    const auto outcome = [](RunState run) { return outcomeOf({ RequestId(1), RefusalReason::UpstreamError, run, {} }); };
    CHECK((outcome(RunState::Ran) == RunOutcome::Refused));
    CHECK((outcome(RunState::OutcomeUnknown) == RunOutcome::Failed));
    CHECK((outcome(RunState::NotRun) == RunOutcome::NotRun));
}
