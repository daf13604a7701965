// Puts a serving node together, turns its wheel, and takes it apart in a drain.
#include "serving/ServingNode.h"

#include "Context.h"
#include "Follower.h"
#include "ItemRunner.h"
#include "JobFront.h"
#include "Relay.h"
#include "RetirementDuty.h"
#include "base/Hash.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <random>
#include <set>
#include <unistd.h>

namespace jj {

namespace {

    class ServingCategory : public std::error_category {
    public:
        const char* name() const noexcept override { return "serving"; }
        std::string message(int value) const override
        {
            switch (static_cast<ServingError>(value)) {
            case ServingError::KeyUnreadable:
                return "the key file can't be read or isn't 64 hex digits";
            case ServingError::PeersListenFailed:
                return "the address for peers can't be listened on";
            case ServingError::CallersListenFailed:
                return "the address for callers can't be listened on";
            case ServingError::ReadyListenFailed:
                return "the address for readiness can't be listened on";
            case ServingError::MetricsListenFailed:
                return "the address for metrics can't be listened on";
            case ServingError::BadSeed:
                return "a seed is no IP number";
            }
            return "unknown error";
        }
    };

    constexpr Duration tickPeriod = 20ms;
    // The platform asks for readiness each second and takes a node out after two misses; new connections come until then.
    constexpr Duration leavingNoticed = 2300ms;
    // The process ends so long before it would be killed.
    constexpr Duration graceMargin = 400ms;
    // The last words to peers need a moment.
    constexpr Duration farewell = 100ms;
    constexpr Duration summaryPeriod = 10s;
    // Every job node lists the jobs' heads so often, from stale data: an orphan whose owner is known to be dead is found at once.
    constexpr Duration scanPeriod = 4s;
    constexpr Duration scanAfterLoss = 150ms;
    // Membership has met everybody by then; before, a live owner may look dead.
    constexpr Duration firstScan = 600ms;
    constexpr Duration newsBound = 600ms;
    constexpr Duration notReadyRetry = 300ms;
    // Descriptors that aren't connections of callers: engines, peers, the store, files.
    constexpr std::size_t reservedDescriptors = 700;
    constexpr std::size_t leastConnections = 64;
    constexpr std::string_view noKey = "0000000000000000000000000000000000000000000000000000000000000000";

    NodeId selfOf(const ServingSettings& settings)
    {
        const auto at = PeerAddress::parse(toString(settings.peers_));
        return at ? nodeIdOf(at.value()) : NodeId::none();
    }

    std::string readWord(const std::string& path)
    {
        std::ifstream file(path);
        std::string word;
        file >> word;
        return word;
    }

} // namespace

std::error_code make_error_code(ServingError error)
{
    static const ServingCategory category;
    return { static_cast<int>(error), category };
}

struct ServingNode::Parts {
    Parts(const ServingSettings& settings, const Translation& translation, Reload reload)
        : settings_(settings)
        , translation_(translation)
        , reload_(std::move(reload))
        , log_(settings.name_, settings.logLinesPerSecond_, STDOUT_FILENO)
        , counts_(metrics_)
        , incarnation_(static_cast<std::uint64_t>(SystemClock().wallNow().time_since_epoch().count()))
        , seed_(mixHash(hash64(settings.name_), incarnation_.value()))
        , board_(CapacitySettings(), selfOf(settings), idFromName<RegionId>(settings.region_), idFromName<FailureDomainId>(settings.domain_), seed_)
        , engines_(io_, { .connectTime_ = 250ms, .pooledIdle_ = 12s, .pooledPerEndpoint_ = 32, .headerBytes_ = 32 * 1024, .bodyBytes_ = 16 * 1024 * 1024 })
        , context_ { io_, settings_, translation_, log_, counts_, board_, engines_ }
        , timer_(io_)
        , signals_(io_, SIGTERM, SIGINT, SIGHUP)
    {
    }

    std::optional<Failure> build();
    std::optional<Failure> openFleet();
    std::optional<Failure> openServers();
    void buildStore();
    void buildDesk();
    FleetHandlers fleetHandlers();

