// Tests which bytes are text.
#include "base/Utf8.h"

#include <doctest/doctest.h>
#include <string>

using namespace jj;

TEST_CASE("base: well-formed UTF-8 is distinguished from other bytes")
{
    for (const std::string text : { "", "abc", "\xc2\x80", "\xdf\xbf", "\xe0\xa0\x80", "\xed\x9f\xbf", "\xee\x80\x80", "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf", "a\xc3\xa9z" })
        CHECK(isUtf8(text));
    for (const std::string bytes : { "\x80", "\xc0\x80", "\xc1\xbf", "\xc2", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xe1\x80", "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf5\x80\x80\x80", "\xff", "\xfe\xff", "a\xe2\x28\xa1", "\xf0\x80" })
        CHECK_FALSE(isUtf8(bytes));
}
