// Plain services by path. A call that may not be repeated has a durable intent before its first byte is sent (D6): whoever sends it
// again, to whichever node, gets the recorded outcome or learns that it is unknown, and it never runs twice.
#include "CallersServer.h"

#include "Translate.h"
#include "base/Hash.h"
#include "gateway/ChatAnswer.h"
#include "gateway/GatewayError.h"

namespace jj {

namespace {

    void answerPlain(http::Exchange& exchange, int status, std::string_view contentType, std::string body)
    {
        http::Headers headers;
        if (!contentType.empty())
            headers.add("Content-Type", std::string(contentType));
        exchange.respond({ status, std::move(headers), std::move(body) });
    }

    // The answer of a plain service as it comes together.
    struct PlainText {
        int status_ = 200;
        std::string contentType_;
        std::string body_;
    };

} // namespace

void CallersServer::plain(const ExchangePtr& exchange, std::string_view rest)
{
    const auto slash = rest.find('/');
    const auto view = parts_.view_.current();
    const ServiceConfig* service = view->config().service(rest.substr(0, slash));
    if (!service || service->kind_ != ServiceKind::Plain)
        return refuseCall(*exchange, { 404, codeName(GatewayError::UnknownService), "no plain service of this name", RunState::NotRun, {} });
    const std::string path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!service->mayRepeat(exchange->request().method_, path))
        return callOnce(exchange, *service, path);
    sendPlain(exchange, *service, path, {});
}

void CallersServer::sendPlain(const ExchangePtr& exchange, const ServiceConfig& service, std::string path, const std::function<void(int, const std::string&, RunState)>& done)
{
    const http::Request& call = exchange->request();
    EntryRequest request;
    request.kind_ = RequestKind::PlainCall;
    request.method_ = call.method_;
    request.path_ = std::move(path);
    request.contentType_ = std::string(call.headers_.find("Content-Type"));
    request.idempotencyKey_ = std::string(call.headers_.find("Idempotency-Key"));
    request.body_ = call.body_;
    RequestSpec& spec = request.spec_;
    spec.id_ = parts_.nextRequest_();
    spec.service_ = service.id();
    spec.workspace_ = idFromName<WorkspaceId>(workspaceOf(exchange));
    spec.bytes_ = static_cast<std::uint32_t>(call.body_.size());
    spec.deadline_ = SystemClock().now() + service.onlineDeadline_;
    spec.fingerprint_ = Fingerprint(hash64(call.method_ + ' ' + request.path_ + '\n' + call.body_) >> 1);
    spec.idempotent_ = !done;
    spec.originRegion_ = parts_.region_;
    auto text = std::make_shared<PlainText>();
    request.sink_.head_ = [text](int status, std::string_view contentType) {
        text->status_ = status;
        text->contentType_ = std::string(contentType);
        text->body_.clear();
    };
    request.sink_.tokens_ = [text](std::uint32_t, std::uint32_t, std::string_view bytes) { text->body_ += bytes; };
    request.sink_.end_ = [exchange, text, done] {
        if (done)
            done(text->status_, text->body_, RunState::Ran);
        answerPlain(*exchange, text->status_, text->contentType_, std::move(text->body_));
    };
    request.sink_.refuse_ = [exchange, done](const Refuse& refuse) {
        if (done)
            done(0, {}, refuse.runState_);
        refuseCall(*exchange, refusalOf(refuse));
    };
    // A call that may not be repeated goes on when its caller leaves: its outcome has to be recorded for the resend.
    if (done)
        return parts_.plane_.open(std::move(request));
    openRequest(exchange, std::move(request));
}

void CallersServer::callOnce(const ExchangePtr& exchange, const ServiceConfig& service, const std::string& path)
{
    const http::Request& call = exchange->request();
    CallAsked asked;
    asked.workspace_ = workspaceOf(exchange);
    asked.service_ = service.name_;
    asked.key_ = std::string(call.headers_.find("Idempotency-Key"));
    const std::string content = call.method_ + ' ' + path + '\n' + call.body_;
    asked.fingerprint_ = Fingerprint(hash64(content) >> 1);
    if (asked.key_.empty()) {
        // Without a key each call is one of its own: a resend can't be distinguished from a second booking.
        asked.key_ = "request-" + idText(parts_.nextRequest_().value());
    }
    parts_.jobs_.ask(asked, [this, exchange, name = service.name_, path](const JobCommand& answer) {
        if (const auto* begin = std::get_if<BeginCall>(&answer)) {
            const auto view = parts_.view_.current();
            const ServiceConfig* current = view->config().service(name);
            const auto finished = [this, ask = begin->ask_](int status, const std::string& body, RunState run) {
                CallFinished finish;
                finish.ask_ = ask;
                finish.ran_ = run;
                finish.status_ = status;
                finish.body_ = body;
                parts_.jobs_.callFinished(std::move(finish));
            };
            if (current)
                return sendPlain(exchange, *current, path, finished);
            finished(0, {}, RunState::NotRun);
            return refuseCall(*exchange, { 404, codeName(GatewayError::UnknownService), "the service is gone", RunState::NotRun, {} });
        }
        if (const auto* known = std::get_if<CallKnown>(&answer))
            return answerPlain(*exchange, known->status_, "application/json", known->body_);
        if (const auto* refused = std::get_if<CallRefused>(&answer))
            refuseJob(*exchange, refused->error_, refused->ran_, refused->retryAfter_);
    });
}

} // namespace jj
