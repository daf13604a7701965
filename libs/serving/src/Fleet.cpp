// Provides the sockets of membership, load reports and calls between nodes.
#include "Fleet.h"

#include "http/Client.h"
#include "http/Server.h"
#include "wire/DatagramCodec.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

namespace jj {

namespace {

    using Udp = boost::asio::ip::udp;

    // Shorter than the shortest period of the membership core, which is 60 ms, so that none of its periods is missed.
    constexpr Duration membershipTickPeriod = 45ms;
    // Maximum number of membership changes that are logged individually in each changeLogPeriod. The rest is counted, and a single line
    // reports the counts at the end of the period.
    constexpr std::uint32_t maxLoggedChanges = 20;
    constexpr Duration changeLogPeriod = 1s;
    constexpr std::size_t maxCallBytes = 16 * 1024 * 1024;
    constexpr std::size_t maxHeadBytes = 4096;
    constexpr std::string_view callPath = "/peer";

    Udp::endpoint toUdpEndpoint(const PeerAddress& address) { return { boost::asio::ip::address_v4(address.ip_), address.port_ }; }

    PeerAddress nextPort(PeerAddress address)
    {
        ++address.port_;
        return address;
    }

    Endpoint toEndpoint(const PeerAddress& address) { return parseEndpoint(address.toString()).value(); }

    std::string_view nameOf(MemberState state)
    {
        static constexpr std::string_view names[] = { "alive", "suspect", "dead", "left" };
        return names[static_cast<std::size_t>(state)];
    }

    TrafficKind kindOf(const PeerDatagram& datagram)
    {
        if (std::holds_alternative<NodeReport>(datagram))
            return TrafficKind::Reports;
        return std::holds_alternative<CellDigest>(datagram) ? TrafficKind::Summaries : TrafficKind::OtherDatagrams;
    }

    TrafficKind kindOf(const PeerCall& call) { return std::holds_alternative<UpdateRequest>(call) ? TrafficKind::Updates : TrafficKind::OtherCalls; }

    // A UDP socket that calls the handler for each received datagram.
    class UdpSocket {
    public:
        UdpSocket(boost::asio::io_context& io, std::function<void(std::string_view)> handler)
            : socket_(io)
            , handler_(std::move(handler))
        {
        }

        boost::system::error_code open(const PeerAddress& address)
        {
            boost::system::error_code error;
            socket_.open(Udp::v4(), error);
            if (!error)
                socket_.bind(toUdpEndpoint(address), error);
            if (!error)
                socket_.non_blocking(true, error);
            if (!error)
                receive();
            return error;
        }

        // Drops the datagram if the socket buffer is full: receivers must cope with lost datagrams anyway.
        void send(const PeerAddress& to, std::string_view bytes)
        {
            boost::system::error_code ignored;
            socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdpEndpoint(to), 0, ignored);
        }

    private:
        void receive()
        {
            socket_.async_receive_from(boost::asio::buffer(buffer_), from_, [this](const boost::system::error_code& error, std::size_t size) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                // Receiving goes on after a datagram whose handler fails.
                const std::shared_ptr<void> next(nullptr, [this](void*) { receive(); });
                // Other errors report an ICMP "port unreachable" of a peer; the socket itself still works.
                if (!error)
                    handler_(std::string_view(buffer_.data(), size));
            });
        }

        Udp::socket socket_;
        std::function<void(std::string_view)> handler_;
        std::array<char, maxPeerDatagramBytes> buffer_ {};
        Udp::endpoint from_;
    };

} // namespace

struct Fleet::Sockets {
    Sockets(boost::asio::io_context& io, Fleet& fleet)
        : membership_(io, [&fleet](std::string_view bytes) { fleet.onMembershipDatagram(bytes); })
        , reports_(io, [&fleet](std::string_view bytes) { fleet.onReportDatagram(bytes); })
        , codec_(fleet.options_.key_, fleet.self_)
        , client_(io, { .connectTime_ = 300ms, .pooledIdle_ = 20s, .pooledPerEndpoint_ = 8, .headerBytes_ = maxHeadBytes, .bodyBytes_ = maxCallBytes })
    {
    }

