// Clients that don't send a whole request: what they hold is bounded, and others are served.
#include "RawPeers.h"

#include "http/Server.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <list>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

constexpr std::size_t kib = 1024;
const std::string plainGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string lines(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += "a:\r\n";
    return text;
}

// A server whose event loop runs only while the test lets it, so that the order of what it meets is certain. Requests are kept.
class Stepped {
public:
    explicit Stepped(const ServerLimits& limits, std::size_t budgetBytes = 256 * kib)
        : budget_(ByteBudget::create({ budgetBytes, 16 * kib, 64 * kib }).value())
    {
        ServerSettings settings;
        settings.limits_ = limits;
        settings.budget_ = budget_;
        server_ = std::move(Server::create(io_, settings, [this](const std::shared_ptr<Exchange>& exchange) { begun_.push_back(exchange); }).value());
    }

    // What is ready runs however slowly this process does; only waiting is bounded.
    void run(Duration bound = std::chrono::milliseconds(20))
    {
        io_.restart();
        io_.poll();
        io_.run_for(bound);
        io_.restart();
        io_.poll();
    }

    // The socket of a client that has connected and sent `text`; the server has seen it.
    tcp::socket& client(const std::string& text = {})
    {
        tcp::socket& socket = sockets_.emplace_back(clients_);
        socket.connect({ boost::asio::ip::make_address(server_->local().address_), server_->local().port_ });
        send(socket, text);
        return socket;
    }

    // Until all is sent, or the server has closed the connection.
    void send(tcp::socket& socket, const std::string& text)
    {
        socket.non_blocking(true);
        boost::system::error_code error;
        for (std::size_t sent = 0; sent < text.size() && (!error || error == boost::asio::error::would_block); run())
            sent += socket.write_some(boost::asio::buffer(text.data() + sent, text.size() - sent), error);
        run();
    }

    // What has come, and whether the server has closed the connection.
    struct Seen {
        std::string text_;
        bool isClosed_ = false;
    };

    static Seen read(tcp::socket& socket)
    {
        Seen seen;
        socket.non_blocking(true);
        boost::system::error_code error;
        while (!error) {
            std::array<char, 4096> data {};
            const std::size_t bytes = socket.read_some(boost::asio::buffer(data), error);
            seen.text_.append(data.data(), bytes);
        }
        seen.isClosed_ = error != boost::asio::error::would_block;
        return seen;
    }

    // Sends a whole request over a new connection and returns whether it is answered.
    bool serves()
    {
        tcp::socket& socket = client(plainGet);
        for (const auto& exchange : std::exchange(begun_, {}))
            exchange->respond({ 200, {}, {} });
        run();
        return read(socket).text_.starts_with("HTTP/1.1 200");
    }

    Server& server() { return *server_; }
    std::size_t heads() const { return budget_->held(ByteUse::Heads); }
    const ByteBudget& budget() const { return *budget_; }
    std::vector<std::shared_ptr<Exchange>>& begun() { return begun_; }

private:
    boost::asio::io_context io_;
    boost::asio::io_context clients_;
    std::shared_ptr<ByteBudget> budget_;
    std::vector<std::shared_ptr<Exchange>> begun_;
    std::list<tcp::socket> sockets_;
    std::unique_ptr<Server> server_;
};

} // namespace

// Guards against a head that has no limit because each of its lines arrives whole.
TEST_CASE("waiting: a head of whole lines without end is refused at its limit")
{
    ServerLimits limits;
    limits.headerBytes_ = 16 * kib;
    Stepped server(limits);
    tcp::socket& socket = server.client("GET / HTTP/1.1\r\na");
    std::string piece;
    for (int line = 0; line < 256; ++line)
        piece += ":\r\na";
    for (int sent = 0; sent < 15; ++sent)
        server.send(socket, piece);
    CHECK(Stepped::read(socket).text_.empty());
    for (int sent = 0; sent < 2; ++sent)
        server.send(socket, piece);
    CHECK(Stepped::read(socket).text_.starts_with("HTTP/1.1 431"));
}

// Guards against a head of short lines that takes many times its bytes.
TEST_CASE("waiting: a request with thousands of short header lines takes about its own bytes")
{
    ServerLimits limits;
    limits.headerBytes_ = 32 * kib;
    Stepped server(limits);
    server.client("GET / HTTP/1.1\r\n" + lines(16 * kib) + "\r\n");
    REQUIRE(server.begun().size() == 1);
    CHECK(server.begun().front()->request().headers_.size() == 4 * kib);
    CHECK(server.heads() < 20 * kib);
    server.begun().clear();
    server.run();
    CHECK(server.heads() == 0);
}

// Guards against memory that stays with clients that have been refused.
TEST_CASE("waiting: a refused client holds no input, and what it sends on is dropped")
{
    ServerLimits limits;
    limits.headerBytes_ = 8 * kib;
    limits.bodyBytes_ = 64 * kib;
    Stepped server(limits);
    tcp::socket& socket = server.client("GET / HTTP/1.1\r\nX-Long: " + std::string(10 * kib, 'x'));
    CHECK(Stepped::read(socket).text_.starts_with("HTTP/1.1 431"));
    CHECK(server.heads() == 0);
    server.send(socket, std::string(50 * kib, 'x'));
    CHECK(server.heads() == 0);
    CHECK(server.server().openConnections() == 1);
    server.send(socket, std::string(40 * kib, 'x'));
    CHECK(server.server().openConnections() == 0); // more than a client within the limits could have sent
}

