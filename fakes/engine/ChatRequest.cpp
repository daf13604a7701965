// Reading of chat completion requests.
#include "ChatRequest.h"

#include "enginemodel/Answer.h"
#include "events/TimelineEvent.h"
#include "standin/StandIn.h"

namespace jj {

namespace json = boost::json;
using namespace standin;

namespace {

    constexpr std::int64_t defaultMaxTokens = 64;
    constexpr std::int64_t mostMaxTokens = 100'000;

    // Appends the contents of the messages; false when one of them is no message.
    bool readMessages(const json::object& body, std::string& prompt, std::string& prefix)
    {
        const json::value* messages = body.if_contains("messages");
        if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
            return false;
        bool first = true;
        for (const json::value& message : messages->get_array()) {
            if (!message.is_object())
                return false;
            const std::string content = textOr(message.get_object(), "content", "");
            if (first && textOr(message.get_object(), "role", "") == "system")
                prefix = content;
            if (!first)
                prompt += '\n';
            prompt += content;
            first = false;
        }
        return true;
    }

    void readResume(const json::object& body, StreamSpec& spec)
    {
        const json::value* resume = body.if_contains("resume");
        if (resume == nullptr || !resume->is_object())
            return;
        spec.position_ = static_cast<int>(integerOr(resume->get_object(), "position", 0));
        if (const auto handle = idFromText(textOr(resume->get_object(), "handle", "")))
            spec.handle_ = KvHandle(*handle);
    }

} // namespace

std::optional<ChatRequest> readChatRequest(const http::Request& request, const std::string& crashMarker)
{
    const auto body = parseObject(request.body_);
    if (!body)
        return std::nullopt;
    ChatRequest chat;
    std::string prefix;
    if (!readMessages(*body, chat.prompt_, prefix))
        return std::nullopt;
    const std::int64_t maxTokens = integerOr(*body, "max_tokens", defaultMaxTokens);
    if (maxTokens < 1 || maxTokens > mostMaxTokens)
        return std::nullopt;
    chat.name_ = request.headers_.find("X-Stream-Id");
    chat.isStreamed_ = flagOr(*body, "stream", false);
    chat.spec_.promptTokens_ = std::max(1, tokensOf(chat.prompt_));
    chat.spec_.prefix_ = prefixIdOf(prefix);
    chat.spec_.prefixTokens_ = tokensOf(prefix);
    chat.spec_.answerTokens_ = static_cast<int>(maxTokens);
    chat.spec_.crashes_ = !crashMarker.empty() && chat.prompt_.find(crashMarker) != std::string::npos;
    readResume(*body, chat.spec_);
    return chat;
}

} // namespace jj
