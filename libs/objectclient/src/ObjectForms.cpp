// docs/PLATFORM-PROTOCOLS.md, section "Object API", in code.
#include "ObjectForms.h"

#include "base/Number.h"

#include <boost/json.hpp>
#include <sodium.h>

namespace jj {

namespace {

    namespace json = boost::json;

    std::string quoted(ObjectVersion version) { return '"' + std::to_string(version.value()) + '"'; }

    ObjectVersion versionOf(std::string_view etag)
    {
        if (etag.size() < 3 || etag.front() != '"')
            return ObjectVersion::none();
        const auto value = etag.back() == '"' ? parseNumber<std::uint64_t>(etag.substr(1, etag.size() - 2)) : std::nullopt;
        return value ? ObjectVersion(*value) : ObjectVersion::none();
    }

    std::string fromBase64(std::string_view text)
    {
        std::string bytes(text.size(), '\0');
        std::size_t size = 0;
        if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
            return {};
        bytes.resize(size);
        return bytes;
    }

    std::string_view textOf(const json::object& object, std::string_view name)
    {
        const json::value* found = object.if_contains({ name.data(), name.size() });
        return found && found->is_string() ? std::string_view(found->get_string().data(), found->get_string().size()) : std::string_view();
    }

    std::uint64_t numberOf(const json::object& object, std::string_view name)
    {
        const json::value* found = object.if_contains({ name.data(), name.size() });
        json::error_code error;
        return found ? found->to_number<std::uint64_t>(error) : 0;
    }

    std::string listTarget(const ObjectCall& call)
    {
        std::string target = "/v1/objects?prefix=" + call.key_;
        if (call.limit_ > 0)
            target += "&limit=" + std::to_string(call.limit_);
        if (!call.after_.empty())
            target += "&after=" + call.after_;
        if (call.withValues_)
            target += "&values=1";
        return target;
    }

    ObjectAnswer listed(std::string_view body)
    {
        json::error_code error;
        const json::value value = json::parse({ body.data(), body.size() }, error);
        const json::object* object = error.failed() ? nullptr : value.if_object();
        const json::value* items = object ? object->if_contains("items") : nullptr;
        if (!items || !items->is_array())
            return ObjectAnswer::failed(ObjectError::Unavailable);
        ObjectAnswer answer;
        answer.version_ = ObjectVersion(numberOf(*object, "version"));
        answer.next_ = textOf(*object, "next");
        for (const json::value& item : items->get_array()) {
            if (const json::object* entry = item.if_object())
                answer.entries_.push_back({ std::string(textOf(*entry, "key")), ObjectVersion(numberOf(*entry, "version")), numberOf(*entry, "size"), fromBase64(textOf(*entry, "value")) });
        }
        return answer;
    }

    ObjectAnswer succeeded(const ObjectCall& call, const http::Response& response)
    {
        if (call.verb_ == ObjectVerb::List)
            return listed(response.body_);
        ObjectAnswer answer;
        answer.version_ = versionOf(response.headers_.find("ETag"));
        // Without its version an answer is of no use, and isn't the store's own.
        if (call.verb_ != ObjectVerb::Remove && answer.version_.isNone())
            return withoutAnswer(call, RunState::OutcomeUnknown);
        if (call.verb_ == ObjectVerb::Get)
            answer.value_ = response.body_;
        return answer;
    }

} // namespace

http::Request toRequest(const ObjectCall& call)
{
    http::Request request;
    request.target_ = call.verb_ == ObjectVerb::List ? listTarget(call) : "/v1/objects/" + call.key_;
    if (!call.isWrite())
        return request;
    request.method_ = call.verb_ == ObjectVerb::Remove ? "DELETE" : "PUT";
    request.body_ = call.value_;
    if (call.verb_ == ObjectVerb::Create)
        request.headers_.add("If-None-Match", "*");
    else if (!call.expected_.isNone())
        request.headers_.add("If-Match", quoted(call.expected_));
    return request;
}

http::Request toWatchRequest(const std::string& prefix, ObjectVersion from)
{
    http::Request request;
    request.target_ = "/v1/watch?prefix=" + prefix + "&from=" + std::to_string(from.value());
    return request;
}

ObjectAnswer withoutAnswer(const ObjectCall& call, RunState ran)
{
    return ObjectAnswer::failed(call.isWrite() && ran != RunState::NotRun ? ObjectError::OutcomeUnknown : ObjectError::Unavailable);
}

ObjectAnswer toAnswer(const ObjectCall& call, const http::Response& response)
{
    const auto failed = [&](ObjectError error) {
        ObjectAnswer answer = ObjectAnswer::failed(error);
        answer.retryAfter_ = http::parseRetryAfter(response.headers_.find("Retry-After"));
        return answer;
    };
    switch (response.status_) {
    case 200:
    case 201:
    case 204:
        return succeeded(call, response);
    case 400:
        return failed(ObjectError::BadCall);
    case 404:
        return failed(ObjectError::NotFound);
    case 412: {
        ObjectAnswer answer = failed(ObjectError::Conflict);
        answer.version_ = versionOf(response.headers_.find("ETag"));
        return answer;
    }
    case 413:
        return failed(ObjectError::TooLarge);
    case 429:
        return failed(ObjectError::RateLimited);
    case 503:
        return failed(ObjectError::Unavailable);
    default:
        // From something in between, such as a balancer that lost the store's answer.
        return withoutAnswer(call, RunState::OutcomeUnknown);
    }
}

Result<ObjectChange> toChange(std::string_view line)
{
    json::error_code error;
    const json::value value = json::parse({ line.data(), line.size() }, error);
    const json::object* object = error.failed() ? nullptr : value.if_object();
    if (!object)
        return ObjectError::BadCall;
    const std::string_view type = textOf(*object, "type");
    const ChangeKind kind = type == "put" ? ChangeKind::Put : type == "delete" ? ChangeKind::Remove
                                                                               : ChangeKind::Bookmark;
    return ObjectChange { kind, ObjectVersion(numberOf(*object, "version")), std::string(textOf(*object, "key")), fromBase64(textOf(*object, "value")) };
}

} // namespace jj
