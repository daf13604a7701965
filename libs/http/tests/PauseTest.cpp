// Pauses of reading: nothing is lost, and they don't count as silence of the other side. Shared bodies: released once they are written.
#include "RawPeers.h"

#include "http/Server.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <utility>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

constexpr std::size_t longBytes = std::size_t { 24 } * 1024 * 1024; // more than the kernel's buffers hold

// A text in which each lost, repeated or moved piece shows.
std::string patternOf(std::size_t bytes)
{
    std::string text;
    for (std::size_t count = 0; text.size() < bytes; ++count)
        text += std::to_string(count) + ' ';
    text.resize(bytes);
    return text;
}

std::string answerOf(const std::string& body) { return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; }

// A call, its event loop and what has come of it so far.
struct Reader {
    explicit Reader(Duration idle, std::function<void(Reader&)> onData = {}, ClientSettings settings = {})
        : client_(io_, std::move(settings))
        , onData_(std::move(onData))
    {
        options_.idle_ = idle;
    }

    void send(const Endpoint& at, const Request& request = {})
    {
        CallHandlers handlers;
        handlers.onHead_ = [this](const ResponseHead&) { hasHead_ = true; };
        handlers.onData_ = [this](std::string_view data) {
            body_ += data;
            if (onData_)
                onData_(*this);
        };
        handlers.onEnd_ = [this](AnswerEnd) { hasEnded_ = true; };
        handlers.onError_ = [this](const CallFailure& failure) {
            hasEnded_ = true;
            error_ = failure.code_;
        };
        call_ = client_.send(at, request, options_, std::move(handlers));
    }

    void runFor(Duration time)
    {
        io_.restart();
        io_.run_for(time);
    }

    void runUntil(const std::function<bool()>& isDone)
    {
        const auto until = std::chrono::steady_clock::now() + testTime;
        io_.restart();
        while (!isDone() && std::chrono::steady_clock::now() < until)
            io_.run_one_until(until);
    }

    void runToEnd()
    {
        runUntil([this] { return hasEnded_; });
        REQUIRE_MESSAGE(hasEnded_, body_.size());
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    Client client_;
    CallOptions options_;
    std::function<void(Reader&)> onData_;
    std::shared_ptr<Call> call_;
    std::string body_;
    std::error_code error_;
    bool hasHead_ = false;
    bool hasEnded_ = false;
};

} // namespace

// Guards against answers that a host reads although nobody takes them, and against engines that are given up for this side's pause.
TEST_CASE("pause: nothing is read, the idle time doesn't run, and the answer arrives whole afterwards")
{
    const std::string body = patternOf(longBytes);
    const ScriptedEngine engine(Script { answerOf(body) });
    Reader reader(400ms, [](Reader& self) {
        if (self.body_.size() < 64UL * 1024)
            self.call_->pauseReading();
    });
    reader.send(engine.at());
    reader.runUntil([&] { return !reader.body_.empty(); });
    REQUIRE_FALSE(reader.hasEnded_);
    const std::size_t before = reader.body_.size();
    reader.runFor(1800ms);
    CHECK(reader.body_.size() == before);
    CHECK_FALSE(reader.hasEnded_);
    reader.onData_ = {};
    reader.call_->resumeReading();
    reader.runToEnd();
    CHECK_FALSE(reader.error_);
    CHECK((reader.body_ == body));
}

// Guards against many streams that each hold a large part of an event which their pause keeps from its end.
TEST_CASE("pause: while the byte budget is exhausted, answers are read in small pieces")
{
    constexpr std::size_t kib = 1024;
    constexpr std::size_t smallPiece = 4 * kib;
    const auto budget = ByteBudget::create({ 512 * kib, 16 * kib, 128 * kib }).value();
    ByteHold other = budget->hold(ByteUse::Uploads);
    const std::string body = patternOf(longBytes);
    const ScriptedEngine engine([answer = answerOf(body)] { return Script { answer }; });
    for (const bool isExhausted : { false, true }) {
        other.resize(isExhausted ? 512 * kib : 0);
        std::size_t largest = 0;
        std::size_t before = 0;
        Reader reader(
            1s, [&](Reader& self) {
                largest = std::max(largest, self.body_.size() - std::exchange(before, self.body_.size()));
            },
            { .budget_ = budget });
        reader.send(engine.at());
        reader.runToEnd();
        CHECK_FALSE(reader.error_);
        CHECK((reader.body_ == body));
        CHECK((largest <= smallPiece) == isExhausted);
    }
}

