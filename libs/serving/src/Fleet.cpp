// Sockets around the membership core, and the reports that nodes tell each other.
#include "Fleet.h"

#include "http/Client.h"
#include "http/Server.h"
#include "wire/DatagramCodec.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

namespace jj {

namespace {

    using Udp = boost::asio::ip::udp;

    // Membership's own periods are 60 ms and more.
    constexpr Duration membershipTick = 45ms;
    // Everybody hears the whole report again, so that lost datagrams are made good.
    constexpr Duration refreshPeriod = 500ms;
    // Other regions only use what is left over here, and each byte to them is paid: this much for each node there, so that a fleet
    // tells its other regions at the same rate whatever its size.
    constexpr Duration farPeriodPerNode = 15ms;
    constexpr Duration leastFarPeriod = 45ms;
    // A node that isn't heard for two seconds counts as running nothing.
    constexpr Duration longestRefresh = 900ms;
    // Between reports to other cells of the region: at 180 nodes each hears 400 a second of them at most.
    constexpr Duration regionPeriodPerNode = 2ms;
    constexpr std::size_t datagramBytes = 2048;
    constexpr std::size_t callBytes = 16 * 1024 * 1024;
    constexpr std::string_view callPath = "/peer";

    Udp::endpoint nativeOf(const PeerAddress& address) { return { boost::asio::ip::address_v4(address.ip_), address.port_ }; }

    PeerAddress nextPort(PeerAddress address)
    {
        ++address.port_;
        return address;
    }

    Endpoint endpointOf(const PeerAddress& address) { return parseEndpoint(address.toString()).value(); }

    std::string_view nameOf(MemberState state)
    {
        static constexpr std::string_view names[] = { "alive", "suspect", "dead", "left" };
        return names[static_cast<std::size_t>(state)];
    }

    // Whole datagrams in, one handler call each.
    class Datagrams {
    public:
        Datagrams(boost::asio::io_context& io, std::function<void(std::string_view)> handler)
            : socket_(io)
            , handler_(std::move(handler))
        {
        }

        bool open(const PeerAddress& address)
        {
            boost::system::error_code error;
            socket_.open(Udp::v4(), error);
            if (!error)
                socket_.bind(nativeOf(address), error);
            if (!error)
                socket_.non_blocking(true, error);
            if (error)
                return false;
            receive();
            return true;
        }

        // Lost when the system has no room: datagrams may be lost anyhow.
        void send(const PeerAddress& to, std::string_view bytes)
        {
            boost::system::error_code ignored;
            socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), nativeOf(to), 0, ignored);
        }

    private:
        void receive()
        {
            socket_.async_receive_from(boost::asio::buffer(buffer_), from_, [this](const boost::system::error_code& error, std::size_t size) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                // Other errors are a peer's "port unreachable": the socket itself is well.
                if (!error)
                    handler_(std::string_view(buffer_.data(), size));
                receive();
            });
        }

        Udp::socket socket_;
        std::function<void(std::string_view)> handler_;
        std::array<char, datagramBytes> buffer_ {};
        Udp::endpoint from_;
    };

} // namespace

struct Fleet::Sockets {
    Sockets(boost::asio::io_context& io, Fleet& fleet)
        : membership_(io, [&fleet](std::string_view bytes) { fleet.onMembershipDatagram(bytes); })
        , reports_(io, [&fleet](std::string_view bytes) { fleet.onReportDatagram(bytes); })
        , codec_(fleet.options_.key_, fleet.self_)
        , client_(io, { .connectTime_ = 300ms, .pooledIdle_ = 20s, .pooledPerEndpoint_ = 8, .headerBytes_ = 4096, .bodyBytes_ = callBytes })
    {
    }

