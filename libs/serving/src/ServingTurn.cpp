// The running node: periodic work, requests of callers and peers, signals, and the drain. What operators see is in ServingOperator.cpp.
#include "ServingParts.h"

#include <algorithm>
#include <ctime>

namespace jj {

namespace {

    constexpr Duration tickPeriod = 20ms;
    // A call on the disk that takes longer counts as stalled. Hosts that ask for a copy give up before.
    constexpr Duration diskStallTime = 1s;
    // The platform checks readiness every second and removes a node after two failed checks. New connections arrive until then.
    constexpr Duration drainNoticeTime = 2300ms;
    // The process exits this long before the end of the grace period, after which it would be killed.
    constexpr Duration graceMargin = 400ms;
    // Time to send the last datagrams to peers before the process exits.
    constexpr Duration finalSendTime = 100ms;
    // The watchers are chosen from the reports of the last second, so the choice is repeated more often than that.
    constexpr Duration watchChoicePeriod = 100ms;
    // Every node that runs jobs lists the job heads at this interval, from possibly stale data. The loss of a node triggers an
    // earlier scan, which finds the jobs it owned.
    constexpr Duration scanPeriod = 4s;
    constexpr Duration updateTimeout = 600ms;
    // Mean delay before the next update request if a peer has too many requesters or does not answer.
    constexpr Duration busyRetryDelay = 100ms;
    constexpr int maxNotifyAttempts = 3;
    // An object found again within this time is a duplicate from the other watcher of the region.
    constexpr Duration duplicateWindow = 500ms;

    // Of all threads of the process.
    Duration processorTime()
    {
        timespec used {};
        ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
        return std::chrono::duration_cast<Duration>(std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
    }

    // Accepted jobs outlast the batch routes of their host. Calls about them then require a key, as on any route that is not public.
    const Route& droppedBatchRoute()
    {
        static const Route route;
        return route;
    }

} // namespace

// ---- periodic work

void ServingNode::Parts::scheduleTick()
{
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        recordLoopLag(timer_.expiry());
        // Ticks go on after one that fails.
        const std::shared_ptr<void> schedule(nullptr, [this](void*) { scheduleTick(); });
        tick();
    });
}

void ServingNode::Parts::recordLoopLag(TimePoint due)
{
    context_.recordTick();
    if (const auto held = loopHold_.recordWakeUp(due, context_.now(), processorTime))
        log_.line("loopHeld").with("heldMs", held->heldFor_).with("processorMs", held->processorTime_);
    if (!loopLag_.recordWakeUp(due, context_.now()))
        return;
    log_.line(loopLag_.isOverloaded() ? "overloaded" : "overloadEnded").with("requests", relay_->openRequests()).with("connections", callers_ ? callers_->openConnections() : 0).with("unadmitted", callers_ ? callers_->unadmittedConnections() : 0);
    fleet_->publishReport();
}

bool ServingNode::Parts::admitsConnection() const
{
    if (!loopLag_.isOverloaded())
        return true;
    const std::vector<NodeId>& nodes = fleet_->cellNodes();
    const auto overloaded = std::count_if(nodes.begin(), nodes.end(), [this](NodeId node) {
        const Peer* peer = fleet_->peer(node);
        return node == fleet_->self() || !peer || peer->isOverloaded_;
    });
    constexpr std::size_t half = 2;
    return half * static_cast<std::size_t>(overloaded) >= nodes.size();
}

void ServingNode::Parts::tick()
{
    const TimePoint now = context_.now();
    const WallTime wall = SystemClock().wallNow();
    // First: a part below that fails in each turn must not keep the process from its end, nor its lines from the log.
    log_.flushIfDue(now);
    if (draining_)
        continueDrain(now);
    if (io_.stopped())
        return;
    if (now >= reloadAt_)
        reload();
    fleet_->tick(now, wall);
    store_->tick(now);
    updateWatchRole();
    config_->tick(now);
    feed_->tick(now);
    if (now >= updateRetryAt_)
        requestUpdate();
    crashes_->tick(now);
    scheduler_->tick(now, wall);
    jobs_->tick(now);
    tickSpool(now, wall);
    if (!settings_.runsJobs_ && scheduler_->openJobs() > 0)
        scheduler_->handOverMisplaced(now);
    quotas_->tick(now);
    streams_->tick(now);
    shares_->tick(now);
    queue_->tick(now);
    runner_->pump(now);
    if (retirement_)
        retirement_->tick();
    // A host that runs no jobs needs these objects only while it watches the store for other hosts.
    if (settings_.runsJobs_ || watching_) {
        for (const auto& kind : kindWatches_)
            kind->tick(now);
    }
    probeEngines(now);
    scanJobs(now);
    updateSlowEngines(now);
    logPeriodic(now);
}