TEST_CASE("pause: an engine that is silent after the pause is given up after the idle time")
{
    const ScriptedEngine engine(Script { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", {}, 0, std::chrono::seconds(5) });
    Reader reader(100ms);
    reader.send(engine.at());
    reader.runUntil([&] { return !reader.body_.empty(); });
    reader.call_->pauseReading();
    reader.runFor(250ms);
    reader.call_->resumeReading();
    const auto resumedAt = std::chrono::steady_clock::now();
    reader.runToEnd();
    CHECK(reader.error_ == Error::NoProgress);
    CHECK(std::chrono::steady_clock::now() - resumedAt >= 90ms);
}

// Guards against a pause that counts as silence because the idle timer is due just when it ends.
TEST_CASE("pause: the idle timer that is due at its end counts from the end")
{
    const ScriptedEngine engine(Script { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal", {}, 0, std::chrono::seconds(5) });
    Reader reader(200ms);
    reader.send(engine.at());
    reader.runUntil([&] { return !reader.body_.empty(); });
    reader.call_->pauseReading();
    std::this_thread::sleep_for(250ms);
    reader.io_.poll();
    std::this_thread::sleep_for(250ms);
    // Both timers are due, that of the connection first; it waits for its strand while the other one ends the pause.
    boost::asio::steady_timer due(reader.io_, std::chrono::steady_clock::now());
    due.async_wait([&](boost::system::error_code) { reader.call_->resumeReading(); });
    reader.runFor(100ms);
    CHECK_FALSE(reader.hasEnded_);
}

// Guards against wake-ups that are lost between a pause and its end, which may come from another thread at any time.
TEST_CASE("pause: pauses and ends from two threads lose nothing")
{
    const std::string body = patternOf(longBytes);
    const ScriptedEngine engine(Script { answerOf(body) });
    Reader reader(5s, [](Reader& self) { self.call_->pauseReading(); });
    reader.send(engine.at());
    std::atomic<bool> stopped = false;
    std::thread other([&] {
        while (!stopped) {
            reader.call_->resumeReading();
            std::this_thread::yield();
        }
    });
    reader.runUntil([&] { return reader.hasEnded_; });
    stopped = true;
    other.join();
    CHECK_FALSE(reader.error_);
    CHECK((reader.body_ == body));
}

// Guards against a connection that isn't watched in the pool because its last call ended while it was paused.
TEST_CASE("pause: an answer that ends while it is paused gives its connection back")
{
    boost::asio::io_context serverLoop;
    auto server = Server::create(serverLoop, {}, [](const std::shared_ptr<Exchange>& exchange) { exchange->respond({ 200, {}, "short" }); });
    REQUIRE(server);
    std::thread thread([&] { serverLoop.run(); });
    Reader reader(1s, [](Reader& self) { self.call_->pauseReading(); });
    for (int count = 0; count < 2; ++count) {
        reader.hasEnded_ = false;
        reader.send(server.value()->local());
        reader.runToEnd();
        CHECK_FALSE(reader.error_);
    }
    CHECK(reader.body_ == "shortshort");
    CHECK(reader.client_.pooledConnections() == 1);
    serverLoop.stop();
    thread.join();
}

TEST_CASE("pause: a call that is cancelled meanwhile delivers what has arrived, if that is asked for")
{
    const std::string body = patternOf(std::size_t { 256 } * 1024);
    const ScriptedEngine engine(Script { answerOf(body), {}, 0, std::chrono::seconds(5) });
    Reader reader(5s);
    reader.send(engine.at());
    reader.call_->pauseReading();
    reader.runFor(100ms);
    CHECK_FALSE(reader.hasHead_);
    reader.call_->cancelAfterReceived();
    reader.runFor(200ms);
    CHECK((reader.body_ == body));
}

// Guards against a thread that reads for ever from an engine that sends faster than this side reads.
TEST_CASE("a call that is cancelled after what was received ends although the engine sends without end")
{
    const ScriptedEngine engine(Script { "HTTP/1.1 200 OK\r\n\r\n", "x", std::size_t { 1 } << 40 });
    Reader reader(5s, [](Reader&) { std::this_thread::sleep_for(1ms); });
    reader.send(engine.at());
    reader.runUntil([&] { return !reader.body_.empty(); });
    reader.call_->cancelAfterReceived();
    const auto before = std::chrono::steady_clock::now();
    reader.runFor(1s);
    CHECK(std::chrono::steady_clock::now() - before < 5s);
    CHECK(engine.wasClosedByClient());
}

// Guards against bodies that stay in memory until their answer has ended, which may take minutes.
TEST_CASE("a shared body is sent without a copy and released once it is written")
{
    const ScriptedEngine engine(Script { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", {}, 0, std::chrono::seconds(5) });
    auto body = std::make_shared<const std::string>("shared body");
    Reader reader(5s);
    reader.options_.sharedBody_ = body;
    reader.send(engine.at(), { "POST", "/", {}, {} });
    reader.options_.sharedBody_ = nullptr;
    CHECK(body.use_count() == 2);
    reader.runUntil([&] { return !reader.body_.empty(); });
    CHECK(body.use_count() == 1);
    CHECK_FALSE(reader.hasEnded_);
}

TEST_CASE("a shared body is released when its call ends before it is sent")
{
    auto body = std::make_shared<const std::string>("shared body");
    Reader reader(5s);
    reader.options_.sharedBody_ = body;
    const bool isCancelled = [&] { SUBCASE("cancelled") { return true; } SUBCASE("not connected") { return false; } return true; }();
    reader.send({ "127.0.0.1", 1 }, { "POST", "/", {}, {} });
    reader.options_.sharedBody_ = nullptr;
    if (isCancelled)
        reader.call_->cancel();
    reader.runFor(100ms);
    CHECK(reader.hasEnded_ != isCancelled);
    CHECK(body.use_count() == 1);
}
