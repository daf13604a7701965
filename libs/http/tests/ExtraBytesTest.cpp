// Bytes that an engine sends beyond a complete answer: they belong to no request.
#include "http/Client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace jj;
using namespace jj::http;
using boost::asio::ip::tcp;

namespace {

constexpr int answerStatus = 201;
constexpr int extraStatus = 200;

enum class Moment : std::uint8_t {
    WithAnswer, // in the same segment as the first answer
    AfterAnswer, // while the connection is unused
    BeforeNextAnswer, // once the next request of the connection has come
};

// Answers each request with answerStatus and its id, and sends `extra` once, at the given moment. Serves two connections at most.
class OddServer {
public:
    OddServer(std::string extra, Moment moment)
        : extra_(std::move(extra))
        , moment_(moment)
        , acceptor_(io_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , thread_([this] { serve(); })
    {
    }

    ~OddServer()
    {
        isStopping_ = true;
        boost::asio::io_context io;
        tcp::socket waker(io);
        boost::system::error_code ignored;
        waker.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (std::thread& each : connections_)
            each.join();
    }

    OddServer(const OddServer&) = delete;
    OddServer& operator=(const OddServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    void serve()
    {
        while (true) {
            tcp::socket socket(io_);
            acceptor_.accept(socket);
            if (isStopping_)
                return;
            connections_.emplace_back([this, socket = std::move(socket)]() mutable { answerAll(socket); });
        }
    }

    void answerAll(tcp::socket& socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code error;
        const auto write = [&](const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text), error); };
        for (int number = 0; !error; ++number) {
            const std::size_t bytes = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
                return;
            const std::string head(boost::asio::buffers_begin(buffer.data()), boost::asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(bytes));
            buffer.consume(bytes);
            const std::size_t idAt = head.find("Id: ") + 4;
            const std::string answer = "HTTP/1.1 201 Created\r\nId: " + head.substr(idAt, head.find("\r\n", idAt) - idAt) + "\r\nContent-Length: 2\r\n\r\nok";
            const bool isLate = moment_ == Moment::BeforeNextAnswer && number == 1;
            if (isLate)
                write(extra_);
            write(moment_ == Moment::WithAnswer && !hasSent_.exchange(true) ? answer + extra_ : answer);
            if (moment_ == Moment::AfterAnswer && !hasSent_.exchange(true)) {
                std::this_thread::sleep_for(5ms);
                write(extra_);
            }
        }
    }

    std::string extra_;
    Moment moment_;
    std::atomic<bool> hasSent_ = false;
    std::atomic<bool> isStopping_ = false;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

// Returns the status of the answer to one call; none if the call failed.
std::optional<int> statusOf(boost::asio::io_context& io, Client& client, const Endpoint& endpoint, const std::string& id)
{
    CallOptions options;
    options.idle_ = 2s;
    options.echoName_ = "Id";
    options.echoValue_ = id;
    std::optional<int> status;
    bool hasEnded = false;
    client.fetch(endpoint, { "GET", "/", { { "Id", id } }, {} }, options, [&](const Result<Response>& response, RunState) {
        hasEnded = true;
        if (response)
            status = response.value().status_;
    });
    io.restart();
    while (!hasEnded)
        io.run_one();
    return status;
}

} // namespace

// Guards against bytes after an answer that reach the next caller of the connection as its answer.
TEST_CASE("http: bytes beyond an answer are no answer to the next request of the connection")
{
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (const std::string& extra : { whole, whole + whole, whole.substr(0, 12), std::string("junk"), std::string("\r\n\r\n") }) {
        for (const Moment moment : { Moment::WithAnswer, Moment::AfterAnswer, Moment::BeforeNextAnswer }) {
            for (const Duration pause : { 0ms, 1ms, 20ms }) {
                OddServer server(extra, moment);
                boost::asio::io_context io;
                Client client(io, {});
                REQUIRE(statusOf(io, client, server.endpoint(), "first") == answerStatus);
                std::this_thread::sleep_for(pause);
                const std::optional<int> second = statusOf(io, client, server.endpoint(), "second");
                CHECK(second != extraStatus);
                // Bytes that came before the next request was written cost no request.
                const bool cameBefore = moment == Moment::WithAnswer || (moment == Moment::AfterAnswer && pause == 20ms);
                if (cameBefore)
                    CHECK(second == answerStatus);
            }
        }
    }
}