    UdpSocket membership_;
    UdpSocket reports_;
    DatagramCodec codec_;
    http::Client client_;
    std::unique_ptr<http::Server> server_;
};

Fleet::Fleet(boost::asio::io_context& io, FleetOptions options, DecisionLog& log, FleetHandlers handlers)
    : io_(io)
    , options_(std::move(options))
    , log_(log)
    , handlers_(std::move(handlers))
    , self_(nodeIdOf(options_.at_))
    , peers_(options_.region_)
    , startedAt_(SystemClock().now())
    , now_(startedAt_)
{
}

Fleet::~Fleet() { *alive_ = false; }

Checked<std::unique_ptr<Fleet>> Fleet::create(boost::asio::io_context& io, const FleetOptions& options, DecisionLog& log, FleetHandlers handlers)
{
    std::unique_ptr<Fleet> fleet(new Fleet(io, options, log, std::move(handlers)));
    if (const auto failure = fleet->open())
        return *failure;
    return fleet;
}

std::optional<Failure> Fleet::open()
{
    sockets_ = std::make_unique<Sockets>(io_, *this);
    createExchange();
    if (const auto error = sockets_->membership_.open(options_.at_))
        return Failure { error, "UDP " + options_.at_.toString() };
    if (const auto error = sockets_->reports_.open(nextPort(options_.at_)))
        return Failure { error, "UDP " + nextPort(options_.at_).toString() };
    http::ServerSettings server;
    server.listen_ = toEndpoint(options_.at_);
    server.limits_.headerBytes_ = maxHeadBytes;
    server.limits_.bodyBytes_ = maxCallBytes;
    server.limits_.connections_ = options_.connections_;
    server.limits_.idle_ = 60s;
    const auto onCall = [this](const std::shared_ptr<http::Exchange>& exchange) {
        auto call = decodeCall(options_.key_, exchange->request().body_);
        if (!call) {
            log_.line("peerCallRefused").with("error", call.error().message());
            return exchange->respond({ 400, {}, {} });
        }
        handlers_.onCall_(std::move(call.value()), [this, exchange](const PeerReply& reply) { exchange->respond({ 200, {}, encode(options_.key_, reply) }); });
    };
    auto opened = http::Server::create(io_, server, onCall);
    if (!opened)
        return Failure { opened.error(), "TCP " + options_.at_.toString() };
    sockets_->server_ = std::move(opened.value());
    const WallTime wall = SystemClock().wallNow();
    core_ = std::make_unique<MembershipCore>(MembershipCore::Self { options_.at_, options_.region_, options_.domain_ }, options_.membership_, now_, wall, self_.value());
    HostsListed listed;
    for (const PeerAddress& seed : options_.seeds_) {
        if (seed != options_.at_)
            listed.hosts_.push_back({ seed, {}, options_.region_, false });
    }
    core_->handle(listed, now_, wall);
    runCommands();
    return std::nullopt;
}

// ---- membership

void Fleet::tick(TimePoint now, WallTime wall)
{
    now_ = now;
    if (now - tickedAt_ >= membershipTickPeriod) {
        tickedAt_ = now;
        core_->tick(now, wall);
        runCommands();
        logChangeCounts();
    }
    exchange_->tick(now);
}

void Fleet::onMembershipDatagram(std::string_view bytes)
{
    const auto datagram = sockets_->codec_.decode(bytes);
    const WallTime wall = SystemClock().wallNow();
    now_ = SystemClock().now();
    if (datagram)
        core_->handle(DatagramReceived { datagram.value().sender_, datagram.value().incarnation_, datagram.value().message_ }, now_, wall);
    else if (datagram.error() == WireError::StaleIncarnation)
        core_->handle(StaleDatagram { sockets_->codec_.staleSender() }, now_, wall);
    runCommands();
}

void Fleet::runCommands()
{
    for (auto commands = core_->takeCommands(); !commands.empty(); commands = core_->takeCommands()) {
        for (const MembershipCommand& command : commands)
            std::visit([this](const auto& one) { perform(one); }, command);
    }
}

