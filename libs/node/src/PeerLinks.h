// The TCP links of one node to the others: many requests at a time over one link a pair, connected when first needed.
//
//     PeerLinkHandlers handlers { onMessage, onLost };
//     auto links = PeerLinks::create(io, key, { listenAddress, incarnation }, settings, handlers);
//     NodeId home = links.value()->learn(addressOfHome);
//     links.value()->send(home, LinkMessage(start));          // connects if need be; any thread
//
// A link is alive while bytes come: both sides send heartbeats, and a link without a byte for the silence bound is closed, whatever
// the socket says (a connection may have been forgotten by something in between). The next send connects afresh, so a peer that
// lives is reached again at once. Messages of one link arrive in order or not at all; after onLost_ none of the old link comes.
//
// Two nodes that connect to each other at the same moment keep both connections, each sending on its own; losing one closes the other,
// so that either side sees one loss of the pair.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "wire/LinkSession.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace jj {

struct PeerLinkSettings {
    Duration heartbeat_ = std::chrono::milliseconds(250);
    Duration silence_ = std::chrono::seconds(1);
    Duration connect_ = std::chrono::seconds(1); // until the handshake is complete
    std::size_t queueBytes_ = 16 * 1024 * 1024; // not yet taken by the socket; above, send() refuses
    std::size_t waitingMessages_ = 1024; // for a handshake under way
};

struct PeerLinkHandlers {
    // Runs on the link's strand; keep it short.
    std::function<void(NodeId, LinkMessage&&)> onMessage_;
    // The pair is lost. `unsent`: requests of which no byte was sent.
    std::function<void(NodeId, std::error_code, const std::vector<AttemptKey>& unsent)> onLost_;
};

struct PeerIdentity {
    PeerAddress listen_; // port 0: chosen by the system
    Incarnation incarnation_;
};

class PeerLinks {
public:
    // Errors: the system's when the address can't be listened on.
    static Result<std::unique_ptr<PeerLinks>> create(
        boost::asio::io_context& io, const WireKey& key, const PeerIdentity& self, const PeerLinkSettings& settings, PeerLinkHandlers handlers);
    // Closes all links without onLost_. Run the io_context until it is out of work, or destroy it, afterwards.
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    const PeerAddress& local() const;
    NodeId self() const;

    // Where a node listens; needed before the first send to it. Nodes that connected are known.
    NodeId learn(const PeerAddress& address);

    // Errors: BaseError::Closed (unknown node, or the link closed this moment), WireError::Oversized, BaseError::Overflow.
    Result<void> send(NodeId to, const LinkMessage& message);

    void drop(NodeId peer);
    std::size_t openLinks() const;
    std::uint64_t refusedFrames() const; // typed errors of all links so far

private:
    struct Shared;
    explicit PeerLinks(std::shared_ptr<Shared> shared);

    std::shared_ptr<Shared> shared_;
};

} // namespace jj
