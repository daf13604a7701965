// A client for command line tools and tests: one request at a time, the caller's thread waits.
#pragma once

#include "http/Client.h"

#include <functional>
#include <memory>
#include <string_view>

namespace jj::http {

class BlockingClient {
public:
    explicit BlockingClient(Duration idle = std::chrono::seconds(30));
    ~BlockingClient();
    BlockingClient(const BlockingClient&) = delete;
    BlockingClient& operator=(const BlockingClient&) = delete;

    Result<Response> request(const Endpoint& endpoint, const Request& request);

    // Hands pieces of the answer on as they come; `onData` returns false to stop, which closes the connection and is no error.
    // The response's body is empty when status_ is 200, and else holds the answer, which isn't handed to onData.
    Result<Response> stream(const Endpoint& endpoint, const Request& request, const std::function<bool(std::string_view)>& onData);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace jj::http
