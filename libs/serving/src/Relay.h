// Requests that pass through to an engine: picked, sent, streamed back, sent again where that is allowed, or refused.
//
// A request lives from its arrival to exactly one end: the engine's answer, a refusal that says "not run", a failure that promises
// nothing, or a cut connection once the answer has begun.
#pragma once

#include "Context.h"

#include <memory>

namespace jj {

class Relay {
public:
    explicit Relay(Context& context)
        : context_(context)
    {
    }

    void handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route);
    std::size_t open() const { return *open_; }

private:
    Context& context_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

} // namespace jj