void ServingNode::Parts::tickSpool(TimePoint now, WallTime wall)
{
    if (!spool_)
        return;
    const Duration waited = diskCalls_.currentCallTime(now);
    if (isDiskStalled_ != (waited >= diskStallTime)) {
        isDiskStalled_ = !isDiskStalled_;
        log_.line(isDiskStalled_ ? "diskStalled" : "diskStallEnded").with("folder", settings_.diskFolder_);
        fleet_->publishReport();
    }
    spool_->tick(now, wall);
}

void ServingNode::Parts::probeEngines(TimePoint now)
{
    const auto due = board_.enginesDueForProbe(now);
    for (const UpstreamId engine : due) {
        if (!probing_.insert(engine).second)
            continue;
        context_.probe(engine);
    }
    std::erase_if(probing_, [&](UpstreamId engine) { return std::find(due.begin(), due.end(), engine) == due.end(); });
}

void ServingNode::Parts::scanJobs(TimePoint now)
{
    const bool mayOwn = settings_.runsJobs_ || scheduler_->loadedJobs() > 0;
    if (now < nextScanAt_ || !mayOwn || draining_)
        return;
    nextScanAt_ = now + scanPeriod;
    scheduler_->scan(!needsFreshScan_, now);
    needsFreshScan_ = false;
}

void ServingNode::Parts::onConfig(const std::shared_ptr<const RouteTable>& table)
{
    context_.table_ = table;
    streams_->setTable(*table);
    if (quotas_)
        quotas_->setTable(table);
    if (shares_)
        shares_->setTable(table);
    if (callers_) {
        http::ServerLimits limits;
        limits.headerBytes_ = std::max(table->limits().headerBytes_ * 2, limits.headerBytes_);
        limits.bodyBytes_ = table->limits().bodyBytes_;
        limits.connections_ = callerConnections();
        limits.connectionsPerRequest_ = connectionsPerRequest;
        limits.idle_ = table->limits().idle_;
        limits.headTime_ = table->limits().headerTime_;
        limits.requestTime_ = std::max<Duration>(limits.requestTime_, limits.headTime_);
        callers_->setLimits(limits);
    }
    if (fleet_)
        fleet_->publishReport();
}

// ---- callers

void ServingNode::Parts::onCallerRequest(std::shared_ptr<http::Exchange> exchange)
{
    const http::Request& request = exchange->request();
    const auto table = context_.table_;
    if (!table)
        return exchange->respond(refusalResponse(translation_, 503, "config.None", "this node knows no configuration yet", RunState::NotRun, notReadyRetry));
    const std::string_view host = request.headers_.find("Host");
    auto jobCall = translation_.parseJobRequest_(request);
    const Route* batchRoute = jobCall ? table->findBatchRoute(host) : nullptr;
    const Route* route = batchRoute ? batchRoute : table->select(host, request.target_);
    if (!route && jobCall)
        route = batchRoute = &droppedBatchRoute();
    if (!route) {
        log_.line("noRoute").with("request", request.headers_.find(translation_.headers_.attemptId_)).with("host", host).with("path", request.path()).with("config", table->version());
        return exchange->respond(refusalResponse(translation_, 404, "route.None", "no route carries this host and path", RunState::NotRun, {}));
    }
    const auto key = translation_.parseKey_(request);
    auto caller = identifyCaller(*table, *route, key);
    if (!caller)
        return refuseUnknownCaller(*exchange, *route, key);
    if (batchRoute && !*jobCall) {
        log_.line("jobCallMalformed").with("path", request.path()).with("error", jobCall->error().message());
        return exchange->respond(refusalResponse(translation_, 400, "job.BadCall", jobCall->error().message(), RunState::NotRun, {}));
    }
    if (batchRoute)
        return jobs_->call(std::move(exchange), *table, *caller, std::move(jobCall->value()));
    if (route->kind_ == RouteKind::Batch)
        return jobs_->submit(exchange, *table, *route, *caller);
    relay_->handle(std::move(exchange), table, *route, std::move(*caller));
}

