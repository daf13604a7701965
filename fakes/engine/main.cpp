// jj-fake-engine: options and start.
#include "EngineService.h"
#include "standin/StandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

namespace {

constexpr const char* footer = R"(Fault switches, at run time: POST /fakes/faults with any of
  {"hangAfter": N}      streams stop for good after N tokens; -1: never
  {"slowFactor": X}     each step takes X times as long
  {"refuse": true}      new streams are answered 503
  {"silence": true}     the streams open now never get another byte; later ones work
  {"leaving": true}     load reports say that the engine leaves
A prompt with the crash marker breaks every open stream; with the fail marker it is answered 422.
The first line on standard output is "listening IP:PORT". SIGTERM ends the process.)";

constexpr std::size_t bodyBytes = 4 * 1024 * 1024;

std::chrono::nanoseconds milliseconds(double value) { return jj::fromSeconds(value / 1000); }

} // namespace

int main(int argc, char** argv)
{
    jj::standin::Options options;
    jj::EngineServiceSettings settings;
    jj::EngineParameters& parameters = settings.parameters_;
    double stepBaseMs = jj::toMilliseconds(parameters.stepBase_);
    double stepPerStreamMs = jj::toMilliseconds(parameters.stepPerStream_);
    double stepPerPromptTokenMs = jj::toMilliseconds(parameters.stepPerPromptToken_);
    double loadLagMs = jj::toMilliseconds(parameters.loadLag_);
    double cacheLagMs = jj::toMilliseconds(parameters.cacheEventLag_);
    double restartAfterMs = jj::toMilliseconds(settings.restartAfter_);
    std::string eventsPath;
    bool ignoresFencing = false;

    CLI::App app("Stand-in of a model engine: continuous batching over HTTP");
    app.footer(footer);
    app.add_option("--address", options.address_, "IP number to listen on")->capture_default_str();
    app.add_option("--port", options.port_, "port, 0: chosen by the system")->capture_default_str();
    app.add_option("--seed", options.seed_, "seed of gaps and KV handles; give each engine its own")->capture_default_str();
    app.add_option("--step-base-ms", stepBaseMs, "fixed part of a step")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--step-per-stream-ms", stepPerStreamMs, "part of a step for each stream")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--step-per-prompt-token-ms", stepPerPromptTokenMs, "part of a step for each uncached prompt token")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--chunk-tokens", parameters.chunkTokens_, "prompt tokens a step at most")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--block-tokens", parameters.blockTokens_, "tokens of a KV block")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--kv-blocks", parameters.kvBlocks_, "KV memory in blocks")->check(CLI::PositiveNumber)->capture_default_str();
    app.add_option("--load-lag-ms", loadLagMs, "age of load reports")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--cache-event-lag-ms", cacheLagMs, "least lateness of cache events")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--cache-event-loss", parameters.cacheEventLoss_, "share of cache events that is lost")->check(CLI::Range(0.0, 1.0))->capture_default_str();
    app.add_flag("--ignore-fencing", ignoresFencing, "carry out orders with old fencing numbers too");
    app.add_option("--crash-marker", settings.crashMarker_, "text that makes a prompt crash the engine")->capture_default_str();
    app.add_option("--fail-marker", settings.failMarker_, "text that makes a prompt impossible")->capture_default_str();
    app.add_option("--restart-after-ms", restartAfterMs, "time from a crash to the restart inside the process")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_flag("--crash-ends-process", settings.crashEndsProcess_, "a crash ends the process with exit code 70");
    app.add_option("--events", eventsPath, "file for the time line");
    CLI11_PARSE(app, argc, argv);

    parameters.stepBase_ = milliseconds(stepBaseMs);
    parameters.stepPerStream_ = milliseconds(stepPerStreamMs);
    parameters.stepPerPromptToken_ = milliseconds(stepPerPromptTokenMs);
    parameters.loadLag_ = milliseconds(loadLagMs);
    parameters.cacheEventLag_ = milliseconds(cacheLagMs);
    settings.restartAfter_ = milliseconds(restartAfterMs);
    settings.seed_ = options.seed_;
    settings.checksFencing_ = !ignoresFencing;

    std::unique_ptr<jj::EventWriter> events;
    if (!eventsPath.empty()) {
        auto opened = jj::EventWriter::open(eventsPath, { "engine-" + std::to_string(options.seed_), jj::Incarnation(static_cast<std::uint64_t>(jj::SystemClock().wallNow().time_since_epoch().count())) });
        if (!opened) {
            std::cerr << "can't write events to " << eventsPath << '\n';
            return 1;
        }
        events = std::move(opened.value());
    }
    boost::asio::io_context io(1);
    jj::EngineService service(io, settings, std::move(events));
    return jj::standin::serve(
        io, options, [&service](const std::shared_ptr<jj::http::Exchange>& exchange) { service.handle(exchange); }, bodyBytes);
}