    void turn();
    void tick();
    void probeEngines(TimePoint now);
    void scanJobs(TimePoint now);
    void summarize(TimePoint now);
    void onCaller(std::shared_ptr<http::Exchange> exchange);
    void onPeerCall(PeerCall call, const std::function<void(PeerReply)>& reply);
    bool routeToPeer(const ObjectCall& call, Duration bound, StoreLink::Completion done);
    void askForNews();
    NodeId newsSource();
    void chooseWatching();
    void onConfig(const std::shared_ptr<const RouteTable>& table);
    void waitForSignal();
    void reload();
    bool isReady() const { return !draining_ && context_.table_ && feed_->isKnown(); }
    void beginDrain();
    void continueDrain(TimePoint now);
    NodeId anyPeer(bool ownRegionFirst);

    ServingSettings settings_;
    const Translation& translation_;
    Reload reload_;
    boost::asio::io_context io_ { 1 };
    DecisionLog log_;
    Metrics metrics_;
    ServingMetrics counts_;
    Incarnation incarnation_;
    std::uint64_t seed_;
    WireKey key_;
    CapacityBoard board_;
    http::Client engines_;
    Context context_;
    std::unique_ptr<StoreLink> store_;
    std::unique_ptr<Fleet> fleet_;
    std::unique_ptr<ConfigFollower> config_;
    std::unique_ptr<EngineFeed> feed_;
    std::unique_ptr<JobDesk> desk_;
    std::unique_ptr<ItemRunner> runner_;
    std::unique_ptr<JobFront> jobs_;
    std::unique_ptr<Relay> relay_;
    std::unique_ptr<RetirementDuty> retirement_;
    std::unique_ptr<http::Server> callers_;
    std::unique_ptr<http::Server> ready_;
    std::unique_ptr<http::Server> metricsServer_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    std::set<UpstreamId> probing_;
    std::size_t peerTurn_ = 0;
    TimePoint scanAt_ {};
    TimePoint summarizedAt_ {};
    bool watching_ = true;
    bool askingNews_ = false;
    bool freshScan_ = true; // the next scan must not be stale
    bool draining_ = false;
    bool listening_ = true;
    TimePoint drainBegan_ {};
    TimePoint endAt_ = neverTime;
};

// ---- building

std::optional<Failure> ServingNode::Parts::build()
{
    const std::string keyText = settings_.keyFile_.empty() ? std::string(noKey) : readWord(settings_.keyFile_);
    const auto key = WireKey::fromHex(keyText);
    if (!key)
        return Failure { ServingError::KeyUnreadable, settings_.keyFile_ };
    key_ = key.value();
    buildStore();
    if (auto failure = openFleet())
        return failure;
    buildDesk();
    relay_ = std::make_unique<Relay>(context_);
    jobs_ = std::make_unique<JobFront>(context_, *desk_, *store_);
    if (auto failure = openServers())
        return failure;
    const TimePoint now = context_.now();
    scanAt_ = now + firstScan;
    log_.line("started").with("callers", settings_.callers_ ? toString(*settings_.callers_) : "").with("peers", toString(settings_.peers_)).with("store", toString(settings_.store_)).with("runsJobs", settings_.runsJobs_ ? "yes" : "no").with("incarnation", incarnation_.value());
    return std::nullopt;
}

void ServingNode::Parts::buildStore()
{
    StoreLinkSettings link;
    link.store_ = settings_.store_;
    link.queue_.budget_.readsPerSecond_ = settings_.storeReadsPerSecond_;
    link.queue_.budget_.writesPerSecond_ = settings_.storeWritesPerSecond_;
    // Outages here last seconds, and so do the jobs' deadlines.
    link.queue_.budget_.probeEvery_ = 250ms;
    link.queue_.budget_.rampTime_ = 1500ms;
    link.queue_.budget_.rampStart_ = 0.3;
    link.queue_.longestBackoff_ = 500ms;
    link.queue_.hedges_ = 2;
    store_ = std::make_unique<StoreLink>(io_, link, translation_, log_, seed_);
    store_->setPeerRoute([this](const ObjectCall& call, Duration bound, StoreLink::Completion done) { return routeToPeer(call, bound, std::move(done)); });
    config_ = std::make_unique<ConfigFollower>(
        *store_, translation_, log_, FollowerTimes(), [this](const auto& table) { onConfig(table); }, [this] { askForNews(); });
    const auto changed = [this](const EngineEntry& entry) {
        board_.upsert(entry);
        fleet_->tell();
    };
    const auto removed = [this](const EngineEntry& entry) {
        board_.remove(entry.id_);
        fleet_->tell();
    };
    feed_ = std::make_unique<EngineFeed>(*store_, translation_, log_, FollowerTimes(), settings_.engineGrace_, settings_.regions_, changed, removed, [this] { askForNews(); });
}

std::optional<Failure> ServingNode::Parts::openFleet()
{
    FleetOptions options;
    const auto at = PeerAddress::parse(toString(settings_.peers_));
    if (!at)
        return Failure { ServingError::PeersListenFailed, toString(settings_.peers_) };
    options.at_ = at.value();
    for (const std::string& seed : settings_.seeds_) {
        const auto address = PeerAddress::parse(seed + ":" + std::to_string(settings_.peers_.port_));
        if (!address)
            return Failure { ServingError::BadSeed, seed };
        options.seeds_.push_back(address.value());
    }
    options.region_ = idFromName<RegionId>(settings_.region_);
    options.domain_ = idFromName<FailureDomainId>(settings_.domain_);
    options.runsJobs_ = settings_.runsJobs_;
    options.key_ = key_;
    options.incarnation_ = incarnation_;
    auto fleet = Fleet::create(io_, options, log_, fleetHandlers());
    if (!fleet)
        return Failure { ServingError::PeersListenFailed, toString(settings_.peers_) };
    fleet_ = std::move(fleet.value());
    context_.fleet_ = fleet_.get();
    return std::nullopt;
}

FleetHandlers ServingNode::Parts::fleetHandlers()
{
    FleetHandlers handlers;
    handlers.ownWord_ = [this] {
        NodeTold told;
        runner_->markFirm(context_.now());
        told.use_ = board_.ownUse();
        told.configVersion_ = config_->version();
        told.enginesVersion_ = feed_->version();
        told.watching_ = feed_->isFollowing() && !store_->isAway();
        return told;
    };
    handlers.onTold_ = [this](const NodeTold& told) {
        const TimePoint now = context_.now();
        board_.heard(told.use_, now);
        config_->peerHas(told.configVersion_, now);
        feed_->peerHas(told.enginesVersion_, now);
    };
    handlers.onGiveWay_ = [this](const GiveWay& ask) { runner_->giveWay(ask.engine_, context_.now()); };
    handlers.onGone_ = [this](NodeId node) {
        board_.forget(node);
        scanAt_ = std::min(scanAt_, context_.now() + scanAfterLoss);
        freshScan_ = true;
    };
    handlers.onRejoined_ = [this] { desk_->suspectAll(context_.now()); };
    handlers.onCall_ = [this](PeerCall call, const std::function<void(PeerReply)>& reply) { onPeerCall(std::move(call), reply); };
    return handlers;
}

void ServingNode::Parts::buildDesk()
{
    DeskOutlets outlets;
    outlets.store_ = [this](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { store_->send(std::move(call), callClass, until, std::move(done)); };
    outlets.self_ = fleet_->self();
    outlets.isLive_ = [this](NodeId node) { return fleet_->isLive(node); };
    outlets.preferredOwner_ = [this](std::string_view job, NodeId former) { return fleet_->preferredOwner(job, former); };
    outlets.stop_ = [this](RunId run) { runner_->stop(run); };
    outlets.transfer_ = [this](NodeId to, JobTransfer job) {
        const std::string name = job.job_;
        fleet_->ask(to, AdoptAsk { std::move(job) }, newsBound, [this, name](const Result<PeerReply>& reply) {
            if (!reply)
                log_.line("transferLost").with("job", name).with("error", reply.error().message());
        });
    };
    outlets.note_ = [this](const DeskEvent& event) {
        auto line = log_.line(toString(event.note_));
        line.with("job", event.job_).with("count", event.count_);
        if (!event.item_.empty())
            line.with("request", event.item_);
        if (event.error_)
            line.with("error", event.error_.message());
    };
    outlets.serviceOf_ = [this](std::string_view host, std::string_view path) -> std::optional<std::string> {
        if (!context_.table_)
            return std::nullopt;
        const Route* route = context_.table_->select(host, path);
        return route ? RouteTable::pickService(*route, hash64(path)) : std::string();
    };
    desk_ = std::make_unique<JobDesk>(DeskSettings(), std::move(outlets));
    runner_ = std::make_unique<ItemRunner>(context_, *desk_, ItemRunnerSettings());
    if (!settings_.runsJobs_)
        return;
    const auto begin = [this] {
        fleet_->beginLeaving();
        desk_->beginLeaving(context_.now());
    };
    retirement_ = std::make_unique<RetirementDuty>(*store_, translation_, log_, settings_.name_, begin, [this] { return desk_->hasLeft(); });
}

std::optional<Failure> ServingNode::Parts::openServers()
{
    if (settings_.callers_) {
        http::ServerSettings server;
        server.listen_ = *settings_.callers_;
        server.limits_.headerBytes_ = 64 * 1024;
        server.limits_.connections_ = std::max(leastConnections, settings_.descriptors_ - std::min(settings_.descriptors_, reservedDescriptors));
        const auto planner = [this](const http::Request&) {
            return http::BodyPlan { false, context_.table_ ? context_.table_->limits().bodyBytes_ : CallerLimits().bodyBytes_ };
        };
        auto opened = http::Server::create(
            io_, server, [this](std::shared_ptr<http::Exchange> exchange) { onCaller(std::move(exchange)); }, planner);
        if (!opened)
            return Failure { ServingError::CallersListenFailed, toString(*settings_.callers_) };
        callers_ = std::move(opened.value());
    }
    if (settings_.ready_) {
        http::ServerSettings server;
        server.listen_ = *settings_.ready_;
        auto opened = http::Server::create(io_, server, [this](const std::shared_ptr<http::Exchange>& exchange) { exchange->respond({ isReady() ? 200 : 503, {}, {} }); });
        if (!opened)
            return Failure { ServingError::ReadyListenFailed, toString(*settings_.ready_) };
        ready_ = std::move(opened.value());
    }
    if (settings_.metrics_) {
        http::ServerSettings server;
        server.listen_ = *settings_.metrics_;
        auto opened = http::Server::create(io_, server, [this](const std::shared_ptr<http::Exchange>& exchange) { exchange->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.prometheusText() }); });
        if (!opened)
            return Failure { ServingError::MetricsListenFailed, toString(*settings_.metrics_) };
        metricsServer_ = std::move(opened.value());
    }
    return std::nullopt;
}

