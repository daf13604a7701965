// Tests that numbers are read whole and in range.
#include "base/Number.h"

#include <doctest/doctest.h>

using namespace jj;

TEST_CASE("base: a number is read only if the whole text is one and in range")
{
    CHECK(parseNumber<int>("17") == 17);
    CHECK(parseNumber<int>("-17") == -17);
    CHECK(parseNumber<double>("0.25") == 0.25);
    CHECK(parseNumber<std::uint16_t>("65535") == 65535);
    CHECK(parseNumber<int>("5", { 5, 5 }) == 5);
    for (const char* text : { "", " ", "x", "3,0", "3 ", " 3", "+3", "0x3", "3.0", "3e1", "99999999999999999999" })
        CHECK_FALSE(parseNumber<int>(text));
    CHECK_FALSE(parseNumber<std::uint16_t>("65536"));
    CHECK_FALSE(parseNumber<std::uint16_t>("-1"));
    CHECK_FALSE(parseNumber<int>("6", { 0, 5 }));
    for (const char* text : { "inf", "nan", "1e400", "-inf" })
        CHECK_FALSE(parseNumber<double>(text));
}

TEST_CASE("base: hexadecimal digits are read whole")
{
    CHECK(parseHex("ff") == 255);
    CHECK(parseHex("ffffffffffffffff") == 0xffffffffffffffffULL);
    for (const char* text : { "", "0x1", "fg", "-1", "10000000000000000" })
        CHECK_FALSE(parseHex(text));
}
