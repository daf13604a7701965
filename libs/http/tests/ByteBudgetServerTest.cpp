// The byte budget of a server: slow readers, stalled readers and uploads over loopback.
#include "RawPeers.h"

#include "http/Server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <malloc.h>
#include <mutex>

using namespace jj;
using namespace jj::http;
using namespace jj::http::testing;

namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t pieceBytes = 16 * kib;
const std::string plainGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

bool comesTrue(const std::function<bool()>& condition, Duration bound = testTime)
{
    const auto until = std::chrono::steady_clock::now() + bound;
    while (!condition() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(2ms);
    return condition();
}

// The exchanges of streams that the test writes to, in the order of their requests.
class Streams {
public:
    Server::Handler handler()
    {
        return [this](const std::shared_ptr<Exchange>& exchange) {
            exchange->start(200, {});
            const std::lock_guard lock(mutex_);
            exchanges_.push_back(exchange);
        };
    }

    std::shared_ptr<Exchange> wait(std::size_t index)
    {
        REQUIRE(comesTrue([&] { return count() > index; }));
        const std::lock_guard lock(mutex_);
        return exchanges_[index];
    }

    void clear()
    {
        const std::lock_guard lock(mutex_);
        exchanges_.clear();
    }

private:
    std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return exchanges_.size();
    }

    std::mutex mutex_;
    std::vector<std::shared_ptr<Exchange>> exchanges_;
};

// A server with a budget, on a thread of its own. Without a handler, requests become streams that the test writes to.
class Budgeted {
public:
    explicit Budgeted(Server::Handler handler, std::size_t limit = 512 * kib, Duration stallTime = 150ms, std::function<Response(Error)> formatRefusal = {}, Server::BodyPlanner planner = {})
        : budget_(ByteBudget::create({ limit, pieceBytes, 128 * kib }).value())
    {
        ServerSettings settings;
        settings.limits_.stallTime_ = stallTime;
        settings.limits_.writeQueueBytes_ = 32 * kib; // has no effect with a budget
        settings.budget_ = budget_;
        settings.formatRefusal_ = std::move(formatRefusal);
        if (!handler)
            handler = streams_.handler();
        server_ = std::move(Server::create(io_, settings, std::move(handler), std::move(planner)).value());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Budgeted()
    {
        io_.stop();
        thread_.join();
    }
    Budgeted(const Budgeted&) = delete;
    Budgeted& operator=(const Budgeted&) = delete;

    Server& server() { return *server_; }
    std::size_t answers() const { return budget_->held(ByteUse::Answers); }
    std::size_t uploads() const { return budget_->held(ByteUse::Uploads); }
    bool isEmpty() const { return answers() == 0 && uploads() == 0; }

    // Waits until the event loop has done what it has to do now.
    void waitForTurn()
    {
        std::promise<void> done;
        boost::asio::post(io_, [&done] { done.set_value(); });
        done.get_future().wait();
    }

    std::shared_ptr<Exchange> stream(std::size_t index) { return streams_.wait(index); }

    std::shared_ptr<ByteBudget> budget_;

    tcp::socket connect(const std::string& text, int receiveBuffer = 0)
    {
        tcp::socket socket(clients_, tcp::v4());
        if (receiveBuffer > 0)
            socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server_->local().port_ });
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        return socket;
    }

private:
    boost::asio::io_context clients_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    std::unique_ptr<Server> server_;
    std::thread thread_;
    Streams streams_; // ends before the event loop that its exchanges use
};

std::string readToEnd(tcp::socket& socket)
{
    std::string text;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
    return text;
}

// Takes up to `most` bytes at a time, `pause` apart, until `stop` or the end; the bytes taken are returned.
std::size_t readSlowly(tcp::socket& socket, std::size_t most, Duration pause, const std::atomic<bool>& stop)
{
    std::string piece(most, 0);
    std::size_t taken = 0;
    boost::system::error_code error;
    while (!stop && !error) {
        taken += socket.read_some(boost::asio::buffer(piece), error);
        std::this_thread::sleep_for(pause);
    }
    return taken;
}

// Writes until the kernel takes no more and `bytes` are queued, by one piece more at most.
void fillQueue(Budgeted& budgeted, Exchange& exchange, std::size_t bytes)
{
    const std::string piece(pieceBytes, 'q');
    const auto until = std::chrono::steady_clock::now() + testTime;
    int unchanged = 0; // turns of the server's event loop
    std::size_t before = 0;
    while (unchanged < 10 && std::chrono::steady_clock::now() < until) {
        if (exchange.queuedBytes() < bytes)
            exchange.write(piece);
        budgeted.waitForTurn();
        const std::size_t queued = exchange.queuedBytes();
        unchanged = queued >= bytes && queued == before ? unchanged + 1 : 0;
        before = queued;
        if (unchanged > 0)
            std::this_thread::sleep_for(2ms);
    }
    REQUIRE(unchanged == 10);
}

