// Answers whose status isn't one of the protocol, and interim answers.
#include "RawPeers.h"

#include <doctest/doctest.h>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

std::string answerOf(const std::string& status, const std::string& headers, const std::string& body) { return "HTTP/1.1 " + status + " Reason\r\n" + headers + "\r\n" + body; }

std::string framed(const std::string& body) { return "Content-Length: " + std::to_string(body.size()) + "\r\n"; }

// The connection stays open, so that a call which waits for more runs into its idle time.
Outcome fetch(const std::string& text)
{
    const ScriptedEngine engine(Script { text, {}, 0, 3s });
    return fetchFrom(engine.at(), {}, {}, 2s);
}

} // namespace

// Guards against the body of a failure that is taken for the final answer, and against a caller that waits for one until its time is over.
TEST_CASE("an answer whose status is none of the protocol is malformed")
{
    for (const char* status : { "000", "001", "099", "101", "600", "700", "999" }) {
        for (const std::string& text : { answerOf(status, {}, {}), answerOf(status, framed(final), final), answerOf(status, {}, final), answerOf(status, framed("oops"), "oops") }) {
            CAPTURE(text);
            const Outcome outcome = fetch(text);
            CHECK_FALSE(outcome.response_);
            CHECK(outcome.error_ == Error::Malformed);
            const bool isUnknown = outcome.run_ == RunState::OutcomeUnknown;
            CHECK(isUnknown);
        }
    }
}

// Guards against the body of an interim answer that is taken for the final one.
TEST_CASE("an interim answer with a body is malformed")
{
    for (const char* status : { "100", "103", "150", "199" }) {
        CHECK(fetch(answerOf(status, framed(final), final)).error_ == Error::Malformed);
        CHECK(fetch(answerOf(status, "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n")).error_ == Error::Malformed);
    }
}

TEST_CASE("a status that is none of the protocol is malformed after an interim answer too, and when it comes in pieces")
{
    for (const char* status : { "000", "101", "600" }) {
        CHECK(fetch(answerOf("100", {}, {}) + answerOf("103", "Link: l\r\n", {}) + answerOf(status, framed(final), final)).error_ == Error::Malformed);
        CHECK(fetch(answerOf("100", {}, {}) + answerOf(status, {}, {})).error_ == Error::Malformed);
        const std::string begin = std::string("HTTP/1.1 ") + status[0];
        const ScriptedEngine engine(Script { begin, std::string(status + 1) + " Odd\r\n\r\n", begin.size() + 1, 3s, 1, 20ms });
        CHECK(fetchFrom(engine.at(), {}, {}, 2s).error_ == Error::Malformed);
    }
}

TEST_CASE("interim answers precede the final one")
{
    for (const char* status : { "100", "102", "103", "150", "199" }) {
        const Outcome outcome = fetch(answerOf(status, "Link: l\r\n", {}) + answerOf(status, {}, {}) + final);
        REQUIRE(outcome.response_);
        CHECK(outcome.response_->status_ == statusOk);
        CHECK(outcome.response_->body_ == "body");
    }
}

TEST_CASE("a final answer has any status from 200 to 599")
{
    for (const int status : { 200, 299, 304, 425, 499, 500, 599 }) {
        const bool hasBody = status != 304;
        const Outcome outcome = fetch(answerOf(std::to_string(status), hasBody ? framed("body") : std::string(), hasBody ? "body" : ""));
        REQUIRE(outcome.response_);
        CHECK(outcome.response_->status_ == status);
    }
}
