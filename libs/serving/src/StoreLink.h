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
    Duration answerBound_ = 1200ms;
    // Interval of direct tries while peers carry the calls.
    Duration directEvery_ = 1s;
    // After this many peers in a row couldn't reach the store either, the store counts as unreachable and no peer is tried for
    // peersPause_.
    std::uint32_t peersTried_ = 2;
    Duration peersPause_ = 1500ms;
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
    using PeerRoute = std::function<bool(const ObjectCall&, Duration bound, Completion)>;

    StoreLink(boost::asio::io_context& io, const StoreLinkSettings& settings, const Translation& translation, DecisionLog& log, std::uint64_t seed);

    void setPeerRoute(PeerRoute route) { peers_ = std::move(route); }

    // Queues a call that is retried, read back after a lost answer and limited to this node's share of the call rate.
    void send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done);
    // Tries a call once, immediately, directly or through a peer. Followers use it for their lists and long-poll calls, and the call
    // queue uses it for each of its tries.
    void once(const ObjectCall& call, Completion done);
    // Tries a call once, never through a peer. Also used for the calls that peers send through this node, so that a call passes
    // through at most one peer.
    void direct(const ObjectCall& call, Completion done);

    void tick(TimePoint now);
    bool hasWork() const { return queue_.waiting() > 0; }
    // Returns whether the last tries on all routes failed.
    bool isAway() const { return away_; }
    // Returns whether this node's last direct call failed. Peers may still carry its calls.
    bool isDirectLost() const { return directFails_; }
    // Returns the time of the store's last recovery, or of this object's construction if there was none.
    TimePoint backSince() const { return backSince_; }
    const StoreCounts& counts() const { return counts_; }
    const StoreCallCounts& callCounts() const { return callCounts_; }
    void countForPeer() { ++counts_.forPeers_; }

private:
    void pump(TimePoint now);
    void learned(bool answered, bool wasDirect, const ObjectCall& call, std::error_code error);
    bool goesDirect(const ObjectCall& call, TimePoint now) const;
    Duration boundOf(const ObjectCall& call) const;

    StoreLinkSettings settings_;
    const Translation& translation_;
    DecisionLog& log_;
    http::Client client_;
    CallQueue queue_;
    PeerRoute peers_;
    bool directFails_ = false;
    TimePoint directAgainAt_ {};
    std::uint32_t peersFailed_ = 0; // consecutive failures
    TimePoint peersAgainAt_ {};
    bool away_ = false;
    TimePoint backSince_ {};
    bool pumping_ = false;
    StoreCounts counts_;
    StoreCallCounts callCounts_;
};

} // namespace jj
