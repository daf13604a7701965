// The read side of a client connection: which bytes belong to the call that it serves, and what they mean.
#include "ClientConnection.h"

#include "base/Number.h"

#include <algorithm>
#include <array>
#include <utility>

namespace jj::http::detail {

namespace {

    constexpr std::size_t readBytes = 16 * 1024;
    // At a time while the byte budget is exhausted: what comes of the next event with the end of one is held until the stream goes on.
    constexpr std::size_t smallReadBytes = 4 * 1024;
    constexpr std::size_t keptBytes = 2 * 1024; // of an empty buffer; most events are smaller

    // A request that is sent just when the other side closes an idle connection is lost, and nobody can tell whether it ran. So
    // this side closes first: a second sooner than named, which is more than any delay on the way.
    constexpr Duration keepAliveMargin = std::chrono::seconds(1);

    constexpr Duration minKeepAlive = std::chrono::milliseconds(100);

    // A time that can't be read may be a short one.
    Duration keepAliveOf(const Headers& headers)
    {
        constexpr std::string_view key = "timeout=";
        const std::string_view value = headers.find("Keep-Alive");
        const std::size_t place = value.find(key);
        if (place == std::string_view::npos)
            return Duration::max();
        const std::string_view digits = value.substr(place + key.size());
        const auto seconds = parseNumber<std::int32_t>(digits.substr(0, digits.find_first_of(", ;")));
        return std::max<Duration>(std::chrono::seconds(seconds.value_or(0)) - keepAliveMargin, minKeepAlive);
    }

} // namespace

void ClientConnection::readSome()
{
    if (reading_ || closed_)
        return;
    // The buffer isn't counted by the byte budget.
    if (isPaused() || (buffer_.size() == 0 && buffer_.capacity() > keptBytes))
        buffer_.shrink_to_fit();
    if (isPaused())
        return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) { self->onReadable(error); });
}

// Reads to the stack, as the server does: a thousand answers under way would otherwise hold a buffer each while they wait.
void ClientConnection::onReadable(error_code error)
{
    reading_ = false;
    if (closed_)
        return;
    if (std::exchange(endsAfterRead_, false) && call_)
        return deliverReceived();
    if (isPaused())
        return readSome();
    std::array<char, readBytes> input; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by the read
    if (!error && !socket_.non_blocking())
        socket_.non_blocking(true, error);
    const auto& budget = shared_->settings_.budget_;
    const bool isExhausted = budget && !budget->hasRoom(ByteUse::Answers, readBytes);
    const std::size_t bytes = error ? 0 : socket_.read_some(asio::buffer(input.data(), isExhausted ? smallReadBytes : readBytes), error);
    if (error == asio::error::would_block)
        return readSome();
    onRead(error, { input.data(), bytes });
}

void ClientConnection::onRead(error_code error, std::string_view data)
{
    if (error)
        return onReadEnd(error);
    buffer_.commit(asio::buffer_copy(buffer_.prepare(data.size()), asio::buffer(data)));
    if (!call_)
        return close(); // bytes that nobody asked for: not a connection to trust with the next call
    if (!lingering_)
        expectProgress(call_->options_.idle_);
    process();
    readSome();
}

// Reads without waiting. The answer may end meanwhile, and the connection then serves other calls. Reads no more than had arrived at the
// beginning: a peer that sends faster than this side reads would hold the thread for ever.
void ClientConnection::deliverReceived()
{
    const std::shared_ptr<CallState> call = call_;
    process();
    error_code error;
    std::size_t arrived = socket_.available(error);
    socket_.non_blocking(true, error);
    while (call_ == call && !error) {
        const std::size_t bytes = socket_.read_some(buffer_.prepare(readBytes), error);
        buffer_.commit(bytes);
        process();
        if (bytes >= arrived)
            break;
        arrived -= bytes;
    }
    if (call_ != call)
        return;
    if (error == asio::error::eof)
        return onReadEnd(error);
    !error || error == asio::error::would_block ? linger() : dropCall();
}