// ---- the wheel

void ServingNode::Parts::turn()
{
    timer_.expires_after(tickPeriod);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        tick();
        turn();
    });
}

void ServingNode::Parts::tick()
{
    const TimePoint now = context_.now();
    const WallTime wall = SystemClock().wallNow();
    fleet_->tick(now, wall);
    store_->tick(now);
    chooseWatching();
    config_->tick(now);
    feed_->tick(now);
    desk_->setCautious(fleet_->mayBeReplaced());
    desk_->tick(now, wall);
    if (!settings_.runsJobs_ && desk_->openJobs() > 0)
        desk_->passOn(now);
    runner_->pump(now);
    if (retirement_)
        retirement_->tick(now);
    probeEngines(now);
    scanJobs(now);
    if (draining_)
        continueDrain(now);
    summarize(now);
    log_.flushIfDue(now);
}

void ServingNode::Parts::probeEngines(TimePoint now)
{
    const auto due = board_.dueForProbe(now);
    for (const UpstreamId engine : due) {
        if (!probing_.insert(engine).second)
            continue;
        context_.probe(engine);
    }
    std::erase_if(probing_, [&](UpstreamId engine) { return std::find(due.begin(), due.end(), engine) == due.end(); });
}

// Once in a while, what a person would ask first: how full the engines are, and what the store is called for.
void ServingNode::Parts::summarize(TimePoint now)
{
    if (now - summarizedAt_ < summaryPeriod)
        return;
    summarizedAt_ = now;
    auto line = log_.line("summary");
    line.with("requests", relay_->open()).with("items", runner_->running()).with("jobs", desk_->openJobs()).with("config", config_->version()).with("peers", fleet_->livePeers().size()).with("linesDroppedTotal", log_.dropped());
    for (const auto& [call, count] : store_->callCounts())
        line.with(std::string("store ").append(call), count);
}

