// One client connection, in the pool or serving one call. Private to this library. Runs on its strand.
#pragma once

#include "Codec.h"
#include "base/Id.h"
#include "http/Client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace jj::http::detail {

using tcp = asio::ip::tcp;

class ClientConnection;

// Identifies the request of a call by a hash of its CallOptions::echoValue_.
using CallIdentity = Id<struct CallIdentityTag>;
// Returns none if the other side's answers don't name their requests.
CallIdentity identityOf(const CallOptions& options);

struct ClientShared {
    ClientShared(asio::io_context& io, ClientSettings settings)
        : io_(io)
        , settings_(std::move(settings))
    {
    }

    asio::io_context& io_;
    ClientSettings settings_;

    mutable std::mutex mutex_; // guards the members below
    bool closed_ = false;
    std::unordered_map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> pool_;
};

enum class Pacing : std::uint8_t {
    Reading,
    Paused, // nothing is read from the other side
    Resuming, // the pause has ended, but the connection hasn't noticed yet
};

struct CallState {
    CallHandlers handlers_;
    CallOptions options_;
    Endpoint endpoint_;
    std::string outboundHead_; // the request line and headers as text
    std::shared_ptr<const std::string> outboundBody_; // null once it has been written
    bool isHead_ = false;
    std::chrono::steady_clock::time_point until_ = std::chrono::steady_clock::time_point::max(); // CallOptions::total_ after its start
    // Invariants: sent_ is set before the first byte is handed to the socket; headSeen_ implies sent_.
    std::atomic<bool> sent_ = false;
    bool headSeen_ = false;
    std::atomic<bool> cancelled_ = false;
    std::atomic<bool> ending_ = false; // the call ends once what its connection has received is delivered
    std::atomic<Pacing> pacing_ = Pacing::Reading;
    std::size_t bodyLimit_ = 0; // of the whole answer; 0: none
    std::size_t bodyBytes_ = 0; // received so far

    std::mutex mutex_; // guards connection_
    std::weak_ptr<ClientConnection> connection_;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(std::shared_ptr<ClientShared> shared, Endpoint endpoint);

    // Any thread.
    void startSoon(std::shared_ptr<CallState> call);
    void cancelSoon(std::shared_ptr<CallState> call);
    void cancelAfterReceivedSoon(std::shared_ptr<CallState> call);
    void resumeSoon(std::shared_ptr<CallState> call);
    void closeSoon();

    // Returns whether one of the last calls of this pooled connection had this identity. ClientShared::mutex_ is held.
    bool hasCarried(CallIdentity identity) const { return std::find(carried_.begin(), carried_.end(), identity) != carried_.end(); }

private:
    void start(std::shared_ptr<CallState> call);
    void noteCarried(CallIdentity identity);
    void connect();
    void send();
    void beginParsing();
    // Returns whether nothing has come on the unused connection, and the other side hasn't closed it.
    bool isQuiet();
    bool isPaused() const { return call_ && call_->pacing_ == Pacing::Paused; }
    void noteResumed();
    void readSome();
    void onReadable(error_code error);
    void onRead(error_code error, std::string_view data);
    void onReadEnd(error_code error);
    void onWritten(error_code error, std::size_t bytes);
    void deliverReceived();
    void linger();
    void dropCall();
    void process();
    bool deliver();
    bool isForeign() const;
    bool readOver();
    void finish(bool reusable, AnswerEnd end);
    bool backToPool();
    void leavePool();
    void fail(Error error);
    void close();

    void expectProgress(Duration bound);
    void armTimer();
    void onTimer();

    std::shared_ptr<ClientShared> shared_;
    Endpoint endpoint_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<ResponseParser> parser_;
    std::uint32_t interimAnswers_ = 0; // of the call
    std::shared_ptr<CallState> call_;
    bool connected_ = false;
    bool connecting_ = false;
    bool closed_ = false;
    bool reading_ = false;
    bool endsAfterRead_ = false; // the pending read has been cancelled, in order to end the call
    bool lingering_ = false; // the call has ended, this direction is closed, and what was on its way is awaited
    bool written_ = false; // the request, whole
    bool writeFailed_ = false; // the connection was reset while the request was being written
    bool endsAfterWrite_ = false; // what was read has ended in order; the write will show whether the connection was reset
    bool isReused_ = false; // it has served a call before
    // Of its last calls, in no order. An answer that comes twice stands where that of one of the next calls is due, so few are enough.
    // Changed only while it isn't in the pool.
    static constexpr std::size_t rememberedCalls = 16;
    std::array<CallIdentity, rememberedCalls> carried_ {};
    std::size_t nextCarried_ = 0; // place in carried_ that is overwritten next
    bool readingOver_ = false; // the answer that is being read belongs to an earlier request
    Duration keepAlive_ = Duration::max(); // as the other side named it
    bool timerArmed_ = false;
    std::chrono::steady_clock::time_point deadline_; // of the state it is in
    std::chrono::steady_clock::time_point armedUntil_;
};

} // namespace jj::http::detail
