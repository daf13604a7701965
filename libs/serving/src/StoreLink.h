// Connects this node to the platform's store, either directly or through a peer while the store doesn't answer this node.
//
// The store can refuse, reset or ignore the calls of some hosts while it serves others. A node that waited for it would miss
// configurations and the removal of engines, and its jobs would stall. Therefore after a failed call the next calls go through
// peers in turn, and a direct call is tried periodically. The call queue's handling of lost answers works on both routes, because
// it reads back the stored object.
#pragma once

#include "DecisionLog.h"
#include "http/Client.h"
#include "objects/CallQueue.h"
#include "serving/Translation.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

namespace jj {

struct StoreLinkSettings {
    Endpoint store_;
    CallQueueSettings queue_;
    // A call without an answer for this long counts as lost. The store usually answers within milliseconds, and within some 250 ms
    // when it is slow.
    Duration answerTimeout_ = 1200ms;
    // The longest time from then on until an answer that has begun is complete.
    Duration transferTime_ = 5s;
    // Interval of direct tries while peers carry the calls.
    Duration directRetryInterval_ = 1s;
    // After this many peers in a row couldn't reach the store either, the store counts as unreachable and no peer is tried for
    // peerBackoff_.
    std::uint32_t maxPeerFailures_ = 2;
    Duration peerBackoff_ = 1500ms;
};

// Counts of calls by verb and kind of object, for example "get jobs".
using StoreCallCounts = std::map<std::string, std::uint64_t>;

struct StoreCounts {
    std::uint64_t direct_ = 0;
    std::uint64_t viaPeers_ = 0;
    std::uint64_t forPeers_ = 0; // direct calls made at the request of peers
    std::uint64_t failed_ = 0;
};

class StoreLink {
public:
    using Completion = std::function<void(ObjectAnswer)>;
    // Sends the call through a peer and completes with Unavailable or OutcomeUnknown if that fails. Returns false if there is no
    // peer.
    using PeerRoute = std::function<bool(const ObjectCall&, Duration timeout, Completion)>;

    StoreLink(boost::asio::io_context& io, const StoreLinkSettings& settings, const Translation& translation, DecisionLog& log, std::uint64_t seed);

    void setPeerRoute(PeerRoute route) { peerRoute_ = std::move(route); }

    // Queues a call that is retried, read back after a lost answer and limited to this node's share of the call rate.
    void send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done);
    // Tries a call once, immediately, directly or through a peer. Followers use it for their lists and long-poll calls, and the call
    // queue uses it for each of its tries.
    void once(const ObjectCall& call, Completion done);
    // Tries a call once, never through a peer. Also used for the calls that peers send through this node, so that a call passes
    // through at most one peer.
    void sendDirect(const ObjectCall& call, Completion done);

    void tick(TimePoint now);
    bool hasQueuedCalls() const { return queue_.waiting() > 0; }
    // See CallQueue.
    bool isWriteInDoubt(std::string_view key) const { return queue_.isWriteInDoubt(key); }
    // Returns whether the last tries on all routes failed.
    bool isUnreachable() const { return isUnreachable_; }
    // Returns whether this node's last direct call failed. Peers may still carry its calls.
    bool isDirectFailing() const { return isDirectFailing_; }
    // Returns the time of the store's last recovery, or of this object's construction if there was none.
    TimePoint reachableSince() const { return reachableSince_; }
    const StoreCounts& counts() const { return counts_; }
    const StoreCallCounts& callCounts() const { return callCounts_; }
    void countPeerCall() { ++counts_.forPeers_; }

private:
    // Wraps the completion of a write, so that a success concluded from a read-back is logged.
    SettledCompletion logReadBack(const ObjectCall& call, SettledCompletion done);
    void sendQueuedCalls(TimePoint now);
    void recordOutcome(bool answered, bool wasDirect, const ObjectCall& call, std::error_code error);
    bool shouldSendDirect(const ObjectCall& call, TimePoint now) const;
    Duration timeoutOf(const ObjectCall& call) const;

    StoreLinkSettings settings_;
    const Translation& translation_;
    DecisionLog& log_;
    http::Client client_;
    CallQueue queue_;
    PeerRoute peerRoute_;
    bool isDirectFailing_ = false;
    TimePoint nextDirectTryAt_ {};
    std::uint32_t peerFailures_ = 0; // consecutive failures
    TimePoint nextPeerTryAt_ {};
    bool isUnreachable_ = false;
    TimePoint reachableSince_ {};
    bool isSending_ = false;
    StoreCounts counts_;
    StoreCallCounts callCounts_;
};

} // namespace jj
