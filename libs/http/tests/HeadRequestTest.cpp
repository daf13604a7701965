// Answers to HEAD, and what follows them on the same connection.
#include "http/Server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace jj;
using namespace jj::http;
using boost::asio::ip::tcp;

namespace {

using Answer = std::function<void(Exchange&)>;

const std::vector<Answer> answers {
    [](Exchange& exchange) { exchange.respond({ 200, {}, "a body" }); },
    [](Exchange& exchange) { exchange.respond({ 200, {}, {} }); },
    [](Exchange& exchange) { exchange.respond(errorResponse(404, "route.None", "no route", RunState::NotRun)); },
    [](Exchange& exchange) {
        exchange.start(200, {});
        exchange.write("a piece");
        exchange.write("another piece");
        exchange.end();
    },
    [](Exchange& exchange) {
        exchange.start(200, {});
        exchange.end();
    },
};

// Sends both requests at once and returns all that comes until the server closes.
std::string talk(const Answer& answer, const std::string& requests)
{
    boost::asio::io_context io;
    auto server = Server::create(io, { Endpoint {}, {} }, [&answer](const std::shared_ptr<Exchange>& exchange) {
        exchange->request().method_ == "HEAD" ? answer(*exchange) : exchange->respond({ 200, {}, "the next answer" });
    });
    REQUIRE(server);
    const auto work = boost::asio::make_work_guard(io);
    std::thread loop([&io] { io.run(); });
    boost::asio::io_context own;
    tcp::socket socket(own);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.value()->local().port_ });
    boost::asio::write(socket, boost::asio::buffer(requests));
    std::string text;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
    io.stop();
    loop.join();
    return text;
}

} // namespace

// Guards against the body of an answer to HEAD that is taken for the next answer of a kept connection.
TEST_CASE("an answer to HEAD ends with its head, and the next answer of the connection follows it")
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    for (const Answer& answer : answers) {
        const std::string text = talk(answer, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CAPTURE(text);
        const std::size_t first = text.find(headEnd);
        REQUIRE(first != std::string::npos);
        const std::string next = text.substr(first + headEnd.size());
        CHECK(next.starts_with("HTTP/1.1 200 "));
        CHECK(next.ends_with("\r\n\r\nthe next answer"));
    }
}

TEST_CASE("an answer to HEAD names the length of the body that it would have, if that is known")
{
    CHECK(talk(answers[0], "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").find("Content-Length: 6\r\n") != std::string::npos);
    CHECK(talk(answers[1], "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").find("Content-Length") == std::string::npos);
}
