// Tests the line budget of the decision log, its report of dropped lines, and escaping.
#include "DecisionLog.h"
#include "process/StraySignals.h"

#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace jj;

namespace {

namespace json = boost::json;

class Pipe {
public:
    Pipe()
    {
        REQUIRE(::pipe(ends_.data()) == 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    int writeEnd() const { return ends_[1]; }

    std::string take() const
    {
        std::string all;
        std::array<char, 4096> piece {};
        for (ssize_t got = ::read(ends_[0], piece.data(), piece.size()); got > 0; got = ::read(ends_[0], piece.data(), piece.size()))
            all.append(piece.data(), static_cast<std::size_t>(got));
        return all;
    }

private:
    std::array<int, 2> ends_ {};
};

std::vector<json::object> linesOf(const std::string& text)
{
    std::vector<json::object> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        lines.push_back(json::parse(line).as_object());
    return lines;
}

constexpr std::uint32_t linesPerSecond = 400;

} // namespace

// The load is ten times the usual one and the reader of the log has stopped reading. The node must neither block nor use more and
// more memory, and must report how many lines are missing when the reader resumes.
TEST_CASE("serving: the decision log stays within its line budget at ten times the usual load")
{
    const Pipe pipe;
    DecisionLog log("node-1", linesPerSecond, pipe.writeEnd());
    const TimePoint startedAt = SystemClock().now();
    constexpr std::uint64_t offered = 10 * 3 * linesPerSecond;
    for (std::uint64_t number = 0; number < offered; ++number) {
        log.line("sent").with("request", std::to_string(number)).with("engine", "an engine's name").with("pick", "free");
        log.flushIfDue(SystemClock().now());
    }
    const double seconds = toSeconds(SystemClock().now() - startedAt);
    const auto written = offered - log.dropped();
    CHECK(static_cast<double>(written) <= linesPerSecond * (1 + seconds) + 1);
    log.flush();
    const std::string text = pipe.take();
    CHECK(text.size() <= 200 * written);
}

TEST_CASE("serving: the first line after dropped lines reports how many were dropped")
{
    const Pipe pipe;
    DecisionLog log("node-1", 2, pipe.writeEnd());
    for (int number = 0; number < 5; ++number)
        log.line("sent").with("request", number);
    REQUIRE(log.dropped() >= 2);
    const std::uint64_t missing = log.dropped();
    std::vector<json::object> lines;
    while (lines.empty() || !lines.back().contains("linesDropped")) {
        log.line("next");
        log.flush();
        for (json::object& line : linesOf(pipe.take()))
            lines.push_back(std::move(line));
    }
    CHECK(lines.front().at("event").as_string() == "sent");
    CHECK(lines.front().at("host").as_string() == "node-1");
    CHECK(lines.back().at("linesDropped").to_number<std::uint64_t>() >= missing);
}

// Guards against lines that a JSON reader refuses because a value of a caller or an engine is no UTF-8, or no number.
TEST_CASE("serving: values that JSON can't hold are logged as a line of JSON")
{
    const Pipe pipe;
    DecisionLog log("node-1", linesPerSecond, pipe.writeEnd());
    log.line("sent").with("request", "\xff\xfe\xf0\x80").with("share", std::nan("")).with("rate", HUGE_VAL);
    // The limit of a value falls inside a character.
    for (std::size_t length = 195; length < 205; ++length)
        log.line("sent").with("request", std::string(length, 'x') + "\xf0\x9f\x98\x80");
    for (int byte = 0; byte < 256; ++byte)
        log.line("sent").with("request", std::string(3, static_cast<char>(byte)) + "x");
    log.flush();
    const auto lines = linesOf(pipe.take());
    REQUIRE(lines.size() == 267);
    CHECK(lines[0].at("request").as_string() == "\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd");
    CHECK(lines[0].at("share").is_null());
    CHECK(lines[0].at("rate").is_null());
}

TEST_CASE("serving: any bytes in a request id are logged as one line of JSON")
{
    const Pipe pipe;
    DecisionLog log("node \"1\"", linesPerSecond, pipe.writeEnd());
    const std::string hostile = "a\"b\\c\nd\x01" + std::string(5000, 'e');
    log.line("noRoute").with("request", hostile).with("waitMs", Duration(250ms)).with("share", 0.5);
    log.flush();
    const auto lines = linesOf(pipe.take());
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("request").as_string().starts_with("a\"b\\c\nd\x01"));
    CHECK(lines[0].at("request").as_string().size() == 200);
    CHECK(lines[0].at("waitMs").as_int64() == 250);
}

// Guards against a process that ends, grows or blocks because nobody reads its log any more.
TEST_CASE("serving: a log whose reader is gone drops lines within its limits and counts its failures")
{
    ignoreStraySignals();
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    ::close(ends[0]);
    constexpr std::uint32_t unlimited = 1'000'000;
    DecisionLog log("node-1", unlimited, ends[1]);
    constexpr int offered = 2000;
    for (int number = 0; number < offered; ++number) {
        log.line("sent").with("request", std::string(200, 'x'));
        log.flush();
    }
    CHECK(log.writesFailed() == offered);
    CHECK(log.dropped() > 0);
    ::close(ends[1]);
}
