// Callers that send an element of their request's body without end: they are answered 400, and their connection is closed.
#include "RawPeers.h"

#include "http/Server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

constexpr std::size_t mostBytes = std::size_t { 64 } * 1024 * 1024;
const std::string chunkedHead = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Sent {
    std::string answer_;
    bool wasClosed_ = false; // before all was sent
};

// Sends a text and then a piece again and again, until the server closes; reads the answer meanwhile.
Sent sendEndless(const Endpoint& at, const std::string& text, const std::string& piece)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect({ boost::asio::ip::make_address(at.address_), at.port_ });
    Sent sent;
    std::thread reader([&] {
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(sent.answer_), error);
    });
    std::string pieces;
    while (!piece.empty() && pieces.size() < 32UL * 1024)
        pieces += piece;
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(text), error);
    for (std::size_t bytes = 0; !pieces.empty() && !error && bytes < mostBytes; bytes += pieces.size()) {
        boost::asio::write(socket, boost::asio::buffer(pieces), error);
        std::this_thread::sleep_for(1ms); // leaves the server's answer in the socket before the reset that follows its close
    }
    sent.wasClosed_ = static_cast<bool>(error);
    boost::system::error_code ignored;
    if (!pieces.empty())
        socket.shutdown(tcp::socket::shutdown_both, ignored);
    reader.join();
    return sent;
}

class Running {
public:
    explicit Running(bool isStreamed)
    {
        const auto planner = [isStreamed](const Request&) { return BodyPlan { isStreamed, 0 }; };
        server_ = std::move(Server::create(
            io_, {}, [this](const std::shared_ptr<Exchange>& exchange) { handle(exchange); }, planner)
                                .value());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Running()
    {
        io_.stop();
        thread_.join();
    }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;

    const Endpoint& at() const { return server_->local(); }

    std::atomic<int> whole_ = 0; // requests whose body was complete

private:
    void handle(const std::shared_ptr<Exchange>& exchange)
    {
        if (exchange->bodyIsStreamed())
            return pull(exchange);
        ++whole_;
        exchange->respond({});
    }

    void pull(const std::shared_ptr<Exchange>& exchange)
    {
        exchange->readBody([this, exchange](const BodyPiece& piece) {
            if (piece.error_)
                return exchange->respond(errorResponse(400, piece.error_ == Error::ChunkLineTooLong ? "http.ChunkLineTooLong" : "http.TrailerTooLarge", piece.error_.message(), RunState::NotRun));
            if (!piece.last_)
                return pull(exchange);
            ++whole_;
            exchange->respond({});
        });
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    std::unique_ptr<Server> server_;
    std::thread thread_;
};

void checkRefused(const Sent& sent, std::string_view code)
{
    CHECK(sent.wasClosed_);
    CHECK(sent.answer_.find("HTTP/1.1 400") == 0);
    CHECK(sent.answer_.find(code) != std::string::npos);
    CHECK(sent.answer_.find("Connection: close") != std::string::npos);
}

} // namespace

// Guards against callers that make a host grow by one line of a body.
TEST_CASE("requests: endless chunk extensions and trailers are answered 400, and the connection is closed")
{
    for (const bool isStreamed : { false, true }) {
        CAPTURE(isStreamed);
        Running running(isStreamed);
        const auto send = [&](const std::string& body, const std::string& piece) { return std::async(std::launch::async, sendEndless, running.at(), chunkedHead + body, piece); };
        auto first = send("5;a=", "x");
        auto second = send("5\r\nwhole\r\n5;a=", "x");
        auto line = send("5\r\nwhole\r\n0\r\nX-Trailer: ", "x");
        auto lines = send("5\r\nwhole\r\n0\r\n", "X-Trailer: x\r\n");
        checkRefused(first.get(), "http.ChunkLineTooLong");
        checkRefused(second.get(), "http.ChunkLineTooLong");
        checkRefused(line.get(), "http.TrailerTooLarge");
        checkRefused(lines.get(), "http.TrailerTooLarge");
        CHECK(running.whole_ == 0);
    }
}

// Guards against long extensions that arrive in one piece, which is never seen incomplete.
TEST_CASE("requests: a complete chunk extension over its limit is answered 400")
{
    Running running(false);
    const auto sent = sendEndless(running.at(), chunkedHead + "5;a=" + std::string(6000, 'x') + "\r\nwhole\r\n0\r\n\r\n", "");
    CHECK(sent.answer_.find("HTTP/1.1 400") == 0);
    CHECK(sent.answer_.find("http.ChunkLineTooLong") != std::string::npos);
    CHECK(running.whole_ == 0);
}
