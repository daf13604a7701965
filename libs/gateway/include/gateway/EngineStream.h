// One streamed answer of an engine, read token by token.
//
//     auto stream = EngineStream::start(client, engine, { streamId, body }, handlers);
//     stream->cancel();
//
// Handlers run on the connection's strand; exactly one of onEnd_ and onFailure_ ends a stream that isn't cancelled.
#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace jj::http {
class Client;
class Call;
}

namespace jj {

enum class EngineFailure : std::uint8_t {
    Connect, // no connection
    Overloaded, // 429 or 503: not run
    Rejected, // another 4xx: the request's own fault
    ServerError, // 5xx, or a stream that breaks the protocol
    Disconnected, // connection lost
    Crashed, // connection lost, and the engine refuses new ones
    Silent, // no byte within the bound
};

struct EngineStreamHandlers {
    // Position behind the tokens, how many, and their text; several tokens that came together are one call.
    std::function<void(std::uint32_t position, std::uint32_t count, std::string_view text)> onTokens_;
    std::function<void()> onEnd_;
    // `sent`: whether any byte of the request can have reached the engine. `answer`: the engine's error text, for Rejected.
    std::function<void(EngineFailure failure, bool sent, std::string_view answer)> onFailure_;
};

struct EngineStreamRequest {
    std::string streamId_; // names the stream to the engine, for its cancellation
    std::string body_;
    Duration idle_ = std::chrono::seconds(5); // the stream counts as silent after so long without a byte
};

class EngineStream : public std::enable_shared_from_this<EngineStream> {
public:
    static std::shared_ptr<EngineStream> start(http::Client& client, const Endpoint& engine, EngineStreamRequest request, EngineStreamHandlers handlers);

    // Closes the connection, which frees the engine's slot. No handler begins after it returned on the connection's strand; from
    // another thread one may still be under way.
    void cancel();

private:
    EngineStream(http::Client& client, Endpoint engine, EngineStreamHandlers handlers);

    void begin(EngineStreamRequest request);
    void onHead(int status);
    void onData(std::string_view data);
    void onLine(std::string_view line);
    void onEnd();
    void lost(bool silent, bool sent);
    void fail(EngineFailure failure, bool sent);
    void flushTokens();

    http::Client& client_;
    Endpoint engine_;
    EngineStreamHandlers handlers_; // let go at the end: what they hold may hold the stream
    std::mutex lock_; // guards call_: the first handler may run before begin() has stored the call
    std::shared_ptr<http::Call> call_;
    int status_ = 0;
    bool done_ = false; // [DONE] was read
    bool ended_ = false; // the last handler was called
    std::string line_; // the beginning of a line whose end hasn't come
    std::string error_; // body of an answer that is no stream
    // Tokens of the piece that is being read.
    std::string text_;
    std::uint32_t count_ = 0;
    std::uint32_t position_ = 0;
};

} // namespace jj
