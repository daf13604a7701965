// Proxies requests to engines: picks an engine, sends the request, streams the answer back, and retries or refuses if necessary.
//
// Each request ends in exactly one way: with the engine's answer, with a refusal stating that the request did not run, with a
// failure response if it may have run, with an aborted connection if the answer had already started, or when the caller
// disconnects.
#pragma once

#include "Caller.h"
#include "Context.h"

#include <memory>
#include <unordered_set>

namespace jj {

class RelayedRequest;

class Relay {
public:
    explicit Relay(Context& context)
        : context_(context)
    {
    }

    void handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller);
    std::size_t openRequests() const { return open_->size(); }
    // Answers the requests whose answer hasn't started, because the process ends.
    void endUnanswered();

private:
    Context& context_;
    std::shared_ptr<std::unordered_set<RelayedRequest*>> open_ = std::make_shared<std::unordered_set<RelayedRequest*>>();
};

} // namespace jj
