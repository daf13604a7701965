// jj-fake-service: a plain service that counts what it ran. One thread.
//
// It never spares a run: a key that comes twice runs twice and is counted twice, which is what audits look for.
#include "standin/StandIn.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

namespace {

namespace json = boost::json;
using namespace jj::standin;
using ExchangePtr = std::shared_ptr<jj::http::Exchange>;

constexpr const char* footer = R"(Any path and method runs. GET /v1/executions gives the number of runs by Idempotency-Key; with
--keeps-outcomes, GET /v1/outcomes/KEY gives the outcome of a run.
Fault switches, at run time: POST /fakes/faults with any of
  {"refuse": true}      calls are answered 503 and don't run
  {"delayMs": N}        time from a run to its answer
  {"loseAnswers": P}    share of calls that run and whose connection then breaks
  {"loseCalls": P}      share of calls whose connection breaks before they run
  {"silent": true}      calls run and are never answered
The first line on standard output is "listening IP:PORT". SIGTERM ends the process.)";

constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
constexpr std::string_view outcomesPath = "/v1/outcomes/";

struct Faults {
    bool refuse_ = false;
    bool silent_ = false;
    std::chrono::milliseconds delay_ { 0 };
    double loseAnswers_ = 0;
    double loseCalls_ = 0;
};

struct Execution {
    std::int64_t count_ = 0;
    std::string body_; // of the last answer
};

class PlainService {
public:
    PlainService(boost::asio::io_context& io, std::uint64_t seed, bool keepsOutcomes, const std::string& journalPath)
        : io_(io)
        , random_(seed)
        , keepsOutcomes_(keepsOutcomes)
    {
        if (journalPath.empty())
            return;
        std::ifstream in(journalPath);
        for (std::string key; std::getline(in, key);)
            count(key);
        journal_.open(journalPath, std::ios::app);
    }

    void handle(const ExchangePtr& exchange)
    {
        const std::string_view path = exchange->request().path();
        if (path == "/fakes/faults")
            return setFaults(exchange);
        if (path == "/healthz")
            return exchange->respond({ 200, {}, "ok\n" });
        if (path == "/v1/executions")
            return executions(exchange);
        if (keepsOutcomes_ && path.starts_with(outcomesPath))
            return outcome(exchange, std::string(path.substr(outcomesPath.size())));
        if (faults_.refuse_)
            return exchange->respond(jj::http::errorResponse(503, "service.Refused", "refused", jj::RunState::NotRun));
        if (happens(faults_.loseCalls_))
            return exchange->abort();
        run(exchange);
    }

private:
    bool happens(double share) { return share > 0 && std::bernoulli_distribution(share)(random_); }

    Execution& count(const std::string& key)
    {
        Execution& execution = executions_[key];
        ++execution.count_;
        execution.body_ = json::serialize(json::object { { "key", key }, { "run", execution.count_ } });
        return execution;
    }

    void run(const ExchangePtr& exchange)
    {
        const std::string key(exchange->request().headers_.find("Idempotency-Key"));
        const Execution& execution = count(key);
        // The run is on file before anything of it can be seen: a killed process doesn't forget it.
        if (journal_.is_open())
            journal_ << key << std::endl;
        if (faults_.silent_)
            return unanswered_.push_back(exchange);
        if (happens(faults_.loseAnswers_))
            return exchange->abort();
        jj::http::Response response { 200, { { "Content-Type", "application/json" } }, execution.body_ };
        if (faults_.delay_.count() == 0)
            return exchange->respond(response);
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, faults_.delay_);
        timer->async_wait([timer, exchange, response = std::move(response)](boost::system::error_code) { exchange->respond(response); });
    }

    void outcome(const ExchangePtr& exchange, const std::string& key)
    {
        const auto found = executions_.find(key);
        if (found == executions_.end())
            return exchange->respond(jsonResponse(404, json::object { { "state", "neverRun" } }));
        exchange->respond(jsonResponse(200, json::object { { "state", "done" }, { "status", 200 }, { "body", found->second.body_ } }));
    }

    void executions(const ExchangePtr& exchange)
    {
        json::object counts;
        for (const auto& [key, execution] : executions_)
            counts[key] = execution.count_;
        exchange->respond(jsonResponse(200, counts));
    }

    void setFaults(const ExchangePtr& exchange)
    {
        const auto body = parseObject(exchange->request().body_);
        if (!body)
            return exchange->respond({ 400, {}, "not a JSON object\n" });
        faults_.refuse_ = flagOr(*body, "refuse", faults_.refuse_);
        faults_.silent_ = flagOr(*body, "silent", faults_.silent_);
        faults_.delay_ = std::chrono::milliseconds(integerOr(*body, "delayMs", faults_.delay_.count()));
        faults_.loseAnswers_ = std::clamp(numberOr(*body, "loseAnswers", faults_.loseAnswers_), 0.0, 1.0);
        faults_.loseCalls_ = std::clamp(numberOr(*body, "loseCalls", faults_.loseCalls_), 0.0, 1.0);
        if (!faults_.silent_) {
            for (const ExchangePtr& each : unanswered_)
                each->abort();
            unanswered_.clear();
        }
        exchange->respond(jsonResponse(200, json::object { { "refuse", faults_.refuse_ }, { "silent", faults_.silent_ }, { "delayMs", faults_.delay_.count() }, { "loseAnswers", faults_.loseAnswers_ }, { "loseCalls", faults_.loseCalls_ } }));
    }

    boost::asio::io_context& io_;
    std::mt19937_64 random_;
    bool keepsOutcomes_;
    Faults faults_;
    std::map<std::string, Execution> executions_; // by Idempotency-Key; all calls without one count under ""
    std::vector<ExchangePtr> unanswered_;
    std::ofstream journal_;
};

} // namespace

int main(int argc, char** argv)
{
    Options options;
    bool keepsOutcomes = false;
    std::string journalPath;
    CLI::App app("Stand-in of a plain service");
    app.footer(footer);
    app.add_option("--address", options.address_, "IP number to listen on")->capture_default_str();
    app.add_option("--port", options.port_, "port, 0: chosen by the system")->capture_default_str();
    app.add_option("--seed", options.seed_, "seed of lost answers")->capture_default_str();
    app.add_option("--journal", journalPath, "file that keeps the counts over a restart");
    app.add_flag("--keeps-outcomes", keepsOutcomes, "answer for the outcome of a key");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    PlainService service(io, options.seed_, keepsOutcomes, journalPath);
    return serve(
        io, options, [&service](const ExchangePtr& exchange) { service.handle(exchange); }, bodyBytes);
}
