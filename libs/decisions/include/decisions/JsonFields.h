// JSON form of any described struct (see Fields.h), for files that hold more than events and commands, such as traces.
// Keys and values as in Json.h. Includes Boost.JSON: keep it out of headers that many include.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "decisions/Fields.h"

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace jj::jsonfields {

namespace json = boost::json;

inline std::string keyOf(const char* member)
{
    std::string key = member;
    if (!key.empty() && key.back() == '_')
        key.pop_back();
    return key;
}

template <class T>
constexpr bool isId = false;
template <class Tag, class Rep>
constexpr bool isId<Id<Tag, Rep>> = true;

template <class T>
constexpr bool isVector = false;
template <class T>
constexpr bool isVector<std::vector<T>> = true;

template <class T>
json::value encode(const T& value)
{
    if constexpr (isId<T>) {
        return value.isNone() ? json::value() : json::value(value.value());
    } else if constexpr (std::is_same_v<T, Duration>) {
        return value.count();
    } else if constexpr (std::is_same_v<T, TimePoint>) {
        return value.time_since_epoch().count();
    } else if constexpr (std::is_same_v<T, std::string>) {
        return json::string(value);
    } else if constexpr (std::is_enum_v<T>) {
        return json::string(boost::describe::enum_to_string(value, "?"));
    } else if constexpr (isVector<T>) {
        json::array array;
        for (const auto& element : value)
            array.push_back(encode(element));
        return array;
    } else if constexpr (Described<T>) {
        json::object object;
        forEachField(value, [&](const char* name, const auto& field) { object[keyOf(name)] = encode(field); });
        return object;
    } else {
        static_assert(std::is_arithmetic_v<T>);
        return value;
    }
}

template <class T>
bool decode(const json::value& from, T& to);

template <class T>
bool decodeNumber(const json::value& from, T& to)
{
    json::error_code error;
    const T number = from.to_number<T>(error);
    if (error)
        return false;
    to = number;
    return true;
}

template <class T>
bool decodeFields(const json::value& from, T& to)
{
    const json::object* object = from.if_object();
    if (!object)
        return false;
    bool good = true;
    forEachField(to, [&](const char* name, auto& field) {
        // A field that is left out keeps its default, so that traces stay readable when fields are added.
        if (const json::value* found = object->if_contains(keyOf(name)))
            good = decode(*found, field) && good;
    });
    return good;
}

template <class T>
bool decode(const json::value& from, T& to)
{
    if constexpr (isId<T>) {
        typename T::Value number {};
        if (from.is_null()) {
            to = T::none();
            return true;
        }
        if (!decodeNumber(from, number))
            return false;
        to = T(number);
        return true;
    } else if constexpr (std::is_same_v<T, Duration>) {
        std::int64_t count = 0;
        const bool good = decodeNumber(from, count);
        to = Duration(count);
        return good;
    } else if constexpr (std::is_same_v<T, TimePoint>) {
        std::int64_t count = 0;
        const bool good = decodeNumber(from, count);
        to = TimePoint(Duration(count));
        return good;
    } else if constexpr (std::is_enum_v<T>) {
        const json::string* text = from.if_string();
        return text && boost::describe::enum_from_string(text->c_str(), to);
    } else if constexpr (std::is_same_v<T, std::string>) {
        const json::string* text = from.if_string();
        if (text)
            to = text->c_str();
        return text != nullptr;
    } else if constexpr (std::is_same_v<T, bool>) {
        if (!from.is_bool())
            return false;
        to = from.get_bool();
        return true;
    } else if constexpr (isVector<T>) {
        const json::array* array = from.if_array();
        if (!array)
            return false;
        to.resize(array->size());
        for (std::size_t i = 0; i < array->size(); ++i) {
            if (!decode((*array)[i], to[i]))
                return false;
        }
        return true;
    } else if constexpr (Described<T>) {
        return decodeFields(from, to);
    } else {
        return decodeNumber(from, to);
    }
}

} // namespace jj::jsonfields
