// Builds the components of a serving node. Its periodic work and event handlers are in ServingTurn.cpp.
#include "serving/ServingNode.h"

#include "ServingParts.h"
#include "base/Hash.h"
#include "process/Loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>
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
                return "the key file is unreadable or does not hold 64 hex digits";
            case ServingError::PeersListenFailed:
                return "cannot listen on the address for peers ([node] peers)";
            case ServingError::CallersListenFailed:
                return "cannot listen on the address for callers ([node] callers)";
            case ServingError::ReadyListenFailed:
                return "cannot listen on the address for readiness checks ([node] ready)";
            case ServingError::MetricsListenFailed:
                return "cannot listen on the address for metrics ([node] metrics)";
            case ServingError::BadSeed:
                return "a seed is not an IP address";
            case ServingError::SignalsUnavailable:
                return "signals can't be taken";
            case ServingError::SettingsRefused:
                return "the settings are refused";
            case ServingError::StopRequested:
                return "stopped before the start was complete";
            }
            return "unknown error";
        }
    };

    constexpr Duration scanDelayAfterLoss = 150ms;
    // Membership has discovered all nodes this long after the start. In an earlier scan a live owner could be taken for dead.
    constexpr Duration firstScanDelay = 600ms;
    // A lost transfer only delays the job, since the new owner also finds it by scanning the store.
    constexpr Duration transferTimeout = 600ms;
    // Descriptors reserved for idle connections to engines, and for peers, operators, the store and files.
    constexpr std::size_t reservedDescriptors = 700;
    constexpr std::size_t minCallerConnections = 64;
    // A connection takes some 3 KB beside what the byte budget counts; all of them get an eighth of the memory.
    constexpr std::size_t connectionBytes = std::size_t { 4 } * 1024;
    constexpr std::size_t memoryDivisor = 8;
    // Of the addresses for readiness checks and for operators, which are asked by few.
    constexpr std::size_t operatorConnections = 64;
    constexpr std::size_t operatorBufferBytes = std::size_t { 2 } * 1024 * 1024;
    constexpr std::size_t operatorRequestBytes = std::size_t { 16 } * 1024;
    constexpr std::size_t peerConnectionsDivisor = 8; // of the descriptors
    // Most bodies reach their engine within this time, which frees their bytes.
    constexpr Duration noSpaceRetry = 300ms;
    constexpr std::string_view zeroKey = "0000000000000000000000000000000000000000000000000000000000000000";

    NodeId ownNodeId(const ServingSettings& settings)
    {
        const auto at = PeerAddress::parse(toString(settings.peers_));
        return at ? nodeIdOf(at.value()) : NodeId::none();
    }

    std::shared_ptr<http::ByteBudget> makeBudget(std::size_t bytes)
    {
        http::ByteBudgetSettings settings;
        settings.limitBytes_ = bytes;
        return http::ByteBudget::create(settings).value(); // the limit is never below the shares, see ServingSettings::bufferBytes()
    }

    // These addresses have a budget of their own, so that readiness is answered also while callers exhaust theirs.
    http::ServerSettings operatorServer(const Endpoint& listen, const std::shared_ptr<http::ByteBudget>& budget)
    {
        http::ServerSettings server;
        server.listen_ = listen;
        server.limits_.connections_ = operatorConnections;
        server.limits_.headerBytes_ = operatorRequestBytes;
        server.limits_.bodyBytes_ = operatorRequestBytes;
        server.budget_ = budget;
        return server;
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

// ---- construction

ServingNode::Parts::Parts(const ServingSettings& settings, const Translation& translation, SettingsSource source)
    : settings_(settings)
    , translation_(translation)
    , source_(std::move(source))
    , log_(settings.name_, settings.logLinesPerSecond_, STDOUT_FILENO)
    , servingMetrics_(metrics_)
    , incarnation_(static_cast<std::uint64_t>(SystemClock().wallNow().time_since_epoch().count()))
    , seed_(mixHash(hash64(settings.name_), incarnation_.value()))
    , random_(seed_)
    , board_(CapacitySettings(), ownNodeId(settings), { CellId::none(), idFromName<RegionId>(settings.region_), idFromName<FailureDomainId>(settings.domain_) }, seed_)
    , budget_(makeBudget(settings.bufferBytes()))
    , engines_(io_, { .connectTime_ = 250ms, .pooledIdle_ = 12s, .pooledPerEndpoint_ = 32, .headerBytes_ = 32 * 1024, .bodyBytes_ = 16 * 1024 * 1024, .budget_ = budget_ })
    , context_ { io_, settings_, translation_, log_, servingMetrics_, board_, engines_, budget_ }
    , timer_(io_)
{
}

std::optional<Failure> ServingNode::Parts::build()
{
    const std::string keyText = settings_.keyFile_.empty() ? std::string(zeroKey) : readWord(settings_.keyFile_);
    const auto key = WireKey::fromHex(keyText);
    if (!key)
        return Failure { ServingError::KeyUnreadable, settings_.keyFile_ };
    key_ = key.value();
    buildStore();
    if (auto failure = openFleet())
        return failure;
    buildScheduler();
    quotas_ = std::make_unique<Quotas>(*fleet_, settings_.quotaBound_);
    context_.quotas_ = quotas_.get();
    shares_ = std::make_unique<Shares>(*fleet_, board_);
    context_.shares_ = shares_.get();
    streams_ = std::make_unique<StreamVersions>(*fleet_);
    context_.streams_ = streams_.get();
    crashes_ = std::make_unique<CrashWatch>(context_, seed_, [this](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { store_->send(std::move(call), callClass, until, std::move(done)); });
    context_.crashes_ = crashes_.get();
    queue_ = std::make_unique<SlotQueue>(context_);
    context_.queue_ = queue_.get();
    relay_ = std::make_unique<Relay>(context_);
    jobs_ = std::make_unique<JobFront>(context_, *scheduler_, *store_);
    buildSpool();
    if (auto failure = openServers())
        return failure;
    // Last: until then a stop ends the process at once, also while the disk or the system blocks the start.
    auto signals = ProcessSignals::create(io_, [this](ProcessSignal signal) { onSignal(signal); });
    if (!signals)
        return Failure { ServingError::SignalsUnavailable, signals.error().message() };
    signals_ = std::move(signals.value());
    const TimePoint now = context_.now();
    board_.setStart(now);
    board_.setHasConnection([this](const Endpoint& engine) { return engines_.hasPooled(engine); });
    nextScanAt_ = now + firstScanDelay;
    log_.line("started").with("callers", settings_.callers_ ? toString(*settings_.callers_) : "").with("peers", toString(settings_.peers_)).with("store", toString(settings_.store_)).with("runsJobs", settings_.runsJobs_ ? "yes" : "no").with("incarnation", incarnation_.value()).with("peerKey", settings_.keyFile_.empty() ? "none: peers are not authenticated" : "file");
    return std::nullopt;
}

void ServingNode::Parts::buildStore()
{
    StoreLinkSettings link;
    link.store_ = settings_.store_;
    link.queue_.budget_.readsPerSecond_ = settings_.storeReadsPerSecond_;
    link.queue_.budget_.writesPerSecond_ = settings_.storeWritesPerSecond_;
    // Store outages and job deadlines are both in the range of seconds, so calls resume faster after an outage than by default.
    link.queue_.budget_.probeEvery_ = 250ms;
    link.queue_.budget_.rampTime_ = 1500ms;
    link.queue_.budget_.rampStart_ = 0.3;
    link.queue_.longestBackoff_ = 500ms;
    link.queue_.hedges_ = 2;
    store_ = std::make_unique<StoreLink>(io_, link, translation_, log_, seed_);
    store_->setPeerRoute([this](const ObjectCall& call, Duration timeout, StoreLink::Completion done) { return sendThroughPeer(call, timeout, std::move(done)); });
    for (const std::string& kind : { std::string(cancelMarkKind), translation_.keys_.retirements_ })
        kindWatches_.push_back(std::make_unique<KindWatch>(*store_, kind, [this](const std::string& key) { onObjectFound(key); }));
    config_ = std::make_unique<ConfigFollower>(
        *store_, translation_, log_, FollowerTimes(), [this](const auto& table) { onConfig(table); }, [this] { requestUpdate(); });
    const auto changed = [this](const EngineEntry& entry) {
        board_.upsert(withCell(entry));
        streams_->setEngine(entry, context_.now());
        fleet_->publishReport();
    };
    const auto removed = [this](const EngineEntry& entry) {
        board_.remove(entry.id_);
        streams_->removeEngine(entry.id_, context_.now());
        fleet_->publishReport();
    };
    catalog_ = std::make_unique<EngineCatalog>(translation_, log_, settings_.regionOfDomain_, changed, removed);
    const auto mayReadLongList = [this](Duration waited) { return watchChoice_->mayReadLongList(fleet_->watchPeers(), fleet_->isJoining(), waited, context_.now()); };
    feed_ = std::make_unique<EngineFeed<StoreLink, SystemClock>>(clock_, *store_, translation_, log_, FollowerTimes(), settings_.engineGrace_, mayReadLongList, *catalog_, [this] { requestUpdate(); });
}

std::optional<Failure> ServingNode::Parts::openFleet()
{
    FleetOptions options;
    options.connections_ = std::max(operatorConnections, settings_.descriptors_ / peerConnectionsDivisor);
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
        return Failure { ServingError::PeersListenFailed, fleet.error().detail_ + ": " + fleet.error().code_.message() };
    fleet_ = std::move(fleet.value());
    context_.fleet_ = fleet_.get();
    const bool expectsOthers = std::any_of(options.seeds_.begin(), options.seeds_.end(), [&options](const PeerAddress& one) { return one != options.at_; });
    watchChoice_ = std::make_unique<WatchChoice>(fleet_->self(), context_.now(), seed_, expectsOthers);
    return std::nullopt;
}

EngineEntry ServingNode::Parts::withCell(EngineEntry entry) const
{
    entry.cell_ = fleet_->cells().cellOf(entry.region_, entry.domain_, entry.id_.value());
    return entry;
}

FleetHandlers ServingNode::Parts::fleetHandlers()
{
    FleetHandlers handlers;
    handlers.ownReport_ = [this] {
        NodeReport report;
        runner_->updateNonPreemptibleItems(context_.now());
        report.use_ = board_.ownUse(context_.now());
        report.configVersion_ = config_->version();
        report.enginesVersion_ = catalog_->version();
        report.watching_ = feed_->isFollowing() && !store_->isUnreachable();
        report.spoolsJobs_ = acceptsSpooledJobs();
        report.isStoreUnreachable_ = store_->isDirectFailing();
        report.isOverloaded_ = loopLag_.isOverloaded();
        report.spooledJobs_ = static_cast<std::uint32_t>(countSpooledJobs());
        return report;
    };
    handlers.ownVersions_ = [this] { return KnownVersions { config_->version(), catalog_->version() }; };
    handlers.ownCell_ = [this] { return board_.ownCell(context_.now()); };
    handlers.onReport_ = [this](const NodeReport& report, bool isSameCell) {
        if (isSameCell) {
            board_.applyReport(report.use_, context_.now());
            queue_->onCapacityChanged();
        }
        onVersionsReceived({ report.configVersion_, report.enginesVersion_ });
    };
    handlers.onCell_ = [this](const CellSummary& summary, TimePoint at) {
        board_.applyCellReport(summary.use_, at);
        queue_->onCapacityChanged();
        onVersionsReceived({ summary.configVersion_, summary.enginesVersion_ });
    };
    handlers.onPreemptRequest_ = [this](const PreemptRequest& request) { onPreemptionRequest(request); };
    handlers.onQuotaMessage_ = [this](const PeerDatagram& message) { quotas_->handle(message); };
    handlers.onStreamMessage_ = [this](const PeerDatagram& message) { streams_->handle(message, context_.now()); };
    handlers.onShareMessage_ = [this](const PeerDatagram& message) {
        if (shares_) // which is created after the fleet
            shares_->handle(message, context_.now());
    };
    handlers.onCellsChanged_ = [this] {
        std::vector<CellId> others = fleet_->cells().cells();
        std::erase(others, fleet_->ownCell());
        board_.setCells(fleet_->ownCell(), others);
        catalog_->forEach([this](const EngineEntry& entry) { board_.upsert(withCell(entry)); });
        fleet_->publishReport();
    };
    handlers.onSuspectRecords_ = [this](const SuspectRecords& records) { crashes_->handle(records); };
    handlers.onNodeStarted_ = [this](NodeId node) {
        if (crashes_) // which is created after the fleet
            crashes_->onNodeStarted(node);
    };
    handlers.onNodeDown_ = [this](NodeId node) {
        board_.dropNodeReport(node);
        shares_->forget(node);
        // A node that runs no jobs owns none, so its loss requires no scan.
        const Peer* peer = fleet_->peer(node);
        if (peer && !peer->runsJobs_)
            return;
        nextScanAt_ = std::min(nextScanAt_, context_.now() + scanDelayAfterLoss);
        needsFreshScan_ = true;
    };
    handlers.onRejoined_ = [this] { scheduler_->recheckOwnership(context_.now()); };
    handlers.onCall_ = [this](PeerCall call, const std::function<void(PeerReply)>& reply) { onPeerCall(std::move(call), reply); };
    return handlers;
}

void ServingNode::Parts::buildScheduler()
{
    SchedulerOutlets outlets;
    outlets.store_ = [this](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { store_->send(std::move(call), callClass, until, std::move(done)); };
    outlets.self_ = fleet_->self();
    outlets.isLive_ = [this](NodeId node) { return fleet_->isLive(node); };
    outlets.preferredOwner_ = [this](std::string_view job, NodeId former) { return fleet_->preferredOwner(job, former); };
    outlets.stop_ = [this](RunId run) { runner_->stop(run); };
    outlets.transfer_ = [this](NodeId to, JobTransfer job) {
        const std::string name = job.job_;
        fleet_->request(to, AdoptRequest { std::move(job) }, transferTimeout, [this, name](const Result<PeerReply>& reply) {
            if (!reply)
                log_.line("transferLost").with("job", name).with("error", reply.error().message());
        });
    };
    outlets.shareFailures_ = [this](const JobFailures& failures) { failures_->share(failures); };
    outlets.note_ = [this](const SchedulerEvent& event) {
        auto line = log_.line(toString(event.note_));
        line.with("job", event.job_).with("count", event.count_);
        if (!event.item_.empty())
            line.with("request", event.item_);
        if (!event.version_.isNone())
            line.with("version", event.version_.value()).with("owner", event.owner_.value());
        if (event.error_)
            line.with("error", event.error_.message());
    };
    outlets.isWriteInDoubt_ = [this](std::string_view key) { return store_->isWriteInDoubt(key); };
    outlets.usageOf_ = [this](const std::string& workspace) { return shares_->itemUsage(workspace, context_.now()); };
    outlets.mayBeReplaced_ = [this] { return fleet_->mayBeReplaced(); };
    outlets.mayBeSpooled_ = [this] { return mayHaveSpooledJobs(); };
    outlets.serviceOf_ = [this](std::string_view host, std::string_view path) -> std::optional<std::string> {
        if (!context_.table_)
            return std::nullopt;
        const Route* route = context_.table_->select(host, path);
        return route ? RouteTable::pickService(*route, hash64(path)) : std::string();
    };
    outlets.isVersionServing_ = [this](std::string_view service, SoftwareVersionId version) { return board_.hasVersion(service, version); };
    SchedulerSettings schedulerSettings;
    schedulerSettings.maxValueBytes_ = settings_.storeValueBytes_;
    scheduler_ = std::make_unique<JobScheduler>(schedulerSettings, std::move(outlets));
    failures_ = std::make_unique<FailureReplicas>(*fleet_, *scheduler_, log_);
    runner_ = std::make_unique<ItemRunner>(context_, *scheduler_, ItemRunnerSettings());
    if (!settings_.runsJobs_)
        return;
    const auto begin = [this] {
        fleet_->beginLeaving();
        scheduler_->beginLeaving(context_.now());
    };
    retirement_ = std::make_unique<RetirementDuty>(*store_, translation_, log_, settings_.name_, begin, [this] { return hasHandedOverAll(); });
}

// While the disk can't be used, jobs are spooled on other hosts.
void ServingNode::Parts::buildSpool()
{
    if (settings_.diskFolder_.empty())
        return;
    // The spool may fill a quarter of the disk. The rest is for files that are being replaced and for other programs.
    constexpr std::size_t spoolDivisor = 4;
    // A job that is accepted on disks can't be read until it is uploaded, and a part of this host's writes is for results.
    constexpr Duration longestUpload = 10s;
    constexpr double uploadShare = 0.5;
    constexpr double writesPerUpload = 2; // an item page and the head
    SpoolSettings spool;
    spool.maxBytes_ = settings_.diskBytes_ / spoolDivisor;
    spool.maxValueBytes_ = settings_.storeValueBytes_;
    spool.maxCopies_ = std::max<std::size_t>(1, static_cast<std::size_t>(settings_.storeWritesPerSecond_ / writesPerUpload * uploadShare * toSeconds(longestUpload)));
    SpoolOutlets outlets;
    outlets.store_ = [this](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { store_->send(std::move(call), callClass, until, std::move(done)); };
    outlets.isStoreUnavailable_ = [this] { return store_->isUnreachable(); };
    outlets.ownerOf_ = [this](const JobName& job) { return fleet_->preferredOwner(job, fleet_->self()); };
    outlets.notifyOwner_ = [this](const JobName& job, const Acceptance& acceptance) { jobs_->sendToOwner(job, acceptance); };
    outlets.notifyHolders_ = [this](const JobName& job) { jobs_->discardCopies(job); };
    outlets.note_ = [this](SpoolNote note, const JobName& job, std::error_code error) {
        auto line = log_.line(toString(note));
        if (note == SpoolNote::DiskFailed)
            line.with("folder", settings_.diskFolder_);
        else
            line.with("job", job);
        if (error)
            line.with("error", error.message());
    };
    outlets.sizeChanged_ = [this] { fleet_->publishReport(); };
    spool_ = std::make_unique<JobSpool<BackgroundDisk>>(BackgroundDisk(diskCalls_, settings_.diskFolder_ + "/jobs"), spool, std::move(outlets));
    spool_->load(context_.now());
}

bool ServingNode::Parts::mayHaveSpooledJobs() const
{
    // Hosts upload the jobs they spooled during an outage within about 3 s of its end. The start of this node counts as the end
    // of an outage, because no peer has reported its spooled jobs yet.
    constexpr Duration uploadTime = 5s;
    const bool wasAway = store_->isUnreachable() || context_.now() - store_->reachableSince() < uploadTime;
    return wasAway || countSpooledJobs() > 0 || fleet_->hasPeerWithSpooledJobs();
}

std::size_t ServingNode::Parts::callerConnections() const
{
    const std::size_t byDescriptors = settings_.descriptors_ - std::min(settings_.descriptors_, reservedDescriptors);
    const std::size_t byMemory = settings_.memoryBytes_ == 0 ? byDescriptors : settings_.memoryBytes_ / memoryDivisor / connectionBytes;
    return std::max(minCallerConnections, std::min(byDescriptors, byMemory));
}

std::optional<Failure> ServingNode::Parts::openServers()
{
    const auto operatorBudget = makeBudget(operatorBufferBytes);
    if (settings_.ready_) {
        auto opened = http::Server::create(io_, operatorServer(*settings_.ready_, operatorBudget), [this](const std::shared_ptr<http::Exchange>& exchange) { exchange->respond({ isReady() ? 200 : 503, {}, {} }); });
        if (!opened)
            return Failure { ServingError::ReadyListenFailed, toString(*settings_.ready_) + ": " + opened.error().message() };
        ready_ = std::move(opened.value());
    }
    if (settings_.metrics_) {
        auto opened = http::Server::create(io_, operatorServer(*settings_.metrics_, operatorBudget), [this](const std::shared_ptr<http::Exchange>& exchange) { onOperatorRequest(exchange); });
        if (!opened)
            return Failure { ServingError::MetricsListenFailed, toString(*settings_.metrics_) + ": " + opened.error().message() };
        metricsServer_ = std::move(opened.value());
    }
    // Last, so that a start that fails at another address accepts no caller.
    if (settings_.callers_) {
        http::ServerSettings server;
        server.listen_ = *settings_.callers_;
        server.limits_.headerBytes_ = 64 * 1024;
        server.limits_.connections_ = callerConnections();
        server.limits_.connectionsPerRequest_ = connectionsPerRequest;
        server.budget_ = budget_;
        server.formatRefusal_ = [this](http::Error) {
            return refusalResponse(translation_, 503, "host.NoBufferSpace", "the host holds too many bytes for slow peers; the request has not run", RunState::NotRun, noSpaceRetry);
        };
        const auto planner = [this](const http::Request& request) { return planBody(request); };
        auto opened = http::Server::create(
            io_, server, [this](std::shared_ptr<http::Exchange> exchange) { onCallerRequest(std::move(exchange)); }, planner);
        if (!opened)
            return Failure { ServingError::CallersListenFailed, toString(*settings_.callers_) + ": " + opened.error().message() };
        callers_ = std::move(opened.value());
        callers_->setAdmission([this] { return admitsConnection(); });
    }
    return std::nullopt;
}

ServingNode::ServingNode(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{
}

ServingNode::~ServingNode() = default;

Checked<std::unique_ptr<ServingNode>> ServingNode::create(const ServingSettings& settings, const Translation& translation, SettingsSource source)
{
    auto parts = std::make_unique<Parts>(settings, translation, std::move(source));
    if (auto failure = parts->build())
        return *failure;
    return std::unique_ptr<ServingNode>(new ServingNode(std::move(parts)));
}

void ServingNode::run()
{
    parts_->scheduleTick();
    runPastFailures(parts_->io_, [this](const std::exception& exception) {
        parts_->log_.line("handlerFailed").with("error", exception.what());
        parts_->servingMetrics_.metrics_.add(parts_->servingMetrics_.handlersFailed_);
    });
    parts_->log_.finish();
}

} // namespace jj