    Datagrams membership_;
    Datagrams reports_;
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
    , startedAt_(SystemClock().now())
    , now_(startedAt_)
{
}

Fleet::~Fleet() { *alive_ = false; }

Result<std::unique_ptr<Fleet>> Fleet::create(boost::asio::io_context& io, const FleetOptions& options, DecisionLog& log, FleetHandlers handlers)
{
    std::unique_ptr<Fleet> fleet(new Fleet(io, options, log, std::move(handlers)));
    if (auto opened = fleet->open(); !opened)
        return opened.error();
    return fleet;
}

Result<void> Fleet::open()
{
    sockets_ = std::make_unique<Sockets>(io_, *this);
    if (!sockets_->membership_.open(options_.at_) || !sockets_->reports_.open(nextPort(options_.at_)))
        return BaseError::Closed;
    http::ServerSettings server;
    server.listen_ = endpointOf(options_.at_);
    server.limits_.bodyBytes_ = callBytes;
    server.limits_.idle_ = 60s;
    const auto onCall = [this](const std::shared_ptr<http::Exchange>& exchange) {
        auto call = decodeCall(options_.key_, exchange->request().body_);
        if (!call) {
            log_.line("peerCallRefused").with("error", call.error().message());
            return exchange->respond({ 400, {}, {} });
        }
        handlers_.onCall_(std::move(call.value()), [this, exchange](const PeerReply& reply) { exchange->respond({ 200, {}, encode(options_.key_, reply) }); });
    };
    BOOST_OUTCOME_TRY(sockets_->server_, http::Server::create(io_, server, onCall));
    const WallTime wall = SystemClock().wallNow();
    core_ = std::make_unique<MembershipCore>(MembershipCore::Self { options_.at_, options_.region_, options_.domain_ }, options_.membership_, now_, wall, self_.value());
    HostsListed listed;
    for (const PeerAddress& seed : options_.seeds_) {
        if (seed != options_.at_)
            listed.hosts_.push_back({ seed, {}, options_.region_, false });
    }
    core_->handle(listed, now_, wall);
    runCommands();
    return success();
}

// ---- membership

void Fleet::tick(TimePoint now, WallTime wall)
{
    now_ = now;
    if (now - tickedAt_ >= membershipTick) {
        tickedAt_ = now;
        core_->tick(now, wall);
        runCommands();
        countNodes();
    }
    pace_.tick(now);
    const bool isFarDue = farDirty_ && now - reportedFarAt_ >= farPeriod();
    const bool isRegionDue = cells_.count() > 1 && regionDirty_ && now - reportedRegionAt_ >= regionPeriod();
    if (isFarDue || now - reportedFarAt_ >= farRefresh())
        sendReport(Reach::All);
    else if (isRegionDue || now - reportedRegionAt_ >= refreshPeriod)
        sendReport(Reach::Region);
    else
        sendPendingReport();
}

void Fleet::countNodes()
{
    const auto near = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return entry.second.isLive() && entry.second.region_ == options_.region_; });
    if (!cells_.setNodes(static_cast<std::size_t>(near) + 1))
        return;
    log_.line("cellsChanged").with("cells", cells_.count()).with("nodes", static_cast<std::uint64_t>(near) + 1);
    handlers_.onCellsChanged_();
}

// Others rely on hearing of nodes that run jobs or follow the store; of the rest only loads.
Duration Fleet::farRefresh() const
{
    const bool isReliedOn = options_.runsJobs_ || saidWatching_;
    return isReliedOn ? refreshPeriod : std::clamp(farPeriod(), refreshPeriod, longestRefresh);
}

Duration Fleet::regionPeriod() const
{
    return std::min<Duration>(refreshPeriod, regionPeriodPerNode * static_cast<Duration::rep>(peers_.size()));
}

Duration Fleet::farPeriod() const
{
    const auto far = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return entry.second.isLive() && entry.second.region_ != options_.region_; });
    return std::max<Duration>(leastFarPeriod, farPeriodPerNode * far);
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
    if (bytes)
        sockets_->membership_.send(command.endpoint_, bytes.value());
}

void Fleet::perform(const MemberChanged& command)
{
    const MemberRumor& member = command.member_;
    Peer& peer = peers_[member.node_];
    const bool wasLive = !peer.node_.isNone() && peer.isLive();
    peer.node_ = member.node_;
    peer.at_ = member.endpoint_;
    peer.region_ = member.region_;
    peer.domain_ = member.domain_;
    peer.state_ = member.state_;
    peer.leaving_ = member.leaving_;
    log_.line("peerChanged").with("peer", member.endpoint_.toString()).with("state", nameOf(member.state_)).with("leaving", member.leaving_ ? "yes" : "no").with("incarnation", member.incarnation_.value());
    if (wasLive && !peer.isLive())
        handlers_.onGone_(member.node_);
    if (!wasLive && peer.isLive())
        publishReport();
}

void Fleet::perform(const Rejoined& command)
{
    log_.line("rejoined").with("incarnation", command.incarnation_.value());
    handlers_.onRejoined_();
}

void Fleet::perform(const QuarantineLearned& command)
{
    if (handlers_.onCrashMark_)
        handlers_.onCrashMark_(command.fingerprint_, command.remaining_);
}

