// Clients that are slow, idle or too many: each is cut off by its limit, and the handler learns of it.
#include "http/BlockingClient.h"
#include "http/Server.h"

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace jj;
using namespace jj::http;
using boost::asio::ip::tcp;

namespace {

class Running {
public:
    Running(const ServerLimits& limits, Server::Handler handler)
        : server_(std::move(Server::create(io_, { Endpoint {}, limits }, std::move(handler)).value()))
        , thread_([this] { io_.run(); })
    {
    }
    ~Running()
    {
        io_.stop();
        thread_.join();
    }
    Running(const Running&) = delete;
    Running& operator=(const Running&) = delete;

    Server& server() { return *server_; }

    void lowerIdleTime(Duration idle)
    {
        ServerLimits limits;
        limits.idle_ = idle;
        boost::asio::post(io_, [this, limits] { server_->setLimits(limits); });
    }

    tcp::socket connect(boost::asio::io_context& io)
    {
        tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address(server_->local().address_), server_->local().port_ });
        return socket;
    }

private:
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    std::unique_ptr<Server> server_;
    std::thread thread_;
};

std::string readToEnd(tcp::socket& socket)
{
    std::string text;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
    return text;
}

// A server whose event loop runs only while the test lets it, so that the order of what it meets is certain.
class Stepped {
public:
    explicit Stepped(const ServerLimits& limits = {})
        : server_(std::move(Server::create(io_, { Endpoint {}, limits }, [](const std::shared_ptr<Exchange>& exchange) { exchange->respond({ 200, {}, "answer" }); }).value()))
    {
    }

    Server& server() { return *server_; }
    // What is ready runs however slowly this process does; only waiting is bounded.
    void run()
    {
        io_.restart();
        io_.poll();
        io_.run_for(20ms);
        io_.restart();
        io_.poll();
    }

    tcp::socket connect()
    {
        tcp::socket socket(clients_);
        socket.connect({ boost::asio::ip::make_address(server_->local().address_), server_->local().port_ });
        return socket;
    }

private:
    boost::asio::io_context io_;
    boost::asio::io_context clients_;
    std::unique_ptr<Server> server_;
};

std::string readWhatCame(tcp::socket& socket)
{
    std::array<char, 1024> text {};
    boost::system::error_code error;
    socket.non_blocking(true);
    return { text.data(), socket.read_some(boost::asio::buffer(text), error) };
}

const std::string plainGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

// A phone loses its network in the middle of an answer and reads no more. Its unsent tokens must not fill the node's memory: over
// the bound it is cut off, and the handler learns it, so that the engine's slot is freed.
TEST_CASE("a reader that falls behind is cut off at the write bound")
{
    ServerLimits limits;
    limits.writeQueueBytes_ = 64 * 1024;
    std::promise<void> closed;
    std::promise<std::shared_ptr<Exchange>> begun;
    Running running(limits, [&](const std::shared_ptr<Exchange>& exchange) {
        exchange->onClosed([&] { closed.set_value(); });
        exchange->start(200, {});
        begun.set_value(exchange);
    });
    boost::asio::io_context io;
    tcp::socket socket = running.connect(io);
    boost::asio::write(socket, boost::asio::buffer(plainGet));
    const auto exchange = begun.get_future().get();
    const std::string block(32 * 1024, 'x');
    auto gone = closed.get_future();
    constexpr int mostBlocks = 100'000; // far more than the kernel's buffers hold
    int written = 0;
    while (written < mostBlocks && gone.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        exchange->write(block);
        ++written;
    }
    CHECK(written < mostBlocks);
}

