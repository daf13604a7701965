// The read side and the times of a connection; the write side is in ServerOutbox.cpp.
#include "ServerConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>

namespace jj::http::detail {

namespace {

    constexpr auto lingerTime = std::chrono::seconds(2);

    using SteadyClock = std::chrono::steady_clock;

    int statusOf(Error error)
    {
        switch (error) {
        case Error::HeaderTooLarge:
            return 431;
        case Error::BodyTooLarge:
            return 413;
        case Error::RequestTooSlow:
            return 408;
        case Error::TooManyConnections:
        case Error::NoBufferSpace:
            return 503;
        default:
            return 400;
        }
    }

    std::string_view codeOf(Error error)
    {
        switch (error) {
        case Error::HeaderTooLarge:
            return "http.HeaderTooLarge";
        case Error::BodyTooLarge:
            return "http.BodyTooLarge";
        case Error::RequestTooSlow:
            return "http.RequestTooSlow";
        case Error::TooManyConnections:
            return "http.TooManyConnections";
        case Error::Truncated:
            return "http.Truncated";
        case Error::ChunkLineTooLong:
            return "http.ChunkLineTooLong";
        case Error::TrailerTooLarge:
            return "http.TrailerTooLarge";
        case Error::NoBufferSpace:
            return "host.NoBufferSpace";
        default:
            return "http.Malformed";
        }
    }

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerShared> shared, tcp::socket socket)
    : shared_(std::move(shared))
    , socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , requestStart_(SteadyClock::now())
    , lastRead_(requestStart_)
    , lastWrite_(requestStart_)
{
    if (!shared_->settings_.budget_)
        return;
    outbox_.hold_ = shared_->settings_.budget_->hold(ByteUse::Answers);
    inputHold_ = shared_->settings_.budget_->hold(ByteUse::Heads);
}

ServerConnection::~ServerConnection()
{
    leaveWaiting();
    const std::lock_guard lock(shared_->mutex_);
    shared_->connections_.erase(this);
}

void ServerConnection::begin()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (shared_->draining_)
        drain();
    if (phase_ == Phase::Closed)
        return;
    joinWaiting();
    armTimer();
    readSome();
}

void ServerConnection::refuse(Error error)
{
    armTimer();
    fail(error);
}

void ServerConnection::drain()
{
    if (phase_ == Phase::Head && !parser_ && !hasUnreadBytes())
        close();
}

bool ServerConnection::hasUnreadBytes() const
{
    error_code error;
    return socket_.available(error) > 0 && !error;
}

bool ServerConnection::hasClientClosed()
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state != TCP_ESTABLISHED;
}

void ServerConnection::drainSoon()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->drain(); });
}

void ServerConnection::closeSoon()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

// A pipelining or uploading client waits beyond it. Requests that are read ahead take no more than half of what heads may take.
std::size_t ServerConnection::bufferLimit() const
{
    constexpr std::size_t minReadAhead = 1024; // enough to see that the client has left
    const ServerLimits& limits = shared_->settings_.limits_;
    const ByteBudget* budget = shared_->settings_.budget_.get();
    if (dropsInput_)
        return readBytes;
    if (isReadingAhead())
        return budget && budget->held(ByteUse::Heads) > budget->headLimit() / 2 ? minReadAhead : readBytes;
    const std::size_t largestElement = std::max(limits.headerBytes_, limits.chunkLineBytes_ + limits.trailerBytes_);
    return largestElement + readBytes;
}

void ServerConnection::readSome()
{
    if (reading_ || phase_ == Phase::Closed || buffer_.size() >= bufferLimit())
        return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) { self->onReadable(error); });
}

// Reads to the stack: a buffer of each connection that waits would exceed what the byte budget counts.
void ServerConnection::onReadable(error_code error)
{
    if (phase_ == Phase::Closed)
        return;
    std::array<char, readBytes> input; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    if (!error)
        socket_.non_blocking(true, error);
    const std::size_t limit = bufferLimit();
    const std::size_t wanted = std::min(readBytes, limit - std::min(limit, buffer_.size()));
    const std::size_t bytes = error || wanted == 0 ? 0 : socket_.read_some(asio::buffer(input.data(), wanted), error);
    reading_ = false;
    if (error == asio::error::would_block)
        return readSome();
    onRead(error, { input.data(), bytes });
}

void ServerConnection::onRead(error_code error, std::string_view data)
{
    if (error)
        return onReadEnd(error);
    lastRead_ = SteadyClock::now();
    if (dropsInput_)
        return discard(data.size());
    if (!takeInput(data))
        return;
    process();
    countInput();
    readSome();
}

