// Connecting, sending and giving back of one client connection, and its times. The read side is in ClientReading.cpp.
#include "ClientConnection.h"

#include "base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace jj::http::detail {

namespace {

    using SteadyClock = std::chrono::steady_clock;

    RunState runOf(const CallState& call)
    {
        if (call.headSeen_)
            return RunState::Ran;
        return call.sent_ ? RunState::OutcomeUnknown : RunState::NotRun;
    }

} // namespace

CallIdentity identityOf(const CallOptions& options)
{
    return options.echoName_.empty() || options.echoValue_.empty() ? CallIdentity::none() : idFromName<CallIdentity>(options.echoValue_);
}

ClientConnection::ClientConnection(std::shared_ptr<ClientShared> shared, Endpoint endpoint)
    : shared_(std::move(shared))
    , endpoint_(std::move(endpoint))
    , socket_(asio::make_strand(shared_->io_))
    , timer_(socket_.get_executor())
{
}

void ClientConnection::startSoon(std::shared_ptr<CallState> call)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), call = std::move(call)]() mutable { self->start(std::move(call)); });
}

void ClientConnection::cancelSoon(std::shared_ptr<CallState> call)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), call = std::move(call)] {
        if (self->call_ == call)
            self->dropCall();
    });
}

void ClientConnection::cancelAfterReceivedSoon(std::shared_ptr<CallState> call)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), call = std::move(call)] {
        if (self->call_ != call)
            return;
        if (!self->written_)
            return self->dropCall();
        if (!self->reading_)
            return self->deliverReceived(); // reading is paused
        self->endsAfterRead_ = true;
        error_code ignored;
        self->socket_.cancel(ignored);
    });
}

void ClientConnection::resumeSoon(std::shared_ptr<CallState> call)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), call = std::move(call)] {
        if (self->call_ != call)
            return;
        self->noteResumed();
        if (self->connecting_)
            return; // the time for connecting goes on, and send() begins to read
        if (!self->lingering_)
            self->expectProgress(call->options_.idle_);
        self->readSome();
    });
}

// A pause that has begun again meanwhile goes on.
void ClientConnection::noteResumed()
{
    Pacing expected = Pacing::Resuming;
    call_->pacing_.compare_exchange_strong(expected, Pacing::Reading);
}

void ClientConnection::dropCall()
{
    const std::shared_ptr<CallState> call = std::move(call_);
    call_ = nullptr;
    call->handlers_ = {}; // what they hold may hold the call
    call->outboundBody_ = nullptr;
    close();
}

void ClientConnection::closeSoon()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (!self->call_)
            self->close();
    });
}

void ClientConnection::start(std::shared_ptr<CallState> call)
{
    if (call->cancelled_ || call->ending_) {
        call->handlers_ = {};
        call->outboundBody_ = nullptr;
        return connected_ && backToPool() ? void() : close();
    }
    if (!closed_ && connected_ && !isQuiet())
        close();
    if (closed_) {
        // The peer closed this pooled connection after it was picked, or sent what belongs to no call; nothing was sent, so another one may
        // serve.
        auto other = std::make_shared<ClientConnection>(shared_, endpoint_);
        {
            const std::lock_guard lock(call->mutex_);
            call->connection_ = other;
        }
        return other->startSoon(std::move(call));
    }
    call_ = std::move(call);
    if (call_->options_.total_ > Duration::zero())
        call_->until_ = SteadyClock::now() + call_->options_.total_;
    noteResumed();
    beginParsing();
    interimAnswers_ = 0;
    written_ = false;
    writeFailed_ = false;
    endsAfterWrite_ = false;
    readingOver_ = false;
    isReused_ = connected_;
    noteCarried(identityOf(call_->options_));
    if (connected_)
        send();
    else
        connect();
}

void ClientConnection::noteCarried(CallIdentity identity)
{
    if (identity.isNone())
        return;
    carried_.at(nextCarried_) = identity;
    nextCarried_ = (nextCarried_ + 1) % carried_.size();
}

void ClientConnection::beginParsing()
{
    parser_.emplace(shared_->settings_.headerBytes_, shared_->settings_.chunkLineBytes_);
    parser_->skip(call_->isHead_);
}

bool ClientConnection::isQuiet()
{
    error_code error;
    socket_.non_blocking(true, error);
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return buffer_.size() == 0 && error == asio::error::would_block;
}

