// One accepted connection: reads requests, lets the handler answer, watches for the client's leaving. Private to this library.
//
// Everything runs on the connection's strand, but for the outbox, which any thread may write to under its mutex.
#pragma once

#include "Codec.h"
#include "http/Server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace jj::http::detail {

using tcp = asio::ip::tcp;

struct ServerShared {
    ServerShared(asio::io_context& io, ServerSettings settings, Server::Handler handler, Server::BodyPlanner planner)
        : io_(io)
        , acceptor_(io)
        , retry_(io)
        , settings_(std::move(settings))
        , handler_(std::move(handler))
        , planner_(std::move(planner))
        , relief_(io)
    {
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    ServerSettings settings_;
    Server::Handler handler_;
    Server::BodyPlanner planner_;
    Endpoint local_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> exchanges_ = 0;
    std::function<bool()> admits_; // empty: all connections are admitted
    std::atomic<std::uint64_t> unadmitted_ = 0;
    std::atomic<std::uint64_t> readersCutOff_ = 0;
    std::atomic<std::uint64_t> uploadsRefused_ = 0;
    std::atomic<std::uint64_t> headsRefused_ = 0;
    std::atomic<std::uint64_t> evicted_ = 0;
    std::atomic<bool> isRelievingHeads_ = false; // a look for heads to evict is posted
    std::atomic<bool> isRelieving_ = false; // the budget is exhausted, and stalled readers are looked for
    asio::steady_timer relief_; // used by whoever has set isRelieving_

    mutable std::mutex mutex_; // guards the members below
    std::size_t wantedBytes_ = 0; // of the upload that was refused last
    std::chrono::steady_clock::time_point wantedUntil_ {};
    std::unordered_map<const void*, std::weak_ptr<ServerConnection>> connections_;
    // Connections that wait for a whole request or for their client to close, the longest first. A connection that is being evicted isn't here.
    std::list<ServerConnection*> waiting_;
    std::chrono::steady_clock::time_point cutOffAllowedAt_ {}; // of stalled readers, for want of connections
};

// With less room, paused engines stay paused: one piece of an engine's answer. Smaller budgets exist in tests alone.
inline std::size_t spareBytes(const ByteBudget& budget) { return std::min<std::size_t>(std::size_t { 16 } * 1024, budget.limit() / 8); }

// Clears `text`. A large capacity is freed, because it isn't counted by the byte budget.
inline void clearBuffer(std::string& text)
{
    constexpr std::size_t keptBytes = std::size_t { 2 } * 1024;
    text.clear();
    if (text.capacity() > keptBytes)
        std::string().swap(text);
}

// Frees capacity that `text` doesn't use, if it is large enough to matter.
inline void trimBuffer(std::string& text)
{
    constexpr std::size_t keptSlack = std::size_t { 4 } * 1024;
    if (text.capacity() - text.size() > keptSlack)
        text.shrink_to_fit();
}

// Looks for stalled readers to cut off, now and again until the byte budget has room. Any thread, also under a connection's lock.
void relieveBudgetSoon(const std::shared_ptr<ServerShared>& shared);
// The same, until there is room for an upload of so many bytes or the stall time is over.
void relieveBudgetFor(const std::shared_ptr<ServerShared>& shared, std::size_t uploadBytes);

// Evicts connections that wait for the rest of a head, the longest first, until heads take half of their limit. Any thread.
void relieveHeadsSoon(const std::shared_ptr<ServerShared>& shared);
// Returns how many connections are taken, in the measure of ServerLimits::connections_. Any thread.
std::size_t takenConnections(ServerShared& shared);
// Evicts the connection that waits for a whole request for longest. Returns false if none waits. Any thread.
bool evictLongestWaiting(ServerShared& shared);
// Closes a connection of which nothing has been read, so that its client can try another server at once.
void closeUnread(ServerShared& shared, tcp::socket& socket);
// Cuts off so many stalled readers at most, the longest first; does nothing if it has done so a moment ago. Any thread.
void cutOffStalledReaders(ServerShared& shared, std::size_t count);

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<ServerShared> shared, tcp::socket socket);
    ~ServerConnection();

    void begin();
    void refuse(Error error);
    // Closes when no request is under way; else after the answer.
    void drain();
    void close();
    // The same from any thread.
    void drainSoon();
    void closeSoon();

    // Calls of the Exchange; any thread. A call of an earlier turn is ignored.
    void respond(std::uint64_t turn, const Response& response);
    void start(std::uint64_t turn, int status, const Headers& headers);
    void write(std::uint64_t turn, std::string_view data);
    void end(std::uint64_t turn);
    void abort(std::uint64_t turn);
    void dropped(std::uint64_t turn);
    std::size_t queuedBytes(std::uint64_t turn) const;
    void whenDrained(std::uint64_t turn, std::function<void()> callback);
    bool isQueueFull(std::uint64_t turn) const;
    void whenWritable(std::uint64_t turn, std::function<void()> callback);
    bool wasCutOff() const { return isCutOff_; }
    // Returns since when the client has taken no byte although some are queued; nullopt if nothing is queued.
    std::optional<std::chrono::steady_clock::time_point> stalledSince() const;
    std::size_t heldBytes() const;
    // Closes the connection if its reader has taken no byte for ServerLimits::stallTime_. Any thread.
    void cutOffIfStalledSoon();
    // Closes the connection unless it is at work on a request by then. ServerShared::mutex_ is held.
    void evictSoonLocked();
    // Returns the bytes of input that it holds. Any thread.
    std::size_t inputBytes() const { return inputBytes_; }
    void onClosed(std::uint64_t turn, std::function<void()> callback);
    void readBody(std::uint64_t turn, std::function<void(BodyPiece)> callback);

