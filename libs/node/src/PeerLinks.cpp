// Which link serves which peer: connecting on demand, accepting, and telling losses.
#include "PeerLinks.h"

#include "PeerLink.h"
#include "base/Error.h"

#include <algorithm>
#include <atomic>
#include <unordered_map>

namespace jj {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct PeerLinks::Shared : std::enable_shared_from_this<Shared> {
    Shared(asio::io_context& io, const WireKey& key, const PeerIdentity& self, const PeerLinkSettings& settings, PeerLinkHandlers handlers)
        : io_(io)
        , acceptor_(io)
        , retry_(io)
        , key_(key)
        , settings_(settings)
        , handlers_(std::move(handlers))
    {
        self_.endpoint_ = self.listen_;
        self_.incarnation_ = self.incarnation_;
    }

    // Invariant: current_ is one of links_, or null when links_ holds none that serves.
    struct Peer {
        PeerAddress address_;
        Incarnation incarnation_; // of the process that the links lead to; none before the first Hello
        std::shared_ptr<PeerLink> current_;
        std::vector<std::shared_ptr<PeerLink>> links_;
    };

    std::error_code listen();
    void acceptNext();
    PeerLink::Owner owner();
    std::shared_ptr<PeerLink> makeLink(tcp::socket socket, LinkSession::Side side);
    std::shared_ptr<PeerLink> linkTo(NodeId node);
    void onMessage(const std::shared_ptr<PeerLink>& link, LinkMessage&& message);
    bool onHello(const std::shared_ptr<PeerLink>& link, const Hello& hello);
    void onClosed(const std::shared_ptr<PeerLink>& link, std::error_code reason);
    std::vector<std::shared_ptr<PeerLink>> takeLinks(Peer& peer, const std::shared_ptr<PeerLink>& kept);
    void lose(NodeId node, const std::vector<std::shared_ptr<PeerLink>>& lost, std::error_code reason);

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    WireKey key_;
    PeerLinkSettings settings_;
    PeerLinkHandlers handlers_;
    Hello self_;
    std::atomic<std::uint64_t> refused_ = 0;

    mutable std::mutex mutex_; // guards the members below
    bool stopped_ = false;
    std::unordered_map<NodeId, Peer> peers_;
    std::unordered_map<const PeerLink*, NodeId> nodes_; // links whose peer is known
    std::unordered_map<const PeerLink*, std::shared_ptr<PeerLink>> strangers_; // accepted, before their Hello
};

std::error_code PeerLinks::Shared::listen()
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::address_v4(self_.endpoint_.ip_), self_.endpoint_.port_);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return error;
    self_.endpoint_.port_ = acceptor_.local_endpoint(error).port();
    self_.node_ = nodeIdOf(self_.endpoint_);
    return error;
}

void PeerLinks::Shared::acceptNext()
{
    {
        const std::lock_guard lock(mutex_);
        if (stopped_)
            return;
    }
    acceptor_.async_accept(asio::make_strand(io_), [self = shared_from_this()](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            // Out of descriptors, most likely: try again shortly instead of spinning.
            self->retry_.expires_after(self->settings_.heartbeat_);
            self->retry_.async_wait([self](error_code late) {
                if (!late)
                    self->acceptNext();
            });
            return;
        }
        // Accepting goes on after a connection that fails.
        const std::shared_ptr<void> next(nullptr, [&self](void*) { self->acceptNext(); });
        auto link = self->makeLink(std::move(socket), LinkSession::Side::Acceptor);
        if (link) {
            {
                const std::lock_guard lock(self->mutex_);
                if (self->stopped_)
                    return;
                self->strangers_.emplace(link.get(), link);
            }
            link->accept();
        }
    });
}

PeerLink::Owner PeerLinks::Shared::owner()
{
    return { [self = shared_from_this()](const std::shared_ptr<PeerLink>& link, LinkMessage&& message) { self->onMessage(link, std::move(message)); },
        [self = shared_from_this()](const std::shared_ptr<PeerLink>& link, std::error_code reason) { self->onClosed(link, reason); } };
}

std::shared_ptr<PeerLink> PeerLinks::Shared::makeLink(tcp::socket socket, LinkSession::Side side)
{
    auto session = LinkSession::create(key_, side, self_);
    if (!session)
        return nullptr;
    return std::make_shared<PeerLink>(std::move(socket), std::move(session.value()), settings_, owner());
}

std::shared_ptr<PeerLink> PeerLinks::Shared::linkTo(NodeId node)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(node);
    if (stopped_ || found == peers_.end())
        return nullptr;
    Peer& peer = found->second;
    if (peer.current_)
        return peer.current_;
    auto link = makeLink(tcp::socket(asio::make_strand(io_)), LinkSession::Side::Initiator);
    if (!link)
        return nullptr;
    peer.current_ = link;
    peer.links_.push_back(link);
    nodes_.emplace(link.get(), node);
    link->connect(peer.address_);
    return link;
}

void PeerLinks::Shared::onMessage(const std::shared_ptr<PeerLink>& link, LinkMessage&& message)
{
    if (const auto* hello = std::get_if<Hello>(&message)) {
        if (!onHello(link, *hello))
            link->close(WireError::WrongTarget);
        return;
    }
    NodeId node;
    {
        const std::lock_guard lock(mutex_);
        const auto found = nodes_.find(link.get());
        if (found == nodes_.end() || stopped_)
            return;
        node = found->second;
    }
    handlers_.onMessage_(node, std::move(message));
}

