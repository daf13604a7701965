// Numbers in text that comes from outside: read whole and in range, or not at all.
//
//     const auto port = parseNumber<std::uint16_t>(text);
//     const auto wait = parseNumber<std::int64_t>(text, { 0, 30'000 });
#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <system_error>

namespace jj {

template <class Number>
concept ParsedNumber = (std::integral<Number> && !std::same_as<Number, bool>) || std::floating_point<Number>;

// Both ends belong to the range.
template <ParsedNumber Number>
struct NumberRange {
    Number min_ = std::numeric_limits<Number>::lowest();
    Number max_ = std::numeric_limits<Number>::max();

    bool contains(Number number) const { return number >= min_ && number <= max_; }
};

// Returns none if the text is empty, holds anything but one decimal number, or the number is out of range or not finite.
template <ParsedNumber Number>
std::optional<Number> parseNumber(std::string_view text, NumberRange<Number> range = {})
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !range.contains(number))
        return std::nullopt;
    return number;
}

// As parseNumber(), of hexadecimal digits.
inline std::optional<std::uint64_t> parseHex(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace jj
