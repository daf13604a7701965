// JSON form of a rollout's record.
#include "orders/OrderTypes.h"

#include <boost/json.hpp>

namespace jj {

namespace json = boost::json;

namespace {

    json::object toJson(const EngineTarget& target)
    {
        json::object adapters;
        for (const auto& [name, version] : target.adapters_)
            adapters[name] = version;
        return { { "model", target.model_ }, { "version", target.version_ }, { "adapters", std::move(adapters) }, { "role", target.role_ } };
    }

    std::string textOf(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        const json::string* text = value ? value->if_string() : nullptr;
        return text ? std::string(text->data(), text->size()) : std::string();
    }

    EngineTarget targetOf(const json::object& record, std::string_view key)
    {
        EngineTarget target;
        const json::value* value = record.if_contains(key);
        const json::object* object = value ? value->if_object() : nullptr;
        if (!object)
            return target;
        target.model_ = textOf(*object, "model");
        target.version_ = textOf(*object, "version");
        target.role_ = textOf(*object, "role");
        const json::value* adapters = object->if_contains("adapters");
        if (!adapters || !adapters->is_object())
            return target;
        for (const auto& entry : adapters->get_object())
            target.adapters_[std::string(entry.key())] = textOf(adapters->get_object(), entry.key());
        return target;
    }

} // namespace

std::string RolloutRecord::encode() const
{
    json::array marked;
    for (UpstreamId upstream : marked_)
        marked.emplace_back(upstream.value());
    return json::serialize(json::object { { "good", toJson(good_) }, { "bad", toJson(bad_) }, { "marked", std::move(marked) } });
}

RolloutRecord RolloutRecord::decode(const std::string& text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    RolloutRecord record;
    if (error || !value.is_object())
        return record;
    record.good_ = targetOf(value.get_object(), "good");
    record.bad_ = targetOf(value.get_object(), "bad");
    const json::value* marked = value.get_object().if_contains("marked");
    if (!marked || !marked->is_array())
        return record;
    for (const json::value& upstream : marked->get_array()) {
        boost::system::error_code wrong;
        const auto number = upstream.to_number<std::uint64_t>(wrong);
        if (!wrong)
            record.marked_.insert(UpstreamId(number));
    }
    return record;
}

} // namespace jj
