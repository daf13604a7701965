// Ends of calls by the client, against a server that the test plays by hand.
#include "http/Client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <thread>

using namespace jj;
using namespace jj::http;
using boost::asio::ip::tcp;

namespace {

// One call to a server whose socket the test reads and writes while the client's loop stands still.
struct ManualExchange {
    explicit ManualExchange(const ClientSettings& settings = {})
        : acceptor_(serverIo_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , server_(serverIo_)
        , client_(clientIo_, settings)
    {
        CallHandlers handlers;
        handlers.onHead_ = [this](const ResponseHead& head) { status_ = head.status_; };
        handlers.onData_ = [this](std::string_view data) { body_.append(data); };
        handlers.onEnd_ = [this](AnswerEnd) { ++ends_; };
        handlers.onError_ = [this](const CallFailure&) { ++errors_; };
        call_ = client_.send({ "127.0.0.1", acceptor_.local_endpoint().port() }, { "POST", "/item", {}, "body" }, {}, std::move(handlers));
        turnClient();
        acceptor_.accept(server_);
        turnClient();
        boost::asio::read_until(server_, request_, "body");
    }

    void answer(const std::string& text)
    {
        boost::asio::write(server_, boost::asio::buffer(text));
        waitUntilDelivered();
    }

    void turnClient()
    {
        constexpr Duration turn = 50ms;
        clientIo_.restart();
        clientIo_.run_for(turn);
    }

    // Whether the client has closed its connection, in order or by a reset.
    bool isClosedByClient()
    {
        turnClient();
        boost::system::error_code error;
        server_.non_blocking(true);
        char byte = 0;
        server_.read_some(boost::asio::buffer(&byte, 1), error);
        return error && error != boost::asio::error::would_block;
    }

    boost::asio::io_context serverIo_;
    boost::asio::io_context clientIo_;
    tcp::acceptor acceptor_;
    tcp::socket server_;
    boost::asio::streambuf request_;
    Client client_;
    std::shared_ptr<Call> call_;
    int status_ = 0;
    std::string body_;
    int ends_ = 0;
    int errors_ = 0;

private:
    // Loopback delivers within this time.
    static void waitUntilDelivered() { std::this_thread::sleep_for(std::chrono::milliseconds(20)); }
};

constexpr auto wholeAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops";

} // namespace

// Guards against a health check that is answered without end and is never decided.
TEST_CASE("http: a call with a limit of time ends although bytes come without end")
{
    boost::asio::io_context serverIo;
    tcp::acceptor acceptor(serverIo, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::thread server([&] {
        tcp::socket socket(serverIo);
        acceptor.accept(socket);
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")), error);
        while (!error) {
            boost::asio::write(socket, boost::asio::buffer(std::string("1\r\nx\r\n")), error);
            std::this_thread::sleep_for(5ms);
        }
    });
    boost::asio::io_context io;
    Client client(io, {});
    CallOptions options;
    options.idle_ = 10s;
    options.total_ = 200ms;
    std::error_code error;
    client.fetch({ "127.0.0.1", acceptor.local_endpoint().port() }, { "GET", "/health", {}, {} }, options, [&](const Result<Response>& response, RunState) { error = response ? std::error_code() : response.error(); });
    const TimePoint begin = SystemClock().now();
    io.run();
    server.join();
    CHECK(error == make_error_code(Error::NoProgress));
    CHECK(SystemClock().now() - begin < 2s);
}

// Guards against a process that ends because of one header that is too long.
TEST_CASE("http: a request that can't be encoded fails by itself, as not run")
{
    boost::asio::io_context io;
    Client client(io, {});
    constexpr std::size_t overLimit = 65'534;
    std::optional<CallFailure> failure;
    CallHandlers handlers;
    handlers.onError_ = [&](const CallFailure& one) { failure = one; };
    client.send({ "127.0.0.1", 1 }, { "POST", "/item", { { "X-Long", std::string(overLimit, 'v') } }, {} }, {}, std::move(handlers));
    CHECK(!failure);
    io.run();
    REQUIRE(failure);
    CHECK(failure->code_ == make_error_code(http::Error::Unencodable));
    CHECK((failure->run_ == RunState::NotRun));
}

// Guards against a request that is written although its call was cancelled before.
TEST_CASE("http: a call cancelled before it was sent sends nothing")
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    Client client(io, {});
    const Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    const auto cancelled = client.send(endpoint, { "POST", "/cancelled", {}, "body" }, {}, {});
    CHECK(!cancelled->wasSent());
    cancelled->cancel();
    const auto sent = client.send(endpoint, { "POST", "/sent", {}, "body" }, {}, {});
    constexpr Duration turn = 50ms;
    io.run_for(turn);
    CHECK(!cancelled->wasSent());
    CHECK(sent->wasSent());
    tcp::socket server(io);
    acceptor.accept(server);
    boost::asio::streambuf request;
    boost::asio::read_until(server, request, "body");
    const std::string text(boost::asio::buffers_begin(request.data()), boost::asio::buffers_end(request.data()));
    CHECK(text.starts_with("POST /sent"));
}

// Guards against an answer that is lost because the call is ended after it has arrived and before it is read.
TEST_CASE("http: a call that is cancelled after what was received delivers a whole answer")
{
    ManualExchange exchange;
    exchange.answer(wholeAnswer);
    exchange.call_->cancelAfterReceived();
    exchange.turnClient();
    CHECK(exchange.status_ == 500);
    CHECK(exchange.body_ == "oops");
    CHECK(exchange.ends_ == 1);
    CHECK(exchange.errors_ == 0);
    CHECK_FALSE(exchange.isClosedByClient());
}

TEST_CASE("http: a call that is cancelled after what was received delivers the part that has arrived, and ends")
{
    ManualExchange exchange;
    exchange.answer("HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 4\r\n\r\nno");
    exchange.call_->cancelAfterReceived();
    exchange.turnClient();
    CHECK(exchange.status_ == 422);
    CHECK(exchange.ends_ == 0);
    CHECK(exchange.isClosedByClient());
    CHECK(exchange.errors_ == 0);
}

TEST_CASE("http: a call that is cancelled after what was received ends at once if nothing has arrived")
{
    ManualExchange exchange;
    exchange.call_->cancelAfterReceived();
    exchange.call_->cancelAfterReceived();
    CHECK(exchange.isClosedByClient());
    CHECK(exchange.status_ == 0);
    CHECK(exchange.ends_ == 0);
    CHECK(exchange.errors_ == 0);
}

// Guards against an answer that is lost because it crosses the end of its call on the way.
TEST_CASE("http: a call that is cancelled after what was received delivers an answer that was on its way")
{
    ClientSettings settings;
    settings.cancelLinger_ = 10s; // however slow the test's process is
    ManualExchange exchange(settings);
    exchange.call_->cancelAfterReceived();
    exchange.clientIo_.restart();
    exchange.clientIo_.run_for(5ms);
    exchange.answer(wholeAnswer);
    exchange.turnClient();
    CHECK(exchange.status_ == 500);
    CHECK(exchange.ends_ == 1);
    CHECK(exchange.errors_ == 0);
    CHECK(exchange.isClosedByClient());
    CHECK(exchange.client_.pooledConnections() == 0);
}

TEST_CASE("http: a call that is cancelled after what was received ignores what comes long after")
{
    ManualExchange exchange;
    exchange.call_->cancelAfterReceived();
    exchange.turnClient();
    exchange.turnClient();
    exchange.answer(wholeAnswer);
    exchange.turnClient();
    CHECK(exchange.status_ == 0);
    CHECK(exchange.ends_ == 0);
    CHECK(exchange.errors_ == 0);
}

TEST_CASE("http: a connection whose call ended with what was received serves the next call")
{
    ManualExchange exchange;
    exchange.answer(wholeAnswer);
    exchange.call_->cancelAfterReceived();
    exchange.turnClient();
    REQUIRE(exchange.ends_ == 1);
    CHECK(exchange.client_.pooledConnections() == 1);
    int status = 0;
    exchange.client_.fetch({ "127.0.0.1", exchange.acceptor_.local_endpoint().port() }, { "POST", "/item", {}, "body" }, {}, [&status](const Result<Response>& response, RunState) {
        if (response)
            status = response.value().status_;
    });
    exchange.turnClient();
    exchange.answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    exchange.turnClient();
    CHECK(status == 200);
}

TEST_CASE("http: a call that is cancelled while it connects is never sent")
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    boost::asio::io_context clientIo;
    Client client(clientIo, {});
    int callbacks = 0;
    CallHandlers handlers;
    handlers.onHead_ = [&callbacks](const ResponseHead&) { ++callbacks; };
    handlers.onEnd_ = [&callbacks](AnswerEnd) { ++callbacks; };
    handlers.onError_ = [&callbacks](const CallFailure&) { ++callbacks; };
    const auto call = client.send({ "127.0.0.1", acceptor.local_endpoint().port() }, { "POST", "/item", {}, "body" }, {}, std::move(handlers));
    call->cancelAfterReceived();
    clientIo.run_for(std::chrono::milliseconds(50));
    CHECK(callbacks == 0);
}