TEST_CASE("a reader that takes no byte for the write time is cut off")
{
    ServerLimits limits;
    limits.writeTime_ = 30ms;
    limits.writeQueueBytes_ = 256 * 1024 * 1024;
    std::promise<void> closed;
    Running running(limits, [&](const std::shared_ptr<Exchange>& exchange) {
        exchange->onClosed([&closed, exchange] { closed.set_value(); });
        exchange->start(200, {});
        exchange->write(std::string(64 * 1024 * 1024, 'x'));
    });
    boost::asio::io_context io;
    tcp::socket socket = running.connect(io);
    boost::asio::write(socket, boost::asio::buffer(plainGet));
    closed.get_future().wait();
}

TEST_CASE("an idle connection is closed without an answer")
{
    ServerLimits limits;
    limits.idle_ = 20ms;
    Running running(limits, [](const std::shared_ptr<Exchange>& exchange) { exchange->respond({}); });
    boost::asio::io_context io;
    tcp::socket socket = running.connect(io);
    CHECK(readToEnd(socket).empty());
}

// Guards against requests that are reset because a busy event loop sees the idle time before the bytes.
TEST_CASE("a connection isn't idle while a request waits to be read")
{
    ServerLimits limits;
    limits.idle_ = 40ms;
    Stepped stepped(limits);
    tcp::socket socket = stepped.connect();
    stepped.run();
    boost::asio::write(socket, boost::asio::buffer(plainGet));
    std::this_thread::sleep_for(100ms);
    stepped.run();
    CHECK(readWhatCame(socket).find("answer") != std::string::npos);
}