std::string uploadOf(std::size_t bytes) { return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"; }

// Writes pieces of a long answer while the queue has room.
struct Writer : std::enable_shared_from_this<Writer> {
    void run()
    {
        const std::string piece(pieceBytes, 'w');
        while (left_ > 0 && !exchange_->isQueueFull()) {
            exchange_->write(piece);
            left_ -= piece.size();
            mostQueued_ = std::max(mostQueued_.load(), exchange_->queuedBytes());
        }
        if (left_ == 0)
            return exchange_->end();
        exchange_->whenWritable([self = shared_from_this()] { self->run(); });
    }

    std::shared_ptr<Exchange> exchange_;
    std::size_t left_ = 12 * kib * kib;
    std::atomic<std::size_t> mostQueued_ = 0;
};

} // namespace

// Guards against readers of 2 MB/s that are cut off in the middle of a stream of 12 MB, and against queues that hold all of it.
TEST_CASE("byte budget: a reader at a limited pace gets its answer whole while the queue stays within its share")
{
    const auto writer = std::make_shared<Writer>();
    Budgeted budgeted([&](const std::shared_ptr<Exchange>& exchange) {
        exchange->start(200, {});
        writer->exchange_ = exchange;
        writer->run();
    });
    tcp::socket socket = budgeted.connect("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 64 * kib);
    const std::size_t taken = readSlowly(socket, 64 * kib, 5ms, false);
    CHECK(taken > 12 * kib * kib);
    CHECK(writer->mostQueued_ >= 128 * kib);
    CHECK(writer->mostQueued_ <= 128 * kib + pieceBytes + 1 * kib);
    CHECK(budgeted.server().readersCutOff() == 0);
    writer->exchange_.reset();
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against readers that are cut off although others stall for longer, or although they take bytes.
TEST_CASE("byte budget: the longest stalled reader is cut off first, and a moving one isn't")
{
    Budgeted budgeted({}, 512 * kib);
    tcp::socket first = budgeted.connect(plainGet, 16 * kib);
    const auto firstStream = budgeted.stream(0);
    tcp::socket second = budgeted.connect(plainGet, 16 * kib);
    const auto secondStream = budgeted.stream(1);
    tcp::socket moving = budgeted.connect(plainGet, 64 * kib);
    const auto movingStream = budgeted.stream(2);
    std::atomic<bool> stop = false;
    std::thread reader([&] { readSlowly(moving, 8 * kib, 4ms, stop); });

    fillQueue(budgeted, *firstStream, 160 * kib);
    std::this_thread::sleep_for(50ms);
    fillQueue(budgeted, *secondStream, 160 * kib);
    std::this_thread::sleep_for(300ms);
    CHECK(budgeted.server().readersCutOff() == 0); // the budget has room
    std::atomic<bool> isClosed = false;
    firstStream->onClosed([&] { isClosed = true; });
    const std::string piece(pieceBytes, 'm');
    const bool wasRelieved = comesTrue([&] {
        if (budgeted.answers() < 500 * kib)
            movingStream->write(piece);
        return budgeted.server().readersCutOff() > 0;
    });
    CHECK(wasRelieved);
    CHECK(comesTrue([&] { return isClosed.load(); }));
    CHECK(firstStream->wasCutOff());
    CHECK(budgeted.server().readersCutOff() == 1);
    CHECK_FALSE(secondStream->wasCutOff());
    CHECK_FALSE(movingStream->wasCutOff());
    secondStream->abort();
    movingStream->abort();
    stop = true;
    reader.join();
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against a budget that stays exhausted because nothing is written any more when its readers have stalled for long enough.
TEST_CASE("byte budget: a reader that stalls after the last write is cut off")
{
    Budgeted budgeted({}, 512 * kib, 400ms);
    tcp::socket socket = budgeted.connect(plainGet, 16 * kib);
    const auto stream = budgeted.stream(0);
    fillQueue(budgeted, *stream, 510 * kib);
    CHECK_FALSE(stream->wasCutOff());
    CHECK(comesTrue([&] { return stream->wasCutOff(); }, 3s));
    CHECK(budgeted.server().readersCutOff() == 1);
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against readers that are cut off because the socket stays unwritable until a third of the kernel's queue has been taken.
TEST_CASE("byte budget: a reader that takes bytes of the kernel's queue isn't stalled")
{
    Budgeted budgeted({}, 512 * kib, 400ms);
    tcp::socket socket = budgeted.connect(plainGet, 16 * kib);
    const auto stream = budgeted.stream(0);
    std::atomic<bool> stop = false;
    fillQueue(budgeted, *stream, 510 * kib);
    std::thread reader([&] { readSlowly(socket, 4 * kib, 40ms, stop); });
    std::this_thread::sleep_for(2s);
    CHECK(budgeted.answers() > 490 * kib);
    CHECK_FALSE(stream->wasCutOff());
    stop = true;
    reader.join();
    CHECK(comesTrue([&] { return stream->wasCutOff(); }, 5s));
}

TEST_CASE("byte budget: an upload over half of it is refused at once, in the format of the settings")
{
    std::atomic<int> handled = 0;
    const auto format = [](Error error) { return errorResponse(503, "host.NoBufferSpace", error == Error::NoBufferSpace ? "formatted" : "wrong", RunState::NotRun, 7); };
    Budgeted budgeted(
        [&](const std::shared_ptr<Exchange>& exchange) {
            ++handled;
            exchange->respond({});
        },
        512 * kib, 150ms, format);
    tcp::socket socket = budgeted.connect(uploadOf(257 * kib));
    const std::string answer = readToEnd(socket);
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("host.NoBufferSpace") != std::string::npos);
    CHECK(answer.find("formatted") != std::string::npos);
    CHECK(answer.find("Retry-After: 7") != std::string::npos);
    CHECK(answer.find("not") != std::string::npos);
    CHECK(budgeted.server().uploadsRefused() == 1);
    CHECK(handled == 0);
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

TEST_CASE("byte budget: a chunked upload is refused when it is over half of it")
{
    std::atomic<int> handled = 0;
    Budgeted budgeted([&](const std::shared_ptr<Exchange>& exchange) {
        ++handled;
        exchange->respond({});
    });
    tcp::socket socket = budgeted.connect("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n41000\r\n" + std::string(0x41000, 'u'));
    const std::string answer = readToEnd(socket);
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("host.NoBufferSpace") != std::string::npos);
    CHECK(budgeted.server().uploadsRefused() == 1);
    CHECK(handled == 0);
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against bodies that aren't counted while they are read, or after the handler has them.
TEST_CASE("byte budget: a body counts from its first byte until its request has ended")
{
    std::mutex mutex;
    std::vector<std::shared_ptr<Exchange>> held;
    Budgeted budgeted([&](const std::shared_ptr<Exchange>& exchange) {
        const std::lock_guard lock(mutex);
        held.push_back(exchange);
    });
    tcp::socket first = budgeted.connect(uploadOf(200 * kib) + std::string(100 * kib, 'u'));
    CHECK(comesTrue([&] { return budgeted.uploads() == 100 * kib; }));
    boost::asio::write(first, boost::asio::buffer(std::string(100 * kib, 'u')));
    CHECK(comesTrue([&] { return budgeted.uploads() == 200 * kib; }));
    CHECK(comesTrue([&] { const std::lock_guard lock(mutex); return held.size() == 1; }));
    CHECK(budgeted.uploads() == 200 * kib);

    tcp::socket second = budgeted.connect(uploadOf(100 * kib));
    CHECK(readToEnd(second).find("host.NoBufferSpace") != std::string::npos);
    {
        const std::lock_guard lock(mutex);
        held.clear();
    }
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));

    tcp::socket third = budgeted.connect(uploadOf(100 * kib) + std::string(50 * kib, 'u'));
    CHECK(comesTrue([&] { return budgeted.uploads() == 50 * kib; }));
    third.close();
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against hosts that refuse all requests while answers fill the budget, and against stalled readers that keep uploads out.
TEST_CASE("byte budget: when answers fill it, requests without a body are served, and stalled readers give way to uploads")
{
    std::atomic<int> handled = 0;
    Streams streams;
    Budgeted budgeted([&, open = streams.handler()](const std::shared_ptr<Exchange>& exchange) {
        if (exchange->request().target_ == "/")
            return open(exchange);
        ++handled;
        exchange->respond({ 200, {}, "served" });
    });
    tcp::socket stalled = budgeted.connect(plainGet, 16 * kib);
    const auto stream = streams.wait(0);
    streams.clear();
    fillQueue(budgeted, *stream, 400 * kib);
    std::this_thread::sleep_for(300ms);
    CHECK_FALSE(stream->wasCutOff());
    const std::string upload = "POST /upload HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 153600\r\n\r\n" + std::string(150 * kib, 'u');
    tcp::socket refused = budgeted.connect(upload);
    CHECK(readToEnd(refused).find("host.NoBufferSpace") != std::string::npos);
    CHECK(comesTrue([&] { return stream->wasCutOff(); }, 3s));
    tcp::socket accepted = budgeted.connect(upload);
    CHECK(readToEnd(accepted).find("served") != std::string::npos);

    ByteHold other = budgeted.budget_->hold(ByteUse::Answers);
    other.resize(600 * kib);
    tcp::socket plain = budgeted.connect("GET /plain HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(readToEnd(plain).find("served") != std::string::npos);
    other.resize(0);
    CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
}

// Guards against buffers that keep their capacity, which the budget doesn't count, while the connection is idle or its client sends ahead.
TEST_CASE("byte budget: kept-alive connections keep no large buffers")
{
    constexpr int connections = 32;
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    Budgeted budgeted([](const std::shared_ptr<Exchange>& exchange) { exchange->respond({ 200, {}, std::string(512 * kib, 'a') }); }, 64 * kib * kib);
    std::vector<tcp::socket> sockets;
    std::string answer(512 * kib, 0);
    const std::size_t before = allocated();
    for (int count = 0; count < connections; ++count) {
        sockets.push_back(budgeted.connect(plainGet));
        boost::asio::read(sockets.back(), boost::asio::buffer(answer));
    }
    CHECK(comesTrue([&] { return budgeted.isEmpty() && budgeted.server().openExchanges() == 0; }));
    CHECK(allocated() < before + connections * 64 * kib);
}

// Guards against streams that keep the two buffers of their last events, which the budget doesn't count.
TEST_CASE("byte budget: streams whose reader has taken everything keep no large buffers")
{
    constexpr int connections = 32;
    const auto allocated = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    Budgeted budgeted({}, 64 * kib * kib);
    std::vector<tcp::socket> sockets;
    std::vector<std::shared_ptr<Exchange>> streams;
    std::string answer(15 * kib, 0);
    const auto writeAll = [&](std::size_t bytes) {
        for (int count = 0; count < connections; ++count) {
            streams[static_cast<std::size_t>(count)]->write(std::string(bytes, 'e'));
            boost::asio::read(sockets[static_cast<std::size_t>(count)], boost::asio::buffer(answer, bytes));
        }
        CHECK(comesTrue([&] { return budgeted.isEmpty(); }));
    };
    for (int count = 0; count < connections; ++count) {
        sockets.push_back(budgeted.connect(plainGet));
        streams.push_back(budgeted.stream(static_cast<std::size_t>(count)));
    }
    writeAll(100);
    const std::size_t before = allocated();
    for (int round = 0; round < 3; ++round)
        writeAll(15 * kib);
    CHECK(allocated() < before + connections * 8 * kib);
    for (const auto& stream : streams)
        stream->abort();
}

// Guards against a thousand stalled readers that each hold an event, and a part of the next one, beyond the budget.
TEST_CASE("byte budget: while it is exhausted, a reader gets more only once it has taken everything")
{
    Budgeted budgeted({}, 512 * kib, 20s);
    tcp::socket socket = budgeted.connect(plainGet, 16 * kib);
    const auto stream = budgeted.stream(0);
    fillQueue(budgeted, *stream, 1);
    REQUIRE(stream->queuedBytes() > 0);
    CHECK_FALSE(stream->isQueueFull());
    std::atomic<int> calls = 0;
    stream->whenWritable([&] { ++calls; });
    CHECK(comesTrue([&] { return calls == 1; }));

    ByteHold other = budgeted.budget_->hold(ByteUse::Answers);
    other.resize(512 * kib);
    CHECK(stream->isQueueFull());
    stream->whenWritable([&] { ++calls; });
    std::this_thread::sleep_for(50ms);
    CHECK(calls == 1);
    std::atomic<bool> stop = false;
    std::thread reader([&] { readSlowly(socket, 64 * kib, 1ms, stop); });
    CHECK(comesTrue([&] { return calls == 2; }));
    CHECK(stream->queuedBytes() == 0);
    CHECK_FALSE(stream->isQueueFull());
    stream->abort();
    stop = true;
    reader.join();
}

// Guards against clients that fill a host by what they send ahead while their request is handled.
TEST_CASE("what a client sends ahead of its answer is read by one piece only")
{
    constexpr int connections = 32;
    Budgeted budgeted({}, 64 * kib * kib);
    std::vector<tcp::socket> sockets;
    const auto info = ::mallinfo2();
    for (int count = 0; count < connections; ++count) {
        sockets.push_back(budgeted.connect(plainGet));
        budgeted.stream(static_cast<std::size_t>(count));
        sockets.back().non_blocking(true);
        boost::system::error_code error;
        sockets.back().write_some(boost::asio::buffer(std::string(200 * kib, 'p')), error);
    }
    std::this_thread::sleep_for(100ms);
    const auto later = ::mallinfo2();
    CHECK(later.uordblks + later.hblkhd < info.uordblks + info.hblkhd + connections * 72 * kib);
}
