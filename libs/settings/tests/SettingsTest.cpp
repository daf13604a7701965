// Settings are refused with the key, the value and what is allowed; what is accepted survives its stored form unchanged.
#include "settings/FleetConfig.h"
#include "settings/Ini.h"
#include "settings/Questionnaire.h"
#include "settings/SettingsError.h"

#include <doctest/doctest.h>
#include <random>

using namespace jj;

namespace {

constexpr std::string_view answers = R"([organisation]
name = umthunzi
[region gauteng]
failure-domains = gau-north, gau-south
[region kzn]
failure-domains = kzn-coast
# the narrow link
[link]
bandwidth-mbps = 30
[workload bookhelp]
person-waits-ms = 3000
counts-most = latency
model = park-7b
model-version = 3
engines = 127.0.0.1:9001@gau-north, 127.0.0.1:9002@gau-south, 127.0.0.1:9003@kzn-coast
[plain-service bookings]
may-not-be-repeated = POST /bookings
answers-for-outcomes = yes
upstreams = 127.0.0.1:9101@gau-north
)";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string result(text);
    result.replace(result.find(from), from.size(), to);
    return result;
}

bool hasFailure(const Failures& failures, SettingsError code, std::string_view word)
{
    for (const Failure& failure : failures) {
        if (failure.code_ == code && failure.detail_.find(word) != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("answers become a configuration that survives its stored form")
{
    const auto config = configurationFromAnswers(answers);
    REQUIRE_MESSAGE(config, describe(config ? Failures {} : config.error()));
    const std::string stored = toIni(config.value());
    const auto again = parseFleetConfig(stored);
    REQUIRE(again);
    CHECK(toIni(again.value()) == stored);
    const ServiceConfig* service = again.value().service("bookhelp");
    REQUIRE(service);
    CHECK(service->upstreams_.size() == 3);
    CHECK(service->onlineDeadline_ == 3s);
    CHECK(service->latencyWeight_ > 0.8);
    CHECK(again.value().regionOf("kzn-coast")->name_ == "kzn");
}

TEST_CASE("calls that may not be repeated are distinguished by method and path")
{
    const auto config = configurationFromAnswers(answers);
    REQUIRE(config);
    const ServiceConfig* bookings = config.value().service("bookings");
    CHECK_FALSE(bookings->mayRepeat("POST", "/bookings/17"));
    CHECK(bookings->mayRepeat("GET", "/bookings/17"));
    CHECK(bookings->mayRepeat("POST", "/search"));
}

TEST_CASE("a misspelt key is refused and named")
{
    // An operator writes person-wait-ms; a default would silently stay in force and callers would wait far too long.
    const auto config = configurationFromAnswers(replaced(answers, "person-waits-ms", "person-wait-ms"));
    REQUIRE_FALSE(config);
    CHECK(hasFailure(config.error(), SettingsError::UnknownKey, "person-wait-ms"));
    CHECK(hasFailure(config.error(), SettingsError::MissingKey, "person-waits-ms"));
}

TEST_CASE("values out of range name key and value and what is allowed")
{
    const auto config = configurationFromAnswers(replaced(answers, "3000", "3"));
    REQUIRE_FALSE(config);
    CHECK(hasFailure(config.error(), SettingsError::OutOfRange, "person-waits-ms = '3', allowed: from 100"));
}

TEST_CASE("unknown failure domains and doubled addresses are refused")
{
    const auto unknown = configurationFromAnswers(replaced(answers, "9003@kzn-coast", "9003@kzn-cost"));
    REQUIRE_FALSE(unknown);
    CHECK(hasFailure(unknown.error(), SettingsError::UnknownName, "kzn-cost"));
    const auto doubled = configurationFromAnswers(replaced(answers, "9003@", "9001@"));
    REQUIRE_FALSE(doubled);
    CHECK(hasFailure(doubled.error(), SettingsError::Duplicate, "127.0.0.1:9001"));
}

TEST_CASE("addresses are IP numbers with a port")
{
    CHECK(Address::parse("10.1.2.3:80")->port_ == 80);
    CHECK(Address::parse("[::1]:80")->toString() == "[::1]:80");
    CHECK_FALSE(Address::parse("localhost:80"));
    CHECK_FALSE(Address::parse("10.1.2.3:65536"));
    CHECK_FALSE(Address::parse("10.1.2.3"));
}

TEST_CASE("mutated configurations end in a value or typed failures")
{
    // Someone pastes half a file, or a disk flips a bit: the reader must answer with failures and never crash.
    std::mt19937_64 random(20261202);
    const auto config = configurationFromAnswers(answers);
    REQUIRE(config);
    const std::string stored = toIni(config.value());
    for (int round = 0; round < 3000; ++round) {
        std::string text = stored;
        const int edits = 1 + static_cast<int>(random() % 4);
        for (int edit = 0; edit < edits; ++edit) {
            const std::size_t place = random() % text.size();
            if (random() % 3 == 0)
                text.erase(place, random() % 20);
            else
                text[place] = static_cast<char>(random() % 256);
            if (text.empty())
                text = " ";
        }
        const auto parsed = parseFleetConfig(text);
        if (!parsed) {
            CHECK_FALSE(parsed.error().empty());
            for (const Failure& failure : parsed.error())
                CHECK(failure.code_);
        }
    }
}
