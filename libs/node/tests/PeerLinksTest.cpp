// Links between nodes over loopback: order, wrong keys, silence, restarts.
#include "PeerLinks.h"

#include "base/Error.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace jj;

namespace {

struct Loss {
    NodeId node_;
    std::error_code reason_;
    std::vector<AttemptKey> unsent_;
};

// A node's links on a thread of its own. pause() stops the thread and leaves the sockets open, as a paused process does.
class Node {
public:
    explicit Node(char keyDigit, std::uint16_t port = 0, std::uint64_t incarnation = 1)
    {
        PeerLinkSettings settings;
        settings.heartbeat_ = 10ms;
        settings.silence_ = 400ms;
        settings.connect_ = 400ms;
        PeerAddress listen = PeerAddress::parse("127.0.0.1:1").value();
        listen.port_ = port;
        const auto key = WireKey::fromHex(std::string(64, keyDigit)).value();
        auto created = PeerLinks::create(io_, key, { listen, Incarnation(incarnation) }, settings,
            { [this](NodeId from, LinkMessage&& message) { onMessage(from, std::move(message)); },
                [this](NodeId node, std::error_code reason, const std::vector<AttemptKey>& unsent) { onLost(node, reason, unsent); } });
        links_ = std::move(created.value());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Node()
    {
        pause();
        links_.reset();
    }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void pause()
    {
        io_.stop();
        if (thread_.joinable())
            thread_.join();
    }

    PeerLinks& links() { return *links_; }

    std::vector<LinkMessage> waitForMessages(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return messages_.size() >= count; });
        return messages_;
    }
    Loss waitForLoss()
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return !losses_.empty(); });
        return losses_.front();
    }
    NodeId lastSender()
    {
        const std::lock_guard lock(mutex_);
        return lastSender_;
    }

private:
    void onMessage(NodeId from, LinkMessage&& message)
    {
        const std::lock_guard lock(mutex_);
        lastSender_ = from;
        messages_.push_back(std::move(message));
        changed_.notify_all();
    }
    void onLost(NodeId node, std::error_code reason, const std::vector<AttemptKey>& unsent)
    {
        const std::lock_guard lock(mutex_);
        losses_.push_back({ node, reason, unsent });
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<LinkMessage> messages_;
    std::vector<Loss> losses_;
    NodeId lastSender_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ = boost::asio::make_work_guard(io_);
    std::unique_ptr<PeerLinks> links_;
    std::thread thread_;
};

RequestStart requestStart(std::uint64_t id)
{
    RequestStart start;
    start.key_ = { RequestId(id), 1, Incarnation(1) };
    start.body_ = "question " + std::to_string(id);
    return start;
}

} // namespace

TEST_CASE("links carry requests one way and answers back in order")
{
    constexpr std::uint64_t count = 500;
    Node entry('a');
    Node home('a');
    const NodeId to = entry.links().learn(home.links().local());
    for (std::uint64_t i = 0; i < count; ++i)
        CHECK(entry.links().send(to, requestStart(i)));
    const auto requests = home.waitForMessages(count);
    for (std::uint64_t i = 0; i < count; ++i)
        REQUIRE(std::get<RequestStart>(requests[i]).key_.request_ == RequestId(i));
    CHECK(home.lastSender() == entry.links().self());

    for (std::uint64_t i = 0; i < count; ++i)
        CHECK(home.links().send(entry.links().self(), StreamData { { RequestId(i), 1, Incarnation(1) }, 0, 1, "word" }));
    const auto answers = entry.waitForMessages(count);
    CHECK(std::get<StreamData>(answers.back()).key_.request_ == RequestId(count - 1));
    CHECK(entry.links().openLinks() == 1);
}

// A host with another key joins by mistake or ill will. It may not get a request, and the sender learns that none was sent, so that
// its caller receives notRun and not outcomeUnknown.
TEST_CASE("a peer with another key gets no request and the sender knows that nothing was sent")
{
    Node entry('a');
    Node stranger('b');
    const NodeId to = entry.links().learn(stranger.links().local());
    const auto sent = entry.links().send(to, requestStart(7));
    const Loss loss = entry.waitForLoss();
    CHECK(loss.node_ == to);
    // The stranger may have closed the new link before the message was given to it: then send() itself says that nothing went out.
    if (!sent) {
        CHECK(sent.error() == BaseError::Closed);
        CHECK(loss.unsent_.empty());
        return;
    }
    REQUIRE(loss.unsent_.size() == 1);
    CHECK(loss.unsent_.front().request_ == RequestId(7));
}

// Something between two nodes forgets an open connection: no byte comes, no error either. Without heartbeats a caller would wait
// until its own timeout. The link is found silent and reported lost.
TEST_CASE("a link that goes silent is found lost")
{
    Node entry('a');
    Node home('a');
    const NodeId to = entry.links().learn(home.links().local());
    REQUIRE(entry.links().send(to, requestStart(1)));
    home.waitForMessages(1);
    home.pause();
    const Loss loss = entry.waitForLoss();
    CHECK(loss.node_ == to);
    CHECK(loss.reason_ == BaseError::TimedOut);
    CHECK(loss.unsent_.empty());
}

// A host is replaced: the process on the same address is a new one. Requests to the old one are lost, the next send reaches the new one.
TEST_CASE("the process that replaces a lost one at its address is reached by the next send")
{
    Node entry('a');
    auto home = std::make_unique<Node>('a');
    const PeerAddress address = home->links().local();
    const NodeId to = entry.links().learn(address);
    REQUIRE(entry.links().send(to, requestStart(1)));
    home->waitForMessages(1);
    home.reset();
    CHECK(entry.waitForLoss().node_ == to);
    Node replacement('a', address.port_, 2);
    REQUIRE(entry.links().send(to, requestStart(2)));
    const auto messages = replacement.waitForMessages(1);
    CHECK(std::get<RequestStart>(messages.front()).key_.request_ == RequestId(2));
}

TEST_CASE("an unknown node and a message over its limit are refused at the send")
{
    Node entry('a');
    Node home('a');
    CHECK(entry.links().send(NodeId(5), Heartbeat {}).error() == BaseError::Closed);
    const NodeId to = entry.links().learn(home.links().local());
    REQUIRE(entry.links().send(to, requestStart(1)));
    home.waitForMessages(1);
    RequestStart big = requestStart(2);
    big.body_.assign(maxBodyBytes + 1, 'x');
    CHECK(home.links().send(entry.links().self(), big).error() == WireError::Oversized);
}
