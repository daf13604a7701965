// The platform's store as this node reaches it: directly, or through a peer while the store doesn't serve this node.
//
// Failure met: the store turns some hosts away (refusals, resets, silence) and serves the others. A node that waits for it misses
// configurations and engines that leave, and its jobs stand still. It shows as calls of one node failing while its peers' succeed.
// The guard: after a failed call the next ones go through a peer in turn, and now and then one is tried directly again. What the
// call queue does about lost answers holds on both ways, since it reads back what stands.
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
    // A call without an answer for so long counts as lost. The store answers in milliseconds, and in some 250 ms on its slow days.
    Duration answerBound_ = 1200ms;
    // While peers carry the calls, one is tried directly this often.
    Duration directEvery_ = 1s;
    // After this many peers in a row couldn't reach the store either, it is away for everybody, and peers are left alone for
    // peersPause_.
    std::uint32_t peersTried_ = 2;
    Duration peersPause_ = 1500ms;
};

// Calls by verb and kind of object, as in "get jobs".
using StoreCallCounts = std::map<std::string, std::uint64_t>;

struct StoreCounts {
    std::uint64_t direct_ = 0;
    std::uint64_t viaPeers_ = 0;
    std::uint64_t forPeers_ = 0;
    std::uint64_t failed_ = 0;
};

class StoreLink {
public:
    using Completion = std::function<void(ObjectAnswer)>;
    // Has a peer make the call; completes with Unavailable or OutcomeUnknown when none can. False: there is no peer.
    using PeerRoute = std::function<bool(const ObjectCall&, Duration bound, Completion)>;

    StoreLink(boost::asio::io_context& io, const StoreLinkSettings& settings, const Translation& translation, DecisionLog& log, std::uint64_t seed);

    void setPeerRoute(PeerRoute route) { peers_ = std::move(route); }

    // Settled calls: repeated, read back and held to this node's share of the rates.
    void send(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done);
    // One try, now: for calls that are held open, and for peers.
    void once(const ObjectCall& call, Completion done);
    // One try that never goes through a peer.
    void direct(const ObjectCall& call, Completion done);

    void tick(TimePoint now);
    bool hasWork() const { return queue_.waiting() > 0; }
    // No way led to the store lately.
    bool isAway() const { return away_; }
    // The last call of this node's own failed; peers may carry its calls.
    bool isDirectLost() const { return directFails_; }
    // Since when it can be reached again; the start counts too.
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
    std::uint32_t peersFailed_ = 0; // in a row
    TimePoint peersAgainAt_ {};
    bool away_ = false;
    TimePoint backSince_ {};
    bool pumping_ = false;
    StoreCounts counts_;
    StoreCallCounts callCounts_;
};

} // namespace jj