// Guards against incomplete heads that take a host's memory, and against clients that are refused because of them.
TEST_CASE("waiting: heads that are never complete stay within their limit, and others are served")
{
    Stepped server(ServerLimits {});
    for (int client = 0; client < 100; ++client) {
        server.client("GET / HTTP/1.1\r\nX-Long: " + std::string(15 * kib, 'x'));
        CHECK(server.heads() <= server.budget().headLimit());
    }
    CHECK(server.server().connectionsEvicted() > 0);
    CHECK(server.serves());
    server.client("GET / HTTP/1.1\r\n" + lines(15 * kib) + "\r\n");
    CHECK(server.begun().size() == 1);
}

// Guards against requests in progress that are closed to make room.
TEST_CASE("waiting: of too many connections those go that wait for a whole request for longest")
{
    ServerLimits limits;
    limits.connections_ = 3;
    Stepped server(limits);
    tcp::socket& working = server.client(plainGet);
    tcp::socket& incomplete = server.client("GET / HTTP/1.1\r\n");
    tcp::socket& silent = server.client();
    tcp::socket& third = server.client();
    CHECK(Stepped::read(incomplete).isClosed_);
    CHECK_FALSE(Stepped::read(silent).isClosed_);
    CHECK(server.serves());
    CHECK(Stepped::read(silent).isClosed_);
    CHECK_FALSE(Stepped::read(third).isClosed_);
    CHECK(Stepped::read(working).text_.starts_with("HTTP/1.1 200"));
    CHECK(server.server().connectionsEvicted() == 2);
}

// Guards against requests in progress that leave no descriptors for what their handlers open.
TEST_CASE("waiting: a connection with a request in progress counts as many as its handler needs")
{
    ServerLimits limits;
    limits.connections_ = 4;
    limits.connectionsPerRequest_ = 2;
    Stepped server(limits);
    tcp::socket& first = server.client();
    tcp::socket& second = server.client();
    tcp::socket& third = server.client();
    tcp::socket& fourth = server.client();
    CHECK_FALSE(Stepped::read(first).isClosed_);
    server.send(fourth, plainGet);
    CHECK(Stepped::read(first).isClosed_);
    CHECK_FALSE(Stepped::read(second).isClosed_);
    server.send(third, plainGet);
    CHECK(Stepped::read(second).isClosed_);
    CHECK(server.server().openConnections() == 2);
    for (const auto& exchange : server.begun())
        exchange->respond({ 200, {}, {} });
    server.run();
    CHECK(Stepped::read(third).text_.starts_with("HTTP/1.1 200"));
    CHECK(Stepped::read(fourth).text_.starts_with("HTTP/1.1 200"));
}

// Guards against a request that is closed unanswered because it arrives while its idle connection is evicted.
TEST_CASE("waiting: an idle connection on which a request has arrived isn't evicted")
{
    ServerLimits limits;
    limits.connections_ = 1;
    Stepped server(limits);
    tcp::socket& kept = server.client();
    boost::asio::write(kept, boost::asio::buffer(plainGet)); // not read before the next connection is accepted
    server.serves();
    CHECK(Stepped::read(kept).text_.starts_with("HTTP/1.1 200"));
    CHECK(server.server().connectionsEvicted() == 0);
}

// Guards against connections beyond the limit without bound, each of which is refused with an answer.
TEST_CASE("waiting: few connections beyond the limit are open")
{
    ServerLimits limits;
    limits.connections_ = 2;
    Stepped server(limits);
    server.client(plainGet);
    server.client(plainGet);
    constexpr std::size_t maxBeyondLimit = 64;
    for (int client = 0; client < 100; ++client) {
        server.client();
        CHECK(server.server().openConnections() <= 2 + maxBeyondLimit);
    }
    for (const auto& exchange : server.begun())
        exchange->respond({});
}

// Guards against connections that stay taken by clients that have left, because nothing more is read from them.
TEST_CASE("waiting: a client that has sent many requests ahead and leaves is noticed")
{
    ServerLimits limits;
    limits.idle_ = 40ms; // how often times are looked at
    Stepped server(limits);
    std::string pages;
    while (pages.size() < 64 * kib)
        pages += plainGet;
    tcp::socket& socket = server.client(pages);
    REQUIRE(server.begun().size() == 1);
    socket.close();
    server.run(200ms);
    CHECK(server.server().openExchanges() == 0);
    server.begun().clear();
    server.run();
    CHECK(server.server().openConnections() == 0);
}

// Guards against connections that are taken for longer than a header may last.
TEST_CASE("waiting: a header that isn't complete in its time is refused as not run, a body may last longer")
{
    ServerLimits limits;
    limits.headTime_ = 30ms;
    limits.requestTime_ = 10s;
    limits.idle_ = 40ms; // how often times are looked at
    Stepped server(limits);
    tcp::socket& head = server.client("GET / HTTP/1.1\r\n");
    tcp::socket& body = server.client("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n");
    server.run(200ms);
    CHECK(Stepped::read(head).text_.starts_with("HTTP/1.1 408"));
    server.send(body, "whole");
    CHECK(server.begun().size() == 1);
}

// Guards against a caller whose request is refused because an empty line stands before it (RFC 9112, 2.2).
TEST_CASE("waiting: empty lines before a request are ignored, but not without end")
{
    Stepped server(ServerLimits {});
    tcp::socket& split = server.client("\r");
    server.send(split, "\n\r\n" + plainGet);
    CHECK(server.begun().size() == 1);
    std::string many;
    for (int line = 0; line < 17; ++line)
        many += "\r\n";
    CHECK(Stepped::read(server.client(many)).text_.starts_with("HTTP/1.1 400"));
    CHECK(Stepped::read(server.client("\n" + plainGet)).text_.starts_with("HTTP/1.1 400"));
}
