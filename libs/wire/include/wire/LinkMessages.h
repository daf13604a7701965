// Messages on a TCP link between two nodes: between the entry node that a caller reached and the home node of the engine that
// the request goes to.
//
// Each message about a request carries its AttemptKey, so that an answer to a superseded attempt, or to the process that stood at
// this address before, is known for what it is and dropped.
//
// One request: RequestStart from the entry; StreamHead, StreamData ... and one StreamEnd from the home. The entry may send
// CancelRequest at any time and Credit as it hands bytes on. Texts and bodies over their limit don't encode or decode.
#pragma once

#include "base/Error.h"
#include "base/Id.h"
#include "wire/Key.h"
#include "wire/PeerAddress.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace jj {

constexpr std::uint8_t wireVersion = 1;

constexpr std::size_t maxBodyBytes = 1U << 21; // of a request, and of one StreamData
constexpr std::size_t maxPathBytes = 4096;
constexpr std::size_t maxNameBytes = 256; // idempotency keys, content types, methods, model names

// Numbers on the wire; never reuse one.
enum class LinkType : std::uint8_t {
    Hello = 1,
    Heartbeat = 2,
    RequestStart = 3,
    StreamHead = 4,
    StreamData = 5,
    StreamEnd = 6,
    CancelRequest = 7,
    Credit = 8,
    ConfigRequest = 9,
    ConfigReply = 10,
    JobNotice = 11,
    FingerprintNotice = 12,
};

// One attempt to answer a request.
struct AttemptKey {
    RequestId request_;
    std::uint32_t attempt_ = 0; // grows with each try of the same request
    Incarnation incarnation_; // of the entry node's process

    // clang-tidy 14 takes the comparison with zero inside for a null pointer.
    friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default; // NOLINT(modernize-use-nullptr)
};

// First frame of each side.
struct Hello {
    static constexpr LinkType wireType = LinkType::Hello;

    NodeId node_;
    Incarnation incarnation_;
    PeerAddress endpoint_; // where the sender listens for links and datagrams
    Nonce nonce_ {}; // fresh for each link
};

// Sent by both sides when the link has been idle for the heartbeat period. The echo shows that the other direction lives too.
struct Heartbeat {
    static constexpr LinkType wireType = LinkType::Heartbeat;

    std::uint64_t sequence_ = 0; // grows by one with each heartbeat of this side
    std::uint64_t echo_ = 0; // the highest sequence received on this link, 0 for none
};

enum class TrafficClass : std::uint8_t { Online,
    Batch };

enum class RequestKind : std::uint8_t {
    Completion, // a chat completion on a model engine
    PlainCall, // a call of a plain service: method, path and body are passed on
};

struct RequestStart {
    static constexpr LinkType wireType = LinkType::RequestStart;

    AttemptKey key_;
    UpstreamId upstream_;
    ServiceId service_;
    WorkspaceId workspace_;
    RequestKind kind_ = RequestKind::Completion;
    TrafficClass class_ = TrafficClass::Online;
    bool streamed_ = true; // the caller wants tokens as they come
    bool repeatable_ = true; // may run more than once
    std::uint32_t promptTokens_ = 0;
    std::uint32_t maxTokens_ = 0;
    std::uint64_t resumePosition_ = 0; // tokens that the entry node has already
    Fingerprint fingerprint_;
    PrefixId prefix_;
    std::uint32_t prefixTokens_ = 0;
    RegionId originRegion_;
    JobId job_; // of a batch item
    std::uint32_t startWithinMs_ = 0; // of a batch item: not to be begun later, counted from the send; 0: no bound
    std::int64_t slackMs_ = 0; // of a batch item: time that its job has to spare
    std::uint32_t remainingMs_ = 0; // until the deadline, counted from the send: clocks of two hosts are never compared
    std::uint32_t creditBytes_ = 0; // bytes of answer that the home may send before the first Credit
    std::string method_; // of a plain call
    std::string path_; // of a plain call
    std::string contentType_;
    std::string idempotencyKey_; // empty: none
    std::string body_;
};

