// What operators see of a running node: metrics, summaries in the log, and the requests at its metrics address.
#include "FleetPage.h"
#include "ServingParts.h"

#include <boost/json.hpp>
#include <sys/resource.h>

namespace jj {

namespace json = boost::json;

namespace {

    constexpr Duration summaryPeriod = 10s;
    constexpr Duration slowEnginesPeriod = 1s;

    // The highest resident memory of the process since its start.
    long peakMemoryMegabytes()
    {
        rusage usage {};
        ::getrusage(RUSAGE_SELF, &usage);
        constexpr long kilobytes = 1024;
        return usage.ru_maxrss / kilobytes;
    }

} // namespace

// ---- metrics and summaries

void ServingNode::Parts::updateGauges()
{
    metrics_.set(servingMetrics_.bytesForReaders_, static_cast<double>(budget_->held(http::ByteUse::Answers)));
    metrics_.set(servingMetrics_.bytesOfUploads_, static_cast<double>(budget_->held(http::ByteUse::Uploads)));
    metrics_.set(servingMetrics_.bytesOfHeads_, static_cast<double>(budget_->held(http::ByteUse::Heads)));
    metrics_.set(servingMetrics_.bytesLimit_, static_cast<double>(budget_->limit()));
    metrics_.set(servingMetrics_.logLinesDropped_, static_cast<double>(log_.dropped()));
    metrics_.set(servingMetrics_.logWritesFailed_, static_cast<double>(log_.writesFailed()));
    const std::map<WorkspaceId, std::size_t> waiting = queue_->waitingByWorkspace();
    std::size_t allWaiting = 0;
    for (const auto& [workspace, count] : waiting)
        allWaiting += count;
    metrics_.set(servingMetrics_.requestsWaiting_, static_cast<double>(allWaiting));
    metrics_.set(servingMetrics_.workspacesCompeting_, static_cast<double>(shares_->competing(context_.now())));
    metrics_.set(servingMetrics_.lowestShareRatio_, shares_->lowestRatio(waiting, context_.now()));
    if (!callers_)
        return;
    metrics_.set(servingMetrics_.readersCutOff_, static_cast<double>(callers_->readersCutOff()));
    metrics_.set(servingMetrics_.uploadsRefused_, static_cast<double>(callers_->uploadsRefused()));
    metrics_.set(servingMetrics_.headsRefused_, static_cast<double>(callers_->headsRefused()));
    metrics_.set(servingMetrics_.connectionsEvicted_, static_cast<double>(callers_->connectionsEvicted()));
}

void ServingNode::Parts::updateSlowEngines(TimePoint now)
{
    if (now - slowEnginesAt_ < slowEnginesPeriod)
        return;
    slowEnginesAt_ = now;
    const std::vector<EngineSpeeds::SlowEngine> slow = board_.slowEngines(now);
    slowEngines_ = slow.size();
    metrics_.set(servingMetrics_.enginesSlow_, static_cast<double>(slowEngines_));
    slowEngineLog_.update(slow, board_, now);
}

// Logs the node's load, its store calls by kind and its traffic every summaryPeriod.
void ServingNode::Parts::logPeriodic(TimePoint now)
{
    if (now - lastSummaryAt_ < summaryPeriod)
        return;
    lastSummaryAt_ = now;
    logSummary();
    logCompetitors(now);
    logTraffic();
}

void ServingNode::Parts::logSummary()
{
    auto line = log_.line("summary");
    line.with("requests", relay_->openRequests()).with("items", runner_->running()).with("jobs", scheduler_->openJobs()).with("config", config_->version()).with("peers", fleet_->livePeers()).with("slowEngines", slowEngines_).with("linesDroppedTotal", log_.dropped()).with("memoryPeakMb", peakMemoryMegabytes());
    if (context_.table_ && context_.table_->workspaces()) {
        const QuotaGate::Totals& totals = quotas_->totals();
        line.with("quotaAdmitted", totals.admitted_).with("quotaRefused", totals.refused_).with("quotaAsked", totals.requested_).with("quotaReturned", totals.returned_).with("quotaUnanswered", totals.unanswered_);
    }
    line.with("bytesForReaders", budget_->held(http::ByteUse::Answers)).with("bytesOfUploads", budget_->held(http::ByteUse::Uploads)).with("bytesOfHeads", budget_->held(http::ByteUse::Heads)).with("bytesLimit", budget_->limit());
    if (callers_)
        line.with("readersCutOff", callers_->readersCutOff()).with("uploadsRefused", callers_->uploadsRefused()).with("headsRefused", callers_->headsRefused()).with("connectionsEvicted", callers_->connectionsEvicted());
    for (const auto& [call, count] : store_->callCounts())
        line.with(std::string("store ").append(call), count);
}

void ServingNode::Parts::logCompetitors(TimePoint now)
{
    constexpr std::size_t maxLogged = 20;
    for (const Shares::Competitor& one : shares_->takeCompetitors(maxLogged, queue_->waitingByWorkspace(), now))
        log_.line("competing").with("workspace", one.name_).with("slots", one.slots_).with("share", one.share_).with("waiting", one.waiting_).with("refused", one.refused_);
}

void ServingNode::Parts::logTraffic()
{
    auto line = log_.line("traffic");
    for (std::size_t kind = 0; kind < TrafficCounts::kinds; ++kind) {
        for (std::size_t distance = 0; distance < TrafficCounts::distances; ++distance)
            line.with(std::string(TrafficCounts::kindNames[kind]).append(TrafficCounts::distanceNames[distance]), fleet_->traffic().bytes(kind, distance));
    }
}

// ---- requests

void ServingNode::Parts::onOperatorRequest(const std::shared_ptr<http::Exchange>& exchange)
{
    constexpr std::string_view jobsPath = "/jobs/";
    const std::string_view path = exchange->request().path();
    const http::Header isJson { "Content-Type", "application/json" };
    if (path == "/fleet")
        return exchange->respond({ 200, { isJson }, fleetPage(*fleet_, { config_->version(), catalog_->version() }, context_.now()) });
    if (!path.starts_with(jobsPath)) {
        updateGauges();
        return exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.prometheusText() });
    }
    const JobName job(path.substr(jobsPath.size()));
    if (!isValidJobName(job))
        return exchange->respond(refusalResponse(translation_, 400, "job.BadName", "no job has such a name", RunState::NotRun, {}));
    scheduler_->locate(job, context_.now(), [this, exchange, job, isJson](const JobScheduler::JobLocation& place) {
        if (place.outcome_ == ReadOutcome::Missing)
            return exchange->respond(refusalResponse(translation_, 404, "job.NotFound", "no such job", RunState::NotRun, {}));
        if (place.outcome_ != ReadOutcome::Found)
            return exchange->respond(refusalResponse(translation_, 503, "job.Unsure", "the store can't be asked now", RunState::NotRun, notReadyRetry));
        const std::string owner = place.owner_ == fleet_->self() ? fleet_->address() : fleet_->addressOf(place.owner_);
        const json::object body { { "job", job }, { "owner", owner }, { "ownerLives", fleet_->isLive(place.owner_) }, { "state", toString(place.state_) }, { "items", place.total_ } };
        exchange->respond({ 200, { isJson }, json::serialize(body) });
    });
}

} // namespace jj
