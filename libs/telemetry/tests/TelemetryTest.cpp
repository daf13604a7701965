// What operators read must be whole, parseable and free of secrets.
#include "telemetry/Log.h"
#include "telemetry/Metrics.h"

#include <boost/json/parse.hpp>
#include <cmath>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <unistd.h>

using namespace jj;

TEST_CASE("a log line is one JSON object whatever the fields hold")
{
    const std::string line = logLine(WallTime(5ms), LogLevel::Warn, "10.0.0.1:1", "jobs", "badLine", { { "text", "a \"quote\"\nand a newline" }, { "line", 7 } });
    CHECK(line.find('\n') == std::string::npos);
    const auto object = boost::json::parse(line).as_object();
    CHECK(object.at("event").as_string() == "badLine");
    CHECK(object.at("line").as_int64() == 7);
    CHECK(object.at("ts").as_int64() == 5);
}

// Guards against lines that a JSON reader refuses because a peer's value is no UTF-8, or no number.
TEST_CASE("a log line is JSON whatever bytes and numbers its fields hold")
{
    const std::string line = logLine(WallTime(), LogLevel::Info, "host", "part", "event", { { "text", std::string("a\xff") }, { "number", std::nan("") }, { "most", HUGE_VAL } });
    const boost::json::object read = boost::json::parse(line).as_object();
    CHECK(read.at("text").as_string() == "a\xef\xbf\xbd");
    CHECK(read.at("number").is_null());
    CHECK(read.at("most").is_null());
}

TEST_CASE("a hidden secret does not reach a log line")
{
    // An operator pastes the token into a header with a typo; the refusal's text quotes the header, and the log quotes the text.
    hideSecret("s3cret-operator-token");
    const std::string line = logLine(WallTime(), LogLevel::Info, "h", "gateway", "refused", { { "detail", "header 'Bearer s3cret-operator-token' refused" } });
    CHECK(line.find("s3cret") == std::string::npos);
    CHECK(line.find("[hidden]") != std::string::npos);
}

TEST_CASE("metrics come out as Prometheus text with one header a name")
{
    Metrics metrics;
    const CounterHandle expired = metrics.counter("jj_refused_total", "requests refused", { { "reason", "expired" } });
    const CounterHandle full = metrics.counter("jj_refused_total", "requests refused", { { "reason", "queueFull" } });
    CHECK(metrics.counter("jj_refused_total", "requests refused", { { "reason", "expired" } }) == expired);
    metrics.add(expired, 2);
    metrics.add(full);
    const std::string text = metrics.prometheusText();
    CHECK(text.find("jj_refused_total{reason=\"expired\"} 2\n") != std::string::npos);
    CHECK(text.find("jj_refused_total{reason=\"queueFull\"} 1\n") != std::string::npos);
    CHECK(text.find("# TYPE jj_refused_total counter") == text.rfind("# TYPE jj_refused_total counter"));
}

TEST_CASE("a distribution estimates its quantiles")
{
    Metrics metrics;
    const DistributionHandle wait = metrics.distribution("jj_wait_ms", "wait");
    std::mt19937_64 random(11);
    std::uniform_real_distribution<double> uniform(0, 100);
    for (int i = 0; i < 20000; ++i)
        metrics.observe(wait, uniform(random));
    const DistributionSummary summary = metrics.summary(wait);
    CHECK(summary.count_ == 20000);
    CHECK(summary.p50_ == doctest::Approx(50).epsilon(0.05));
    CHECK(summary.p95_ == doctest::Approx(95).epsilon(0.05));
    CHECK(summary.largest_ <= 100);
}

// Guards against a log file that is opened anew, and a descriptor that stays open, at each attempt to start.
TEST_CASE("telemetry: a log file has the lines of all starts of its log, through one descriptor")
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / ("jayjunction-log-" + std::to_string(::getpid()));
    const auto openDescriptors = [] { return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {}); };
    LogSettings settings;
    settings.file_ = path.string();
    startLogs(settings, "host");
    const auto before = openDescriptors();
    Log("part").info("first");
    for (int attempt = 0; attempt < 10; ++attempt)
        startLogs(settings, "host");
    CHECK(openDescriptors() == before);
    Log("part").info("second");
    stopLogs();
    std::ifstream file(path);
    std::string lines;
    for (std::string line; std::getline(file, line);)
        lines += line.find("first") != std::string::npos ? "1" : line.find("second") != std::string::npos ? "2"
                                                                                                          : "";
    CHECK(lines == "12");
    std::filesystem::remove(path);
}
