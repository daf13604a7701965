// Engines that send an element of their answer without end: each is cut off at its limit, with a typed error.
#include "RawPeers.h"

#include <doctest/doctest.h>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string shortAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";

// The connection is closed by the client long before the engine has sent all.
void checkCutOff(Script script, Error expected, const ClientSettings& settings = {})
{
    const ScriptedEngine engine(std::move(script));
    const Outcome outcome = fetchFrom(engine.at(), settings);
    REQUIRE(outcome.hasEnded_);
    CHECK(outcome.error_ == expected);
    CHECK(engine.wasClosedByClient());
}

void checkError(const std::string& text, Error expected, const ClientSettings& settings = {})
{
    const ScriptedEngine engine(Script { text });
    const Outcome outcome = fetchFrom(engine.at(), settings);
    REQUIRE(outcome.hasEnded_);
    CHECK(outcome.error_ == expected);
}

void checkWhole(const std::string& text, std::string_view body, const ClientSettings& settings = {})
{
    const ScriptedEngine engine(Script { text });
    const Outcome outcome = fetchFrom(engine.at(), settings);
    REQUIRE(outcome.response_);
    CHECK(outcome.response_->body_ == body);
}

std::string headerOf(std::size_t bytes) { return "X-Long: " + std::string(bytes, 'h') + "\r\n"; }

} // namespace

// Guards against an engine that makes a host grow by 1 GB in 9 s by one line.
TEST_CASE("answers: an endless chunk extension is cut off")
{
    checkCutOff({ chunkedHead + "5;a=", "x" }, Error::ChunkLineTooLong);
    checkCutOff({ chunkedHead + "5\r\nwhole\r\n5;a=", "x" }, Error::ChunkLineTooLong);
    checkCutOff({ chunkedHead, "0" }, Error::ChunkLineTooLong);
}

// Guards against long extensions that arrive in one piece, which is never seen incomplete.
TEST_CASE("answers: a complete chunk extension over its limit is an error")
{
    ClientSettings settings;
    settings.chunkLineBytes_ = 64;
    const std::string chunks = ";a=" + std::string(60, 'x') + "\r\nwhole\r\n0\r\n\r\n";
    checkWhole(chunkedHead + "5" + chunks, "whole", settings);
    checkError(chunkedHead + "5;bb=1" + chunks, Error::ChunkLineTooLong, settings);
}

TEST_CASE("answers: endless trailers are cut off")
{
    checkCutOff({ chunkedHead + "5\r\nwhole\r\n0\r\nX-Trailer: ", "x" }, Error::TrailerTooLarge);
    checkCutOff({ chunkedHead + "5\r\nwhole\r\n0\r\n", "X-Trailer: x\r\n" }, Error::TrailerTooLarge);
    checkWhole(chunkedHead + "5\r\nwhole\r\n0\r\n" + headerOf(8 * 1024) + "\r\n", "whole");
}

// Guards against chunks that are taken as trailers because they arrive together with the head.
TEST_CASE("answers: whole chunks aren't measured by the limits of lines and trailers")
{
    ClientSettings settings;
    settings.chunkLineBytes_ = 64;
    settings.trailerBytes_ = 64;
    const std::string data(4096, 'd');
    checkWhole(chunkedHead + "1000\r\n" + data + "\r\n1000\r\n" + data + "\r\n0\r\n\r\n", data + data, settings);
}

TEST_CASE("answers: endless interim answers are cut off, and eight are accepted")
{
    checkCutOff({ "", interim }, Error::TooManyInterimAnswers);
    std::string eight;
    for (int count = 0; count < 8; ++count)
        eight += interim;
    checkWhole(eight + shortAnswer, "whole");
    checkError(eight + interim + shortAnswer, Error::TooManyInterimAnswers);
}

TEST_CASE("answers: an endless status line or header is cut off")
{
    checkCutOff({ "HTTP/1.1 200 ", "O" }, Error::HeaderTooLarge);
    checkCutOff({ "HTTP/1.1 200 OK\r\nX-Long: ", "h" }, Error::HeaderTooLarge);
    checkCutOff({ "HTTP/1.1 200 OK\r\n", "X-Long: h\r\n" }, Error::HeaderTooLarge);
    checkCutOff({ interim + "HTTP/1.1 200 OK\r\nX-Long: ", "h" }, Error::HeaderTooLarge);
    checkCutOff({ "HTTP/1.1 102 Processing\r\nX-Long: ", "h" }, Error::HeaderTooLarge);
}

// Guards against the parser's own limit of 8 KB in place of the settings', also for the heads that follow interim answers.
TEST_CASE("answers: the limit of headers is that of the settings, after interim answers too")
{
    ClientSettings settings;
    settings.headerBytes_ = 1024;
    const std::string longHead = "HTTP/1.1 200 OK\r\n" + headerOf(4096) + "Content-Length: 5\r\n\r\nwhole";
    checkError(longHead, Error::HeaderTooLarge, settings);
    checkError(interim + longHead, Error::HeaderTooLarge, settings);
    checkError("HTTP/1.1 102 Processing\r\n" + headerOf(4096) + "\r\n" + shortAnswer, Error::HeaderTooLarge, settings);
    const std::string largeHead = "HTTP/1.1 200 OK\r\n" + headerOf(12 * 1024) + "Content-Length: 5\r\n\r\nwhole";
    checkWhole(largeHead, "whole");
    checkWhole(interim + largeHead, "whole");
}

// Guards against calls that read an endless answer for ever although they keep no more of it.
TEST_CASE("answers: a whole answer over its limit is cut off")
{
    ClientSettings settings;
    settings.bodyBytes_ = std::size_t { 64 } * 1024;
    checkCutOff({ "HTTP/1.1 200 OK\r\n\r\n", "x" }, Error::AnswerTooLarge, settings);
    checkCutOff({ chunkedHead, "5\r\nwhole\r\n" }, Error::AnswerTooLarge, settings);
    const std::string data(settings.bodyBytes_, 'd');
    checkWhole("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + data, data, settings);
}

// Guards against a wait for the body of an answer that has none.
TEST_CASE("answers: the answer to HEAD ends with its head, after an interim answer too")
{
    const ScriptedEngine engine(Script { interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", {}, 0, std::chrono::seconds(2) });
    const Outcome outcome = fetchFrom(engine.at(), {}, { "HEAD", "/", {}, {} }, std::chrono::seconds(1));
    REQUIRE(outcome.response_);
    CHECK(outcome.response_->status_ == 200);
}

// Guards against a head that has no limit because each of its lines arrives whole.
TEST_CASE("answers: a head of whole lines without end is cut off")
{
    Script script { "HTTP/1.1 200 OK\r\na", ":\r\na" };
    script.pieceBytes_ = 4 * 1024; // arrives as it is sent, so that each read ends one byte into a line
    script.pause_ = 1ms;
    script.mostBytes_ = 512 * 1024;
    checkCutOff(std::move(script), Error::HeaderTooLarge);
}
