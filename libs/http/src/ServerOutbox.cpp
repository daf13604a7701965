// The write side of a connection: answers are queued under a mutex by any thread and written out on the strand.
#include "ServerConnection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>
#include <vector>

namespace jj::http::detail {

namespace {

    constexpr unsigned httpVersion = 11;

    void appendPlain(std::string& out, std::string_view data)
    {
        reserveFor(out, data.size());
        out.append(data);
    }

    void appendChunk(std::string& out, std::string_view data)
    {
        std::array<char, 16> size {};
        const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
        constexpr std::size_t lineEnds = 4;
        reserveFor(out, static_cast<std::size_t>(end - size.data()) + data.size() + lineEnds);
        out.append(size.data(), end);
        out.append("\r\n");
        out.append(data);
        out.append("\r\n");
    }

} // namespace

void ServerConnection::startLocked(int status, const Headers& headers, const std::string* wholeBody)
{
    beast::http::response<beast::http::empty_body> head;
    head.version(httpVersion);
    head.result(static_cast<unsigned>(status));
    addHeaders(head, headers);
    outbox_.endsWithConnection_ = !wholeBody && !outbox_.chunked_;
    const bool noBody = status == 204 || status == 304;
    // An engine's answer to HEAD has no body here, and the length that it named isn't known any more.
    const bool isLengthKnown = !noBody && wholeBody && (!outbox_.isHead_ || !wholeBody->empty());
    if (wholeBody)
        isLengthKnown ? head.content_length(wholeBody->size()) : void();
    else if (outbox_.chunked_)
        head.chunked(true);
    else
        outbox_.keepAlive_ = false;
    if (shared_->draining_)
        outbox_.keepAlive_ = false;
    if (!outbox_.keepAlive_)
        head.set(beast::http::field::connection, "close");
    outbox_.pending_.append(headText(head));
    if (wholeBody && !noBody && !outbox_.isHead_)
        outbox_.pending_.append(*wholeBody);
    outbox_.started_ = true;
}

void ServerConnection::respond(std::uint64_t turn, const Response& response)
{
    const std::lock_guard lock(mutex_);
    if (!isCurrent(turn) || outbox_.started_)
        return;
    startLocked(response.status_, response.headers_, &response.body_);
    countLocked();
    outbox_.ended_ = true;
    flushLocked();
}

void ServerConnection::start(std::uint64_t turn, int status, const Headers& headers)
{
    const std::lock_guard lock(mutex_);
    if (!isCurrent(turn) || outbox_.started_)
        return;
    startLocked(status, headers, nullptr);
    countLocked();
    flushLocked();
}

void ServerConnection::write(std::uint64_t turn, std::string_view data)
{
    const std::lock_guard lock(mutex_);
    if (!isCurrent(turn) || !outbox_.started_ || data.empty() || outbox_.isHead_)
        return;
    // A reader that doesn't keep up would let the queue grow without bound; it is cut off and sees a truncated answer. With a budget, writers
    // stop at isQueueFull().
    if (!shared_->settings_.budget_ && queuedLocked() > shared_->settings_.limits_.writeQueueBytes_) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
        return;
    }
    if (outbox_.chunked_)
        appendChunk(outbox_.pending_, data);
    else
        appendPlain(outbox_.pending_, data);
    countLocked();
    flushLocked();
}

void ServerConnection::end(std::uint64_t turn)
{
    const std::lock_guard lock(mutex_);
    if (!isCurrent(turn) || !outbox_.started_)
        return;
    if (outbox_.chunked_ && !outbox_.isHead_)
        outbox_.pending_.append("0\r\n\r\n");
    countLocked();
    outbox_.ended_ = true;
    flushLocked();
}

