// JSON codec made from the described fields of events and commands.
#include "decisions/Json.h"

#include "decisions/JsonFields.h"

#include <string>

namespace jj {

namespace {

    namespace json = boost::json;
    using namespace jsonfields;

    class JsonCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "jj.decisions.json"; }
        std::string message(int code) const override
        {
            switch (static_cast<JsonError>(code)) {
            case JsonError::Syntax:
                return "not JSON";
            case JsonError::Shape:
                return "JSON of another shape than expected";
            case JsonError::UnknownType:
                return "no event or command of this type";
            }
            return "unknown";
        }
    };

    template <class T>
    std::string_view typeName();

// One name for each alternative; typeName<T> of a type that is missing here doesn't link.
#define JJ_NAMED(type)                \
    template <>                       \
    std::string_view typeName<type>() \
    {                                 \
        return #type;                 \
    }
    JJ_NAMED(RequestArrived)
    JJ_NAMED(RequestCancelled)
    JJ_NAMED(HandedBack)
    JJ_NAMED(HomeLost)
    JJ_NAMED(HandedOver)
    JJ_NAMED(AttemptsProgressed)
    JJ_NAMED(AttemptFinished)
    JJ_NAMED(AttemptFailed)
    JJ_NAMED(ProbeEnded)
    JJ_NAMED(UpstreamChanged)
    JJ_NAMED(EngineReported)
    JJ_NAMED(CacheChanged)
    JJ_NAMED(HomeReported)
    JJ_NAMED(NodeChanged)
    JJ_NAMED(LinkChanged)
    JJ_NAMED(FingerprintLearned)
    JJ_NAMED(ConfigurationApplied)
    JJ_NAMED(JobPace)
    JJ_NAMED(JobEnded)
    JJ_NAMED(SendToHome)
    JJ_NAMED(CancelAtHome)
    JJ_NAMED(Answer)
    JJ_NAMED(Refuse)
    JJ_NAMED(Dispatch)
    JJ_NAMED(CancelAttempt)
    JJ_NAMED(HandBack)
    JJ_NAMED(ProbeUpstream)
    JJ_NAMED(ShareLoad)
    JJ_NAMED(ShareFingerprint)
#undef JJ_NAMED

    template <class Variant>
    std::string variantToJson(const Variant& variant)
    {
        return std::visit(
            [](const auto& value) {
                json::value fields = encode(value);
                json::object object;
                object["type"] = typeName<std::decay_t<decltype(value)>>();
                for (auto& field : fields.as_object())
                    object[field.key()] = std::move(field.value());
                return json::serialize(object);
            },
            variant);
    }

    template <class Variant>
    Result<Variant> variantFromJson(std::string_view text)
    {
        json::error_code error;
        const json::value parsed = json::parse(text, error);
        if (error)
            return make_error_code(JsonError::Syntax);
        const json::object* object = parsed.if_object();
        const json::value* type = object ? object->if_contains("type") : nullptr;
        if (!type || !type->is_string())
            return make_error_code(JsonError::Shape);
        Result<Variant> result = make_error_code(JsonError::UnknownType);
        boost::mp11::mp_for_each<boost::mp11::mp_transform<std::type_identity, Variant>>([&](auto alternative) {
            using T = typename decltype(alternative)::type;
            if (typeName<T>() != std::string_view(type->get_string()))
                return;
            T value;
            if (decodeFields(parsed, value))
                result = Variant(std::move(value));
            else
                result = make_error_code(JsonError::Shape);
        });
        return result;
    }

} // namespace

std::error_code make_error_code(JsonError error)
{
    static const JsonCategory category;
    return { static_cast<int>(error), category };
}

std::string toJson(const Event& event) { return variantToJson(event); }
std::string toJson(const Command& command) { return variantToJson(command); }
Result<Event> eventFromJson(std::string_view text) { return variantFromJson<Event>(text); }
Result<Command> commandFromJson(std::string_view text) { return variantFromJson<Command>(text); }

} // namespace jj