void ServingNode::Parts::scanJobs(TimePoint now)
{
    const bool mayOwn = settings_.runsJobs_ || desk_->heldJobs() > 0;
    if (now < scanAt_ || !mayOwn || draining_)
        return;
    scanAt_ = now + scanPeriod;
    desk_->scan(!freshScan_, now);
    freshScan_ = false;
}

void ServingNode::Parts::onConfig(const std::shared_ptr<const RouteTable>& table)
{
    context_.table_ = table;
    if (callers_) {
        http::ServerLimits limits;
        limits.headerBytes_ = std::max(table->limits().headerBytes_ * 2, limits.headerBytes_);
        limits.bodyBytes_ = table->limits().bodyBytes_;
        limits.connections_ = std::max(leastConnections, settings_.descriptors_ - std::min(settings_.descriptors_, reservedDescriptors));
        limits.idle_ = table->limits().idle_;
        limits.requestTime_ = std::max<Duration>(limits.requestTime_, table->limits().headerTime_);
        callers_->setLimits(limits);
    }
    if (fleet_)
        fleet_->tell();
}

// ---- callers

void ServingNode::Parts::onCaller(std::shared_ptr<http::Exchange> exchange)
{
    const http::Request& request = exchange->request();
    const auto table = context_.table_;
    if (!table)
        return exchange->respond(refusal(translation_, 503, "config.None", "this node knows no configuration yet", RunState::NotRun, notReadyRetry));
    const std::string_view host = request.headers_.find("Host");
    if (auto call = translation_.readJobCall_(request); call && table->batchRouteOf(host))
        return jobs_->call(std::move(exchange), std::move(*call));
    const Route* route = table->select(host, request.target_);
    if (!route) {
        log_.line("noRoute").with("request", request.headers_.find(translation_.headers_.attemptId_)).with("host", host).with("path", request.path()).with("config", table->version());
        return exchange->respond(refusal(translation_, 404, "route.None", "no route carries this host and path", RunState::NotRun, {}));
    }
    if (route->kind_ == RouteKind::Batch)
        return jobs_->submit(exchange, *route);
    relay_->handle(std::move(exchange), table, *route);
}

