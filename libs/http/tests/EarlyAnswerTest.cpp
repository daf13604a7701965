// Answers that come before their request was written whole, on connections that are then reset or closed.
#include "RawPeers.h"
#include "http/BlockingClient.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <vector>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

constexpr std::size_t bodyBytes = 16U * 1024 * 1024; // more than both ends' socket buffers hold
const std::string head = "HTTP/1.1 200 OK\r\nX-Head: 1\r\n";

enum class End : std::uint8_t {
    Reset,
    Close, // which resets the connection, since the upload is unread
    HalfClose, // in order, and the upload is read then
};

struct Early {
    std::string answer_;
    End end_ = End::Reset;
    Duration pause_ {}; // from the answer to its end
};

// Reads the head of one request, answers, and ends the connection.
class EarlyEngine {
public:
    explicit EarlyEngine(Early early)
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , early_(std::move(early))
        , thread_([this] { serve(); })
    {
    }
    ~EarlyEngine() { thread_.join(); }
    EarlyEngine(const EarlyEngine&) = delete;
    EarlyEngine& operator=(const EarlyEngine&) = delete;

    Endpoint at() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    void serve()
    {
        boost::system::error_code error;
        tcp::socket socket = acceptor_.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(early_.answer_), error);
        std::this_thread::sleep_for(early_.pause_);
        if (early_.end_ == End::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        if (early_.end_ != End::HalfClose)
            return;
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::vector<char> upload(bodyBytes + request.size());
        boost::asio::read(socket, boost::asio::buffer(upload), error);
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    Early early_;
    std::thread thread_;
};

Outcome upload(const Early& early)
{
    EarlyEngine engine(early);
    Request request { "POST", "/", {}, std::string(bodyBytes, 'x') };
    return fetchFrom(engine.at(), {}, request);
}

constexpr std::array pauses { Duration::zero(), Duration(1ms), Duration(30ms) };

} // namespace

// Guards against a part of an answer without a length that counts as the whole, because the write met the reset before the read.
TEST_CASE("an answer without a length is not complete if its connection is reset while the request is being written")
{
    for (const End end : { End::Reset, End::Close }) {
        for (const Duration pause : pauses) {
            for (int round = 0; round < 20; ++round) {
                const Outcome outcome = upload({ head + "\r\npart of a body", end, pause });
                CHECK(outcome.hasEnded_);
                CHECK_FALSE(outcome.response_);
                CHECK(outcome.error_ == Error::Truncated);
                const bool isNotRun = outcome.run_ == RunState::NotRun;
                CHECK_FALSE(isNotRun);
            }
        }
    }
}

TEST_CASE("an answer without a length that ends in order is complete once its request was written")
{
    const Outcome outcome = upload({ head + "\r\nthe whole body", End::HalfClose, 1ms });
    REQUIRE(outcome.response_);
    CHECK(outcome.response_->body_ == "the whole body");
}

// Guards against a whole answer that is lost, because the write met the reset before the read had taken it.
TEST_CASE("an answer that is complete by its frame counts although its connection is reset while the request is being written")
{
    for (const Duration pause : { Duration(30ms), Duration(100ms) }) {
        const Outcome length = upload({ head + "Content-Length: 4\r\n\r\nbody", End::Reset, pause });
        REQUIRE(length.response_);
        CHECK(length.response_->body_ == "body");
        const Outcome chunked = upload({ head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", End::Reset, pause });
        REQUIRE(chunked.response_);
        CHECK(chunked.response_->body_ == "body");
    }
}

// Guards against the rest of a whole answer that is lost, because the write met the reset while reading was paused.
TEST_CASE("an answer that is complete by its frame is read to its end after the write has failed")
{
    EarlyEngine engine({ head + "Content-Length: 4\r\n\r\nbody", End::Reset, 1ms });
    boost::asio::io_context io;
    Client client(io, {});
    std::string body;
    bool hasEnded = false;
    bool hasFailed = false;
    std::shared_ptr<Call> call;
    CallHandlers handlers;
    handlers.onData_ = [&](std::string_view data) { body.append(data); };
    handlers.onEnd_ = [&](AnswerEnd) { hasEnded = true; };
    handlers.onError_ = [&](const CallFailure&) { hasFailed = true; };
    CallOptions options;
    options.idle_ = std::chrono::seconds(10);
    call = client.send(engine.at(), { "POST", "/", {}, std::string(bodyBytes, 'x') }, options, std::move(handlers));
    call->pauseReading();
    io.run_for(500ms);
    CHECK_FALSE(hasFailed);
    call->resumeReading();
    io.run_for(500ms);
    CHECK(hasEnded);
    CHECK(body == "body");
}

TEST_CASE("an answer that is cut within its frame is not complete")
{
    for (const Duration pause : pauses) {
        CHECK_FALSE(upload({ head + "Content-Length: 40\r\n\r\nbody", End::Reset, pause }).response_);
        CHECK_FALSE(upload({ head + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody", End::Close, pause }).response_);
    }
}

TEST_CASE("the blocking client takes no answer as complete whose connection is reset while the request is being written")
{
    Request request { "POST", "/", {}, std::string(bodyBytes, 'x') };
    for (int round = 0; round < 20; ++round) {
        EarlyEngine first({ head + "\r\npart of a body", End::Reset, 1ms });
        BlockingClient client(std::chrono::seconds(10));
        CHECK_FALSE(client.request(first.at(), request));
        EarlyEngine second({ head + "\r\npart of a body", End::Close, 1ms });
        CHECK_FALSE(client.stream(second.at(), request, [](std::string_view) { return true; }));
    }
}
