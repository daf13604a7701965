// Status is put together from what each host published last; no call of an operator waits for an actor.
#include "OperatorsServer.h"

#include "base/Number.h"
#include "follower/ConfigWrite.h"
#include "settings/FleetConfig.h"

#include <boost/json.hpp>
#include <sodium.h>

namespace jj {

namespace {

    namespace json = boost::json;

    void respondJson(http::Exchange& exchange, int status, const json::object& object)
    {
        exchange.respond({ status, { { "Content-Type", "application/json" } }, json::serialize(object) });
    }

    json::value versionValue(ConfigVersion version)
    {
        if (version.isNone())
            return nullptr;
        return version.value();
    }

    // "\"17\"" -> 17; none without the header, and if it holds anything else.
    ConfigVersion versionOf(std::string_view etag)
    {
        const bool isQuoted = etag.size() > 2 && etag.front() == '"' && etag.back() == '"';
        const auto version = parseNumber<std::uint64_t>(isQuoted ? etag.substr(1, etag.size() - 2) : etag);
        return version ? ConfigVersion(*version) : ConfigVersion();
    }

} // namespace

OperatorsServer::OperatorsServer(const OperatorsParts& parts)
    : parts_(parts)
{
}

Result<std::unique_ptr<OperatorsServer>> OperatorsServer::create(boost::asio::io_context& io, const Address& listen, const OperatorsParts& parts)
{
    std::unique_ptr<OperatorsServer> operators(new OperatorsServer(parts));
    http::ServerSettings settings;
    settings.listen_ = { listen.ip_, listen.port_ };
    auto server = http::Server::create(io, settings, [raw = operators.get()](const ExchangePtr& exchange) { raw->handle(exchange); });
    if (!server)
        return server.error();
    operators->server_ = std::move(server.value());
    return operators;
}

// Compared in constant time: the time of an answer must not tell how much of a guess was right.
bool OperatorsServer::mayChange(const http::Request& request) const
{
    const std::string expected = "Bearer " + parts_.token_;
    const std::string_view given = request.headers_.find("Authorization");
    if (parts_.token_.empty() || given.size() != expected.size())
        return false;
    return sodium_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void OperatorsServer::handle(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const std::string_view path = request.path();
    if (path == "/healthz")
        return respondJson(*exchange, 200, { { "healthy", true } });
    if (path == "/readyz") {
        const bool ready = parts_.ready_();
        return respondJson(*exchange, ready ? 200 : 503, { { "ready", ready } });
    }
    if (path == "/metrics")
        return metrics(exchange);
    if (path == "/v1/status" && request.method_ == "GET")
        return status(exchange);
    const bool changes = (path == "/v1/drain" && request.method_ == "POST") || (path == "/v1/config" && request.method_ == "PUT");
    if (!changes)
        return exchange->respond(http::errorResponse(404, "operators.UnknownPath", "no such call", RunState::NotRun));
    if (!mayChange(request))
        return exchange->respond(http::errorResponse(401, "operators.BadToken", "this call needs the operators' token", RunState::NotRun));
    if (path == "/v1/config")
        return writeConfig(exchange);
    parts_.drain_();
    respondJson(*exchange, 202, { { "draining", true } });
}

void OperatorsServer::status(const ExchangePtr& exchange)
{
    const FleetStatus fleet = parts_.fleet_.status();
    const JobCoreCounts jobs = parts_.jobs_.counts();
    const RequestPlaneCounts plane = parts_.plane_.counts();
    const Decisions::Counts decisions = parts_.decisions_();
    json::array members;
    for (const FleetStatus::Member& member : fleet.members_)
        members.push_back(json::object { { "node", idText(member.node_.value()) }, { "address", member.address_ }, { "state", member.state_ }, { "applied", versionValue(member.applied_) } });
    respondJson(*exchange, 200, { { "node", idText(fleet.self_.value()) }, { "incarnation", fleet.incarnation_.value() }, { "ready", parts_.ready_() }, { "leaving", fleet.leaving_ }, { "config", json::object { { "applied", versionValue(fleet.applied_) }, { "inForce", versionValue(fleet.inForceEverywhere_) } } }, { "members", std::move(members) }, { "requests", json::object { { "entry", plane.entries_ }, { "home", plane.runs_ }, { "queued", decisions.homeQueued_ }, { "running", decisions.homeRunning_ }, { "lateAnswers", plane.lateAnswers_ } } }, { "jobs", json::object { { "partitions", jobs.heldPartitions_ }, { "open", jobs.openJobs_ }, { "running", jobs.runningItems_ }, { "committed", jobs.committedItems_ }, { "storeCalls", jobs.storeCalls_ }, { "storeOut", jobs.storeOut_ } } } });
}

void OperatorsServer::metrics(const ExchangePtr& exchange)
{
    const JobCoreCounts jobs = parts_.jobs_.counts();
    const RequestPlaneCounts plane = parts_.plane_.counts();
    const Decisions::Counts decisions = parts_.decisions_();
    Metrics& metrics = parts_.metrics_;
    const auto gauge = [&](std::string_view name, std::string_view help, double value) { metrics.set(metrics.gauge(name, help), value); };
    gauge("jj_requests_open", "requests taken here and not answered", static_cast<double>(plane.entries_));
    gauge("jj_home_queued", "requests waiting at this home", static_cast<double>(decisions.homeQueued_));
    gauge("jj_home_running", "attempts running from this home", static_cast<double>(decisions.homeRunning_));
    gauge("jj_yields", "batch streams that gave way since the start", static_cast<double>(decisions.yields_));
    gauge("jj_retries", "retries since the start", static_cast<double>(decisions.retries_));
    gauge("jj_late_answers", "pieces of superseded attempts, dropped since the start", static_cast<double>(plane.lateAnswers_));
    gauge("jj_partitions_held", "job partitions held by lease", jobs.heldPartitions_);
    gauge("jj_items_committed", "items committed since the start", static_cast<double>(jobs.committedItems_));
    gauge("jj_store_calls", "calls to the object API for jobs since the start", static_cast<double>(jobs.storeCalls_));
    gauge("jj_store_out", "1 while the object API does not answer", jobs.storeOut_ ? 1 : 0);
    exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics.prometheusText() });
}