void Fleet::perform(const SendDatagram& command)
{
    const auto bytes = sockets_->codec_.encode(command.target_, command.selfIncarnation_, command.message_);
    if (!bytes)
        return;
    traffic_.addDatagram(TrafficKind::Membership, distanceTo(command.endpoint_), bytes.value().size());
    sockets_->membership_.send(command.endpoint_, bytes.value());
}

void Fleet::perform(const MemberChanged& command)
{
    const MemberRumor& member = command.member_;
    const PeerTable::Change change = peers_.apply(member, now_);
    logChange(member);
    if (change.wentDown_)
        handlers_.onNodeDown_(member.node_);
    if (change.cameUp_)
        publishReport();
    if (change.hasStarted_)
        handlers_.onNodeStarted_(member.node_);
}

// Limits the log lines for membership changes. When a fleet of 295 hosts started at once, each host logged a line for every other one,
// which used up the budget of DecisionLog, so that lines about decisions were dropped.
void Fleet::logChange(const MemberRumor& member)
{
    if (changes_++ < maxLoggedChanges) {
        log_.line("peerChanged").with("peer", member.endpoint_.toString()).with("state", nameOf(member.state_)).with("leaving", member.leaving_ ? "yes" : "no").with("incarnation", member.incarnation_.value());
        return;
    }
    ++unloggedChanges_[static_cast<std::size_t>(member.state_)];
}

void Fleet::logChangeCounts()
{
    if (now_ - changesSince_ < changeLogPeriod)
        return;
    changesSince_ = now_;
    if (changes_ > maxLoggedChanges) {
        auto line = log_.line("peersChanged");
        for (const MemberState state : { MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left })
            line.with(nameOf(state), unloggedChanges_[static_cast<std::size_t>(state)]);
        line.with("peers", livePeers());
    }
    changes_ = 0;
    unloggedChanges_ = {};
}

void Fleet::perform(const Rejoined& command)
{
    log_.line("rejoined").with("incarnation", command.incarnation_.value());
    handlers_.onRejoined_();
}

void Fleet::perform(const RegionReachChanged& command)
{
    log_.line(command.reachable_ ? "regionRegained" : "regionLost").with("region", command.region_.value());
}

// ---- reports

void Fleet::createExchange()
{
    ExchangeOutlets outlets;
    outlets.ownReport_ = handlers_.ownReport_;
    outlets.ownVersions_ = handlers_.ownVersions_;
    outlets.ownCell_ = handlers_.ownCell_;
    outlets.onReport_ = handlers_.onReport_;
    outlets.onCell_ = handlers_.onCell_;
    outlets.onCellsChanged_ = [this] {
        log_.line("cellsChanged").with("cells", cells().cells().size()).with("nodes", cellNodes().size());
        handlers_.onCellsChanged_();
    };
    outlets.send_ = [this](std::span<const PeerAddress> receivers, const PeerDatagram& datagram) {
        const std::string bytes = encode(options_.key_, datagram);
        for (const PeerAddress& receiver : receivers)
            sendReportDatagram(receiver, kindOf(datagram), bytes);
    };
    const ExchangeSelf self { self_, options_.region_, options_.domain_, options_.incarnation_, options_.runsJobs_ };
    exchange_ = std::make_unique<ReportExchange>(self, peers_, std::move(outlets));
}

void Fleet::publishReport()
{
    exchange_->publish();
    if (isSendPosted_)
        return;
    isSendPosted_ = true;
    boost::asio::post(io_, [this, alive = alive_] {
        if (!*alive)
            return;
        isSendPosted_ = false;
        exchange_->sendPending(SystemClock().now());
    });
}

void Fleet::requestPreemption(NodeId holder, UpstreamId engine)
{
    if (const Peer* peer = peers_.find(holder))
        sendReportDatagram(peer->at_, TrafficKind::OtherDatagrams, encode(options_.key_, PreemptRequest { self_, engine, false }));
}

