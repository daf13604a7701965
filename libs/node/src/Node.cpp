// Puts a node together, and takes it apart in a drain.
#include "node/Node.h"

#include "CallersServer.h"
#include "DatagramSocket.h"
#include "DecisionHost.h"
#include "FleetHost.h"
#include "JobHost.h"
#include "LoadPoller.h"
#include "OperatorsServer.h"
#include "PeerLinks.h"
#include "RequestPlane.h"
#include "Runtime.h"
#include "base/Hash.h"
#include "http/Client.h"
#include "process/Loop.h"
#include "process/Signals.h"
#include "telemetry/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <thread>

namespace jj {

namespace {

    // After the leaving mark has reached peers and the balancer has seen /readyz, the callers' listener closes.
    constexpr Duration leavingSpreads = 1s;
    constexpr Duration drainStep = 50ms;
    // Batch items get this part of the drain's time to end by themselves; then they are left to the next holder of their job.
    constexpr int itemsShare = 4;
    // The platform's list of hosts lags anyhow.
    constexpr Duration hostsPeriod = 10s;
    constexpr Duration hostsBound = 2s;
    // The last datagrams, which say that this node has left, need a moment.
    constexpr Duration farewell = 200ms;
    // TCP on a port that the system chose, then UDP on the same: another process may hold it, so a few tries.
    constexpr int portTries = 16;

    Failure failureAt(NodeError code, const std::string& place, std::error_code cause)
    {
        return { code, place + ": " + cause.message() };
    }

    std::string readWord(const std::string& path)
    {
        std::ifstream file(path);
        std::string word;
        file >> word;
        return word;
    }

} // namespace

struct Node::Parts {
    explicit Parts(const NodeSettings& settings)
        : settings_(settings)
        , work_(boost::asio::make_work_guard(io_))
        , runtime_(settings.actorThreads_)
        , client_(io_, {})
    {
    }
    ~Parts() { stop(); }
    Parts(const Parts&) = delete;
    Parts& operator=(const Parts&) = delete;

    std::optional<Failure> build();
    std::optional<Failure> openPeers(const WireKey& key);
    std::optional<Failure> openEvents();
    std::optional<Failure> openServers(std::string token);
    std::optional<Failure> openSignals();
    void buildFleet(const WireKey& key);
    Result<void> buildCores();
    void onMessage(NodeId from, LinkMessage&& message);
    bool isReady() const { return !draining_ && fleet_->status().ready_; }
    RequestId nextRequest();
    void send(NodeId to, const LinkMessage& message) { (void)links_->send(to, message); }
    void shareFingerprint(const FingerprintLearned& fingerprint);
    void readHosts();
    void beginDrain();
    void continueDrain();
    bool isDrained() const;
    void stop();

    NodeSettings settings_;
    Log log_ { "node" };
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<ProcessSignals> signals_;
    std::unique_ptr<boost::asio::steady_timer> drainTimer_;
    std::unique_ptr<boost::asio::steady_timer> hostsTimer_;
    TimePoint drainBegan_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> itemsAbandoned_ = false;
    std::atomic<bool> listening_ = true; // callers' listener; closes in a drain