// The client sent all that it will send, or is gone. While an answer is under way both mean that nobody waits for it any more.
void ServerConnection::onReadEnd(error_code error)
{
    const bool inMessage = phase_ == Phase::Body || (phase_ == Phase::Head && parser_);
    if (error == asio::error::eof && inMessage)
        return fail(Error::Truncated);
    if (error == asio::error::eof && phase_ == Phase::Handling && bodyStreamed_ && !bodyDone_)
        return failBody(Error::Truncated);
    close();
}

void ServerConnection::process()
{
    bool more = true;
    while (more) {
        switch (phase_) {
        case Phase::Head:
            more = processHead();
            break;
        case Phase::Body:
            more = processBody();
            break;
        case Phase::Handling:
            pumpBody();
            return;
        case Phase::Lingering:
        case Phase::Closed:
            return;
        }
    }
}

bool ServerConnection::processHead()
{
    if (!parser_ && !skipEmptyLines())
        return false;
    if (!parser_) {
        parser_.emplace(shared_->settings_.limits_.headerBytes_, shared_->settings_.limits_.chunkLineBytes_);
        requestStart_ = SteadyClock::now();
        counted_ = true;
        ++shared_->exchanges_;
    }
    error_code error;
    if (!feed(*parser_, buffer_, error)) {
        fail(parseError(error));
        return false;
    }
    if (!parser_->is_header_done())
        return false;

    head_ = parser_->takeHead();
    BodyPlan plan;
    if (shared_->planner_)
        plan = shared_->planner_(head_);
    const std::uint64_t limit = plan.limitBytes_ > 0 ? plan.limitBytes_ : shared_->settings_.limits_.bodyBytes_;
    if (parser_->content_length().value_or(0) > limit) {
        fail(Error::BodyTooLarge);
        return false;
    }
    parser_->body_limit(limit);
    bodyDone_ = parser_->is_done();
    bodyStreamed_ = plan.streamed_;
    // A request without a body needs no room.
    if (!bodyDone_ && !bodyStreamed_ && !fitsBudget(parser_->content_length().value_or(0))) {
        refuseUpload(parser_->content_length().value_or(0));
        return false;
    }
    if (!bodyDone_ && beast::iequals(head_.headers_.find("Expect"), "100-continue")) {
        const std::lock_guard lock(mutex_);
        outbox_.pending_.append("HTTP/1.1 100 Continue\r\n\r\n");
        flushLocked();
    }
    if (bodyDone_ || bodyStreamed_) {
        handle(plan.streamed_);
        return phase_ == Phase::Head;
    }
    phase_ = Phase::Body;
    return true;
}

bool ServerConnection::processBody()
{
    error_code error;
    if (!feed(*parser_, buffer_, error)) {
        fail(parseError(error));
        return false;
    }
    const ServerLimits& limits = shared_->settings_.limits_;
    if (const auto tooLong = checkIncomplete(*parser_, buffer_, limits.chunkLineBytes_, limits.trailerBytes_)) {
        fail(*tooLong);
        return false;
    }
    if (!countBody())
        return false;
    bodyDone_ = parser_->is_done();
    if (!bodyDone_)
        return false;
    handle(false);
    return phase_ == Phase::Head;
}

bool ServerConnection::fitsBudget(std::size_t bytes) const
{
    const std::shared_ptr<ByteBudget>& budget = shared_->settings_.budget_;
    return !budget || budget->hasRoom(ByteUse::Uploads, bytes);
}

// Stalled readers give way to later uploads.
void ServerConnection::refuseUpload(std::size_t bytes)
{
    const ByteBudget& budget = *shared_->settings_.budget_;
    ++shared_->uploadsRefused_;
    if (budget.held(ByteUse::Uploads) + bytes <= budget.limit() / 2)
        relieveBudgetFor(shared_, bytes);
    fail(Error::NoBufferSpace);
}

bool ServerConnection::countBody()
{
    const std::shared_ptr<ByteBudget>& budget = shared_->settings_.budget_;
    if (!budget)
        return true;
    const std::size_t bytes = parser_->body().size();
    if (!fitsBudget(bytes - std::min(bytes, bodyHold_.bytes()))) {
        std::string().swap(parser_->body());
        bodyHold_ = {};
        refuseUpload(bytes);
        return false;
    }
    if (bodyHold_.bytes() == 0)
        bodyHold_ = budget->hold(ByteUse::Uploads);
    bodyHold_.resize(bytes);
    return true;
}

void ServerConnection::beginTurn(bool keepAlive)
{
    leaveWaiting();
    phase_ = Phase::Handling;
    emptyLines_ = 0;
    const std::lock_guard lock(mutex_);
    ++outbox_.turn_;
    outbox_.started_ = false;
    outbox_.ended_ = false;
    outbox_.keepAlive_ = keepAlive;
    outbox_.chunked_ = !parser_ || parser_->version() >= 11;
    outbox_.isHead_ = head_.method_ == "HEAD";
}