// ---- peers

NodeId ServingNode::Parts::anyPeer(bool ownRegionFirst)
{
    std::vector<NodeId> near;
    std::vector<NodeId> far;
    for (const auto& [node, peer] : fleet_->peers()) {
        if (peer.isLive())
            (peer.region_ == fleet_->region() ? near : far).push_back(node);
    }
    const std::vector<NodeId>& from = ownRegionFirst && !near.empty() ? near : far.empty() ? near
                                                                                           : far;
    return from.empty() ? NodeId::none() : from[peerTurn_++ % from.size()];
}

bool ServingNode::Parts::routeToPeer(const ObjectCall& call, Duration bound, StoreLink::Completion done)
{
    const NodeId peer = anyPeer(true);
    if (peer.isNone())
        return false;
    const bool isWrite = call.isWrite();
    fleet_->ask(peer, StoreAsk { call }, bound, [isWrite, done = std::move(done)](Result<PeerReply> reply) {
        if (reply) {
            if (auto* answer = std::get_if<ObjectAnswer>(&reply.value()))
                return done(std::move(*answer));
        }
        done(ObjectAnswer::failed(isWrite ? ObjectError::OutcomeUnknown : ObjectError::Unavailable));
    });
    return true;
}

// The peer that knows most, or any peer when none is ahead.
NodeId ServingNode::Parts::newsSource()
{
    NodeId best = NodeId::none();
    std::uint64_t bestEngines = feed_->version();
    std::uint64_t bestConfig = config_->version();
    for (const auto& [node, peer] : fleet_->peers()) {
        if (!peer.isLive() || peer.enginesVersion_ < bestEngines || peer.configVersion_ < bestConfig)
            continue;
        if (peer.enginesVersion_ == bestEngines && peer.configVersion_ == bestConfig)
            continue;
        best = node;
        bestEngines = peer.enginesVersion_;
        bestConfig = peer.configVersion_;
    }
    return best.isNone() ? anyPeer(true) : best;
}

void ServingNode::Parts::askForNews()
{
    const NodeId peer = newsSource();
    if (peer.isNone() || askingNews_)
        return;
    askingNews_ = true;
    fleet_->ask(peer, NewsAsk { config_->version(), feed_->version() }, newsBound, [this](const Result<PeerReply>& reply) {
        askingNews_ = false;
        const auto* told = reply ? std::get_if<NewsTold>(&reply.value()) : nullptr;
        if (!told)
            return;
        if (!told->config_.empty())
            config_->take(told->config_, "peer");
        feed_->take(told->engines_);
        fleet_->tell();
    });
}