// Status line of an answer; before its first StreamData.
struct StreamHead {
    static constexpr LinkType wireType = LinkType::StreamHead;

    AttemptKey key_;
    std::uint16_t status_ = 200;
    std::string contentType_;
};

struct StreamData {
    static constexpr LinkType wireType = LinkType::StreamData;

    AttemptKey key_;
    std::uint64_t position_ = 0; // of the first token (completions) or byte (plain calls) in bytes_
    std::uint32_t count_ = 0; // tokens or bytes in bytes_
    std::string bytes_;
};

enum class Finish : std::uint8_t {
    Complete, // the whole answer was sent
    Cancelled, // by CancelRequest
    Failed, // see failure_
    Moved, // the home hands the request back, to be started at nextHome_ from position_
};

enum class StreamFailure : std::uint8_t {
    None,
    NotHome, // the receiver has no connection to the engine and isn't its home
    QueueFull,
    DeadlineHopeless, // the predicted wait passes the deadline
    DeadlinePassed,
    Quarantined, // the request's content crashed upstreams
    UpstreamRefused, // answered with an error status
    UpstreamLost, // connection lost, or refused
    UpstreamSilent, // connection without progress
    UpstreamLeaving,
    UpstreamUnknown, // not in the configuration in force
    IntentRefused, // may run once only, and its intent could not be recorded
    Superseded, // a later attempt took over
    Internal,
};

struct StreamEnd {
    static constexpr LinkType wireType = LinkType::StreamEnd;

    AttemptKey key_;
    Finish finish_ = Finish::Complete;
    StreamFailure failure_ = StreamFailure::None;
    RunState runState_ = RunState::Ran;
    std::uint16_t status_ = 200; // of the upstream, where it answered
    std::uint32_t retryAfterMs_ = 0; // 0: no advice
    std::uint64_t position_ = 0; // where the answer stands
    NodeId nextHome_; // with Finish::Moved
    UpstreamId failedOn_; // the upstream to leave out next time; none when nothing failed
    std::uint32_t crashes_ = 0; // upstreams that died under this content
};

struct CancelRequest {
    static constexpr LinkType wireType = LinkType::CancelRequest;

    AttemptKey key_;
};

// The receiver of the answer has handed on this many bytes: the home may send as many more.
struct Credit {
    static constexpr LinkType wireType = LinkType::Credit;

    AttemptKey key_;
    std::uint32_t bytes_ = 0;
};

// Asks a peer for the configuration that it applies, so that a change costs the store a few reads and not one a node.
struct ConfigRequest {
    static constexpr LinkType wireType = LinkType::ConfigRequest;

    ConfigVersion version_; // this one or a later one
};

struct ConfigReply {
    static constexpr LinkType wireType = LinkType::ConfigReply;

    ConfigVersion version_; // none: the peer has no version that serves
    std::string value_; // as it stands in the store
};

enum class JobNoticeKind : std::uint8_t {
    Accepted, // a new job is in the store
    Cancel, // the job is cancelled in the store: stop it and say so
    Stopped, // the holder has stopped the job
};

// A hint between nodes about a job; a lost one costs time, never a promise.
struct JobNotice {
    static constexpr LinkType wireType = LinkType::JobNotice;

    JobNoticeKind kind_ = JobNoticeKind::Accepted;
    JobId job_;
    Epoch epoch_; // of the holder that stopped
};

// Content under which upstreams died.
struct FingerprintNotice {
    static constexpr LinkType wireType = LinkType::FingerprintNotice;

    Fingerprint fingerprint_;
    ServiceId service_;
    std::uint32_t crashes_ = 0;
    UpstreamId lastUpstream_;
};

using LinkMessage = std::variant<Hello, Heartbeat, RequestStart, StreamHead, StreamData, StreamEnd, CancelRequest, Credit, ConfigRequest, ConfigReply, JobNotice, FingerprintNotice>;

} // namespace jj