void Fleet::forwardPreemptRequest(const PreemptRequest& request, NodeId holder)
{
    if (const Peer* peer = peers_.find(holder))
        sendReportDatagram(peer->at_, TrafficKind::OtherDatagrams, encode(options_.key_, PreemptRequest { request.from_, request.engine_, true }));
}

void Fleet::send(NodeId node, const PeerDatagram& datagram)
{
    if (const Peer* peer = peers_.find(node))
        sendReportDatagram(peer->at_, kindOf(datagram), encode(options_.key_, datagram));
}

void Fleet::sendToAll(const PeerDatagram& datagram)
{
    const std::string bytes = encode(options_.key_, datagram);
    for (const Peer& peer : peers_.rows()) {
        if (peer.isLive())
            sendReportDatagram(peer.at_, kindOf(datagram), bytes);
    }
}

void Fleet::sendReportDatagram(const PeerAddress& to, TrafficKind kind, std::string_view bytes)
{
    traffic_.addDatagram(kind, distanceTo(to), bytes.size());
    sockets_->reports_.send(nextPort(to), bytes);
}

UpdateDistance Fleet::distanceTo(const PeerAddress& address) const
{
    const Peer* peer = peers_.find(nodeIdOf(address));
    return peer ? distanceTo(*peer) : UpdateDistance::SameRegion;
}

void Fleet::onReportDatagram(std::string_view bytes)
{
    const auto datagram = decodeDatagram(options_.key_, bytes);
    if (!datagram)
        return;
    if (const auto* request = std::get_if<PreemptRequest>(&datagram.value()))
        return handlers_.onPreemptRequest_(*request);
    const TimePoint now = SystemClock().now();
    if (const auto* digest = std::get_if<CellDigest>(&datagram.value()))
        return exchange_->handle(*digest, now);
    if (const auto* report = std::get_if<NodeReport>(&datagram.value()))
        return exchange_->handle(*report, now);
    if (const auto* records = std::get_if<SuspectRecords>(&datagram.value()))
        return handlers_.onSuspectRecords_(*records);
    if (std::holds_alternative<ShareReport>(datagram.value()) || std::holds_alternative<ShareSum>(datagram.value()))
        return handlers_.onShareMessage_(datagram.value());
    const bool isAboutStreams = std::holds_alternative<StreamRecords>(datagram.value()) || std::holds_alternative<StreamQuery>(datagram.value()) || std::holds_alternative<StreamAnswer>(datagram.value());
    isAboutStreams ? handlers_.onStreamMessage_(datagram.value()) : handlers_.onQuotaMessage_(datagram.value());
}

// ---- calls

void Fleet::request(NodeId node, const PeerCall& call, Duration timeout, ReplyHandler done)
{
    const Peer* peer = peers_.find(node);
    if (!peer) {
        boost::asio::post(io_, [done = std::move(done)] { done(PeerError::Unreachable); });
        return;
    }
    http::CallOptions options;
    options.idle_ = timeout;
    const Endpoint to = toEndpoint(peer->at_);
    http::Request request { "POST", std::string(callPath), {}, encode(options_.key_, call) };
    const TrafficKind kind = kindOf(call);
    const UpdateDistance distance = distanceTo(*peer);
    traffic_.add(kind, distance, request.body_.size());
    sockets_->client_.fetch(to, request, options, [this, alive = alive_, to, kind, distance, done = std::move(done)](const Result<http::Response>& response, RunState) {
        if (!*alive)
            return;
        if (response)
            traffic_.add(kind, distance, response.value().body_.size());
        if (!response && response.error() == http::Error::NoProgress)
            sockets_->client_.dropPooled(to);
        if (!response || response.value().status_ != 200)
            return done(PeerError::Unreachable);
        done(decodeReply(options_.key_, response.value().body_));
    });
}

// ---- leaving

void Fleet::beginLeaving()
{
    core_->handle(LeaveStarted {}, SystemClock().now(), SystemClock().wallNow());
    runCommands();
    exchange_->beginLeaving(SystemClock().now());
}

void Fleet::finishLeaving()
{
    core_->handle(LeaveFinished {}, SystemClock().now(), SystemClock().wallNow());
    runCommands();
}

} // namespace jj
