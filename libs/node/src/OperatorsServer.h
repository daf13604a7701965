// The operators' HTTP, on an address of its own: health, readiness, metrics, status, drain and configuration. Calls that change
// something need the operators' token.
#pragma once

#include "FleetHost.h"
#include "JobHost.h"
#include "base/Result.h"
#include "decisions/Decisions.h"
#include "http/Server.h"
#include "settings/NodeSettings.h"
#include "telemetry/Metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace jj {

struct OperatorsParts {
    FleetHost& fleet_;
    JobHost& jobs_;
    RequestPlane& plane_;
    ObjectClient& store_;
    Metrics& metrics_;
    std::function<Decisions::Counts()> decisions_;
    std::function<bool()> ready_;
    std::function<void()> drain_;
    std::string token_; // empty: calls that change something are refused
};

class OperatorsServer {
public:
    static Result<std::unique_ptr<OperatorsServer>> create(boost::asio::io_context& io, const Address& listen, const OperatorsParts& parts);

    const Endpoint& local() const { return server_->local(); }

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    explicit OperatorsServer(const OperatorsParts& parts);

    void handle(const ExchangePtr& exchange);
    bool mayChange(const http::Request& request) const;
    void status(const ExchangePtr& exchange);
    void metrics(const ExchangePtr& exchange);
    void writeConfig(const ExchangePtr& exchange);

    OperatorsParts parts_;
    std::unique_ptr<http::Server> server_;
};

} // namespace jj