// A link counts only for the node that its Hello names, and that node must be the one that its address stands for: after a host's
// address was given to another process, an old link table must not reach the wrong node.
bool PeerLinks::Shared::onHello(const std::shared_ptr<PeerLink>& link, const Hello& hello)
{
    if (nodeIdOf(hello.endpoint_) != hello.node_ || hello.node_ == self_.node_)
        return false;
    std::vector<std::shared_ptr<PeerLink>> stale;
    {
        const std::lock_guard lock(mutex_);
        const auto known = nodes_.find(link.get());
        if (known != nodes_.end() && known->second != hello.node_)
            return false;
        Peer& peer = peers_[hello.node_];
        // The process at that address was replaced: what the links to the old one carried is lost, and their silence must not
        // take the new link down later.
        if (!peer.incarnation_.isNone() && peer.incarnation_ != hello.incarnation_)
            stale = takeLinks(peer, link);
        peer.incarnation_ = hello.incarnation_;
        if (known == nodes_.end()) {
            strangers_.erase(link.get());
            peer.address_ = hello.endpoint_;
            peer.links_.push_back(link);
            nodes_.emplace(link.get(), hello.node_);
        }
        if (!peer.current_)
            peer.current_ = link;
    }
    if (!stale.empty())
        lose(hello.node_, stale, BaseError::Closed);
    return true;
}

// Takes the peer's links out of the tables, but for `kept`.
std::vector<std::shared_ptr<PeerLink>> PeerLinks::Shared::takeLinks(Peer& peer, const std::shared_ptr<PeerLink>& kept)
{
    std::vector<std::shared_ptr<PeerLink>> taken;
    std::vector<std::shared_ptr<PeerLink>> left;
    for (auto& each : peer.links_)
        (each == kept ? left : taken).push_back(each);
    for (const auto& each : taken)
        nodes_.erase(each.get());
    peer.links_ = std::move(left);
    peer.current_ = peer.links_.empty() ? nullptr : peer.links_.front();
    return taken;
}

void PeerLinks::Shared::lose(NodeId node, const std::vector<std::shared_ptr<PeerLink>>& lost, std::error_code reason)
{
    std::vector<AttemptKey> unsent;
    for (const auto& each : lost) {
        each->close(reason);
        const auto keys = each->unsentRequests();
        unsent.insert(unsent.end(), keys.begin(), keys.end());
    }
    handlers_.onLost_(node, reason, unsent);
}

void PeerLinks::Shared::onClosed(const std::shared_ptr<PeerLink>& link, std::error_code reason)
{
    refused_ += link->errors().total();
    NodeId node;
    std::vector<std::shared_ptr<PeerLink>> lost;
    {
        const std::lock_guard lock(mutex_);
        strangers_.erase(link.get());
        const auto found = nodes_.find(link.get());
        if (found == nodes_.end())
            return;
        node = found->second;
        lost = takeLinks(peers_[node], nullptr);
        if (stopped_)
            return;
    }
    lose(node, lost, reason);
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::create(
    asio::io_context& io, const WireKey& key, const PeerIdentity& self, const PeerLinkSettings& settings, PeerLinkHandlers handlers)
{
    auto shared = std::make_shared<Shared>(io, key, self, settings, std::move(handlers));
    if (const std::error_code error = shared->listen())
        return error;
    shared->acceptNext();
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(shared)));
}

PeerLinks::PeerLinks(std::shared_ptr<Shared> shared)
    : shared_(std::move(shared))
{
}

PeerLinks::~PeerLinks()
{
    std::vector<std::shared_ptr<PeerLink>> open;
    {
        const std::lock_guard lock(shared_->mutex_);
        shared_->stopped_ = true;
        for (auto& [node, peer] : shared_->peers_)
            open.insert(open.end(), peer.links_.begin(), peer.links_.end());
        for (auto& [key, link] : shared_->strangers_)
            open.push_back(link);
        shared_->peers_.clear();
        shared_->nodes_.clear();
        shared_->strangers_.clear();
    }
    for (const auto& link : open)
        link->close(BaseError::Closed);
    asio::post(shared_->io_, [shared = shared_] {
        error_code ignored;
        shared->acceptor_.close(ignored);
        shared->retry_.cancel();
    });
}

const PeerAddress& PeerLinks::local() const { return shared_->self_.endpoint_; }
NodeId PeerLinks::self() const { return shared_->self_.node_; }

NodeId PeerLinks::learn(const PeerAddress& address)
{
    const NodeId node = nodeIdOf(address);
    const std::lock_guard lock(shared_->mutex_);
    shared_->peers_[node].address_ = address;
    return node;
}

Result<void> PeerLinks::send(NodeId to, const LinkMessage& message)
{
    const auto link = shared_->linkTo(to);
    if (!link)
        return BaseError::Closed;
    return link->send(message);
}

void PeerLinks::drop(NodeId peer)
{
    std::vector<std::shared_ptr<PeerLink>> links;
    {
        const std::lock_guard lock(shared_->mutex_);
        const auto found = shared_->peers_.find(peer);
        if (found != shared_->peers_.end())
            links = found->second.links_;
    }
    for (const auto& link : links)
        link->close(BaseError::Closed);
}

std::size_t PeerLinks::openLinks() const
{
    const std::lock_guard lock(shared_->mutex_);
    return shared_->nodes_.size();
}

std::uint64_t PeerLinks::refusedFrames() const { return shared_->refused_; }

} // namespace jj