void ServingNode::Parts::refuseUnknownCaller(http::Exchange& exchange, const Route& route, const std::optional<KeyFingerprint>& key)
{
    log_.line("callerUnknown").with("request", exchange.request().headers_.find(translation_.headers_.attemptId_)).with("route", route.name_).with("key", key ? key->shortText() : "none").with("config", context_.table_->version());
    servingMetrics_.metrics_.add(servingMetrics_.unauthorized_);
    exchange.respond(unauthorizedResponse(translation_));
}

// The body of a request that is refused for its key is not read.
http::BodyPlan ServingNode::Parts::planBody(const http::Request& request)
{
    const auto table = context_.table_;
    if (!table)
        return { false, CallerLimits().bodyBytes_ };
    const Route* route = table->select(request.headers_.find("Host"), request.target_);
    const bool isRefused = route && table->requiresKey(*route) && !identifyCaller(*table, *route, translation_.parseKey_(request));
    return { isRefused, table->limits().bodyBytes_ };
}

// ---- peers

NodeId ServingNode::Parts::nextPeer(bool ownRegionFirst)
{
    std::vector<NodeId> near;
    std::vector<NodeId> far;
    for (const Peer& peer : fleet_->peers()) {
        if (peer.isLive())
            (peer.region_ == fleet_->region() ? near : far).push_back(peer.node_);
    }
    const std::vector<NodeId>& from = ownRegionFirst && !near.empty() ? near : far.empty() ? near
                                                                                           : far;
    return from.empty() ? NodeId::none() : from[nextPeerIndex_++ % from.size()];
}

bool ServingNode::Parts::sendThroughPeer(const ObjectCall& call, Duration timeout, StoreLink::Completion done)
{
    const NodeId peer = nextPeer(true);
    if (peer.isNone())
        return false;
    const bool isWrite = call.isWrite();
    fleet_->request(peer, StoreRequest { call }, timeout, [isWrite, done = std::move(done)](Result<PeerReply> reply) {
        if (reply) {
            if (auto* answer = std::get_if<ObjectAnswer>(&reply.value()))
                return done(std::move(*answer));
        }
        done(ObjectAnswer::failed(isWrite ? ObjectError::OutcomeUnknown : ObjectError::Unavailable));
    });
    return true;
}

void ServingNode::Parts::onVersionsReceived(KnownVersions versions)
{
    const TimePoint now = context_.now();
    config_->onPeerVersion(versions.config_, now);
    feed_->onPeerVersion(versions.engines_, now);
}

// Nodes of other cells know only the delegates of this cell and send their requests to those. A delegate that runs no item on the
// engine forwards the request to a node of its cell that does.
void ServingNode::Parts::onPreemptionRequest(const PreemptRequest& request)
{
    if (runner_->preemptItem(request.engine_, context_.now()) || request.isForwarded_)
        return;
    for (const NodeId holder : board_.nodesRunningBatch(request.engine_)) {
        const auto& cellNodes = fleet_->cellNodes();
        if (std::find(cellNodes.begin(), cellNodes.end(), holder) != cellNodes.end())
            return fleet_->forwardPreemptRequest(request, holder);
    }
}

NodeId ServingNode::Parts::chooseUpdateSource()
{
    std::vector<UpdatePeer> known;
    for (const Peer& peer : fleet_->peers()) {
        if (peer.isLive())
            known.push_back({ peer.node_, fleet_->distanceTo(peer), peer.configVersion_, peer.enginesVersion_ });
    }
    return pickUpdateSource(known, config_->version(), catalog_->version(), random_);
}

void ServingNode::Parts::requestUpdate()
{
    const NodeId peer = chooseUpdateSource();
    if (peer.isNone() || updateRequested_)
        return;
    updateRequested_ = true;
    updateRetryAt_ = neverTime;
    fleet_->request(peer, UpdateRequest { config_->version(), catalog_->version() }, updateTimeout, [this, peer](const Result<PeerReply>& reply) {
        updateRequested_ = false;
        const auto* update = reply ? std::get_if<UpdateReply>(&reply.value()) : nullptr;
        if (!update || update->isBusy_) {
            // The delay is random, so that nodes don't all retry at the same time.
            updateRetryAt_ = context_.now() + std::chrono::milliseconds(std::uniform_int_distribution<int>(busyRetryDelay / 2ms, busyRetryDelay * 3 / 2ms)(random_));
            return;
        }
        if (!update->config_.empty())
            config_->applyUpdate(update->config_);
        catalog_->applyUpdate(update->engines_, fleet_->addressOf(peer), context_.now());
        fleet_->publishReport();
    });
}