void OperatorsServer::writeConfig(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const auto config = parseFleetConfig(request.body_);
    if (!config)
        return exchange->respond(http::errorResponse(422, "settings.Refused", describe(config.error()), RunState::NotRun));
    const ConfigVersion basedOn = versionOf(request.headers_.find("If-Match"));
    if (basedOn.isNone() && !request.headers_.has("If-None-Match"))
        return exchange->respond(http::errorResponse(428, "operators.NoCondition", "If-Match with the version that was read, or If-None-Match: *", RunState::NotRun));
    const std::string mark = idText(randomNonce()[0] + static_cast<std::uint64_t>(SystemClock().now().time_since_epoch().count()));
    const ObjectCall call = configWriteCall(configKey, request.body_, mark, basedOn);
    parts_.store_.call(call, [this, exchange, basedOn, value = call.value_](const ObjectAnswer& answer) {
        const ConfigWriteOutcome outcome = configWriteOutcome(answer, basedOn);
        if (!outcome.error_) {
            parts_.fleet_.configWritten(outcome.standing_, value);
            return exchange->respond({ 200, { { "ETag", '"' + std::to_string(outcome.standing_.value()) + '"' }, { "Content-Type", "application/json" } }, json::serialize(json::object { { "version", outcome.standing_.value() } }) });
        }
        const bool conflict = outcome.error_ == ConfigWriteError::Conflict;
        const bool unknown = outcome.error_ == ConfigWriteError::OutcomeUnknown;
        std::string message = outcome.error_.message();
        if (conflict)
            message += "; based on " + json::serialize(versionValue(outcome.basedOn_)) + ", standing " + json::serialize(versionValue(outcome.standing_));
        exchange->respond(http::errorResponse(conflict ? 409 : 503, conflict ? "follower.Conflict" : "follower.NotAccepted", message, unknown ? RunState::OutcomeUnknown : RunState::NotRun));
    });
}

} // namespace jj
