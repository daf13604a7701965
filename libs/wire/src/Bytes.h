// Fixed-width numbers in little-endian order.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jj {

template <class Number>
std::array<char, sizeof(Number)> toLittleEndian(Number number)
{
    std::array<char, sizeof(Number)> out;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        out[i] = static_cast<char>(static_cast<std::uint8_t>(number >> (8 * i)));
    return out;
}

// `bytes` holds at least sizeof(Number) bytes.
template <class Number>
Number fromLittleEndian(std::string_view bytes)
{
    Number number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        number |= static_cast<Number>(static_cast<Number>(static_cast<std::uint8_t>(bytes[i])) << (8 * i));
    return number;
}

template <std::size_t N>
std::string_view viewOf(const std::array<char, N>& bytes)
{
    return { bytes.data(), N };
}

} // namespace jj