void Fleet::publishCrashMark(Fingerprint mark, Duration remaining)
{
    core_->handle(QuarantineStarted { mark, remaining }, now_, SystemClock().wallNow());
}

void Fleet::perform(const RegionReachChanged& command)
{
    log_.line(command.reachable_ ? "regionRegained" : "regionLost").with("region", command.region_.value());
}

// ---- reports

void Fleet::publishReport()
{
    farDirty_ = true;
    regionDirty_ = true;
    if (reportPending_)
        return;
    reportPending_ = true;
    boost::asio::post(io_, [this, alive = alive_] {
        if (*alive)
            sendPendingReport();
    });
}

// A report that comes too early goes with a later tick.
void Fleet::sendPendingReport()
{
    if (!reportPending_ || SystemClock().now() < pace_.nextAt())
        return;
    sendReport(Reach::Cell);
}

void Fleet::sendReport(Reach reach)
{
    NodeReport report = handlers_.ownReport_();
    report.use_.node_ = self_;
    report.use_.incarnation_ = options_.incarnation_;
    report.use_.sequence_ = ++sequence_;
    report.runsJobs_ = options_.runsJobs_;
    report.leaving_ = leaving_;
    const std::string bytes = encode(options_.key_, PeerDatagram(report));
    reportPending_ = false;
    saidWatching_ = report.watching_;
    pace_.sent(SystemClock().now());
    const RegionId ownCell = cellOf(self_);
    for (const auto& [node, peer] : peers_) {
        const bool isReached = reach == Reach::All || (reach == Reach::Region && peer.region_ == options_.region_) || cells_.cellOf(peer.region_, node) == ownCell;
        if (peer.isLive() && isReached)
            sockets_->reports_.send(nextPort(peer.at_), bytes);
    }
    if (reach == Reach::Cell && cells_.count() > 1)
        return;
    regionDirty_ = false;
    reportedRegionAt_ = now_;
    if (reach != Reach::All)
        return;
    farDirty_ = false;
    reportedFarAt_ = now_;
}

void Fleet::giveWay(NodeId holder, UpstreamId engine)
{
    const auto found = peers_.find(holder);
    if (found != peers_.end())
        sockets_->reports_.send(nextPort(found->second.at_), encode(options_.key_, PeerDatagram(GiveWay { self_, engine })));
}

void Fleet::onReportDatagram(std::string_view bytes)
{
    const auto datagram = decodeDatagram(options_.key_, bytes);
    if (!datagram)
        return;
    if (const auto* ask = std::get_if<GiveWay>(&datagram.value()))
        return handlers_.onGiveWay_(*ask);
    const auto& report = std::get<NodeReport>(datagram.value());
    pace_.heard();
    const auto found = peers_.find(report.use_.node_);
    if (found != peers_.end()) {
        Peer& peer = found->second;
        peer.runsJobs_ = report.runsJobs_;
        peer.leaving_ = peer.leaving_ || report.leaving_;
        peer.heardAt_ = SystemClock().now();
        peer.configVersion_ = report.configVersion_;
        peer.enginesVersion_ = report.enginesVersion_;
        peer.watching_ = report.watching_;
        peer.keepsJobs_ = report.keepsJobs_;
        peer.keptJobs_ = report.keptJobs_;
    }
    handlers_.onReport_(report);
}

// ---- calls

void Fleet::ask(NodeId node, const PeerCall& call, Duration bound, ReplyHandler done)
{
    const auto found = peers_.find(node);
    if (found == peers_.end()) {
        boost::asio::post(io_, [done = std::move(done)] { done(PeerError::Unreachable); });
        return;
    }
    http::CallOptions options;
    options.idle_ = bound;
    const Endpoint to = endpointOf(found->second.at_);
    http::Request request { "POST", std::string(callPath), {}, encode(options_.key_, call) };
    sockets_->client_.fetch(to, request, options, [this, alive = alive_, to, done = std::move(done)](const Result<http::Response>& response, RunState) {
        if (!*alive)
            return;
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
    leaving_ = true;
    core_->handle(LeaveStarted {}, SystemClock().now(), SystemClock().wallNow());
    runCommands();
    sendReport(Reach::All);
}

void Fleet::finishLeaving()
{
    core_->handle(LeaveFinished {}, SystemClock().now(), SystemClock().wallNow());
    runCommands();
}

} // namespace jj
