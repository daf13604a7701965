// The life of one connection between nodes.
#include "PeerLink.h"

#include "base/Error.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace jj {

namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;
using boost::system::error_code;

PeerLink::PeerLink(Socket socket, LinkSession session, const PeerLinkSettings& settings, Owner owner)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , settings_(settings)
    , owner_(std::move(owner))
    , lastHeard_(SteadyClock::now())
    , lastHeartbeat_(lastHeard_)
    , session_(std::move(session))
{
}

void PeerLink::accept()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handshake(); });
}

void PeerLink::connect(const PeerAddress& to)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(to.ip_), to.port_);
    asio::post(socket_.get_executor(), [self = shared_from_this(), endpoint] {
        self->tick();
        self->socket_.async_connect(endpoint, [self](error_code error) {
            if (self->closing_)
                return;
            if (error)
                return self->closeNow(BaseError::Closed);
            self->handshake();
        });
    });
}

void PeerLink::handshake()
{
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    connected_ = true;
    {
        const std::lock_guard lock(mutex_);
        pending_ = session_.hello() + pending_;
        flushLocked();
    }
    tick();
    readSome();
}

void PeerLink::readSome()
{
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](error_code error, std::size_t bytes) { self->onRead(error, bytes); });
}

void PeerLink::onRead(const error_code& error, std::size_t bytes)
{
    if (closing_)
        return;
    if (error)
        return closeNow(BaseError::Closed);
    lastHeard_ = SteadyClock::now();
    {
        const std::lock_guard lock(mutex_);
        session_.feed({ input_.data(), bytes });
    }
    if (takeMessages())
        readSome();
}

bool PeerLink::takeMessages()
{
    for (;;) {
        Result<std::optional<LinkMessage>> message = success();
        bool broken = false;
        {
            const std::lock_guard lock(mutex_);
            message = session_.next();
            broken = session_.isBroken();
        }
        if (broken) {
            closeNow(message.has_error() ? message.error() : std::error_code(WireError::Malformed));
            return false;
        }
        if (!message)
            continue; // one bad frame of an authentic peer: dropped and counted by the session
        if (!message.value())
            return true;
        LinkMessage& taken = *message.value();
        if (const auto* heartbeat = std::get_if<Heartbeat>(&taken)) {
            heardSequence_ = std::max(heardSequence_, heartbeat->sequence_);
            continue;
        }
        if (std::holds_alternative<Hello>(taken))
            onHello();
        owner_.onMessage_(shared_from_this(), std::move(taken));
        if (closing_)
            return false;
    }
}

void PeerLink::onHello()
{
    const std::lock_guard lock(mutex_);
    for (const LinkMessage& message : waiting_)
        (void)encodeLocked(message);
    waiting_.clear();
    flushLocked();
}

Result<void> PeerLink::send(const LinkMessage& message)
{
    const std::lock_guard lock(mutex_);
    if (closed_)
        return BaseError::Closed;
    if (!session_.isOpen()) {
        if (waiting_.size() >= settings_.waitingMessages_)
            return BaseError::Overflow;
        waiting_.push_back(message);
        return success();
    }
    if (pending_.size() > settings_.queueBytes_)
        return BaseError::Overflow;
    BOOST_OUTCOME_TRY(encodeLocked(message));
    flushLocked();
    return success();
}

Result<void> PeerLink::encodeLocked(const LinkMessage& message)
{
    auto frame = session_.encode(message);
    if (!frame)
        return frame.error();
    pending_.append(frame.value());
    return success();
}

void PeerLink::flushLocked()
{
    if (flushing_ || closed_)
        return;
    flushing_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
}

void PeerLink::flush()
{
    {
        const std::lock_guard lock(mutex_);
        if (closed_ || pending_.empty()) {
            flushing_ = false;
            return;
        }
        inFlight_.clear();
        inFlight_.swap(pending_);
    }
    asio::async_write(socket_, asio::buffer(inFlight_), [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closing_)
            return;
        if (error)
            return self->closeNow(BaseError::Closed);
        self->flush();
    });
}

// Heartbeats go out whether or not other messages do: their echo is what tells a one-way connection from a live one.
void PeerLink::tick()
{
    if (closing_)
        return;
    const auto now = SteadyClock::now();
    bool open = false;
    {
        const std::lock_guard lock(mutex_);
        open = session_.isOpen();
    }
    const Duration bound = open ? settings_.silence_ : settings_.connect_;
    if (now - lastHeard_ > bound)
        return closeNow(BaseError::TimedOut);
    if (open && now - lastHeartbeat_ >= settings_.heartbeat_) {
        lastHeartbeat_ = now;
        (void)send(Heartbeat { ++sentSequence_, heardSequence_ });
    }
    timer_.expires_after(std::min(settings_.heartbeat_, settings_.silence_ / 4));
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->tick();
    });
}

void PeerLink::close(std::error_code reason)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), reason] { self->closeNow(reason); });
}

void PeerLink::closeNow(std::error_code reason)
{
    if (closing_)
        return;
    closing_ = true;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    owner_.onClosed_(shared_from_this(), reason);
}

std::vector<AttemptKey> PeerLink::unsentRequests() const
{
    const std::lock_guard lock(mutex_);
    std::vector<AttemptKey> keys;
    for (const LinkMessage& message : waiting_) {
        if (const auto* start = std::get_if<RequestStart>(&message))
            keys.push_back(start->key_);
    }
    return keys;
}

WireErrorCounts PeerLink::errors() const
{
    const std::lock_guard lock(mutex_);
    return session_.errors();
}

} // namespace jj