// Guards against requests that are reset by a host that stops, although they had reached it.
TEST_CASE("a request that waits to be read at the beginning of a drain is answered")
{
    Stepped stepped;
    tcp::socket kept = stepped.connect();
    stepped.run();
    boost::asio::write(kept, boost::asio::buffer(plainGet));
    stepped.server().drain();
    stepped.run();
    const std::string answer = readWhatCame(kept);
    CHECK(answer.find("answer") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against hosts that end while a request is still on its way to them.
TEST_CASE("a request whose body is under way counts as open")
{
    Stepped stepped;
    tcp::socket socket = stepped.connect();
    boost::asio::write(socket, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")));
    stepped.run();
    CHECK(stepped.server().openExchanges() == 1);
    stepped.server().drain();
    stepped.run();
    CHECK(stepped.server().openExchanges() == 1);
    boost::asio::write(socket, boost::asio::buffer(std::string("cd")));
    stepped.run();
    CHECK(readWhatCame(socket).find("answer") != std::string::npos);
    CHECK(stepped.server().openExchanges() == 0);
}

// Guards against requests that are reset because a host that stops has not yet taken their connections.
TEST_CASE("a connection that waits to be accepted at the beginning of a drain is served")
{
    Stepped stepped;
    tcp::socket waiting = stepped.connect();
    boost::asio::write(waiting, boost::asio::buffer(plainGet));
    stepped.server().drain();
    stepped.run();
    CHECK(readWhatCame(waiting).find("answer") != std::string::npos);
    tcp::socket late(waiting.get_executor());
    boost::system::error_code error;
    late.connect({ boost::asio::ip::make_address(stepped.server().local().address_), stepped.server().local().port_ }, error);
    CHECK(error == boost::asio::error::connection_refused);
}

// Guards against answers that a shorter idle time of a new configuration ends while their reader pauses.
TEST_CASE("a reader that pauses for longer than the idle time gets its whole answer")
{
    constexpr std::size_t size = 32 * 1024 * 1024; // far more than the kernel's buffers hold
    ServerLimits limits;
    limits.idle_ = 400ms;
    Running running(limits, [](const std::shared_ptr<Exchange>& exchange) { exchange->respond({ 200, {}, std::string(size, 'x') }); });
    boost::asio::io_context io;
    tcp::socket socket = running.connect(io);
    boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
    std::this_thread::sleep_for(50ms);
    running.lowerIdleTime(30ms);
    std::this_thread::sleep_for(250ms);
    CHECK(readToEnd(socket).size() > size);
}

TEST_CASE("a connection over the limit of connections is refused by a typed error")
{
    ServerLimits limits;
    limits.connections_ = 1;
    std::promise<std::shared_ptr<Exchange>> begun;
    Running running(limits, [&begun](const std::shared_ptr<Exchange>& exchange) { begun.set_value(exchange); });
    boost::asio::io_context io;
    tcp::socket first = running.connect(io);
    boost::asio::write(first, boost::asio::buffer(plainGet));
    const auto exchange = begun.get_future().get();
    tcp::socket second = running.connect(io);
    CHECK(readToEnd(second).find("http.TooManyConnections") != std::string::npos);
    exchange->respond({ 200, {}, "the first one goes on" });
    std::array<char, 12> answer {};
    boost::asio::read(first, boost::asio::buffer(answer));
    CHECK(std::string(answer.data(), answer.size()) == "HTTP/1.1 200");
}

// Guards against clients that wait for a crowded server although another one could serve them.
TEST_CASE("connections that aren't admitted are closed unread, and open ones go on")
{
    std::atomic<bool> admits = true;
    std::atomic<int> read = 0;
    Running running(ServerLimits {}, [&read](const std::shared_ptr<Exchange>& exchange) {
        ++read;
        exchange->respond({ 200, {}, "here" });
    });
    running.server().setAdmission([&admits] { return admits.load(); });
    boost::asio::io_context io;
    tcp::socket open = running.connect(io);
    boost::asio::write(open, boost::asio::buffer(plainGet));
    std::array<char, 512> answer {};
    REQUIRE(open.read_some(boost::asio::buffer(answer)) > 0);
    admits = false;
    for (int count = 0; count < 20; ++count) {
        tcp::socket late = running.connect(io);
        boost::system::error_code ignored;
        boost::asio::write(late, boost::asio::buffer(plainGet), ignored);
        CHECK(readToEnd(late).empty());
    }
    CHECK(read == 1);
    CHECK(running.server().unadmittedConnections() == 20);
    boost::asio::write(open, boost::asio::buffer(plainGet));
    CHECK(open.read_some(boost::asio::buffer(answer)) > 0);
    admits = true;
    tcp::socket next = running.connect(io);
    boost::asio::write(next, boost::asio::buffer(plainGet));
    CHECK(next.read_some(boost::asio::buffer(answer)) > 0);
    CHECK(read == 3);
}

// Guards against a server that lives and accepts no connection any more because one failed.
TEST_CASE("a server goes on accepting after an exception has left its accept handler")
{
    Stepped stepped;
    int asked = 0;
    stepped.server().setAdmission([&asked] {
        if (++asked == 1)
            throw std::runtime_error("out of memory");
        return true;
    });
    const tcp::socket failed = stepped.connect();
    CHECK_THROWS_AS(stepped.run(), std::runtime_error);
    tcp::socket next = stepped.connect();
    boost::asio::write(next, boost::asio::buffer(plainGet));
    stepped.run();
    CHECK(next.available() > 0);
}

TEST_CASE("an exchange that its handler drops is answered and not left hanging")
{
    Running running({}, [](const std::shared_ptr<Exchange>&) {});
    BlockingClient client;
    const auto answer = client.request(running.server().local(), {});
    REQUIRE(answer);
    CHECK(answer.value().status_ == 500);
    CHECK(answer.value().body_.find("http.NoAnswer") != std::string::npos);
}

TEST_CASE("pipelined requests are answered in their order")
{
    Running running({}, [](const std::shared_ptr<Exchange>& exchange) { exchange->respond({ 200, {}, exchange->request().target_ }); });
    boost::asio::io_context io;
    tcp::socket socket = running.connect(io);
    boost::asio::write(socket, boost::asio::buffer(std::string("GET /one HTTP/1.1\r\nHost: x\r\n\r\nGET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
    const std::string answers = readToEnd(socket);
    const std::size_t first = answers.find("/one");
    const std::size_t second = answers.find("/two");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
}
