// What arrives while reading is paused, and the other side's close meanwhile, against a server that the test plays by hand.
#include "RawPeers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

// Calls over one connection whose other side the test holds.
class HeldConnection {
public:
    void send()
    {
        body_.clear();
        error_ = {};
        end_.reset();
        CallHandlers handlers;
        handlers.onData_ = [this](std::string_view data) {
            body_ += data;
            if (pausesAtData_)
                call_->pauseReading();
        };
        handlers.onEnd_ = [this](AnswerEnd end) { end_ = end; };
        handlers.onError_ = [this](const CallFailure& failure) { error_ = failure.code_; };
        call_ = client_.send({ "127.0.0.1", acceptor_.local_endpoint().port() }, { "POST", "/", {}, "body" }, {}, std::move(handlers));
        turn(); // sends, and waits for the answer
    }

    void accept()
    {
        acceptor_.accept(server_);
        turn();
        readRequest();
    }

    void readRequest()
    {
        boost::asio::streambuf request;
        boost::asio::read_until(server_, request, "body");
    }

    void write(const std::string& text) { boost::asio::write(server_, boost::asio::buffer(text)); }

    // Lets the client's loop run for longer than loopback needs.
    void turn()
    {
        io_.restart();
        io_.run_for(50ms);
    }

    bool hasEnded() const { return end_ || error_; }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    boost::asio::io_context serverIo_;
    tcp::acceptor acceptor_ { serverIo_, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    tcp::socket server_ { serverIo_ };
    Client client_ { io_, {} };
    std::shared_ptr<Call> call_;
    std::string body_;
    std::error_code error_;
    std::optional<AnswerEnd> end_;
    bool pausesAtData_ = false;
};

} // namespace

// Guards against bytes and ends that are lost because they arrive while nothing is read: the wait for them has ended, and another one must
// begin after the pause.
TEST_CASE("pause: bytes and the other side's close that arrive meanwhile are seen after it")
{
    HeldConnection connection;
    connection.send();
    connection.accept();
    std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    bool isReset = false;
    std::error_code expected;
    SUBCASE("the close ends the answer") { }
    SUBCASE("the close cuts the answer")
    {
        head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
        expected = Error::Truncated;
    }
    SUBCASE("the connection is reset")
    {
        isReset = true;
        expected = Error::Truncated;
    }
    connection.write(head + "before ");
    connection.turn();
    REQUIRE(connection.body_ == "before ");
    connection.call_->pauseReading();
    connection.write("first ");
    connection.turn();
    connection.write("second");
    connection.turn();
    if (isReset)
        connection.server_.set_option(boost::asio::socket_base::linger(true, 0));
    connection.server_.close();
    connection.turn();
    CHECK(connection.body_ == "before ");
    CHECK_FALSE(connection.hasEnded());
    connection.call_->resumeReading();
    connection.turn();
    CHECK(connection.body_ == "before first second");
    CHECK(connection.error_ == expected);
    CHECK(connection.end_.has_value() == !expected);
    if (connection.end_)
        CHECK(*connection.end_ == AnswerEnd::ConnectionClosed);
    CHECK(connection.client_.pooledConnections() == 0);
}

// Guards against an answer that is lost because it arrives as a whole while its call is paused, also if the pause began before the request
// was sent.
TEST_CASE("pause: an answer that arrives meanwhile is delivered after it, and its connection serves the next call")
{
    HeldConnection connection;
    connection.send();
    connection.accept();
    for (int call = 0; call < 2; ++call) {
        if (call > 0) {
            connection.send();
            connection.readRequest();
        }
        connection.call_->pauseReading();
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        connection.turn();
        CHECK(connection.body_.empty());
        connection.call_->resumeReading();
        connection.turn();
        CHECK(connection.body_ == "whole");
        CHECK(connection.end_.has_value());
        CHECK(connection.client_.pooledConnections() == 1);
    }
}

// Guards against a call that is sent over a closed connection because nothing waited for its close.
TEST_CASE("pause: the close of a pooled connection is seen, also if its last call ended while it was paused")
{
    for (const bool isPaused : { false, true }) {
        for (const bool isClosed : { false, true }) {
            CAPTURE(isPaused);
            CAPTURE(isClosed);
            HeldConnection connection;
            connection.pausesAtData_ = isPaused;
            connection.send();
            connection.accept();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
            connection.turn();
            REQUIRE(connection.end_.has_value());
            CHECK(connection.client_.pooledConnections() == 1);
            isClosed ? connection.server_.close() : connection.write("bytes that nobody asked for");
            connection.turn();
            CHECK(connection.client_.pooledConnections() == 0);
        }
    }
}

// Guards against bytes that are lost because the wait for them is cancelled, or ended by the close, just when the call ends.
TEST_CASE("pause: a paused call that is cancelled after what was received delivers what came before the close")
{
    HeldConnection connection;
    connection.send();
    connection.accept();
    connection.call_->pauseReading();
    connection.write("HTTP/1.1 200 OK\r\n\r\nall");
    SUBCASE("the wait for bytes is pending") { }
    SUBCASE("the wait for bytes has ended") { connection.turn(); }
    connection.write(" of it");
    connection.server_.close();
    connection.call_->cancelAfterReceived();
    connection.turn();
    CHECK(connection.body_ == "all of it");
    CHECK(connection.end_.has_value());
    CHECK_FALSE(connection.error_);
}

// Guards against a connection attempt without a bound because a pause ended meanwhile.
TEST_CASE("pause: its end while the connection is being opened doesn't extend the time for that")
{
    boost::asio::io_context serverIo;
    tcp::acceptor acceptor(serverIo);
    acceptor.open(tcp::v4());
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen(0);
    // The queue of the listener is full: further connections are neither accepted nor refused.
    std::vector<tcp::socket> filling;
    for (int count = 0; count < 4; ++count) {
        filling.emplace_back(serverIo);
        filling.back().async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
    serverIo.run_for(50ms);
    boost::asio::io_context io;
    ClientSettings settings;
    settings.connectTime_ = 200ms;
    Client client(io, settings);
    CallOptions options;
    options.idle_ = 10s;
    std::error_code error;
    CallHandlers handlers;
    handlers.onError_ = [&error](const CallFailure& failure) { error = failure.code_; };
    const auto call = client.send({ "127.0.0.1", acceptor.local_endpoint().port() }, {}, options, std::move(handlers));
    io.run_for(50ms);
    SUBCASE("no pause") { }
    SUBCASE("a pause")
    {
        call->pauseReading();
        call->resumeReading();
    }
    io.restart();
    io.run_for(1s);
    CHECK(error == Error::ConnectTimedOut);
}