// The other side sees the end by this direction's close. What it had sent before is still delivered.
void ClientConnection::linger()
{
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    if (error)
        return dropCall();
    lingering_ = true;
    call_->pacing_ = Pacing::Reading;
    expectProgress(shared_->settings_.cancelLinger_);
    readSome();
}

void ClientConnection::onReadEnd(error_code error)
{
    if (!call_)
        return close();
    if (error != asio::error::eof || !parser_->is_header_done() || readingOver_ || writeFailed_)
        return fail(call_->headSeen_ ? Error::Truncated : Error::Closed);
    // The kernel reports a reset once. If the write gets it, the read sees an orderly end.
    endsAfterWrite_ = !written_;
    if (endsAfterWrite_)
        return;
    error_code ended;
    parser_->put_eof(ended);
    if (ended || !parser_->is_done())
        return fail(Error::Truncated);
    finish(false, AnswerEnd::ConnectionClosed);
}

void ClientConnection::process()
{
    while (call_ && buffer_.size() > 0) {
        error_code error;
        const std::size_t before = buffer_.size();
        const bool hadHead = parser_->is_header_done();
        if (!feed(*parser_, buffer_, error))
            return fail(parseError(error));
        if (!parser_->is_header_done())
            return;
        // feed() stops after the head, so what remains then is not an incomplete element but whole chunks.
        const auto tooLong = hadHead ? checkIncomplete(*parser_, buffer_, shared_->settings_.chunkLineBytes_, shared_->settings_.trailerBytes_) : std::nullopt;
        if (tooLong)
            return fail(*tooLong);
        if (isInterim(parser_->status())) {
            if (++interimAnswers_ > shared_->settings_.interimAnswers_)
                return fail(Error::TooManyInterimAnswers);
            beginParsing();
            continue;
        }
        if (isForeign()) {
            if (!readOver() || buffer_.size() == before)
                return;
            continue;
        }
        if (!deliver())
            return;
        if (parser_->is_done())
            return finish(parser_->keep_alive() && written_ && buffer_.size() == 0, AnswerEnd::Framed);
        if (buffer_.size() == before)
            return; // a part of a chunk's head: the rest comes with the next read
    }
}

// Failure met: an engine answers a request twice, and the second answer arrives when the next request of the connection waits. Handed
// on, a caller would get another caller's bytes. Answers name the request that they belong to, so the wrong one shows in its head.
// One that names none may be what the engine sent beyond an earlier answer of the connection.
bool ClientConnection::isForeign() const
{
    if (readingOver_)
        return true;
    if (call_->headSeen_ || call_->options_.echoName_.empty())
        return false;
    const std::string_view name = call_->options_.echoName_;
    return parser_->headers().has(name) ? parser_->headers().find(name) != call_->options_.echoValue_ : isReused_;
}

// Drops what was parsed of a foreign answer; false when it was its connection's last, and the call has failed.
bool ClientConnection::readOver()
{
    readingOver_ = true;
    parser_->body().clear();
    if (!parser_->is_done())
        return true;
    readingOver_ = false;
    const bool mayFollow = parser_->keep_alive();
    beginParsing();
    if (!mayFollow)
        fail(Error::Closed);
    return mayFollow;
}

// Hands on what was parsed; false when a callback cancelled the call, or when it has failed.
bool ClientConnection::deliver()
{
    const std::shared_ptr<CallState> call = call_;
    if (!call->headSeen_) {
        call->headSeen_ = true;
        keepAlive_ = keepAliveOf(parser_->headers());
        if (call->handlers_.onHead_)
            call->handlers_.onHead_({ parser_->status(), parser_->headers(), isReused_ });
    }
    if (!parser_->body().empty() && !call->cancelled_) {
        const std::string data = std::exchange(parser_->body(), {});
        call->bodyBytes_ += data.size();
        if (call->bodyLimit_ > 0 && call->bodyBytes_ > call->bodyLimit_) {
            fail(Error::AnswerTooLarge);
            return false;
        }
        if (call->handlers_.onData_)
            call->handlers_.onData_(data);
    }
    return !call->cancelled_;
}

} // namespace jj::http::detail
