// Boost.JSON refuses text that isn't UTF-8, so no check of our own is needed.
#include "gateway/ChatCall.h"

#include "base/Hash.h"
#include "gateway/GatewayError.h"

#include <boost/json.hpp>
#include <charconv>
#include <ctime>

namespace jj {

namespace {

    namespace json = boost::json;

    constexpr std::size_t bytesPerToken = 4;
    constexpr std::int64_t largestMaxTokens = 1'000'000;
    constexpr unsigned maxDepth = 32;

    std::uint32_t estimateTokens(std::size_t bytes) { return static_cast<std::uint32_t>((bytes + bytesPerToken - 1) / bytesPerToken); }

    const json::string* textOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        return value ? value->if_string() : nullptr;
    }

    // Adds the messages to the call; false when one isn't what it should be.
    bool readMessages(const json::value* value, ChatCall& call)
    {
        const json::array* messages = value ? value->if_array() : nullptr;
        if (!messages || messages->empty())
            return false;
        std::size_t bytes = 0;
        std::uint64_t hash = hash64(call.model_);
        bool first = true;
        for (const json::value& element : *messages) {
            const json::object* message = element.if_object();
            const json::string* role = message ? textOf(*message, "role") : nullptr;
            const json::string* content = message ? textOf(*message, "content") : nullptr;
            if (!role || !content)
                return false;
            if (first && *role == "system" && !content->empty()) {
                call.prefix_ = idFromName<PrefixId>(std::string_view(*content));
                call.prefixTokens_ = estimateTokens(content->size());
            }
            bytes += content->size() + (first ? 0 : 1);
            hash = mixHash(mixHash(hash, hash64(std::string_view(*role))), hash64(std::string_view(*content)));
            first = false;
        }
        call.promptTokens_ = estimateTokens(bytes);
        call.prefixTokens_ = std::min(call.prefixTokens_, call.promptTokens_);
        call.fingerprint_ = Fingerprint(hash >> 1);
        return true;
    }

    bool readMaxTokens(const json::object& object, ChatCall& call)
    {
        call.maxTokens_ = defaultMaxTokens;
        const json::value* value = object.if_contains("max_tokens");
        if (!value)
            return true;
        if (!value->is_int64() || value->get_int64() < 1 || value->get_int64() > largestMaxTokens)
            return false;
        call.maxTokens_ = static_cast<std::uint32_t>(value->get_int64());
        return true;
    }

    std::optional<Duration> unitOf(std::string_view unit)
    {
        if (unit == "ms")
            return 1ms;
        if (unit == "s")
            return 1s;
        if (unit == "m")
            return 1min;
        if (unit == "h")
            return 1h;
        return std::nullopt;
    }

} // namespace

Result<ChatCall> parseChatCall(std::string_view body)
{
    json::parse_options options;
    options.max_depth = maxDepth;
    json::error_code error;
    json::value value = json::parse(body, error, {}, options);
    json::object* object = error ? nullptr : value.if_object();
    if (!object)
        return GatewayError::BadJson;
    ChatCall call;
    const json::string* model = textOf(*object, "model");
    if (!model || model->empty())
        return GatewayError::MissingModel;
    call.model_ = std::string(*model);
    if (!readMessages(object->if_contains("messages"), call))
        return GatewayError::BadMessages;
    if (!readMaxTokens(*object, call))
        return GatewayError::BadMaxTokens;
    const json::value* stream = object->if_contains("stream");
    call.streamed_ = stream && stream->is_bool() && stream->get_bool();
    object->erase("stream");
    object->erase("resume");
    (*object)["max_tokens"] = call.maxTokens_;
    call.openBody_ = json::serialize(*object);
    call.openBody_.pop_back();
    return call;
}

std::string engineBody(std::string_view openBody, std::uint32_t position)
{
    std::string body(openBody);
    body += R"(,"stream":true)";
    if (position > 0)
        body += R"(,"resume":{"position":)" + std::to_string(position) + "}";
    body += '}';
    return body;
}

Result<Duration> parseDeadline(std::string_view text, WallTime now)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error == std::errc() && number >= 0) {
        const auto unit = unitOf(rest);
        constexpr std::int64_t mostUnits = 1'000'000'000; // a thousand million ms is over eleven days; hours are bounded below
        if (unit && number <= mostUnits && number <= Duration::max() / *unit)
            return number * *unit;
    }
    std::tm calendar {};
    const std::string copy(text);
    const char* rests = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%SZ", &calendar);
    if (!rests || *rests != '\0')
        return GatewayError::BadDeadline;
    const WallTime at { std::chrono::milliseconds(1000 * static_cast<std::int64_t>(timegm(&calendar))) };
    return Duration(at - now);
}

} // namespace jj
