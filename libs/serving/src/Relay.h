// Proxies requests to engines: picks an engine, sends the request, streams the answer back, and retries or refuses if necessary.
//
// Each request ends in exactly one way: with the engine's answer, with a refusal stating that the request did not run, with a
// failure response if it may have run, with an aborted connection if the answer had already started, or when the caller
// disconnects.
#pragma once

#include "Caller.h"
#include "Context.h"

#include <memory>

namespace jj {

class Relay {
public:
    explicit Relay(Context& context)
        : context_(context)
    {
    }

    void handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller);
    std::size_t openRequests() const { return *openCount_; }

private:
    Context& context_;
    std::shared_ptr<std::size_t> openCount_ = std::make_shared<std::size_t>(0);
};

} // namespace jj