    Runtime runtime_;
    Metrics metrics_;
    FleetViewBoard view_;
    http::Client client_;
    Incarnation incarnation_ { static_cast<std::uint64_t>(SystemClock().wallNow().time_since_epoch().count()) };
    PeerAddress listen_;
    std::uint64_t requestBase_ = 0;
    std::atomic<std::uint32_t> requests_ = 0;
    std::unique_ptr<EventWriter> events_;
    std::unique_ptr<ObjectClient> store_;
    std::unique_ptr<PeerLinks> links_;
    std::unique_ptr<DatagramSocket> datagrams_;
    std::unique_ptr<RequestPlane> plane_;
    std::unique_ptr<DecisionHost> decisions_;
    std::unique_ptr<JobHost> jobs_;
    std::unique_ptr<FleetHost> fleet_;
    std::unique_ptr<LoadPoller> poller_;
    std::unique_ptr<CallersServer> callers_;
    std::unique_ptr<OperatorsServer> operators_;
    std::vector<std::thread> threads_;
};

RequestId Node::Parts::nextRequest()
{
    constexpr std::uint64_t counterBits = 32;
    return RequestId(requestBase_ | (requests_++ & ((1ULL << counterBits) - 1)));
}

std::optional<Failure> Node::Parts::openPeers(const WireKey& key)
{
    // Port 0 is no address of a peer, so only the IP number is parsed as one.
    auto address = PeerAddress::parse(Address { settings_.peersListen_.ip_, 1 }.toString());
    if (!address)
        return Failure { NodeError::PeersListenFailed, settings_.peersListen_.toString() };
    address.value().port_ = settings_.peersListen_.port_;
    PeerLinkSettings links;
    links.heartbeat_ = settings_.times_.heartbeat_;
    links.silence_ = settings_.times_.peerSilent_;
    PeerLinkHandlers handlers;
    handlers.onMessage_ = [this](NodeId from, LinkMessage&& message) { onMessage(from, std::move(message)); };
    handlers.onLost_ = [this](NodeId peer, std::error_code error, const std::vector<AttemptKey>& unsent) {
        log_.warn("linkLost", { { "peer", idText(peer.value()) }, { "error", error.message() } });
        plane_->onLinkLost(peer, unsent);
    };
    std::error_code error;
    for (int attempt = 0; attempt < portTries; ++attempt) {
        auto opened = PeerLinks::create(io_, key, { address.value(), incarnation_ }, links, handlers);
        if (!opened) {
            error = opened.error();
            break;
        }
        listen_ = opened.value()->local();
        auto socket = DatagramSocket::create(io_, listen_, [this](std::string_view bytes) { fleet_->onDatagram(bytes); });
        if (!socket) {
            error = socket.error();
            if (address.value().port_ != 0)
                break;
            continue;
        }
        links_ = std::move(opened.value());
        datagrams_ = std::move(socket.value());
        return std::nullopt;
    }
    return failureAt(NodeError::PeersListenFailed, settings_.peersListen_.toString(), error);
}

std::optional<Failure> Node::Parts::openEvents()
{
    if (settings_.eventsFile_.empty())
        return std::nullopt;
    auto events = EventWriter::open(settings_.eventsFile_, { listen_.toString(), incarnation_ });
    if (!events)
        return failureAt(NodeError::EventsUnwritable, settings_.eventsFile_, events.error());
    events_ = std::move(events.value());
    return std::nullopt;
}

void Node::Parts::buildFleet(const WireKey& key)
{
    FleetHostSettings fleet;
    fleet.listen_ = listen_;
    fleet.region_ = idFromName<RegionId>(settings_.region_);
    fleet.failureDomain_ = idFromName<FailureDomainId>(settings_.failureDomain_);
    for (const Address& peer : settings_.peers_) {
        if (const auto address = PeerAddress::parse(peer.toString()))
            fleet.seeds_.push_back(address.value());
    }
    fleet.partitions_ = JobSettings().partitions_;
    fleet.membership_.probePeriod_ = settings_.times_.probe_;
    fleet.membership_.suspicionTimeout_ = settings_.times_.suspect_;
    FleetOutlets outlets;
    outlets.feed_ = [this](Event event) { decisions_->feed(std::move(event)); };
    outlets.assign_ = [this](std::vector<PartitionId> owned, std::vector<PartitionId> standby) { jobs_->assign(std::move(owned), std::move(standby)); };
    outlets.learn_ = [this](const PeerAddress& address) { links_->learn(address); };
    outlets.send_ = [this](NodeId to, const LinkMessage& message) { send(to, message); };
    outlets.sendDatagram_ = [this](const PeerAddress& to, std::string bytes) { datagrams_->send(to, std::move(bytes)); };
    fleet_ = std::make_unique<FleetHost>(runtime_, fleet, key, *store_, view_, events_.get(), std::move(outlets));
}

void Node::Parts::shareFingerprint(const FingerprintLearned& fingerprint)
{
    constexpr std::uint32_t quarantineCrashes = 2;
    if (fingerprint.crashes_ >= quarantineCrashes)
        fleet_->quarantined(fingerprint.fingerprint_);
    for (const FleetStatus::Member& member : fleet_->status().members_)
        send(member.node_, FingerprintNotice { fingerprint.fingerprint_, fingerprint.service_, fingerprint.crashes_, fingerprint.lastUpstream_ });
}

Result<void> Node::Parts::buildCores()
{
    const RegionId region = idFromName<RegionId>(settings_.region_);
    const NodeId self = links_->self();
    DecisionsSettings decisions;
    decisions.self_ = self;
    decisions.region_ = region;
    decisions.seed_ = self.value();
    DecisionOutlets outlets;
    outlets.shareLoad_ = [this](const std::vector<HomeLoad>& loads) { fleet_->measured(loads); };
    outlets.shareFingerprint_ = [this](const FingerprintLearned& fingerprint) { shareFingerprint(fingerprint); };
    BOOST_OUTCOME_TRY(decisions_, DecisionHost::create(runtime_, decisions, settings_.times_.tick_, *plane_, std::move(outlets)));
    JobCoreOptions options;
    options.settings_.leaseTime_ = settings_.times_.lease_;
    options.settings_.leaseMargin_ = settings_.times_.lease_ / 10;
    options.settings_.renewEvery_ = settings_.times_.lease_ / 3;
    options.settings_.maxLineBytes_ = static_cast<std::size_t>(settings_.limits_.lineBytes_);
    options.node_ = self;
    options.incarnation_ = incarnation_;
    options.seed_ = mixHash(self.value(), incarnation_.value());
    JobOutlets jobs;
    jobs.send_ = [this](NodeId to, const LinkMessage& message) { send(to, message); };
    jobs.holdersOf_ = [this](PartitionId partition) { return fleet_->holdersOf(partition); };
    jobs.nextRequest_ = [this] { return nextRequest(); };
    BOOST_OUTCOME_TRY(jobs_, JobHost::create(runtime_, options, region, *store_, *plane_, events_.get(), std::move(jobs)));
    return success();
}

std::optional<Failure> Node::Parts::openServers(std::string token)
{
    OperatorsParts operatorsParts { *fleet_, *jobs_, *plane_, *store_, metrics_, [this] { return decisions_->counts(); }, [this] { return isReady(); }, [this] { boost::asio::post(io_, [this] { beginDrain(); }); }, std::move(token) };
    auto operators = OperatorsServer::create(io_, settings_.operators_, operatorsParts);
    if (!operators)
        return failureAt(NodeError::OperatorsListenFailed, settings_.operators_.toString(), operators.error());
    operators_ = std::move(operators.value());
    // Last, so that an attempt that fails elsewhere accepts no caller.
    const CallersParts callersParts { view_, *plane_, *jobs_, metrics_, idFromName<RegionId>(settings_.region_), [this] { return nextRequest(); }, [this] { return view_.current() != nullptr; } };
    auto callers = CallersServer::create(io_, settings_.callers_, settings_.limits_, callersParts);
    if (!callers)
        return failureAt(NodeError::CallersListenFailed, settings_.callers_.toString(), callers.error());
    callers_ = std::move(callers.value());
    return std::nullopt;
}

std::optional<Failure> Node::Parts::openSignals()
{
    auto signals = ProcessSignals::create(io_, [this](ProcessSignal signal) {
        if (signal == ProcessSignal::Stop)
            beginDrain();
        else
            log_.info("reloadIgnored");
    });
    if (!signals)
        return Failure { NodeError::SignalsUnavailable, signals.error().message() };
    signals_ = std::move(signals.value());
    return std::nullopt;
}

std::optional<Failure> Node::Parts::build()
{
    const std::string keyText = readWord(settings_.keyFile_);
    const auto key = WireKey::fromHex(keyText);
    if (!key)
        return Failure { NodeError::KeyUnreadable, settings_.keyFile_ };
    hideSecret(keyText);
    std::string token;
    if (!settings_.tokenFile_.empty()) {
        token = readWord(settings_.tokenFile_);
        if (token.empty())
            return Failure { NodeError::TokenUnreadable, settings_.tokenFile_ };
        hideSecret(token);
    }
    ObjectClientSettings store;
    store.store_ = { settings_.store_.ip_, settings_.store_.port_ };
    store_ = std::make_unique<ObjectClient>(io_, store, [](const std::function<void()>& task) { task(); });
    if (auto failure = openPeers(key.value()))
        return failure;
    if (auto failure = openEvents())
        return failure;
    requestBase_ = mixHash(links_->self().value(), incarnation_.value()) >> 1 & ~0xffff'ffffULL;
    plane_ = std::make_unique<RequestPlane>(client_, view_, events_.get(), [this](Event event) { decisions_->feed(std::move(event)); });
    plane_->connect(*links_, incarnation_);
    buildFleet(key.value());
    if (!buildCores())
        return Failure { NodeError::CoreRefused, "" };
    poller_ = std::make_unique<LoadPoller>(
        io_, client_, view_, *fleet_, [this](Event event) { decisions_->feed(std::move(event)); }, settings_.times_.loadReport_);
    if (auto failure = openSignals())
        return failure;
    if (auto failure = openServers(std::move(token)))
        return failure;
    fleet_->start();
    poller_->start();
    hostsTimer_ = std::make_unique<boost::asio::steady_timer>(io_);
    readHosts();
    for (int i = 0; i < settings_.ioThreads_; ++i)
        threads_.emplace_back([this] { runPastFailures(io_, [this](const std::exception& failure) { log_.error("handlerFailed", { { "error", failure.what() } }); }); });
    return std::nullopt;
}

void Node::Parts::onMessage(NodeId from, LinkMessage&& message)
{
    if (const auto* request = std::get_if<ConfigRequest>(&message))
        return fleet_->onConfigRequest(from, request->version_);
    if (const auto* reply = std::get_if<ConfigReply>(&message))
        return fleet_->onConfigReply(from, *reply);
    if (const auto* notice = std::get_if<JobNotice>(&message))
        return jobs_->onNotice(from, *notice);
    if (const auto* notice = std::get_if<FingerprintNotice>(&message))
        return decisions_->feed(FingerprintLearned { notice->fingerprint_, notice->service_, notice->crashes_, notice->lastUpstream_ });
    plane_->onMessage(from, std::move(message));
}

// Lists that can't be read leave what membership knows as it is: an outage of the platform must not look like an empty fleet.
void Node::Parts::readHosts()
{
    const Endpoint store { settings_.store_.ip_, settings_.store_.port_ };
    client_.fetch(store, { "GET", "/v1/hosts", {}, {} }, { hostsBound, false }, [this](const Result<http::Response>& response, RunState) {
        if (response && response.value().status_ == 200)
            fleet_->hostsRead(response.value().body_);
    });
    hostsTimer_->expires_after(hostsPeriod);
    hostsTimer_->async_wait([this](const boost::system::error_code& error) {
        if (!error)
            readHosts();
    });
}

// ---- drain, on the io_context

void Node::Parts::beginDrain()
{
    if (draining_.exchange(true))
        return;
    log_.info("drainStarted");
    drainBegan_ = SystemClock().now();
    fleet_->beginLeaving();
    jobs_->drain();
    drainTimer_ = std::make_unique<boost::asio::steady_timer>(io_);
    continueDrain();
}

bool Node::Parts::isDrained() const
{
    const RequestPlaneCounts counts = plane_->counts();
    return callers_->openExchanges() == 0 && counts.entries_ == 0 && counts.runs_ == 0 && jobs_->isDrained();
}

void Node::Parts::continueDrain()
{
    const Duration sofar = SystemClock().now() - drainBegan_;
    if (sofar >= leavingSpreads && listening_.exchange(false))
        callers_->drain();
    if (sofar >= settings_.times_.drain_ / itemsShare && !itemsAbandoned_.exchange(true))
        jobs_->abandonItems();
    const bool late = sofar >= settings_.times_.drain_ + leavingSpreads;
    const bool ended = !listening_ && (isDrained() || late);
    drainTimer_->expires_after(ended ? farewell : drainStep);
    if (ended) {
        log_.info("drainDone", { { "late", late } });
        fleet_->finishLeaving();
    }
    drainTimer_->async_wait([this, ended](const boost::system::error_code& error) {
        if (error)
            return;
        if (ended)
            return io_.stop();
        continueDrain();
    });
}

void Node::Parts::stop()
{
    io_.stop();
    for (std::thread& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
    threads_.clear();
    runtime_.stop();
    if (events_)
        events_->flush();
}

Node::Node(std::unique_ptr<Parts> parts)
    : parts_(std::move(parts))
{
}

Node::~Node() = default;

Checked<std::unique_ptr<Node>> Node::create(const NodeSettings& settings)
{
    // The system refuses an event queue, a thread or memory by exceptions.
    try {
        auto parts = std::make_unique<Parts>(settings);
        if (auto failure = parts->build())
            return *failure;
        return std::unique_ptr<Node>(new Node(std::move(parts)));
    } catch (const std::exception& exception) {
        return Failure { NodeError::StartFailed, exception.what() };
    }
}

NodeAddresses Node::addresses() const
{
    const auto peers = parseEndpoint(parts_->listen_.toString());
    return { parts_->callers_->local(), parts_->operators_->local(), peers ? peers.value() : Endpoint {} };
}

void Node::run()
{
    Parts& parts = *parts_;
    for (std::thread& thread : parts.threads_)
        thread.join();
    parts.threads_.clear();
}

void Node::drain()
{
    boost::asio::post(parts_->io_, [parts = parts_.get()] { parts->beginDrain(); });
}

} // namespace jj
