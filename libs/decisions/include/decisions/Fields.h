// One list of fields for each struct that crosses the edge of the decisions, from which both codecs are made: cereal's (here, no
// cereal header needed) and JSON's (Json.h).
//
//     struct Point { int x_ = 0; int y_ = 0; };
//     BOOST_DESCRIBE_STRUCT(Point, (), (x_, y_))
#pragma once

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <type_traits>

namespace jj {

template <class T>
concept Described = std::is_class_v<T> && boost::describe::has_describe_members<std::remove_const_t<T>>::value;

// Calls visit(name, member) for each described member, in order. The name keeps its trailing underscore.
template <Described T, class Visit>
void forEachField(T& value, Visit&& visit)
{
    using Bare = std::remove_const_t<T>;
    using Members = boost::describe::describe_members<Bare, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto member) { visit(member.name, value.*member.pointer); });
}

// Found by cereal through argument-dependent lookup.
template <class Archive, Described T>
void serialize(Archive& archive, T& value)
{
    forEachField(value, [&](const char*, auto& field) { archive(field); });
}

} // namespace jj
