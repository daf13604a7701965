// An HTTP/1.1 server. The handler gets an Exchange for each request and answers it at once or later, from any thread.
//
//     auto server = Server::create(io, { .listen_ = parseEndpoint("127.0.0.1:0").value() }, [](std::shared_ptr<Exchange> exchange) {
//         exchange->respond({ 200, {}, "hello" });
//     });
//     server.value()->local().port_;
//
// Handlers and callbacks run on the connection's strand of the io_context; several threads may run the io_context. Input over a
// limit is answered with a typed error (errorResponse), and the connection is closed after it.
#pragma once

#include "base/Endpoint.h"
#include "base/Result.h"
#include "base/Time.h"
#include "http/ByteBudget.h"
#include "http/Message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace jj::http {

namespace detail {
    class ServerConnection;
    struct ServerShared;
}

struct ServerLimits {
    std::size_t headerBytes_ = 16 * 1024; // request line and headers together
    std::size_t bodyBytes_ = 1024 * 1024; // unless the body planner says otherwise
    // With more, those are closed that wait for a whole request for longest. A few beyond it are refused with an answer.
    std::size_t connections_ = 4096;
    std::size_t connectionsPerRequest_ = 1; // that one with a request in progress counts as: 2 if the handler opens another one for it
    std::size_t chunkLineBytes_ = 4 * 1024; // of a chunk's size line, with its extensions
    std::size_t trailerBytes_ = 16 * 1024;
    std::size_t writeQueueBytes_ = 4 * 1024 * 1024; // without a byte budget, a stream's reader further behind than this is cut off
    // When the byte budget is exhausted, readers that have taken no byte for this long are cut off, those first that wait for longest.
    Duration stallTime_ = std::chrono::seconds(1);
    Duration headTime_ = std::chrono::seconds(15); // from a request's first byte to the end of its header
    Duration requestTime_ = std::chrono::seconds(15); // from a request's first byte to the end of its whole body
    Duration idle_ = std::chrono::seconds(60); // keep-alive without a request; a client that sends no byte of a streamed body
    Duration writeTime_ = std::chrono::seconds(60); // a client that takes no byte of its answer, which can't be had again
};

struct ServerSettings {
    Endpoint listen_;
    ServerLimits limits_;
    std::shared_ptr<ByteBudget> budget_ {}; // of all connections of the process; null: each connection has the limits above
    // Formats the answer to a request that the server refuses without calling the handler because the budget is exhausted; none: errorResponse().
    std::function<Response(Error)> formatRefusal_ {};
};

// How the body of one request is read; chosen when its header is there.
struct BodyPlan {
    bool streamed_ = false; // the handler pulls the body by readBody, before it is complete
    std::size_t limitBytes_ = 0; // 0: the server's limit
};

// One piece of a streamed body. Exactly one piece of a body has last_ or error_; nothing follows it.
struct BodyPiece {
    std::error_code error_;
    std::string data_;
    bool last_ = false;
};

// The bytes of a request as the byte budget counts them.
struct RequestHolds {
    ByteHold head_;
    ByteHold body_;
};

// One request and its answer. All calls are safe from any thread; calls after the end or after the client left do nothing.
class Exchange {
public:
    Exchange(std::shared_ptr<detail::ServerConnection> connection, std::uint64_t turn, Request request, bool bodyIsStreamed, RequestHolds holds);
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    // An exchange that is dropped without an answer is answered 500, so that no client waits for ever.
    ~Exchange();

    const Request& request() const { return request_; }
    bool bodyIsStreamed() const { return bodyIsStreamed_; }

    // Answers whole.
    void respond(const Response& response);
    // Answers as a chunked stream: start, any number of writes, end. Writes are coalesced while the socket is busy.
    void start(int status, const Headers& headers);
    void write(std::string_view data);
    void end();
    // Cuts the connection, so that the client sees a truncated answer.
    void abort();

    // Bytes written and not yet taken by the socket; for writers of long answers.
    std::size_t queuedBytes() const;
    // Calls back once, when the queue is (nearly) empty, or when the client is gone.
    void whenDrained(std::function<void()> callback);
    // Returns whether the writer should stop until the reader has taken more: the queue has reached this connection's share of the budget,
    // or the budget is exhausted and the queue isn't empty.
    bool isQueueFull() const;
    // Calls back once, when the queue has fallen below half of that share (to zero while the budget is exhausted), or when the client has
    // disconnected. May be called at once. A later callback replaces one that hasn't been called yet.
    void whenWritable(std::function<void()> callback);
    // Returns for how long the client has taken no byte of the queue; nullopt if nothing is queued.
    std::optional<Duration> stalledFor() const;
    // Returns whether the client was cut off because it took no byte while the budget was exhausted.
    bool wasCutOff() const;

    // Calls back once, when the client goes away or is cut off before the answer ended. May be called at once.
    void onClosed(std::function<void()> callback);

    // Asks for the next piece of a streamed body; one call at a time.
    void readBody(std::function<void(BodyPiece)> callback);

private:
    std::shared_ptr<detail::ServerConnection> connection_;
    std::uint64_t turn_; // which request of the connection this is; calls of an earlier one are ignored
    Request request_;
    bool bodyIsStreamed_;
    RequestHolds holds_;
};

class Server {
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    // Sees method, target and headers; the body is empty.
    using BodyPlanner = std::function<BodyPlan(const Request&)>;

    // Errors: the system's, if the address can't be listened on.
    static Result<std::unique_ptr<Server>> create(boost::asio::io_context& io, ServerSettings settings, Handler handler, BodyPlanner planner = {});
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;
    // Closes all connections. Their last steps run on the io_context.
    ~Server();

    // Where it listens, with the port that the system chose.
    const Endpoint& local() const;

    // From now on, for open connections too. Not while several threads run the io_context.
    void setLimits(const ServerLimits& limits);

    // `admits` is called for each new connection, on the io_context. If it returns false, the connection is closed unread, so that its
    // client can try another server at once.
    void setAdmission(std::function<bool()> admits);
    // Number of connections that were not admitted since the start.
    std::uint64_t unadmittedConnections() const;

    // Takes no new connection; idle connections are closed, busy ones after the answer under way. Requests that have reached this host
    // and wait to be read are answered, as are those on connections that wait to be accepted.
    void drain();
    std::size_t openConnections() const;
    // Requests of which a byte was read and that have no complete answer yet.
    std::size_t openExchanges() const;
    // Number of clients that were cut off since the start because they took no byte while the byte budget was exhausted.
    std::uint64_t readersCutOff() const;
    // Number of requests that were refused since the start because their body didn't fit into the byte budget.
    std::uint64_t uploadsRefused() const;
    // Number of requests that were refused since the start because their header didn't fit into the byte budget.
    std::uint64_t headsRefused() const;
    // Number of connections that were closed since the start to make room for others: they waited for a whole request for longest.
    std::uint64_t connectionsEvicted() const;

private:
    explicit Server(std::shared_ptr<detail::ServerShared> shared);

    std::shared_ptr<detail::ServerShared> shared_;
};

} // namespace jj::http