void ServingNode::Parts::answerUpdateRequest(const UpdateRequest& request, const std::function<void(PeerReply)>& reply)
{
    const TimePoint now = context_.now();
    if (!updateBudget_.mayAnswer(now)) {
        UpdateReply busy;
        busy.isBusy_ = true;
        return reply(busy);
    }
    UpdateReply update;
    if (config_->version() > request.configVersion_)
        update.config_ = config_->encoded();
    update.engines_ = catalog_->updateSince(request.enginesVersion_, now);
    updateBudget_.recordSent(update.config_.size() + update.engines_.bytes(), now);
    reply(std::move(update));
}

// Decides whether this node watches the store. The other nodes receive changes from the watchers.
void ServingNode::Parts::updateWatchRole()
{
    const TimePoint now = context_.now();
    if (now < nextWatchChoiceAt_)
        return;
    nextWatchChoiceAt_ = now + watchChoicePeriod;
    const bool shouldWatch = watchChoice_->shouldWatch(fleet_->watchPeers(), fleet_->isLeaving(), feed_->isFollowing(), now);
    const bool watches = shouldWatch && (watching_ || watchChoice_->canStart(fleet_->isJoining(), now));
    if (watches == watching_)
        return;
    watching_ = watches;
    log_.line(watches ? "watchBegan" : "watchLeft").with("config", config_->version()).with("engines", catalog_->version());
    config_->setPassive(!watches);
    feed_->setPassive(!watches);
    for (const auto& kind : kindWatches_)
        kind->setPassive(!watches);
}

// If each host that runs jobs watched these kinds of objects itself, every cancellation mark would complete the held-open store
// calls of all these hosts. On a day with 14 marks and 45 such hosts this caused 650 of 10,900 store calls. Therefore only the
// nodes that watch the engines watch these objects, and they notify the other hosts.
void ServingNode::Parts::onObjectFound(const std::string& key)
{
    handleObject(key);
    if (!watching_)
        return;
    for (const Peer& peer : fleet_->peers()) {
        if (peer.isLive() && peer.runsJobs_ && peer.region_ == fleet_->region())
            notifyWorker(peer.node_, key, 0);
    }
}

void ServingNode::Parts::notifyWorker(NodeId worker, const std::string& key, int tries)
{
    fleet_->request(worker, ObjectNotice { key }, updateTimeout, [this, worker, key, tries](const Result<PeerReply>& reply) {
        if (!reply && tries + 1 < maxNotifyAttempts)
            notifyWorker(worker, key, tries + 1);
    });
}

void ServingNode::Parts::handleObject(const std::string& key)
{
    if (!settings_.runsJobs_)
        return;
    const TimePoint now = context_.now();
    std::erase_if(handledAt_, [now](const auto& entry) { return now - entry.second > duplicateWindow; });
    // Two nodes of the region watch the store, so each object is usually reported twice.
    if (!handledAt_.try_emplace(key, now).second)
        return;
    if (key.starts_with(translation_.keys_.retirements_))
        return retirement_->onOrderFound(key);
    scheduler_->handleCancelMark(JobName(jobOfCancelMark(key)), now);
}

