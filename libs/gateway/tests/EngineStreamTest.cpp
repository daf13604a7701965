// An engine's stream as the gateway reads it: cut into pieces, refused, broken, silent, and given up.
#include "gateway/EngineStream.h"

#include "http/Client.h"
#include "http/Server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace jj;

namespace {

std::string tokenEvent(int position, const std::string& text)
{
    return R"(data: {"id":"s","choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null}],"position":)" + std::to_string(position) + "}\n\n";
}

// An engine of one answer and one client, on one thread.
struct Bench {
    explicit Bench(http::Server::Handler handler)
        : server_(std::move(http::Server::create(io_, {}, std::move(handler)).value()))
        , client_(std::make_unique<http::Client>(io_, http::ClientSettings {}))
    {
    }

    std::shared_ptr<EngineStream> start(const Endpoint& engine, Duration idle = 5s)
    {
        EngineStreamHandlers handlers;
        handlers.onTokens_ = [this](std::uint32_t position, std::uint32_t count, std::string_view text) {
            position_ = position;
            count_ += count;
            text_ += text;
        };
        handlers.onEnd_ = [this] { ended_ = true; };
        handlers.onFailure_ = [this](EngineFailure failure, bool sent, std::string_view answer) {
            failure_ = failure;
            sent_ = sent;
            answer_ = answer;
        };
        return EngineStream::start(*client_, engine, { "s", "{}", idle }, handlers);
    }

    void run()
    {
        while (!ended_ && !failure_)
            io_.run_one();
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    std::unique_ptr<http::Server> server_;
    std::unique_ptr<http::Client> client_;
    std::uint32_t position_ = 0;
    std::uint32_t count_ = 0;
    std::string text_;
    std::string answer_;
    bool ended_ = false;
    bool sent_ = false;
    std::optional<EngineFailure> failure_;
};

// Answers the stream with the text and closes the connection when asked, and the probe with 200.
http::Server::Handler scripted(const std::string& text, bool cut, int status = 200)
{
    return [=](const std::shared_ptr<http::Exchange>& exchange) {
        if (exchange->request().method_ == "GET")
            return exchange->respond({ 200, {}, "" });
        exchange->start(status, {});
        exchange->write(text);
        if (!cut)
            return exchange->end();
        exchange->whenDrained([exchange] { exchange->abort(); });
    };
}

} // namespace

TEST_CASE("tokens arrive in order with their positions")
{
    std::string text;
    for (int i = 0; i < 50; ++i)
        text += tokenEvent(i, "w" + std::to_string(i) + " ");
    Bench bench(scripted(text + "data: [DONE]\n\n", false));
    const auto stream = bench.start(bench.server_->local());
    bench.run();
    CHECK(bench.ended_);
    CHECK(bench.count_ == 50);
    CHECK(bench.position_ == 50);
    CHECK(bench.text_.starts_with("w0 w1 "));
    CHECK(stream.use_count() == 1); // neither its connection nor its handlers hold it any more
}

TEST_CASE("an engine that refuses or errs is distinguished by its status")
{
    const std::pair<int, EngineFailure> cases[] = { { 429, EngineFailure::Overloaded }, { 503, EngineFailure::Overloaded }, { 422, EngineFailure::Rejected }, { 500, EngineFailure::ServerError } };
    for (const auto& [status, failure] : cases) {
        Bench bench(scripted("why", false, status));
        const auto stream = bench.start(bench.server_->local());
        bench.run();
        REQUIRE(bench.failure_);
        CHECK((*bench.failure_ == failure));
        CHECK(bench.answer_ == "why");
    }
}

TEST_CASE("a stream that breaks its protocol is an error of the engine")
{
    Bench bench(scripted("data: {\"position\":\"x\"}\n\n", false));
    const auto stream = bench.start(bench.server_->local());
    bench.run();
    REQUIRE(bench.failure_);
    CHECK((*bench.failure_ == EngineFailure::ServerError));
}

// An engine's proxy cuts a stream in the middle while the engine lives on. The caller must not get a truncated answer as whole, and
// the engine must not be taken for dead.
TEST_CASE("a cut stream of a live engine is a lost connection and not a crash")
{
    for (const bool cut : { true, false }) {
        Bench bench(scripted(tokenEvent(0, "one "), cut));
        const auto stream = bench.start(bench.server_->local());
        bench.run();
        REQUIRE(bench.failure_);
        CHECK((*bench.failure_ == EngineFailure::Disconnected));
        CHECK(bench.sent_);
    }
}

TEST_CASE("an engine that nobody listens for gets no byte")
{
    Bench bench(scripted("", false));
    Endpoint nobody = bench.server_->local();
    bench.server_.reset();
    bench.io_.poll();
    const auto stream = bench.start(nobody);
    bench.run();
    REQUIRE(bench.failure_);
    CHECK((*bench.failure_ == EngineFailure::Connect));
    CHECK_FALSE(bench.sent_);
}

TEST_CASE("a stream without a byte for the bound is silent")
{
    std::shared_ptr<http::Exchange> held;
    Bench bench([&](const std::shared_ptr<http::Exchange>& exchange) {
        held = exchange;
        exchange->start(200, {});
        exchange->write(tokenEvent(0, "one "));
    });
    const auto stream = bench.start(bench.server_->local(), 30ms);
    bench.run();
    REQUIRE(bench.failure_);
    CHECK((*bench.failure_ == EngineFailure::Silent));
    CHECK(bench.count_ == 1);
    held.reset();
}

// A caller hangs up in the middle of an answer. The engine must learn it, or the stream goes on in a slot that nobody reads.
TEST_CASE("a stream that is given up is closed towards the engine and its handlers are let go")
{
    bool freed = false;
    std::shared_ptr<http::Exchange> held;
    Bench bench([&](const std::shared_ptr<http::Exchange>& exchange) {
        held = exchange;
        exchange->onClosed([&] { freed = true; });
        exchange->start(200, {});
        exchange->write(tokenEvent(0, "one "));
    });
    auto stream = bench.start(bench.server_->local());
    while (bench.count_ == 0)
        bench.io_.run_one();
    std::weak_ptr<EngineStream> watched = stream;
    stream->cancel();
    stream.reset();
    while (!freed)
        bench.io_.run_one();
    CHECK(watched.expired());
    CHECK_FALSE(bench.ended_);
    CHECK_FALSE(bench.failure_);
    held.reset();
}
