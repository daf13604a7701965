// Field wrappers for cereal's archives that hold texts, lists, flags, times and enums to their limits while reading and writing.
//
// cereal's own readers of strings and vectors trust the length that was sent and allocate it; a mutated length of 2^60 would end
// the process. These wrappers check first and throw Oversize or cereal::Exception, which Codec.cpp turns into typed errors.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <vector>

namespace jj {

// A text or list to be sent is over its limit.
class Oversize : public std::exception {
};

template <std::size_t Max>
struct Text {
    std::string& value_;
};

template <std::size_t Max, class T>
struct List {
    std::vector<T>& value_;
};

struct Flag {
    bool& value_;
};

// A time in whole milliseconds, within 24 days, so that no bytes make one that overflows.
struct Milliseconds {
    Duration& value_;
};

template <class Enum>
struct EnumField {
    Enum& value_;
    Enum last_; // enumerators are 0 ... last_
};

template <std::size_t Max>
Text<Max> text(std::string& value) { return { value }; }

template <std::size_t Max, class T>
List<Max, T> list(std::vector<T>& value) { return { value }; }

template <class Enum>
EnumField<Enum> choice(Enum& value, Enum last) { return { value, last }; }

// Writes or reads a size and refuses one over `max`.
template <class Archive>
std::uint32_t boundedSize(Archive& archive, std::size_t current, std::size_t max)
{
    auto size = static_cast<std::uint32_t>(current);
    if (!Archive::is_loading::value && current > max)
        throw Oversize();
    archive(size);
    if (size > max)
        throw cereal::Exception("size over its limit");
    return size;
}

template <class Archive, std::size_t Max>
void serialize(Archive& archive, Text<Max>& field)
{
    const std::uint32_t size = boundedSize(archive, field.value_.size(), Max);
    if constexpr (Archive::is_loading::value)
        field.value_.resize(size);
    archive(cereal::binary_data(field.value_.data(), size));
}

template <class Archive, std::size_t Max, class T>
void serialize(Archive& archive, List<Max, T>& field)
{
    const std::uint32_t size = boundedSize(archive, field.value_.size(), Max);
    if constexpr (Archive::is_loading::value)
        field.value_.resize(size);
    for (T& element : field.value_)
        archive(element);
}

// A byte other than 0 and 1 read straight into a bool is undefined behaviour.
template <class Archive>
void serialize(Archive& archive, Flag& field)
{
    std::uint8_t byte = field.value_ ? 1 : 0;
    archive(byte);
    if (byte > 1)
        throw cereal::Exception("flag out of range");
    field.value_ = byte == 1;
}

template <class Archive>
void serialize(Archive& archive, Milliseconds& field)
{
    auto count = static_cast<std::int32_t>(std::clamp<Duration::rep>(field.value_ / 1ms, INT32_MIN, INT32_MAX));
    archive(count);
    field.value_ = std::chrono::milliseconds(count);
}

template <class Archive, class Enum>
void serialize(Archive& archive, EnumField<Enum>& field)
{
    auto byte = static_cast<std::uint8_t>(field.value_);
    archive(byte);
    if (byte > static_cast<std::uint8_t>(field.last_))
        throw cereal::Exception("enumerator out of range");
    field.value_ = static_cast<Enum>(byte);
}

} // namespace jj
