// jjload: options, the run, and its report as a table or as JSON.
#include "Load.h"

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cstdio>
#include <iostream>

namespace {

constexpr int exitBadArguments = 2;
constexpr int exitLostAnswers = 1;

bool parseTargets(const std::vector<std::string>& texts, std::vector<jj::LoadTarget>& targets)
{
    for (const std::string& text : texts) {
        const std::size_t equals = text.find('=');
        const auto endpoint = jj::parseEndpoint(equals == std::string::npos ? text : text.substr(equals + 1));
        if (!endpoint)
            return false;
        targets.push_back({ equals == std::string::npos ? text : text.substr(0, equals), endpoint.value() });
    }
    return true;
}

void printTable(jj::LoadReport& report)
{
    std::printf("%-12s %9s %8s %7s %12s %12s %12s %12s %10s\n", "target", "answered", "refused", "broken", "ttft p50 ms", "ttft p95 ms", "ttft p99 ms", "whole p50 ms", "req/s");
    for (jj::LoadResult& target : report.targets_) {
        std::printf("%-12s %9llu %8llu %7llu %12.3f %12.3f %12.3f %12.3f %10.0f\n", target.name_.c_str(), static_cast<unsigned long long>(target.answered_),
            static_cast<unsigned long long>(target.refused_), static_cast<unsigned long long>(target.broken_), jj::quantile(target.firstToken_, 0.5),
            jj::quantile(target.firstToken_, 0.95), jj::quantile(target.firstToken_, 0.99), jj::quantile(target.whole_, 0.5),
            static_cast<double>(target.answered_) / report.seconds_);
    }
    std::printf("seconds %.2f\n", report.seconds_);
}

void printJson(jj::LoadReport& report)
{
    boost::json::object targets;
    for (jj::LoadResult& target : report.targets_) {
        targets[target.name_] = { { "answered", target.answered_ }, { "refused", target.refused_ }, { "broken", target.broken_ },
            { "firstTokenP50Ms", jj::quantile(target.firstToken_, 0.5) }, { "firstTokenP95Ms", jj::quantile(target.firstToken_, 0.95) },
            { "firstTokenP99Ms", jj::quantile(target.firstToken_, 0.99) }, { "wholeP50Ms", jj::quantile(target.whole_, 0.5) },
            { "wholeP99Ms", jj::quantile(target.whole_, 0.99) }, { "perSecond", static_cast<double>(target.answered_) / report.seconds_ } };
    }
    std::cout << boost::json::serialize(boost::json::object { { "seconds", report.seconds_ }, { "targets", targets } }) << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    jj::LoadOptions options;
    std::vector<std::string> targets;
    bool json = false;
    CLI::App app("Streamed questions to one or more targets, which take turns; prints times to first token");
    app.add_option("--target", targets, "NAME=IP:PORT or IP:PORT; may be given several times")->required();
    app.add_option("--model", options.model_, "service to ask")->capture_default_str();
    app.add_option("--requests", options.requests_, "over all targets")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--rate", options.rate_, "requests a second over all targets; 0: closed loop")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--concurrency", options.concurrency_, "open questions of a closed loop")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--max-tokens", options.maxTokens_, "tokens of an answer")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--prompt-bytes", options.promptBytes_, "bytes of a question")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--threads", options.threads_, "threads of this program")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--warmup", options.warmup_, "first requests that are not counted")->capture_default_str();
    app.add_option("--seed", options.seed_, "seed of arrival times")->capture_default_str();
    app.add_flag("--json", json, "print JSON");
    CLI11_PARSE(app, argc, argv);
    if (!parseTargets(targets, options.targets_)) {
        std::cerr << "--target takes NAME=IP:PORT\n";
        return exitBadArguments;
    }
    jj::LoadReport report = jj::runLoad(options);
    json ? printJson(report) : printTable(report);
    for (const jj::LoadResult& target : report.targets_) {
        if (target.broken_ > 0)
            return exitLostAnswers;
    }
    return 0;
}
