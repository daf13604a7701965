// Connections that are used again after an answer that came twice, early or late.
#include "http/BlockingClient.h"
#include "http/Client.h"
#include "http/Server.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <sys/socket.h>
#include <thread>

using namespace jj;
using namespace jj::http;
using boost::asio::ip::tcp;

// An engine answers a request twice. The second answer arrives just when the next request of the same connection waits for its own:
// passed on, one caller would read what another one asked for.
TEST_CASE("a second answer to an earlier request is read over")
{
    boost::asio::io_context io;
    tcp::acceptor listener(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint at { "127.0.0.1", listener.local_endpoint().port() };
    std::thread engine([&listener] {
        tcp::socket socket = listener.accept();
        std::array<char, 4096> request {};
        const auto answer = [](const std::string& id, const std::string& body) {
            return "HTTP/1.1 200 OK\r\nEcho: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        };
        socket.read_some(boost::asio::buffer(request));
        boost::asio::write(socket, boost::asio::buffer(answer("first", "one")));
        socket.read_some(boost::asio::buffer(request));
        boost::asio::write(socket, boost::asio::buffer(answer("first", "one") + answer("second", "two")));
        boost::system::error_code ended;
        socket.read_some(boost::asio::buffer(request), ended);
    });
    Client client(io, {});
    std::vector<std::string> bodies;
    for (const char* id : { "first", "second" }) {
        CallOptions options;
        options.echoName_ = "Echo";
        options.echoValue_ = id;
        client.fetch(at, {}, options, [&bodies](const Result<Response>& response, RunState) { bodies.push_back(response ? response.value().body_ : "failed"); });
        while (bodies.size() < (std::string_view(id) == "first" ? 1U : 2U))
            io.run_one();
    }
    CHECK(bodies == std::vector<std::string> { "one", "two" });
    CHECK(client.pooledConnections() == 1);
    client.dropPooled(at);
    io.poll();
    engine.join();
}

// An engine answers before it has read a long body, keeps the connection, and reads on where the rest of that body is due. A next request on
// it would be taken for the body, and part of one caller's prompt would end in another's.
TEST_CASE("a connection whose answer came before its request was sent whole carries no other request")
{
    boost::asio::io_context io;
    tcp::acceptor listener(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint at { "127.0.0.1", listener.local_endpoint().port() };
    constexpr std::size_t bodyBytes = 16U * 1024 * 1024; // more than both ends' socket buffers hold
    std::string firstConnection;
    std::string secondConnection;
    std::thread engine([&] {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        std::array<char, 4096> piece {};
        tcp::socket first = listener.accept();
        const std::size_t bytes = first.read_some(boost::asio::buffer(piece));
        firstConnection.assign(piece.data(), bytes);
        boost::asio::write(first, boost::asio::buffer(answer));
        tcp::socket second = listener.accept();
        secondConnection.assign(piece.data(), second.read_some(boost::asio::buffer(piece)));
        boost::asio::write(second, boost::asio::buffer(answer));
        boost::system::error_code ended;
        boost::asio::read(first, boost::asio::dynamic_buffer(firstConnection), ended);
    });
    Client client(io, {});
    std::vector<std::string> bodies;
    const auto ask = [&](std::string target, std::string body) {
        const std::size_t before = bodies.size();
        client.fetch(at, { "POST", std::move(target), {}, std::move(body) }, {}, [&bodies](const Result<Response>& response, RunState) { bodies.push_back(response ? response.value().body_ : "failed"); });
        while (bodies.size() == before)
            io.run_one();
    };
    ask("/long", std::string(bodyBytes, 'a'));
    ask("/next", "b");
    client.dropPooled(at);
    io.poll();
    engine.join();
    CHECK(bodies == std::vector<std::string> { "ok", "ok" });
    CHECK(firstConnection.starts_with("POST /long"));
    CHECK(firstConnection.find("/next") == std::string::npos);
    CHECK(secondConnection.starts_with("POST /next"));
}

// Guards against a late answer without a length, of an earlier request, that ended with its connection and counted as the end of an answer
// that had not begun: the request was neither answered nor failed.
TEST_CASE("a connection that ends behind the answer to an earlier request fails the call")
{
    boost::asio::io_context io;
    tcp::acceptor listener(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint at { "127.0.0.1", listener.local_endpoint().port() };
    std::thread engine([&listener] {
        tcp::socket socket = listener.accept();
        std::array<char, 4096> request {};
        socket.read_some(boost::asio::buffer(request));
        boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nEcho: earlier\r\n\r\nanother caller's bytes")));
    });
    Client client(io, {});
    CallOptions options;
    options.echoName_ = "Echo";
    options.echoValue_ = "own";
    bool hasEnded = false;
    std::optional<CallFailure> failure;
    CallHandlers handlers;
    handlers.onEnd_ = [&](AnswerEnd) { hasEnded = true; };
    handlers.onError_ = [&](const CallFailure& failed) { failure = failed; };
    client.send(at, {}, options, std::move(handlers));
    io.run();
    engine.join();
    CHECK_FALSE(hasEnded);
    REQUIRE(failure);
    CHECK(failure->code_ == make_error_code(Error::Closed));
    CHECK((failure->run_ == RunState::OutcomeUnknown));
}

// Guards against a second copy of a refusal that counts as the answer to a later send of the same request, which the engine runs.
TEST_CASE("a second answer to an earlier send of a request is no answer to a later one")
{
    boost::asio::io_context io;
    tcp::acceptor listener(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint at { "127.0.0.1", listener.local_endpoint().port() };
    const auto answer = [](const std::string& status) { return "HTTP/1.1 " + status + "\r\nEcho: same\r\nContent-Length: 0\r\n\r\n"; };
    std::thread engine([&] {
        tcp::socket first = listener.accept();
        std::array<char, 4096> request {};
        first.read_some(boost::asio::buffer(request));
        boost::asio::write(first, boost::asio::buffer(answer("503 Full")));
        std::thread late([&] {
            std::array<char, 4096> next {};
            boost::system::error_code ended;
            if (first.read_some(boost::asio::buffer(next), ended) > 0)
                boost::asio::write(first, boost::asio::buffer(answer("503 Full") + answer("200 OK")), ended);
        });
        boost::system::error_code ended;
        tcp::socket second = listener.accept(ended);
        if (!ended && second.read_some(boost::asio::buffer(request), ended) > 0)
            boost::asio::write(second, boost::asio::buffer(answer("200 OK")), ended);
        late.join();
    });
    Client client(io, {});
    std::vector<int> statuses;
    for (std::size_t send = 1; send <= 2; ++send) {
        CallOptions options;
        options.echoName_ = "Echo";
        options.echoValue_ = "same";
        client.fetch(at, {}, options, [&statuses](const Result<Response>& response, RunState) { statuses.push_back(response ? response.value().status_ : 0); });
        while (statuses.size() < send)
            io.run_one();
    }
    CHECK(statuses == std::vector<int> { 503, 200 });
    client.dropPooled(at);
    io.poll();
    ::shutdown(listener.native_handle(), SHUT_RDWR);
    engine.join();
}