private:
    enum class Phase : std::uint8_t {
        Head,
        Body,
        Handling,
        Lingering, // answered and shut down; reads until the client has seen it
        Closed,
    };

    // What is written out. Guarded by mutex_.
    struct Outbox {
        std::uint64_t turn_ = 0;
        bool started_ = false;
        bool ended_ = false;
        bool chunked_ = false;
        bool isHead_ = false; // the request's method is HEAD: its answer has no body
        bool endsWithConnection_ = false; // the answer has neither a length nor chunks
        bool closed_ = false;
        bool keepAlive_ = false;
        bool flushing_ = false; // a flush is posted or a write is under way; it looks at pending_ again when it ends
        std::string pending_;
        std::size_t writing_ = 0; // bytes handed to the socket and not yet taken
        std::size_t inFlight_ = 0; // size of the buffer that holds them
        std::chrono::steady_clock::time_point progressAt_ {}; // when the socket last took bytes, or the queue was last empty
        ByteHold hold_; // of pending_ and the buffer that is being written
        std::function<void()> onClosed_;
        std::function<void()> onDrained_;
        std::function<void()> onWritable_;
    };

    bool isCurrent(std::uint64_t turn) const { return turn == outbox_.turn_ && !outbox_.closed_ && !outbox_.ended_; }
    void startLocked(int status, const Headers& headers, const std::string* wholeBody);
    std::size_t queuedLocked() const { return outbox_.pending_.size() + outbox_.writing_; }
    std::size_t fullBytes() const;
    bool isBudgetExhausted() const;
    bool isWritableLocked() const;
    // Accounts for the bytes that the outbox holds.
    void countLocked();
    void cutOffIfStalled();
    // Returns the bytes that the kernel has taken and the reader hasn't.
    std::size_t kernelQueueBytes();
    // Returns the callback that is due because the queue is short again, or null.
    std::function<void()> takeWritableLocked();
    void flushLocked();
    void flush();
    void writeSome();
    void finishTurn();
    // Frees what the buffers keep after large messages, because idle connections may be many.
    void shrinkBuffers();

    // Enters or leaves ServerShared::waiting_.
    void joinWaiting();
    void leaveWaiting();
    void evict();
    // Takes what was read into the buffer. Returns false if there is no room for it, and the request has been refused.
    bool takeInput(std::string_view data);
    bool hasRoomForInput(std::size_t bytes) const;
    // Accounts for the memory of the input: the buffer, and the head that is being read.
    void countInput();
    // Frees the input; what comes from now on is read and dropped.
    void dropInput();
    void discard(std::size_t bytes);
    // Returns false if no request may begin: there is nothing but empty lines, or too many of them and the connection is refused.
    bool skipEmptyLines();

    // Whether the kernel holds bytes that this process hasn't read yet.
    bool hasUnreadBytes() const;
    // Whether the client has closed its side, also if bytes before that wait to be read.
    bool hasClientClosed();
    // Returns how much may be read before the handler or the parser takes it.
    std::size_t bufferLimit() const;
    // Returns whether what comes is part of the next request.
    bool isReadingAhead() const { return phase_ == Phase::Handling && (!bodyStreamed_ || bodyDone_); }
    void readSome();
    void onReadable(error_code error);
    void onRead(error_code error, std::string_view data);
    void onReadEnd(error_code error);
    void process();
    bool processHead();
    bool processBody();
    void beginTurn(bool keepAlive);
    void handle(bool streamed);
    void pumpBody();
    // Accounts for the body that has been read. Returns false if it doesn't fit, and the request has been refused.
    bool countBody();
    bool fitsBudget(std::size_t bytes) const;
    void refuseUpload(std::size_t bytes);
    void failBody(Error error);
    void deliverPiece(BodyPiece piece);
    void fail(Error error);
    void linger();

    void armTimer();
    void checkTimes();

    std::shared_ptr<ServerShared> shared_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    // Where the socket reads to. Not buffer_ itself: the handler may pull body out of that while a read is under way, which moves
    // its start, and the bytes that then arrive would be lost and older ones be seen twice.
    static constexpr std::size_t readBytes = 16 * 1024;
    std::optional<RequestParser> parser_;
    std::size_t emptyLines_ = 0; // before the request that is awaited
    bool dropsInput_ = false; // the client has been refused, or the last answer of the connection is written
    std::size_t discarded_ = 0; // bytes that were dropped
    ByteHold inputHold_; // of the buffer and the head that is being read
    std::atomic<std::size_t> inputBytes_ = 0; // those of inputHold_
    ByteHold bodyHold_; // of the body that is being read
    bool isWaiting_ = false; // it stands in ServerShared::waiting_, whose mutex guards this
    std::list<ServerConnection*>::iterator waitingAt_; // if isWaiting_; guarded as above
    std::atomic<bool> isCutOff_ = false;
    Request head_; // of the request that is being read; its body is empty
    Phase phase_ = Phase::Head;
    bool reading_ = false;
    bool bodyDone_ = false;
    bool bodyStreamed_ = false;
    bool counted_ = false; // its request stands in shared_->exchanges_
    std::optional<Error> bodyError_; // met before the handler asked for the next piece
    std::function<void(BodyPiece)> bodyReader_;
    std::string inFlight_;
    std::size_t inFlightOffset_ = 0;
    std::size_t kernelQueue_ = 0; // kernelQueueBytes() when the pending write began, or at the last progress seen since
    std::chrono::steady_clock::time_point requestStart_;
    std::chrono::steady_clock::time_point lastRead_;
    std::chrono::steady_clock::time_point lastWrite_;

    mutable std::mutex mutex_; // guards outbox_
    Outbox outbox_;
};

} // namespace jj::http::detail
