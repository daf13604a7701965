// The callers' HTTP: questions, jobs and plain services. Reads calls, opens requests and writes answers; decides nothing.
#pragma once

#include "JobHost.h"
#include "RequestPlane.h"
#include "base/Result.h"
#include "http/Server.h"
#include "settings/NodeSettings.h"
#include "telemetry/Metrics.h"

#include <functional>
#include <memory>

namespace jj {

struct CallersParts {
    const FleetViewBoard& view_;
    RequestPlane& plane_;
    JobHost& jobs_;
    Metrics& metrics_;
    RegionId region_;
    std::function<RequestId()> nextRequest_;
    std::function<bool()> ready_; // false while this node has no configuration: then it can't know its services
};

// A typed refusal of the job core, with the status and code of its error.
void refuseJob(http::Exchange& exchange, std::error_code code, RunState run, Duration retryAfter, std::string_view extra = {});

class CallersServer {
public:
    static Result<std::unique_ptr<CallersServer>> create(boost::asio::io_context& io, const Address& listen, const InputLimits& limits, const CallersParts& parts);

    const Endpoint& local() const { return server_->local(); }
    void drain() { server_->drain(); }
    std::size_t openExchanges() const { return server_->openExchanges(); }

private:
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    explicit CallersServer(const CallersParts& parts, const InputLimits& limits);

    void handle(const ExchangePtr& exchange);
    void chat(const ExchangePtr& exchange);
    void submit(const ExchangePtr& exchange);
    void job(const ExchangePtr& exchange, std::string_view rest);
    void status(const ExchangePtr& exchange, JobId job);
    void results(const ExchangePtr& exchange, JobId job);
    void nextPage(const ExchangePtr& exchange, JobId job, std::uint32_t cursor, bool started);
    void cancel(const ExchangePtr& exchange, JobId job);
    void plain(const ExchangePtr& exchange, std::string_view rest);
    void sendPlain(const ExchangePtr& exchange, const ServiceConfig& service, std::string path, const std::function<void(int, const std::string&, RunState)>& done);
    void callOnce(const ExchangePtr& exchange, const ServiceConfig& service, const std::string& path);
    void openRequest(const ExchangePtr& exchange, EntryRequest request);
    std::string workspaceOf(const ExchangePtr& exchange) const;

    CallersParts parts_;
    InputLimits limits_;
    CounterHandle questions_;
    CounterHandle refused_;
    DistributionHandle firstToken_;
    std::unique_ptr<http::Server> server_;
};

} // namespace jj