void ClientConnection::connect()
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint_.address_, error);
    if (error)
        return fail(Error::ConnectFailed);
    connecting_ = true;
    expectProgress(shared_->settings_.connectTime_);
    socket_.async_connect({ address, endpoint_.port_ }, [self = shared_from_this()](error_code failed) {
        self->connecting_ = false;
        if (self->closed_)
            return;
        if (failed)
            return self->fail(Error::ConnectFailed);
        self->connected_ = true;
        error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->send();
    });
}

void ClientConnection::send()
{
    if (call_->cancelled_)
        return dropCall();
    expectProgress(call_->options_.idle_);
    call_->sent_ = true;
    auto body = std::exchange(call_->outboundBody_, nullptr); // lives as long as the write
    const std::array<asio::const_buffer, 2> outbound { asio::buffer(call_->outboundHead_), asio::buffer(*body) };
    asio::async_write(socket_, outbound, [self = shared_from_this(), call = call_, body = std::move(body)](error_code error, std::size_t bytes) {
        if (!self->closed_ && self->call_ == call)
            self->onWritten(error, bytes);
    });
    readSome();
}

// After an error, what had arrived before is still read: it may be a whole answer.
void ClientConnection::onWritten(error_code error, std::size_t bytes)
{
    written_ = !error;
    writeFailed_ = static_cast<bool>(error);
    if (error && !call_->headSeen_)
        call_->sent_ = bytes > 0;
    if (endsAfterWrite_)
        onReadEnd(asio::error::eof);
}

void ClientConnection::finish(bool reusable, AnswerEnd end)
{
    const std::shared_ptr<CallState> call = std::move(call_);
    call_ = nullptr;
    parser_.reset();
    if (lingering_ || !reusable || !backToPool())
        close();
    const CallHandlers handlers = std::move(call->handlers_);
    if (!call->cancelled_ && handlers.onEnd_)
        handlers.onEnd_(end);
}

bool ClientConnection::backToPool()
{
    if (closed_)
        return false;
    {
        const std::lock_guard lock(shared_->mutex_);
        auto& idle = shared_->pool_[endpoint_];
        if (shared_->closed_ || idle.size() >= shared_->settings_.pooledPerEndpoint_)
            return false;
        idle.push_back(shared_from_this());
    }
    expectProgress(std::min(shared_->settings_.pooledIdle_, keepAlive_));
    readSome(); // so that the peer's closing is seen while the connection waits
    return true;
}

void ClientConnection::leavePool()
{
    const std::lock_guard lock(shared_->mutex_);
    const auto found = shared_->pool_.find(endpoint_);
    if (found == shared_->pool_.end())
        return;
    std::erase_if(found->second, [this](const auto& connection) { return connection.get() == this; });
    if (found->second.empty())
        shared_->pool_.erase(found);
}

void ClientConnection::fail(Error error)
{
    const std::shared_ptr<CallState> call = std::move(call_);
    call_ = nullptr;
    close();
    if (!call)
        return;
    call->outboundBody_ = nullptr;
    const CallHandlers handlers = std::move(call->handlers_);
    if (!call->cancelled_ && handlers.onError_)
        handlers.onError_({ error, runOf(*call) });
}

void ClientConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    leavePool();
}

// One timer serves all states. Progress only moves the deadline; the timer looks at it when it fires, so that a token costs no timer call.
void ClientConnection::expectProgress(Duration bound)
{
    deadline_ = SteadyClock::now() + bound;
    if (call_)
        deadline_ = std::min(deadline_, call_->until_);
    if (!timerArmed_ || deadline_ < armedUntil_)
        armTimer();
}

// The wait owns the connection: while reading is paused, nothing else does.
void ClientConnection::armTimer()
{
    timerArmed_ = true;
    armedUntil_ = deadline_;
    timer_.expires_at(deadline_);
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->closed_)
            self->onTimer();
    });
}

void ClientConnection::onTimer()
{
    timerArmed_ = false;
    if (SteadyClock::now() < deadline_)
        return armTimer();
    if (connecting_)
        return fail(Error::ConnectTimedOut);
    if (call_ && lingering_)
        return dropCall();
    // While it resumes too: a timer that is due just then would count the pause as silence of the other side.
    if (call_ && call_->pacing_ != Pacing::Reading)
        return expectProgress(call_->options_.idle_);
    if (call_)
        return fail(Error::NoProgress);
    close();
}

} // namespace jj::http::detail
