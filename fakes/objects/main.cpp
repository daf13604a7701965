// jj-fake-objects: options and start.
#include "ObjectService.h"
#include "standin/StandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

namespace {

constexpr const char* footer = R"(Fault switches, at run time: POST /fakes/faults with any of
  {"outage": true}         every call is answered 503 and open watches break off
  {"silent": true}         no call is answered or has an effect, watches fall silent
  {"delayMs": N}           time from a call's effect to its answer
  {"loseAnswers": P}       share of writes whose effect is done and whose connection then breaks
  {"loseCalls": P}         share of calls whose connection breaks without effect
  {"cutWatches": true}     open watches break off once
  {"readsPerSecond": N, "writesPerSecond": N}   rates, 0: none
  {"hostsLagMs": N}        lateness of changes of the host list
POST /fakes/hosts sets the host list; GET /fakes/counts gives the calls answered so far.
The first line on standard output is "listening IP:PORT". SIGTERM ends the process.)";

// More than a value may have, so that the store itself answers for what is too large.
constexpr std::size_t bodyBytes = 2 * jj::maxObjectBytes;

} // namespace

int main(int argc, char** argv)
{
    jj::standin::Options options;
    std::string journalPath;
    jj::MemoryStoreSettings rates;

    CLI::App app("Stand-in of the platform's object API");
    app.footer(footer);
    app.add_option("--address", options.address_, "IP number to listen on")->capture_default_str();
    app.add_option("--port", options.port_, "port, 0: chosen by the system")->capture_default_str();
    app.add_option("--seed", options.seed_, "seed of lost answers")->capture_default_str();
    app.add_option("--journal", journalPath, "file that keeps the objects over a restart");
    app.add_option("--reads-per-second", rates.readsPerSecond_, "rate of reads, 0: none")->check(CLI::NonNegativeNumber)->capture_default_str();
    app.add_option("--writes-per-second", rates.writesPerSecond_, "rate of writes, 0: none")->check(CLI::NonNegativeNumber)->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    jj::MemoryStoreSettings unlimited = rates;
    unlimited.readsPerSecond_ = 0;
    unlimited.writesPerSecond_ = 0;
    jj::MemoryStore store(unlimited);
    auto journal = jj::Journal::open(journalPath, store);
    if (!journal) {
        std::cerr << "can't keep a journal in " << journalPath << '\n';
        return 1;
    }
    store.setRates(rates.readsPerSecond_, rates.writesPerSecond_);
    boost::asio::io_context io(1);
    jj::ObjectService service(io, store, journal.value(), options.seed_);
    return jj::standin::serve(
        io, options, [&service](const std::shared_ptr<jj::http::Exchange>& exchange) { service.handle(exchange); }, bodyBytes);
}
