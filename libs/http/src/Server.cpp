// Listening, accepting, and the Exchange's calls.
#include "http/Server.h"

#include "ServerConnection.h"

#include <boost/asio/post.hpp>

namespace jj::http {

namespace {

    using detail::error_code;
    using detail::ServerConnection;
    using detail::ServerShared;
    using detail::tcp;

    constexpr std::size_t maxAcceptedAtOnce = 64; // other work of the event loop waits meanwhile
    constexpr std::size_t maxBeyondLimit = 64; // connections beyond the limit that are being closed, or refused with an answer
    constexpr auto acceptRetry = std::chrono::milliseconds(100); // when the process is out of descriptors

    void acceptNext(const std::shared_ptr<ServerShared>& shared);

    void onAccepted(const std::shared_ptr<ServerShared>& shared, tcp::socket socket)
    {
        const std::size_t limit = shared->settings_.limits_.connections_;
        const std::size_t taken = detail::takenConnections(*shared);
        const bool hasRoom = taken < limit || detail::evictLongestWaiting(*shared);
        if (taken >= limit + maxBeyondLimit) {
            detail::closeUnread(*shared, socket);
            return;
        }
        auto connection = std::make_shared<ServerConnection>(shared, std::move(socket));
        {
            const std::lock_guard lock(shared->mutex_);
            shared->connections_.emplace(connection.get(), connection);
        }
        if (hasRoom)
            return connection->begin();
        detail::cutOffStalledReaders(*shared, maxBeyondLimit);
        connection->refuse(Error::TooManyConnections);
    }

    void takeConnection(const std::shared_ptr<ServerShared>& shared, tcp::socket socket)
    {
        if (shared->admits_ && !shared->admits_())
            return detail::closeUnread(*shared, socket);
        const auto executor = socket.get_executor();
        boost::asio::post(executor, [shared, socket = std::move(socket)]() mutable { onAccepted(shared, std::move(socket)); });
    }

    // If a busy event loop accepted one connection in each turn, most clients would give up before their turn.
    void takeWaitingConnections(const std::shared_ptr<ServerShared>& shared)
    {
        error_code error;
        for (std::size_t count = 0; count < maxAcceptedAtOnce; ++count) {
            tcp::socket socket(boost::asio::make_strand(shared->io_));
            shared->acceptor_.accept(socket, error);
            if (error)
                return;
            takeConnection(shared, std::move(socket));
        }
    }

    void acceptNext(const std::shared_ptr<ServerShared>& shared)
    {
        shared->acceptor_.async_accept(boost::asio::make_strand(shared->io_), [shared](error_code error, tcp::socket socket) {
            if (shared->stopped_ || error == boost::asio::error::operation_aborted)
                return;
            if (shared->draining_)
                return error ? void() : takeConnection(shared, std::move(socket));
            if (error) {
                shared->retry_.expires_after(acceptRetry);
                shared->retry_.async_wait([shared](error_code late) {
                    if (!late)
                        acceptNext(shared);
                });
                return;
            }
            // Accepting goes on after a connection that fails.
            const std::shared_ptr<void> next(nullptr, [&shared](void*) { acceptNext(shared); });
            takeConnection(shared, std::move(socket));
            takeWaitingConnections(shared);
        });
    }

    error_code listen(ServerShared& shared)
    {
        error_code error;
        const auto address = boost::asio::ip::make_address(shared.settings_.listen_.address_, error);
        if (error)
            return error;
        const tcp::endpoint endpoint(address, shared.settings_.listen_.port_);
        shared.acceptor_.open(endpoint.protocol(), error);
        if (!error)
            shared.acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            shared.acceptor_.bind(endpoint, error);
        if (!error)
            shared.acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
        if (!error)
            shared.acceptor_.non_blocking(true, error);
        if (!error)
            shared.local_ = { shared.settings_.listen_.address_, shared.acceptor_.local_endpoint(error).port() };
        return error;
    }

