// Everything that a node's decisions ask its host program to do, as one list. Plain values; codable with cereal and Json.h.
// A command is an order without an answer of its own: what came of it returns as an event.
#pragma once

#include "decisions/Events.h"

#include <variant>
#include <vector>

namespace jj {

// ---- entry role

// Hand the request to the home of an engine, which may be this node itself. The home learns HandedOver.
struct SendToHome {
    HandOverId handOver_;
    NodeId home_;
    UpstreamId upstream_;
    // Answer tokens that the caller has already.
    std::uint32_t position_ = 0;
    // Batch only: the time that its job has to spare.
    Duration slack_ = Duration::max();
};
BOOST_DESCRIBE_STRUCT(SendToHome, (), (handOver_, home_, upstream_, position_, slack_))

// Tell the home to drop a request; it learns RequestCancelled.
struct CancelAtHome {
    HandOverId handOver_;
    NodeId home_;
};
BOOST_DESCRIBE_STRUCT(CancelAtHome, (), (handOver_, home_))

// The caller has its whole answer; the node forgets the request.
struct Answer {
    RequestId request_;
};
BOOST_DESCRIBE_STRUCT(Answer, (), (request_))

// Final answer without a result, sent to the caller at once.
struct Refuse {
    RequestId request_;
    RefusalReason reason_ = RefusalReason::None;
    RunState runState_ = RunState::NotRun;
    // When coming back makes sense; zero when it makes none.
    Duration retryAfter_ {};
};
BOOST_DESCRIBE_STRUCT(Refuse, (), (request_, reason_, runState_, retryAfter_))

// ---- home role

// Start an attempt on an upstream. Progress, AttemptFinished or AttemptFailed follow.
struct Dispatch {
    AttemptId attempt_;
    UpstreamId upstream_;
    // Position to resume at; 0 for a fresh run.
    std::uint32_t position_ = 0;
    // The previous attempt's KV state is kept on that upstream; none otherwise. Without it there the stream starts with prompt work.
    UpstreamId kvFrom_;
};
BOOST_DESCRIBE_STRUCT(Dispatch, (), (attempt_, upstream_, position_, kvFrom_))

enum class CancelReason : std::uint8_t {
    Yield, // an online request needs the slot; the request stays queued and resumes
    CallerGone,
    Expired,
    Superseded, // another attempt took its place, or the upstream went silent
};
BOOST_DESCRIBE_ENUM(CancelReason, Yield, CallerGone, Expired, Superseded)

// Stop an attempt. No event follows: the decisions treat it as gone at once and drop what still comes from it.
struct CancelAttempt {
    AttemptId attempt_;
    UpstreamId upstream_;
    CancelReason reason_ = CancelReason::Yield;
    // Export the stream's KV state before it ends, for the attempt that resumes it.
    bool exportKv_ = false;
};
BOOST_DESCRIBE_STRUCT(CancelAttempt, (), (attempt_, upstream_, reason_, exportKv_))

// The home is done with a hand-over; its entry node learns HandedBack.
struct HandBack {
    NodeId entry_;
    HandedBack handedBack_;
};
BOOST_DESCRIBE_STRUCT(HandBack, (), (entry_, handedBack_))

// Check an upstream on a fresh connection (GET /healthz); ProbeEnded follows.
struct ProbeUpstream {
    UpstreamId upstream_;
};
BOOST_DESCRIBE_STRUCT(ProbeUpstream, (), (upstream_))

// ---- both roles, to peers by the membership digest

struct ShareLoad {
    std::vector<HomeLoad> loads_;
};
BOOST_DESCRIBE_STRUCT(ShareLoad, (), (loads_))

struct ShareFingerprint {
    FingerprintLearned fingerprint_;
};
BOOST_DESCRIBE_STRUCT(ShareFingerprint, (), (fingerprint_))

using Command = std::variant<SendToHome, CancelAtHome, Answer, Refuse, Dispatch, CancelAttempt, HandBack, ProbeUpstream, ShareLoad, ShareFingerprint>;

} // namespace jj
