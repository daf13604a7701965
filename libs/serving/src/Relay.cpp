// Each RelayedRequest keeps itself alive until it has ended.
#include "Relay.h"

#include "RelayedRequest.h"

namespace jj {

void Relay::handle(std::shared_ptr<http::Exchange> exchange, std::shared_ptr<const RouteTable> table, const Route& route, Caller caller)
{
    std::make_shared<RelayedRequest>(context_, std::move(exchange), std::move(table), route, std::move(caller), open_)->begin();
}

void Relay::endUnanswered()
{
    std::vector<std::shared_ptr<RelayedRequest>> requests;
    for (RelayedRequest* request : *open_)
        requests.push_back(request->shared_from_this());
    for (const std::shared_ptr<RelayedRequest>& request : requests)
        request->onProcessStops();
}

} // namespace jj