// Watchers follow the store; the others hear from them, and watch themselves as soon as they hear none.
void ServingNode::Parts::chooseWatching()
{
    const bool mustWatch = fleet_->isElectedWatcher() || !fleet_->hearsWatcher();
    if (mustWatch == watching_)
        return;
    watching_ = mustWatch;
    log_.line(mustWatch ? "watchBegan" : "watchLeft").with("config", config_->version()).with("engines", feed_->version());
    config_->setPassive(!mustWatch);
    feed_->setPassive(!mustWatch);
}

void ServingNode::Parts::onPeerCall(PeerCall call, const std::function<void(PeerReply)>& reply)
{
    const TimePoint now = context_.now();
    if (auto* ask = std::get_if<StoreAsk>(&call)) {
        store_->countForPeer();
        return store_->direct(ask->call_, [reply](ObjectAnswer answer) { reply(std::move(answer)); });
    }
    if (const auto* ask = std::get_if<NewsAsk>(&call))
        return reply(NewsTold { config_->version() > ask->configVersion_ ? config_->value() : std::string(), feed_->newsSince(ask->enginesVersion_) });
    if (auto* ask = std::get_if<AdoptAsk>(&call)) {
        desk_->adopt(std::move(ask->job_), now, SystemClock().wallNow());
        runner_->pump(now);
        return reply(AdoptTold { true });
    }
    if (const auto* ask = std::get_if<ReadAsk>(&call))
        return desk_->read(ask->job_, ask->after_, std::chrono::milliseconds(ask->waitMs_), false, now, [reply](ReadAnswer answer) { reply(std::move(answer)); });
    if (const auto* ask = std::get_if<BodyAsk>(&call))
        return desk_->body(ask->job_, ask->item_, false, now, [reply](BodyAnswer answer) { reply(std::move(answer)); });
    const auto& ask = std::get<EndAsk>(call);
    desk_->end(ask.job_, false, now, [reply](EndAnswer answer) { reply(answer); });
}

// ---- signals and the end

void ServingNode::Parts::waitForSignal()
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else
            beginDrain();
        waitForSignal();
    });
}

void ServingNode::Parts::reload()
{
    const auto fresh = reload_();
    if (!fresh) {
        log_.line("reloadRefused").with("faults", describe(fresh.error()));
        return;
    }
    // Addresses and the place in the fleet belong to a process; another one takes them up at its start.
    settings_.acceptBound_ = fresh.value().acceptBound_;
    settings_.grace_ = fresh.value().grace_;
    log_.line("reloaded").with("graceMs", settings_.grace_).with("acceptMs", settings_.acceptBound_);
}

void ServingNode::Parts::beginDrain()
{
    if (draining_)
        return;
    draining_ = true;
    drainBegan_ = context_.now();
    log_.line("stopping").with("requests", relay_->open()).with("jobs", desk_->openJobs());
    fleet_->beginLeaving();
    desk_->beginLeaving(drainBegan_);
}

void ServingNode::Parts::continueDrain(TimePoint now)
{
    const Duration sofar = now - drainBegan_;
    if (callers_ && listening_ && sofar >= leavingNoticed) {
        listening_ = false;
        callers_->drain();
    }
    const bool isQuiet = (!callers_ || (!listening_ && callers_->openExchanges() == 0)) && desk_->hasLeft() && !store_->hasWork();
    const bool isLate = sofar >= settings_.grace_ - graceMargin;
    if (endAt_ == neverTime && (isQuiet || isLate)) {
        log_.line("stopped").with("late", isLate && !isQuiet ? "yes" : "no").with("requests", relay_->open()).with("jobs", desk_->openJobs());
        fleet_->finishLeaving();
        endAt_ = now + farewell;
    }
    if (now < endAt_)
        return;
    log_.flush();
    io_.stop();
}

ServingNode::ServingNode(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{
}

ServingNode::~ServingNode() = default;

Checked<std::unique_ptr<ServingNode>> ServingNode::create(const ServingSettings& settings, const Translation& translation, Reload reload)
{
    auto parts = std::make_unique<Parts>(settings, translation, std::move(reload));
    if (auto failure = parts->build())
        return *failure;
    return std::unique_ptr<ServingNode>(new ServingNode(std::move(parts)));
}

void ServingNode::run()
{
    parts_->waitForSignal();
    parts_->turn();
    parts_->io_.run();
    parts_->log_.flush();
}

} // namespace jj
