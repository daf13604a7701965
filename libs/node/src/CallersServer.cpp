// Questions. CallersJobs.cpp has jobs, CallersPlain.cpp plain services.
#include "CallersServer.h"

#include "Translate.h"
#include "base/Hash.h"
#include "gateway/ChatAnswer.h"
#include "gateway/ChatCall.h"
#include "gateway/GatewayError.h"

namespace jj {

namespace {

    constexpr std::string_view jobsPath = "/v1/jobs";
    constexpr std::string_view servicesPath = "/v1/services/";

    int statusOf(GatewayError error)
    {
        switch (error) {
        case GatewayError::UnknownService:
        case GatewayError::UnknownPath:
            return 404;
        case GatewayError::BadEngineAnswer:
            return 502;
        default:
            return 400;
        }
    }

    void refuseInput(http::Exchange& exchange, std::error_code code)
    {
        const auto error = static_cast<GatewayError>(code.value());
        const std::string message = code.message();
        refuseCall(exchange, { statusOf(error), codeName(error), message, RunState::NotRun, {} });
    }

} // namespace

CallersServer::CallersServer(const CallersParts& parts, const InputLimits& limits)
    : parts_(parts)
    , limits_(limits)
    , questions_(parts.metrics_.counter("jj_questions_total", "questions taken from callers"))
    , refused_(parts.metrics_.counter("jj_refused_total", "questions that ended without a whole answer"))
    , firstToken_(parts.metrics_.distribution("jj_first_token_ms", "time from a question's arrival to its first token"))
{
}

Result<std::unique_ptr<CallersServer>> CallersServer::create(boost::asio::io_context& io, const Address& listen, const InputLimits& limits, const CallersParts& parts)
{
    std::unique_ptr<CallersServer> callers(new CallersServer(parts, limits));
    http::ServerSettings settings;
    settings.listen_ = { listen.ip_, listen.port_ };
    settings.limits_.headerBytes_ = static_cast<std::size_t>(limits.headerBytes_);
    settings.limits_.bodyBytes_ = static_cast<std::size_t>(limits.bodyBytes_);
    settings.limits_.connections_ = static_cast<std::size_t>(limits.connections_);
    settings.limits_.idle_ = limits.idle_;
    const auto planner = [jobBytes = static_cast<std::size_t>(limits.jobBytes_)](const http::Request& request) {
        if (request.method_ == "POST" && request.path() == jobsPath)
            return http::BodyPlan { true, jobBytes };
        return http::BodyPlan {};
    };
    auto server = http::Server::create(
        io, settings, [raw = callers.get()](const ExchangePtr& exchange) { raw->handle(exchange); }, planner);
    if (!server)
        return server.error();
    callers->server_ = std::move(server.value());
    return callers;
}

void CallersServer::handle(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    const std::string_view path = request.path();
    if (!parts_.ready_())
        return refuseCall(*exchange, { 503, "node.NotReady", "this node has no configuration yet", RunState::NotRun, 1s });
    if (path == "/v1/chat/completions" && request.method_ == "POST")
        return chat(exchange);
    if (path == jobsPath && request.method_ == "POST")
        return submit(exchange);
    if (path.starts_with(jobsPath) && path.size() > jobsPath.size() && path[jobsPath.size()] == '/')
        return job(exchange, path.substr(jobsPath.size() + 1));
    if (path.starts_with(servicesPath))
        return plain(exchange, path.substr(servicesPath.size()));
    refuseInput(*exchange, GatewayError::UnknownPath);
}

std::string CallersServer::workspaceOf(const ExchangePtr& exchange) const
{
    const std::string_view name = exchange->request().headers_.find("Workspace");
    return name.empty() ? "default" : std::string(name);
}

void CallersServer::chat(const ExchangePtr& exchange)
{
    const TimePoint arrived = SystemClock().now();
    parts_.metrics_.add(questions_);
    const auto call = parseChatCall(exchange->request().body_);
    if (!call)
        return refuseInput(*exchange, call.error());
    const auto view = parts_.view_.current();
    const ServiceConfig* service = view->config().service(call.value().model_);
    if (!service || service->kind_ != ServiceKind::Engines)
        return refuseInput(*exchange, GatewayError::UnknownService);
    Duration timeLeft = service->onlineDeadline_;
    if (const std::string_view deadline = exchange->request().headers_.find("Deadline"); !deadline.empty()) {
        const auto parsed = parseDeadline(deadline, SystemClock().wallNow());
        if (!parsed)
            return refuseInput(*exchange, parsed.error());
        timeLeft = parsed.value();
    }
    EntryRequest request;
    RequestSpec& spec = request.spec_;
    spec.id_ = parts_.nextRequest_();
    spec.service_ = service->id();
    spec.workspace_ = idFromName<WorkspaceId>(workspaceOf(exchange));
    spec.promptTokens_ = call.value().promptTokens_;
    spec.prefix_ = call.value().prefix_;
    spec.prefixTokens_ = call.value().prefixTokens_;
    spec.maxOutputTokens_ = call.value().maxTokens_;
    spec.bytes_ = static_cast<std::uint32_t>(call.value().openBody_.size());
    spec.deadline_ = arrived + timeLeft;
    spec.fingerprint_ = call.value().fingerprint_;
    spec.originRegion_ = parts_.region_;
    request.body_ = call.value().openBody_;
    auto answer = std::make_shared<ChatAnswer>(exchange, "chatcmpl-" + idText(spec.id_.value()), call.value().model_, call.value().streamed_, spec.promptTokens_);
    request.sink_.tokens_ = [this, answer, arrived](std::uint32_t position, std::uint32_t count, std::string_view text) {
        if (position == count)
            parts_.metrics_.observe(firstToken_, toMilliseconds(SystemClock().now() - arrived));
        answer->tokens(position, count, text);
    };
    request.sink_.end_ = [answer] { answer->end(); };
    request.sink_.refuse_ = [this, answer](const Refuse& refuse) {
        parts_.metrics_.add(refused_);
        answer->refuse(refusalOf(refuse));
    };
    openRequest(exchange, std::move(request));
}

// A caller that goes away frees its slot at the engine: its request is cancelled wherever it is.
void CallersServer::openRequest(const ExchangePtr& exchange, EntryRequest request)
{
    const RequestId id = request.spec_.id_;
    parts_.plane_.open(std::move(request));
    exchange->onClosed([this, id] { parts_.plane_.callerGone(id); });
}

} // namespace jj