void ServingNode::Parts::onPeerCall(PeerCall call, const std::function<void(PeerReply)>& reply)
{
    const TimePoint now = context_.now();
    if (auto* request = std::get_if<StoreRequest>(&call)) {
        store_->countPeerCall();
        return store_->sendDirect(request->call_, [reply](ObjectAnswer answer) { reply(std::move(answer)); });
    }
    if (const auto* request = std::get_if<UpdateRequest>(&call))
        return answerUpdateRequest(*request, reply);
    if (auto* request = std::get_if<AdoptRequest>(&call)) {
        scheduler_->adopt(std::move(request->job_), now, SystemClock().wallNow());
        runner_->pump(now);
        return reply(AdoptReply { true });
    }
    if (const auto* request = std::get_if<ReadRequest>(&call))
        return scheduler_->read(request->job_, request->after_, std::chrono::milliseconds(request->waitMs_), false, now, [reply](ReadAnswer answer) { reply(std::move(answer)); });
    if (const auto* request = std::get_if<BodyRequest>(&call))
        return scheduler_->body(request->job_, request->item_, false, now, [reply](BodyAnswer answer) { reply(std::move(answer)); });
    if (const auto* request = std::get_if<SpoolRequest>(&call))
        return spool_ ? spool_->storeCopy(request->job_, acceptsSpooledJobs(), now, [reply](SpoolOutcome outcome) { reply(SpoolReply { outcome }); }) : reply(SpoolReply { SpoolOutcome::Refused });
    if (const auto* request = std::get_if<DropSpooledRequest>(&call)) {
        if (spool_)
            spool_->discardCopy(request->job_);
        return reply(SpoolReply { SpoolOutcome::Refused });
    }
    if (const auto* found = std::get_if<ObjectNotice>(&call)) {
        handleObject(found->key_);
        return reply(AdoptReply { true });
    }
    if (const auto* request = std::get_if<ShareFailuresRequest>(&call))
        return reply(ShareFailuresReply { failures_->handle(request->failures_) });
    const auto& request = std::get<CancelJobRequest>(call);
    scheduler_->end(request.job_, false, now, [reply](CancelAnswer answer) { reply(answer); });
}

// ---- signals and shutdown

void ServingNode::Parts::onSignal(ProcessSignal signal)
{
    if (signal == ProcessSignal::Stop)
        return beginDrain();
    reloading_.reset(); // the settings have changed again
    reload();
}

void ServingNode::Parts::reload()
{
    reloadAt_ = neverTime;
    settingsCalls_.run(source_, [this](const Result<std::string>& text) { finishReload(text); });
}

void ServingNode::Parts::finishReload(const Result<std::string>& text)
{
    const TimePoint now = context_.now();
    const auto settings = text ? parseServingSettings(text.value()) : Audited<ServingSettings>(Failures { { text.error(), "the settings can't be read" } });
    if (settings) {
        reloading_.reset();
        return applySettings(settings.value());
    }
    if (!reloading_)
        reloading_.emplace();
    auto line = log_.line("reloadRefused");
    line.with("faults", describe(settings.error()));
    if (text && reloading_->recordRefusal(text.value(), now)) {
        reloading_.reset();
        return;
    }
    const Duration delay = reloading_->nextDelay();
    reloadAt_ = now + delay;
    line.with("retryMs", delay);
}

void ServingNode::Parts::applySettings(const ServingSettings& settings)
{
    // Only these two settings can change while the process runs. Others, such as addresses and the region, apply from its next
    // start.
    settings_.acceptTimeout_ = settings.acceptTimeout_;
    settings_.shutdownGrace_ = settings.shutdownGrace_;
    if (draining_)
        context_.stopsAt_ = stopTime();
    log_.line("reloaded").with("graceMs", settings_.shutdownGrace_).with("acceptMs", settings_.acceptTimeout_);
}

TimePoint ServingNode::Parts::stopTime() const { return drainStartedAt_ + settings_.shutdownGrace_ - graceMargin; }

void ServingNode::Parts::beginDrain()
{
    if (draining_)
        return;
    draining_ = true;
    drainStartedAt_ = context_.now();
    context_.stopsAt_ = stopTime();
    log_.line("stopping").with("requests", relay_->openRequests()).with("jobs", scheduler_->openJobs());
    fleet_->beginLeaving();
    scheduler_->beginLeaving(drainStartedAt_);
}

void ServingNode::Parts::continueDrain(TimePoint now)
{
    const Duration elapsed = now - drainStartedAt_;
    if (callers_ && listening_ && elapsed >= drainNoticeTime) {
        listening_ = false;
        callers_->drain();
        // Requests that wait to be read are counted from the next turn on.
        return;
    }
    const bool isDrained = (!callers_ || (!listening_ && callers_->openExchanges() == 0)) && hasHandedOverAll() && !store_->hasQueuedCalls();
    const bool isLate = now >= context_.stopsAt_;
    if (exitAt_ == neverTime && (isDrained || isLate)) {
        log_.line("stopped").with("late", isLate && !isDrained ? "yes" : "no").with("requests", relay_->openRequests()).with("jobs", scheduler_->openJobs());
        relay_->endUnanswered();
        fleet_->finishLeaving();
        exitAt_ = now + finalSendTime;
    }
    if (now < exitAt_)
        return;
    log_.flush();
    io_.stop();
}

} // namespace jj
