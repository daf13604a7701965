// Names and values of a message in one buffer.
#include "http/Message.h"

#include <doctest/doctest.h>

using namespace jj::http;

TEST_CASE("headers: names and values of any length come back in their order")
{
    Headers headers;
    const std::string large(20000, 'v');
    for (const std::size_t bytes : { 0, 1, 127, 128, 16383, 16384 })
        headers.add("Name-" + std::to_string(bytes), std::string_view(large).substr(0, bytes));
    headers.add("name-1", "second");
    CHECK(headers.size() == 7);
    CHECK(headers.find("NAME-1") == "v");
    CHECK(headers.find("Name-16384").size() == 16384);
    CHECK(headers.has("Name-0"));
    CHECK_FALSE(headers.has("Name"));
    std::size_t count = 0;
    for (const HeaderView header : headers)
        count += header.value_.empty() ? 0 : 1;
    CHECK(count == 6);
}
