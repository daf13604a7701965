// One TCP connection to another node: handshake, frames, heartbeats and the bound on silence. Used by PeerLinks only.
//
// Reads and timers run on the connection's strand; send() may be called from any thread. The session is shared by both and
// guarded by mutex_.
#pragma once

#include "PeerLinks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <mutex>

namespace jj {

class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Owner {
        std::function<void(const std::shared_ptr<PeerLink>&, LinkMessage&&)> onMessage_; // the Hello first
        std::function<void(const std::shared_ptr<PeerLink>&, std::error_code)> onClosed_; // once
    };

    PeerLink(Socket socket, LinkSession session, const PeerLinkSettings& settings, Owner owner);

    // The owner forgets a link only by its onClosed_, so a link holds its owner's callbacks for as long as it lives.
    void accept();
    void connect(const PeerAddress& to);
    // Errors: WireError::Oversized, BaseError::Overflow (the queue is full), BaseError::Closed.
    Result<void> send(const LinkMessage& message);
    void close(std::error_code reason);

    // Requests that wait for a handshake which never came: no byte of them was sent. Call it after onClosed_.
    std::vector<AttemptKey> unsentRequests() const;
    WireErrorCounts errors() const;

private:
    void handshake();
    void readSome();
    void onRead(const boost::system::error_code& error, std::size_t bytes);
    // False when the link was closed meanwhile.
    bool takeMessages();
    void onHello();
    Result<void> encodeLocked(const LinkMessage& message);
    void flushLocked();
    void flush();
    void tick();
    void closeNow(std::error_code reason);

    Socket socket_;
    boost::asio::steady_timer timer_;
    PeerLinkSettings settings_;
    Owner owner_;
    std::array<char, 64 * 1024> input_ {};
    std::string inFlight_;
    bool connected_ = false;
    bool closing_ = false; // on the strand
    std::chrono::steady_clock::time_point lastHeard_;
    std::chrono::steady_clock::time_point lastHeartbeat_;
    std::uint64_t heardSequence_ = 0;
    std::uint64_t sentSequence_ = 0;

    mutable std::mutex mutex_; // guards the members below
    LinkSession session_;
    std::deque<LinkMessage> waiting_; // for the peer's Hello
    std::string pending_;
    bool flushing_ = false; // a flush is posted or a write under way
    bool closed_ = false;
};

} // namespace jj