void ServerConnection::handle(bool streamed)
{
    beginTurn(parser_->keep_alive());
    const ServerLimits& limits = shared_->settings_.limits_;
    if (limits.connectionsPerRequest_ > 1 && takenConnections(*shared_) > limits.connections_)
        evictLongestWaiting(*shared_);
    RequestHolds holds { {}, std::exchange(bodyHold_, {}) };
    if (shared_->settings_.budget_)
        holds.head_ = shared_->settings_.budget_->hold(ByteUse::Heads);
    holds.head_.resize(headBytes(head_));
    Request request = std::exchange(head_, {});
    request.body_ = std::exchange(parser_->body(), {});
    shared_->handler_(std::make_shared<Exchange>(shared_from_this(), outbox_.turn_, std::move(request), streamed, std::move(holds)));
}

void ServerConnection::readBody(std::uint64_t turn, std::function<void(BodyPiece)> callback)
{
    asio::post(socket_.get_executor(), [self = shared_from_this(), turn, callback = std::move(callback)]() mutable {
        if (turn != self->outbox_.turn_ || self->phase_ != Phase::Handling || !self->bodyStreamed_)
            return callback({ Error::Closed, {}, false });
        self->bodyReader_ = std::move(callback);
        self->lastRead_ = SteadyClock::now();
        self->pumpBody();
        self->readSome();
    });
}

void ServerConnection::pumpBody()
{
    if (!bodyReader_ || !bodyStreamed_)
        return;
    if (bodyError_)
        return deliverPiece({ *bodyError_, {}, false });
    error_code error;
    if (!bodyDone_ && !feed(*parser_, buffer_, error))
        return failBody(parseError(error));
    const ServerLimits& limits = shared_->settings_.limits_;
    if (const auto tooLong = checkIncomplete(*parser_, buffer_, limits.chunkLineBytes_, limits.trailerBytes_))
        return failBody(*tooLong);
    const bool wasDone = bodyDone_;
    bodyDone_ = parser_->is_done();
    std::string data = std::exchange(parser_->body(), {});
    if (!data.empty() || bodyDone_ || wasDone)
        deliverPiece({ {}, std::move(data), bodyDone_ });
}

void ServerConnection::failBody(Error error)
{
    bodyError_ = error;
    {
        const std::lock_guard lock(mutex_);
        outbox_.keepAlive_ = false;
    }
    if (bodyReader_)
        deliverPiece({ error, {}, false });
}

void ServerConnection::deliverPiece(BodyPiece piece)
{
    const auto reader = std::move(bodyReader_);
    bodyReader_ = nullptr;
    reader(std::move(piece));
}

// Answers a request that never reaches the handler.
void ServerConnection::fail(Error error)
{
    beginTurn(false);
    bodyStreamed_ = false;
    dropInput();
    const std::error_code code = error;
    const bool hasFormat = error == Error::NoBufferSpace && shared_->settings_.formatRefusal_;
    respond(outbox_.turn_, hasFormat ? shared_->settings_.formatRefusal_(error) : errorResponse(statusOf(error), codeOf(error), code.message(), RunState::NotRun));
}

// Closing at once with unread input would reset the connection, and the client might lose the answer that it is about to read.
void ServerConnection::linger()
{
    phase_ = Phase::Lingering;
    joinWaiting();
    dropInput();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(lingerTime);
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->close();
    });
    readSome();
}

void ServerConnection::armTimer()
{
    const ServerLimits& limits = shared_->settings_.limits_;
    const Duration shortest = std::min({ limits.idle_, limits.requestTime_, limits.writeTime_ });
    timer_.expires_after(std::clamp<Duration>(shortest / 4, std::chrono::milliseconds(5), std::chrono::seconds(5)));
    timer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->phase_ != Phase::Closed && self->phase_ != Phase::Lingering)
            self->checkTimes();
    });
}

void ServerConnection::checkTimes()
{
    const ServerLimits& limits = shared_->settings_.limits_;
    const auto now = SteadyClock::now();
    const bool inMessage = phase_ == Phase::Body || (phase_ == Phase::Head && parser_);
    if (!inFlight_.empty() && now - lastWrite_ > limits.writeTime_)
        return close();
    // What the client has sent ahead fills the buffer, so that its end isn't read.
    if (phase_ == Phase::Handling && !reading_ && hasClientClosed())
        return close();
    const Duration allowed = phase_ == Phase::Head ? std::min(limits.headTime_, limits.requestTime_) : limits.requestTime_;
    // After a pause of the process the rest may be here.
    if (inMessage && now - requestStart_ > allowed && !hasUnreadBytes())
        fail(Error::RequestTooSlow);
    else if (phase_ == Phase::Head && !parser_ && now - lastRead_ > limits.idle_)
        return close();
    else if (phase_ == Phase::Handling && bodyReader_ && !bodyDone_ && now - lastRead_ > limits.idle_)
        failBody(Error::NoProgress);
    armTimer();
}

} // namespace jj::http::detail
