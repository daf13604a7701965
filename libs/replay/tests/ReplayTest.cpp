// Traces read back, replays repeat, and what must hold does so on each kind of trouble.
#include "replay/Replay.h"
#include "replay/Generator.h"
#include "replay/Outcomes.h"
#include "replay/Page.h"

#include <doctest/doctest.h>
#include <sstream>

using namespace jj;

namespace {

Measures runOf(Scenario scenario, SiteProfile profile = SiteProfile::LongPrompts, Duration length = 20s)
{
    return replay(generateTrace({ .profile_ = profile, .scenario_ = scenario, .seed_ = 3, .length_ = length }), {});
}

void checkWhole(const Measures& measures)
{
    CHECK(measures.lost_ == 0);
    CHECK(measures.doubled_ == 0);
    CHECK(measures.questions_ == measures.answered_ + measures.refused_);
}

} // namespace

TEST_CASE("A trace reads back as it was written")
{
    const Trace trace = generateTrace({ .scenario_ = Scenario::BurstLoss, .seed_ = 5, .length_ = 20s });
    std::stringstream text;
    writeTrace(trace, text);
    const Checked<Trace> read = readTrace(text);
    REQUIRE(read.has_value());
    std::stringstream again;
    writeTrace(read.value(), again);
    CHECK(again.str() == text.str());
}

TEST_CASE("A broken trace is refused with its line")
{
    std::stringstream text("{\"type\":\"Site\"}\n{oops\n");
    const Checked<Trace> read = readTrace(text);
    REQUIRE(!read.has_value());
    CHECK(read.error().code_ == TraceError::Syntax);
    CHECK(read.error().detail_ == "line 2");
}

TEST_CASE("The same trace and seed give the same measures")
{
    const auto figures = [] {
        auto all = figuresOf(runOf(Scenario::Burst, SiteProfile::LongPrompts, 8s));
        all.erase("decision_us"); // CPU time
        return all;
    };
    CHECK(figures() == figures());
}

TEST_CASE("Each question is answered or refused once through bursts and lost engines")
{
    const Measures measures = runOf(Scenario::BurstLoss);
    checkWhole(measures);
    CHECK(measures.attempts_ <= measures.questions_ * 12 / 10);
}

TEST_CASE("At most two engines fall for a question that is sent to every node")
{
    const Measures measures = runOf(Scenario::Poison);
    checkWhole(measures);
    CHECK(measures.enginesCrashed_ >= 1);
    CHECK(measures.enginesCrashed_ <= 2);
}

TEST_CASE("With the regions apart each serves its own and nothing is lost")
{
    const Measures measures = runOf(Scenario::LinkLoss);
    checkWhole(measures);
    CHECK(measures.linkBytes_ == 0);
}

// A node dies with requests of others at it: as home it is stepped over, and its own callers, whose connection died with it,
// are the only ones without an answer.
TEST_CASE("A lost node costs the answers of its own callers only")
{
    Trace trace = generateTrace({ .profile_ = SiteProfile::LongPrompts, .scenario_ = Scenario::Steady, .seed_ = 4, .length_ = 15s });
    trace.faults_.push_back({ 5s, FaultKind::NodeLost, 1 });
    const Measures measures = replay(trace, {});
    CHECK(measures.doubled_ == 0);
    // In flight at one of six nodes, at some sixteen questions a second, and those that came before the balancer saw it.
    CHECK(measures.lost_ < 20);
}

TEST_CASE("Outcomes are judged one by one and unknown figures refused")
{
    std::stringstream text("[outcomes]\nlost = = 0\nttft_p99_ms = <= 10\n");
    const auto outcomes = readOutcomes(text);
    REQUIRE(outcomes.has_value());
    const auto verdicts = judge(outcomes.value(), { { "lost", 0 }, { "ttft_p99_ms", 11 } });
    REQUIRE(verdicts.has_value());
    CHECK(verdicts.value()[0].holds_);
    CHECK(!verdicts.value()[1].holds_);
    CHECK(judge(outcomes.value(), {}).error().code_ == OutcomeError::Unknown);
    std::stringstream wrong("[outcomes]\nlost = none\n");
    CHECK(readOutcomes(wrong).error().code_ == OutcomeError::Bound);
}

TEST_CASE("A page shows a plot for each time line")
{
    const Measures measures = runOf(Scenario::Quiet, SiteProfile::LongPrompts, 3s);
    const std::string page = pageOf("a < b", "text", plotsOf(measures));
    CHECK(page.find("a &lt; b") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
}
