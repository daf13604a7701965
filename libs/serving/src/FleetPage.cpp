// Builds one JSON object for each cell.
#include "FleetPage.h"

#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;

    std::string addressOf(const Fleet& fleet, NodeId node)
    {
        return node == fleet.self() ? fleet.address() : fleet.addressOf(node);
    }

    json::object hostToJson(const Fleet& fleet, const CellNode& node)
    {
        return { { "host", addressOf(fleet, node.node_) }, { "runsJobs", node.runsJobs_ }, { "watches", node.watching_ }, { "keptJobs", node.spooledJobs_ }, { "behind", node.isBehind_ }, { "lostStore", node.isStoreUnreachable_ } };
    }

    json::object cellToJson(const Fleet& fleet, const CellSummary& cell)
    {
        json::array hosts;
        for (const CellNode& node : cell.nodes_)
            hosts.push_back(hostToJson(fleet, node));
        return { { "delegate", addressOf(fleet, cell.use_.delegate_) }, { "nodes", cell.liveNodes_ }, { "config", cell.configVersion_ }, { "engines", cell.enginesVersion_ }, { "ageMs", cell.age_ / 1ms }, { "hosts", std::move(hosts) } };
    }

} // namespace

std::string fleetPage(const Fleet& fleet, KnownVersions own, TimePoint now)
{
    json::array cells;
    for (const CellSummary& cell : fleet.summaries(now))
        cells.push_back(cellToJson(fleet, cell));
    return json::serialize(json::object { { "host", fleet.address() }, { "config", own.config_ }, { "engines", own.engines_ }, { "nodes", fleet.livePeers() + 1 }, { "cells", std::move(cells) } });
}

} // namespace jj
