// Texts of the object API's errors, the named constructors of calls and the rule for keys.
#include "objects/ObjectApi.h"

#include <algorithm>

namespace jj {

namespace {

    class ObjectCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "objects"; }
        std::string message(int value) const override
        {
            switch (static_cast<ObjectError>(value)) {
            case ObjectError::Conflict:
                return "another version of the object stands";
            case ObjectError::NotFound:
                return "no such object";
            case ObjectError::TooLarge:
                return "value is over the store's limit";
            case ObjectError::RateLimited:
                return "over the store's rate";
            case ObjectError::Unavailable:
                return "store is unavailable";
            case ObjectError::OutcomeUnknown:
                return "no answer came from the store";
            case ObjectError::BadCall:
                return "store cannot read the call";
            case ObjectError::Expired:
                return "changes asked for are no longer kept";
            }
            return "unknown object error";
        }
    };

    bool isKeyCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
            || character == '.' || character == '_' || character == '-';
    }

} // namespace

std::error_code make_error_code(ObjectError error)
{
    static const ObjectCategory category;
    return { static_cast<int>(error), category };
}

ObjectCall ObjectCall::get(std::string key)
{
    ObjectCall call;
    call.key_ = std::move(key);
    return call;
}

ObjectCall ObjectCall::create(std::string key, std::string value)
{
    ObjectCall call = get(std::move(key));
    call.verb_ = ObjectVerb::Create;
    call.value_ = std::move(value);
    return call;
}

ObjectCall ObjectCall::update(std::string key, std::string value, ObjectVersion expected)
{
    ObjectCall call = create(std::move(key), std::move(value));
    call.verb_ = ObjectVerb::Update;
    call.expected_ = expected;
    return call;
}

ObjectCall ObjectCall::put(std::string key, std::string value)
{
    ObjectCall call = create(std::move(key), std::move(value));
    call.verb_ = ObjectVerb::Put;
    return call;
}

ObjectCall ObjectCall::remove(std::string key, ObjectVersion expected)
{
    ObjectCall call = get(std::move(key));
    call.verb_ = ObjectVerb::Remove;
    call.expected_ = expected;
    return call;
}

ObjectCall ObjectCall::list(std::string prefix, bool withValues, std::string after, std::uint32_t limit)
{
    ObjectCall call = get(std::move(prefix));
    call.verb_ = ObjectVerb::List;
    call.withValues_ = withValues;
    call.after_ = std::move(after);
    call.limit_ = limit;
    return call;
}

ObjectCall ObjectCall::changes(std::string prefix, ObjectVersion seen, Duration wait)
{
    ObjectCall call = get(std::move(prefix));
    call.verb_ = ObjectVerb::Changes;
    call.expected_ = seen;
    call.wait_ = wait;
    return call;
}

ObjectCall ObjectCall::report(std::string key, std::string value)
{
    ObjectCall call = put(std::move(key), std::move(value));
    call.verb_ = ObjectVerb::Report;
    return call;
}

ObjectAnswer ObjectAnswer::failed(ObjectError error)
{
    ObjectAnswer answer;
    answer.error_ = error;
    return answer;
}

bool isValidKey(std::string_view key)
{
    bool partIsEmpty = true;
    for (const char character : key) {
        if (character == '/') {
            if (partIsEmpty)
                return false;
            partIsEmpty = true;
        } else if (isKeyCharacter(character)) {
            partIsEmpty = false;
        } else {
            return false;
        }
    }
    return !partIsEmpty;
}

} // namespace jj