void ServerConnection::abort(std::uint64_t turn)
{
    const std::lock_guard lock(mutex_);
    if (isCurrent(turn))
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

void ServerConnection::dropped(std::uint64_t turn)
{
    bool started = false;
    {
        const std::lock_guard lock(mutex_);
        if (!isCurrent(turn))
            return;
        started = outbox_.started_;
    }
    if (started)
        abort(turn);
    else
        respond(turn, errorResponse(500, "http.NoAnswer", "the request was dropped without an answer", RunState::OutcomeUnknown));
}

std::size_t ServerConnection::queuedBytes(std::uint64_t turn) const
{
    const std::lock_guard lock(mutex_);
    return turn == outbox_.turn_ ? queuedLocked() : 0;
}

std::size_t ServerConnection::fullBytes() const
{
    const std::shared_ptr<ByteBudget>& budget = shared_->settings_.budget_;
    return budget ? budget->share() : shared_->settings_.limits_.writeQueueBytes_ / 2;
}

bool ServerConnection::isQueueFull(std::uint64_t turn) const
{
    const std::lock_guard lock(mutex_);
    return isCurrent(turn) && (queuedLocked() >= fullBytes() || (queuedLocked() > 0 && isBudgetExhausted()));
}

bool ServerConnection::isBudgetExhausted() const
{
    const std::shared_ptr<ByteBudget>& budget = shared_->settings_.budget_;
    return budget && !budget->hasRoom(ByteUse::Answers, spareBytes(*budget));
}

// While the budget is exhausted, a reader gets more only once it has taken everything. Otherwise a thousand stalled readers with a share
// of one event each would hold an event, and the next one in part, beyond the budget.
bool ServerConnection::isWritableLocked() const { return queuedLocked() == 0 || (queuedLocked() < fullBytes() / 2 && !isBudgetExhausted()); }

void ServerConnection::whenWritable(std::uint64_t turn, std::function<void()> callback)
{
    const std::lock_guard lock(mutex_);
    if (!isCurrent(turn) || isWritableLocked())
        return asio::post(socket_.get_executor(), std::move(callback));
    outbox_.onWritable_ = std::move(callback);
    trimBuffer(outbox_.pending_); // nothing is added before the reader has taken some
    countLocked();
}

std::function<void()> ServerConnection::takeWritableLocked()
{
    if (!outbox_.onWritable_ || !isWritableLocked())
        return nullptr;
    return std::exchange(outbox_.onWritable_, nullptr);
}

void ServerConnection::countLocked()
{
    const std::shared_ptr<ByteBudget>& budget = shared_->settings_.budget_;
    if (!budget)
        return;
    // Capacities, because strings that grow have up to twice the memory of their bytes.
    outbox_.hold_.resize((outbox_.pending_.empty() ? 0 : outbox_.pending_.capacity()) + outbox_.inFlight_);
    if (isBudgetExhausted())
        relieveBudgetSoon(shared_);
}

void ServerConnection::whenDrained(std::uint64_t turn, std::function<void()> callback)
{
    const std::lock_guard lock(mutex_);
    if (isCurrent(turn) && outbox_.flushing_)
        outbox_.onDrained_ = std::move(callback);
    else
        asio::post(socket_.get_executor(), std::move(callback));
}

void ServerConnection::onClosed(std::uint64_t turn, std::function<void()> callback)
{
    const std::lock_guard lock(mutex_);
    if (turn != outbox_.turn_ || outbox_.ended_)
        return;
    if (outbox_.closed_)
        asio::post(socket_.get_executor(), std::move(callback));
    else
        outbox_.onClosed_ = std::move(callback);
}

void ServerConnection::flushLocked()
{
    if (outbox_.flushing_ || outbox_.closed_)
        return;
    outbox_.flushing_ = true;
    outbox_.progressAt_ = std::chrono::steady_clock::now();
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
}

void ServerConnection::flush()
{
    std::function<void()> drained;
    std::function<void()> writable;
    bool ended = false;
    {
        const std::lock_guard lock(mutex_);
        outbox_.writing_ = 0;
        outbox_.inFlight_ = 0;
        if (outbox_.closed_)
            return;
        if (outbox_.pending_.empty()) {
            outbox_.flushing_ = false;
            drained = std::move(outbox_.onDrained_);
            outbox_.onDrained_ = nullptr;
            ended = outbox_.ended_;
        } else {
            inFlight_.swap(outbox_.pending_);
            clearBuffer(outbox_.pending_);
            trimBuffer(inFlight_);
            outbox_.writing_ = inFlight_.size();
            outbox_.inFlight_ = inFlight_.capacity();
        }
        countLocked();
        writable = takeWritableLocked();
    }
    if (writable)
        writable();
    if (!inFlight_.empty()) {
        inFlightOffset_ = 0;
        lastWrite_ = std::chrono::steady_clock::now();
        return writeSome();
    }
    if (drained)
        drained();
    if (ended)
        finishTurn();
}

void ServerConnection::writeSome()
{
    kernelQueue_ = shared_->settings_.budget_ ? kernelQueueBytes() : 0;
    const auto rest = asio::buffer(inFlight_.data() + inFlightOffset_, inFlight_.size() - inFlightOffset_);
    socket_.async_write_some(rest, [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (self->phase_ == Phase::Closed) {
            clearBuffer(self->inFlight_);
            return;
        }
        if (error)
            return self->close();
        self->lastWrite_ = std::chrono::steady_clock::now();
        self->inFlightOffset_ += bytes;
        std::function<void()> writable;
        {
            const std::lock_guard lock(self->mutex_);
            self->outbox_.progressAt_ = self->lastWrite_;
            self->outbox_.writing_ -= bytes;
            writable = self->takeWritableLocked();
        }
        if (writable)
            writable();
        if (self->inFlightOffset_ < self->inFlight_.size())
            return self->writeSome();
        clearBuffer(self->inFlight_);
        self->flush();
    });
}

void ServerConnection::finishTurn()
{
    if (phase_ != Phase::Handling)
        return;
    std::function<void()> dropped;
    bool keepAlive = false;
    {
        const std::lock_guard lock(mutex_);
        dropped = std::move(outbox_.onClosed_);
        outbox_.onClosed_ = nullptr;
        keepAlive = outbox_.keepAlive_ && bodyDone_;
        ++outbox_.turn_; // calls of the exchange that has just ended are ignored from here
        outbox_.started_ = false;
        outbox_.ended_ = false;
    }
    bodyError_.reset();
    bodyReader_ = nullptr;
    if (counted_) {
        counted_ = false;
        --shared_->exchanges_;
    }
    parser_.reset();
    bodyHold_ = {};
    shrinkBuffers();
    // What has been read of the next request is answered, because this answer didn't say that the connection closes.
    const bool hasReadMore = buffer_.size() > 0;
    if (!keepAlive || (shared_->draining_ && !hasReadMore))
        return linger();
    phase_ = Phase::Head;
    joinWaiting();
    lastRead_ = std::chrono::steady_clock::now();
    process();
    countInput();
    if (shared_->draining_)
        drain(); // what had been read may have been empty lines
    readSome();
}

void ServerConnection::close()
{
    if (phase_ == Phase::Closed)
        return;
    phase_ = Phase::Closed;
    leaveWaiting();
    std::function<void()> closed;
    std::function<void()> drained;
    std::function<void()> writable;
    bool endsEarly = false;
    {
        const std::lock_guard lock(mutex_);
        endsEarly = outbox_.started_ && outbox_.endsWithConnection_;
        outbox_.closed_ = true;
        clearBuffer(outbox_.pending_);
        closed = std::move(outbox_.onClosed_);
        drained = std::move(outbox_.onDrained_);
        writable = std::move(outbox_.onWritable_);
        outbox_.onClosed_ = nullptr;
        outbox_.onDrained_ = nullptr;
        outbox_.onWritable_ = nullptr;
        outbox_.hold_.resize(0);
    }
    bodyHold_ = {};
    dropInput();
    error_code ignored;
    // An orderly close would be the end of such an answer.
    if (endsEarly)
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    timer_.cancel();
    if (counted_) {
        counted_ = false;
        --shared_->exchanges_;
    }
    if (bodyReader_)
        deliverPiece({ Error::Closed, {}, false });
    if (closed)
        closed();
    if (drained)
        drained();
    if (writable)
        writable();
}

} // namespace jj::http::detail
