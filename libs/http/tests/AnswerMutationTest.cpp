// Answers with random damage, over loopback: each call ends with an answer or a typed error, and keeps a bounded number of bytes.
#include "RawPeers.h"

#include <doctest/doctest.h>
#include <malloc.h>
#include <random>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

const std::array<std::string, 6> sampleAnswers {
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"model\":\"m\"}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=\"b c\"\r\ndata:\r\n3\r\n x\n\r\n0\r\nX-Trailer: t\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlast\r\n0\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbusy",
    "HTTP/1.0 200 OK\r\nX-Server-Load: 1 2 3 4\r\n\r\nuntil the end",
    "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
};

std::string damaged(std::string text, std::mt19937_64& random)
{
    const std::uint64_t changes = random() % 5;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), random() % 64));
            break;
        case 3:
            text.insert(at, std::string(random() % 8192, text[at]));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

// Some go on without end by a piece of themselves.
Script damagedScript(std::mt19937_64& random)
{
    Script script { damaged(sampleAnswers[random() % sampleAnswers.size()], random), {}, std::size_t { 1024 } * 1024 };
    const bool isEndless = random() % 4 == 0 && !script.text_.empty();
    if (isEndless) {
        const std::size_t at = random() % script.text_.size();
        script.endless_ = script.text_.substr(at, 1 + random() % 64);
        script.text_.resize(at);
    }
    if (random() % 16 == 0)
        script.openFor_ = std::chrono::milliseconds(30);
    return script;
}

std::size_t allocatedBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

void fetchDamaged(std::uint64_t seed, int rounds)
{
    constexpr std::size_t mostBytes = std::size_t { 512 } * 1024; // of one call and its engine's script; endless answers send 1 MB
    std::mt19937_64 random(seed);
    const ScriptedEngine engine([&random] { return damagedScript(random); });
    ClientSettings settings;
    settings.headerBytes_ = 2048;
    settings.chunkLineBytes_ = 256;
    settings.trailerBytes_ = 512;
    settings.bodyBytes_ = 4096;
    int answers = 0;
    for (int round = 0; round < rounds; ++round) {
        boost::asio::io_context io;
        Client client(io, settings);
        CallOptions options;
        options.idle_ = std::chrono::milliseconds(200);
        const std::size_t before = allocatedBytes();
        std::optional<Result<Response>> outcome;
        client.fetch(engine.at(), { round % 8 == 0 ? "HEAD" : "GET", "/", {}, {} }, options, [&](Result<Response> response, RunState) { outcome = std::move(response); });
        const auto until = std::chrono::steady_clock::now() + testTime;
        while (!outcome && std::chrono::steady_clock::now() < until) {
            io.run_one_until(until);
            CHECK(allocatedBytes() < before + mostBytes);
        }
        INFO("seed " << seed << ", round " << round);
        REQUIRE(outcome);
        if (*outcome) {
            ++answers;
            CHECK(outcome->value().body_.size() <= settings.bodyBytes_);
        } else {
            CHECK(std::string_view(outcome->error().category().name()) == "http");
        }
    }
    CHECK(answers > 0);
    CHECK(answers < rounds);
}

} // namespace

TEST_CASE("the client survives answers with random damage")
{
    for (const std::uint64_t seed : { 20261204U, 17U, 4711U })
        fetchDamaged(seed, 200);
}