    template <class Action>
    void forEachConnection(ServerShared& shared, Action action)
    {
        std::vector<std::shared_ptr<ServerConnection>> open;
        {
            const std::lock_guard lock(shared.mutex_);
            for (const auto& [key, weak] : shared.connections_) {
                if (auto connection = weak.lock())
                    open.push_back(std::move(connection));
            }
        }
        for (auto& connection : open)
            action(connection);
    }

} // namespace

Result<std::unique_ptr<Server>> Server::create(boost::asio::io_context& io, ServerSettings settings, Handler handler, BodyPlanner planner)
{
    auto shared = std::make_shared<ServerShared>(io, std::move(settings), std::move(handler), std::move(planner));
    if (const error_code error = listen(*shared))
        return error;
    acceptNext(shared);
    return std::unique_ptr<Server>(new Server(std::move(shared)));
}

Server::Server(std::shared_ptr<ServerShared> shared)
    : shared_(std::move(shared))
{
}

Server::~Server()
{
    shared_->stopped_ = true;
    boost::asio::post(shared_->io_, [shared = shared_] {
        error_code ignored;
        shared->acceptor_.close(ignored);
        shared->retry_.cancel();
    });
    forEachConnection(*shared_, [](const std::shared_ptr<ServerConnection>& connection) { connection->closeSoon(); });
}

const Endpoint& Server::local() const { return shared_->local_; }

void Server::setLimits(const ServerLimits& limits) { shared_->settings_.limits_ = limits; }

void Server::setAdmission(std::function<bool()> admits) { shared_->admits_ = std::move(admits); }

std::uint64_t Server::unadmittedConnections() const { return shared_->unadmitted_; }

void Server::drain()
{
    shared_->draining_ = true;
    boost::asio::post(shared_->io_, [shared = shared_] {
        error_code ignored;
        // Closing the acceptor resets those that wait.
        takeWaitingConnections(shared);
        shared->acceptor_.close(ignored);
        shared->retry_.cancel();
    });
    forEachConnection(*shared_, [](const std::shared_ptr<ServerConnection>& connection) { connection->drainSoon(); });
}

std::size_t Server::openConnections() const
{
    const std::lock_guard lock(shared_->mutex_);
    return shared_->connections_.size();
}

std::size_t Server::openExchanges() const { return shared_->exchanges_; }

std::uint64_t Server::readersCutOff() const { return shared_->readersCutOff_; }

std::uint64_t Server::uploadsRefused() const { return shared_->uploadsRefused_; }

std::uint64_t Server::headsRefused() const { return shared_->headsRefused_; }

std::uint64_t Server::connectionsEvicted() const { return shared_->evicted_; }

Exchange::Exchange(std::shared_ptr<ServerConnection> connection, std::uint64_t turn, Request request, bool bodyIsStreamed, RequestHolds holds)
    : connection_(std::move(connection))
    , turn_(turn)
    , request_(std::move(request))
    , bodyIsStreamed_(bodyIsStreamed)
    , holds_(std::move(holds))
{
}

Exchange::~Exchange() { connection_->dropped(turn_); }
void Exchange::respond(const Response& response) { connection_->respond(turn_, response); }
void Exchange::start(int status, const Headers& headers) { connection_->start(turn_, status, headers); }
void Exchange::write(std::string_view data) { connection_->write(turn_, data); }
void Exchange::end() { connection_->end(turn_); }
void Exchange::abort() { connection_->abort(turn_); }
std::size_t Exchange::queuedBytes() const { return connection_->queuedBytes(turn_); }
void Exchange::whenDrained(std::function<void()> callback) { connection_->whenDrained(turn_, std::move(callback)); }
bool Exchange::isQueueFull() const { return connection_->isQueueFull(turn_); }
void Exchange::whenWritable(std::function<void()> callback) { connection_->whenWritable(turn_, std::move(callback)); }
std::optional<Duration> Exchange::stalledFor() const
{
    const auto since = connection_->stalledSince();
    return since ? std::optional<Duration>(std::chrono::steady_clock::now() - *since) : std::nullopt;
}
bool Exchange::wasCutOff() const { return connection_->wasCutOff(); }
void Exchange::onClosed(std::function<void()> callback) { connection_->onClosed(turn_, std::move(callback)); }
void Exchange::readBody(std::function<void(BodyPiece)> callback) { connection_->readBody(turn_, std::move(callback)); }

} // namespace jj::http
