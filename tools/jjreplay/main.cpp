// jjreplay: replays a trace, recorded or generated, and judges it against stated outcomes.
//
// Exit codes: 0 all outcomes hold, 1 some fail, 2 wrong arguments or files.
#include "replay/Generator.h"
#include "replay/Outcomes.h"
#include "replay/Page.h"
#include "replay/Replay.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>

using namespace jj;

namespace {

constexpr int exitFails = 1;
constexpr int exitWrong = 2;

struct Arguments {
    std::string trace_;
    std::string outcomes_;
    std::string json_;
    std::string page_;
    std::string write_;
    std::string profile_ = "ShortPrompts";
    std::string scenario_ = "Burst";
    std::uint64_t seed_ = 1;
    int seconds_ = 60;
    double scale_ = 1;
    bool noBatch_ = false;
};

void declare(CLI::App& app, Arguments& arguments)
{
    app.add_option("--trace", arguments.trace_, "trace to replay, JSON lines; without it one is generated");
    app.add_option("--outcomes", arguments.outcomes_, "INI file of stated outcomes");
    app.add_option("--json", arguments.json_, "write the report here");
    app.add_option("--page", arguments.page_, "write the HTML page of plots here");
    app.add_option("--write-trace", arguments.write_, "write the trace here and stop");
    app.add_option("--profile", arguments.profile_, "generated site: ShortPrompts, LongPrompts, PeakLoad");
    app.add_option("--scenario", arguments.scenario_, "generated load: Quiet, Steady, Burst, BurstLoss, Poison, Stale, LinkLoss");
    app.add_option("--seed", arguments.seed_);
    app.add_option("--seconds", arguments.seconds_, "length of a generated trace")->check(CLI::Range(1, 36000));
    app.add_option("--online-scale", arguments.scale_, "multiplies the generated online load")->check(CLI::PositiveNumber);
    app.add_flag("--no-batch", arguments.noBatch_, "generate only the online load");
}

int complain(const Failure& failure, const std::string& what)
{
    std::fprintf(stderr, "jjreplay: %s: %s\n", what.c_str(), failure.message().c_str());
    return exitWrong;
}

Checked<Trace> loadTrace(const Arguments& arguments)
{
    if (!arguments.trace_.empty()) {
        std::ifstream in(arguments.trace_);
        return readTrace(in);
    }
    GeneratorOptions options;
    if (!boost::describe::enum_from_string(arguments.profile_.c_str(), options.profile_))
        return Failure { TraceError::Syntax, "profile " + arguments.profile_ };
    if (!boost::describe::enum_from_string(arguments.scenario_.c_str(), options.scenario_))
        return Failure { TraceError::Syntax, "scenario " + arguments.scenario_ };
    options.seed_ = arguments.seed_;
    options.length_ = std::chrono::seconds(arguments.seconds_);
    options.onlineScale_ = arguments.scale_;
    options.batch_ = !arguments.noBatch_;
    return generateTrace(options);
}

std::string reportOf(const std::map<std::string, double>& figures, const std::vector<Verdict>& verdicts)
{
    boost::json::object report;
    boost::json::object& values = report["figures"].emplace_object();
    for (const auto& [name, value] : figures)
        values[name] = value;
    boost::json::array& judged = report["verdicts"].emplace_array();
    for (const Verdict& verdict : verdicts)
        judged.push_back({ { "figure", verdict.outcome_.figure_ }, { "value", verdict.value_ }, { "bound", verdict.outcome_.bound_ }, { "holds", verdict.holds_ } });
    return boost::json::serialize(report);
}

int run(const Arguments& arguments)
{
    const Checked<Trace> trace = loadTrace(arguments);
    if (!trace)
        return complain(trace.error(), "trace");
    if (!arguments.write_.empty()) {
        std::ofstream out(arguments.write_);
        writeTrace(trace.value(), out);
        return out.good() ? 0 : exitWrong;
    }
    std::vector<Outcome> outcomes;
    if (!arguments.outcomes_.empty()) {
        std::ifstream in(arguments.outcomes_);
        Checked<std::vector<Outcome>> read = readOutcomes(in);
        if (!read)
            return complain(read.error(), arguments.outcomes_);
        outcomes = std::move(read.value());
    }
    const Measures measures = replay(trace.value(), { .seed_ = arguments.seed_ });
    const std::map<std::string, double> figures = figuresOf(measures);
    const Checked<std::vector<Verdict>> verdicts = judge(outcomes, figures);
    if (!verdicts)
        return complain(verdicts.error(), "outcomes");
    std::string text;
    for (const auto& [name, value] : figures) {
        char line[80];
        std::snprintf(line, sizeof line, "       %-26s %12.4f\n", name.c_str(), value);
        text += line;
    }
    bool allHold = true;
    for (const Verdict& verdict : verdicts.value()) {
        text += toString(verdict) + "\n";
        allHold = allHold && verdict.holds_;
    }
    std::printf("site %s, seed %llu\n%s", trace.value().site_.name_.c_str(), static_cast<unsigned long long>(arguments.seed_), text.c_str());
    if (!arguments.json_.empty())
        std::ofstream(arguments.json_) << reportOf(figures, verdicts.value()) << '\n';
    if (!arguments.page_.empty())
        std::ofstream(arguments.page_) << pageOf("jjreplay: " + trace.value().site_.name_, text, plotsOf(measures));
    return allHold ? 0 : exitFails;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Replays a trace over the decisions and judges it against stated outcomes.");
    Arguments arguments;
    declare(app, arguments);
    CLI11_PARSE(app, argc, argv);
    return run(arguments);
}
