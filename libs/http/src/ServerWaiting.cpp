// Bounds what clients hold without sending a whole request: connections, and bytes of input.
//
// Connections that wait stand in one list, the longest first. When there are too many connections, or heads take too many bytes, the first
// ones are evicted. An ordinary client sends its request as soon as it is connected, so it is among the last.
#include "ServerConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace jj::http::detail {

namespace {

    // A quarter of the room for heads is kept for those that are small, so that requests are served while large heads fill the rest.
    std::size_t largeHeadLimit(const ByteBudget& budget) { return budget.headLimit() - budget.headLimit() / 4; }

    void relieveHeads(ServerShared& shared)
    {
        const ByteBudget& budget = *shared.settings_.budget_;
        const std::size_t held = budget.held(ByteUse::Heads);
        std::size_t excess = held - std::min(held, budget.headLimit() / 2);
        const std::lock_guard lock(shared.mutex_);
        for (auto place = shared.waiting_.begin(); place != shared.waiting_.end() && excess > 0;) {
            ServerConnection& connection = **place++;
            const std::size_t bytes = connection.inputBytes();
            if (bytes == 0)
                continue;
            excess -= std::min(excess, bytes);
            connection.evictSoonLocked();
        }
    }

} // namespace

void relieveHeadsSoon(const std::shared_ptr<ServerShared>& shared)
{
    if (shared->isRelievingHeads_.exchange(true))
        return;
    asio::post(shared->io_, [shared] {
        relieveHeads(*shared);
        // Cleared behind the evictions, so that the next look sees what they have freed.
        asio::post(shared->io_, [shared] { shared->isRelievingHeads_ = false; });
    });
}

std::size_t takenConnections(ServerShared& shared)
{
    const std::lock_guard lock(shared.mutex_);
    return shared.connections_.size() + (shared.settings_.limits_.connectionsPerRequest_ - 1) * shared.exchanges_;
}

bool evictLongestWaiting(ServerShared& shared)
{
    const std::lock_guard lock(shared.mutex_);
    if (shared.waiting_.empty())
        return false;
    shared.waiting_.front()->evictSoonLocked();
    return true;
}

void closeUnread(ServerShared& shared, tcp::socket& socket)
{
    error_code ignored;
    ++shared.unadmitted_;
    socket.close(ignored);
}

void ServerConnection::joinWaiting()
{
    const std::lock_guard lock(shared_->mutex_);
    if (isWaiting_)
        return;
    isWaiting_ = true;
    waitingAt_ = shared_->waiting_.insert(shared_->waiting_.end(), this);
}

void ServerConnection::leaveWaiting()
{
    const std::lock_guard lock(shared_->mutex_);
    if (std::exchange(isWaiting_, false))
        shared_->waiting_.erase(waitingAt_);
}

void ServerConnection::evictSoonLocked()
{
    if (std::exchange(isWaiting_, false))
        shared_->waiting_.erase(waitingAt_);
    // Null if the last owner is destroying it now.
    if (auto self = weak_from_this().lock())
        asio::post(socket_.get_executor(), [self = std::move(self)] { self->evict(); });
}

// A connection without a request is left if one has arrived meanwhile: its client would not know whether it runs.
void ServerConnection::evict()
{
    if (phase_ == Phase::Handling || phase_ == Phase::Closed)
        return;
    if (phase_ == Phase::Head && !parser_ && hasUnreadBytes())
        return joinWaiting();
    ++shared_->evicted_;
    close();
}

bool ServerConnection::hasRoomForInput(std::size_t bytes) const
{
    constexpr std::size_t smallHead = 8 * 1024; // bytes as read and as parsed
    const ByteBudget* budget = shared_->settings_.budget_.get();
    if (!budget || phase_ == Phase::Handling)
        return true;
    const std::size_t wanted = phase_ == Phase::Head ? 2 * bytes : bytes; // a parsed head takes at most the bytes that were read
    const bool isSmall = inputBytes_ + wanted <= smallHead;
    const std::size_t held = budget->held(ByteUse::Heads) + wanted;
    if (held > largeHeadLimit(*budget))
        relieveHeadsSoon(shared_);
    return held <= (isSmall ? budget->headLimit() : largeHeadLimit(*budget));
}

bool ServerConnection::takeInput(std::string_view data)
{
    if (!hasRoomForInput(data.size())) {
        ++shared_->headsRefused_;
        fail(Error::NoBufferSpace);
        return false;
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(data.size()), asio::buffer(data)));
    return true;
}

void ServerConnection::countInput()
{
    constexpr std::size_t keptBytes = 2 * 1024;
    if (buffer_.size() == 0 && buffer_.capacity() > keptBytes)
        buffer_.shrink_to_fit();
    const std::size_t bytes = phase_ == Phase::Closed ? 0 : buffer_.capacity() + (parser_ ? parser_->headBytes() : 0) + headBytes(head_);
    inputHold_.resize(bytes);
    inputBytes_ = bytes;
}

void ServerConnection::dropInput()
{
    dropsInput_ = true;
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    parser_.reset();
    head_ = {};
    countInput();
}

void ServerConnection::discard(std::size_t bytes)
{
    const ServerLimits& limits = shared_->settings_.limits_;
    discarded_ += bytes;
    if (discarded_ > limits.headerBytes_ + limits.bodyBytes_)
        return close(); // a client within the limits would have sent all
    readSome();
}

bool ServerConnection::skipEmptyLines()
{
    constexpr std::string_view emptyLine = "\r\n";
    constexpr std::size_t maxEmptyLines = 16; // RFC 9112, 2.2, wants at least one to be ignored
    const auto text = [this] { return std::string_view(static_cast<const char*>(buffer_.data().data()), buffer_.size()); };
    for (; text().starts_with(emptyLine); buffer_.consume(emptyLine.size())) {
        if (++emptyLines_ > maxEmptyLines) {
            fail(Error::Malformed);
            return false;
        }
    }
    return !emptyLine.starts_with(text());
}

} // namespace jj::http::detail
