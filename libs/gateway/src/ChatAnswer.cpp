// Events are put together by hand: this runs for each token, and only the text needs escaping.
#include "gateway/ChatAnswer.h"

#include "http/Server.h"

#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;

    int retrySeconds(Duration retryAfter)
    {
        if (retryAfter <= Duration::zero())
            return -1;
        return static_cast<int>(std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
    }

} // namespace

ChatAnswer::ChatAnswer(std::shared_ptr<http::Exchange> exchange, std::string id, std::string model, bool streamed, std::uint32_t promptTokens)
    : exchange_(std::move(exchange))
    , id_(std::move(id))
    , model_(std::move(model))
    , streamed_(streamed)
    , promptTokens_(promptTokens)
{
}

void ChatAnswer::tokens(std::uint32_t position, std::uint32_t count, std::string_view text)
{
    (void)count;
    position_ = position;
    if (!streamed_) {
        text_ += text;
        return;
    }
    if (!started_) {
        started_ = true;
        exchange_->start(200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } });
    }
    std::string event = R"(data: {"id":")" + id_ + R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":)";
    event += json::serialize(json::string_view(text.data(), text.size()));
    event += R"(},"finish_reason":null}],"position":)" + std::to_string(position) + "}\n\n";
    exchange_->write(event);
}

void ChatAnswer::end()
{
    if (!streamed_) {
        json::object message { { "role", "assistant" }, { "content", text_ } };
        json::object choice { { "index", 0 }, { "message", std::move(message) }, { "finish_reason", "stop" } };
        json::object usage { { "prompt_tokens", promptTokens_ }, { "completion_tokens", position_ }, { "total_tokens", promptTokens_ + position_ } };
        json::object whole { { "id", id_ }, { "object", "chat.completion" }, { "model", model_ }, { "choices", json::array { std::move(choice) } }, { "usage", std::move(usage) } };
        exchange_->respond({ 200, { { "Content-Type", "application/json" } }, json::serialize(whole) });
        return;
    }
    if (!started_)
        exchange_->start(200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } });
    exchange_->write("data: [DONE]\n\n");
    exchange_->end();
}

void ChatAnswer::refuse(const CallerRefusal& refusal)
{
    if (!started_)
        return refuseCall(*exchange_, refusal);
    json::object error { { "code", refusal.code_ }, { "message", refusal.message_ }, { "run", toString(refusal.run_) } };
    exchange_->write("data: " + json::serialize(json::object { { "error", std::move(error) } }) + "\n\n");
    exchange_->end();
}

void refuseCall(http::Exchange& exchange, const CallerRefusal& refusal)
{
    exchange.respond(http::errorResponse(refusal.status_, refusal.code_, refusal.message_, refusal.run_, retrySeconds(refusal.retryAfter_)));
}

} // namespace jj
