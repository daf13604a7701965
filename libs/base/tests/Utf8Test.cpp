// Tests which bytes are text.
#include "base/Utf8.h"

#include <doctest/doctest.h>
#include <string>

using namespace jj;

TEST_CASE("base: well-formed UTF-8 is distinguished from other bytes")
{
    for (const std::string text : { "", "abc", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80", "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf", "a\xc3\xa9z" })
        CHECK(isUtf8(text));
    for (const std::string bytes : { "\x80", "\xc0\x80", "\xc1\xbf", "\xc2", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xe1\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xff", "\xfe\xff", "a\xe2\x28\xa1", "\xf0\x80" }) {
        CHECK_FALSE(isUtf8(bytes));
        CHECK(isUtf8(toUtf8(bytes)));
    }
}

TEST_CASE("base: bytes that are no UTF-8 are replaced, and the text around them stays")
{
    CHECK(toUtf8("a\xc3\xa9\xf0\x9f\x98\x80z") == "a\xc3\xa9\xf0\x9f\x98\x80z");
    CHECK(toUtf8("a\xff\xc3\xa9\xe2\x82") == "a\xef\xbf\xbd\xc3\xa9\xef\xbf\xbd\xef\xbf\xbd");
}

TEST_CASE("base: a prefix of a text ends with a whole character")
{
    const std::string text = "a\xc3\xa9\xf0\x9f\x98\x80z";
    for (std::size_t bytes = 0; bytes <= text.size() + 1; ++bytes) {
        const std::string_view prefix = utf8Prefix(text, bytes);
        CHECK(isUtf8(prefix));
        CHECK(prefix.size() <= bytes);
        CHECK(text.starts_with(prefix));
    }
    CHECK(utf8Prefix(text, 6) == "a\xc3\xa9");
    CHECK(utf8Prefix("\x80\x80\x80", 2).empty());
}
