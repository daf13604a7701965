// Tests the settings of the byte budget.
#include "serving/ServingSettings.h"

#include <doctest/doctest.h>
#include <string>

using namespace jj;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

Audited<ServingSettings> parse(const std::string& limits)
{
    return parseServingSettings("[node]\nname = n\nfailure-domain = d\nregion = r\nregions = d:r\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeers = 127.0.0.1:4\n"
                                "[platform]\nstore = 127.0.0.1:9\n[limits]\n"
        + limits);
}

std::size_t bufferBytes(const std::string& limits)
{
    const auto settings = parse(limits);
    REQUIRE(settings.has_value());
    return settings.value().bufferBytes();
}

} // namespace

TEST_CASE("serving: the byte budget is a part of the host's memory")
{
    CHECK(bufferBytes("") == 64 * megabyte);
    CHECK(bufferBytes("buffers-percent = 50") == 64 * megabyte);
    CHECK(bufferBytes("memory-mb = 160") / 1000 == 160 * megabyte * 12 / 100 / 1000);
    CHECK(bufferBytes("memory-mb = 200\nbuffers-percent = 50") == 100 * megabyte);
    // Smaller budgets couldn't hold an ordinary request body.
    CHECK(bufferBytes("memory-mb = 1\nbuffers-percent = 5") == 4 * megabyte);
}

// Guards against settings that leave no memory for the process itself.
TEST_CASE("serving: settings of the byte budget out of range are refused")
{
    for (const char* limits : { "buffers-percent = 4", "buffers-percent = 51", "memory-mb = -1", "memory-mb = many" })
        CHECK_FALSE(parse(limits).has_value());
}
