// Asks the engines of which this node is the home for their load and their cache events, a constant number of calls an engine.
// Only the home asks: with every node asking, 360 nodes would each poll 790 engines.
#pragma once

#include "FleetHost.h"
#include "FleetView.h"
#include "decisions/Events.h"

#include <functional>
#include <map>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace jj::http {
class Client;
}

namespace jj {

class LoadPoller {
public:
    LoadPoller(boost::asio::io_context& io, http::Client& client, const FleetViewBoard& view, FleetHost& fleet, std::function<void(Event)> feed, Duration period);
    ~LoadPoller();

    void start();
    void stop();

private:
    struct State;

    std::shared_ptr<State> state_;
};

} // namespace jj
