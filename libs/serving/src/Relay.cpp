// Each RelayedRequest keeps itself alive until it has ended.
#include "Relay.h"

#include "RelayedRequest.h"

namespace jj {

void Relay::handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller)
{
    std::make_shared<RelayedRequest>(context_, std::move(exchange), std::move(table), route, std::move(caller), openCount_)->begin();
}

} // namespace jj
