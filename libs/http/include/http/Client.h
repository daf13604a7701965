// An HTTP/1.1 client with pooled keep-alive connections, for many requests at a time.
//
//     Client client(io, {});
//     client.fetch(engine, { "GET", "/v1/load", {}, {} }, {}, [](Result<Response> response, RunState run) { ... });
//     std::shared_ptr<Call> call = client.send(engine, request, {}, { onHead, onData, onEnd, onError });
//     call->cancel();
//
// Callbacks run on the connection's strand of the io_context. Exactly one of onEnd and onError ends a call that isn't cancelled;
// none begins after cancel() was called on that strand. The client never sends a request twice by itself: whether to try again is
// for callers, who learn whether any byte can have reached the other side.
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
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace jj::http {

namespace detail {
    class ClientConnection;
    struct ClientShared;
    struct CallState;
}

struct ClientSettings {
    Duration connectTime_ = std::chrono::seconds(1);
    // An unused connection is closed after this, or sooner when the other side names a shorter time (Keep-Alive: timeout=).
    Duration pooledIdle_ = std::chrono::seconds(30);
    std::size_t pooledPerEndpoint_ = 64;
    Duration cancelLinger_ = std::chrono::milliseconds(50); // of Call::cancelAfterReceived(): longer than a round trip
    std::size_t headerBytes_ = 16 * 1024; // of the status line and headers together
    std::size_t chunkLineBytes_ = 4 * 1024; // of a chunk's size line, with its extensions
    std::size_t trailerBytes_ = 16 * 1024;
    std::uint32_t interimAnswers_ = 8; // 1xx answers before the final one
    std::size_t bodyBytes_ = 16 * 1024 * 1024; // of a whole answer (fetch); streams have no limit
    std::shared_ptr<const ByteBudget> budget_ {}; // while it is exhausted, answers are read in small pieces; null: never
};

struct CallOptions {
    Duration idle_ = std::chrono::seconds(30); // the call ends with NoProgress after so long without a byte from the other side
    bool fresh_ = false; // on a new connection: a pooled one may be half dead, which matters when a call may not be repeated
    // A header that the other side repeats in its answer. An answer with another value, or without it on a connection that was used before,
    // belongs to an earlier request of the connection, such as a second answer that came late: it is read over, and the one after it is waited for.
    // A call goes over no connection that carried one with the same value lately, as nothing would tell their answers apart.
    std::string echoName_ {};
    std::string echoValue_ {};
    // Sent in place of Request::body_, without a copy. Released once it has been written.
    std::shared_ptr<const std::string> sharedBody_ {};
    Duration total_ = Duration::zero(); // the call ends with NoProgress after so long, whatever comes; zero: no limit
    std::size_t bodyBytes_ = 0; // of a whole answer (fetch); 0: ClientSettings::bodyBytes_
};

// run_ is NotRun only when no byte of the request was handed to the socket; Ran when the answer's head was there.
struct CallFailure {
    std::error_code code_;
    RunState run_ = RunState::NotRun;
};

// What marked the end of an answer.
enum class AnswerEnd : std::uint8_t {
    Framed, // its length or its last chunk
    ConnectionClosed, // it had neither: the other side closed the connection in order, which a process that ends early does too
};

std::string_view nameOf(AnswerEnd end);

struct CallHandlers {
    std::function<void(const ResponseHead&)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void(AnswerEnd)> onEnd_;
    std::function<void(const CallFailure&)> onError_;
};

// A request under way. Dropping the pointer does not cancel.
class Call {
public:
    explicit Call(std::shared_ptr<detail::CallState> state);

    // Closes the connection of the call; no callback follows. Any thread; again is harmless.
    void cancel();
    // As cancel(), but callbacks first deliver what the connection has received by now and this side hasn't read yet, and for a while
    // (ClientSettings::cancelLinger_) what the other side had sent before it saw the end.
    void cancelAfterReceived();
    // Stops reading from the other side until resumeReading(), after what has been read is delivered. CallOptions::idle_ doesn't run
    // meanwhile, and the end of the connection isn't noticed. Any thread; again is harmless.
    void pauseReading();
    void resumeReading();
    // Returns whether any byte of the request may have been handed to the socket. After cancel() on a call of which this is false, none is.
    bool wasSent() const;

private:
    std::shared_ptr<detail::ClientConnection> connection() const;

    std::shared_ptr<detail::CallState> state_;
};

class Client {
public:
    using WholeHandler = std::function<void(Result<Response>, RunState)>;

    Client(boost::asio::io_context& io, ClientSettings settings);
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    // Closes pooled connections; calls under way go on.
    ~Client();

    std::shared_ptr<Call> send(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallHandlers handlers);

    // Collects the whole answer. The handler gets an error for what failed below HTTP, and any status as a response. An answer over
    // its limit ends the call with AnswerTooLarge and closes its connection.
    std::shared_ptr<Call> fetch(const Endpoint& endpoint, const Request& request, const CallOptions& options, WholeHandler handler);

    // A GET on a fresh connection: tells a dead peer from a connection that something in between has lost track of.
    void probe(const Endpoint& endpoint, std::string target, Duration bound, std::function<void(bool alive)> handler);

    // Closes the pooled connections to `endpoint`, after one of them proved silent.
    void dropPooled(const Endpoint& endpoint);
    std::size_t pooledConnections() const;
    // An unused connection to `endpoint` is open.
    bool hasPooled(const Endpoint& endpoint) const;

private:
    std::shared_ptr<Call> sendLimited(const Endpoint& endpoint, const Request& request, const CallOptions& options, CallHandlers handlers, std::size_t bodyLimit);

    std::shared_ptr<detail::ClientShared> shared_;
};

} // namespace jj::http
