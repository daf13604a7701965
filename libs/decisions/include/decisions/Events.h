// Everything that a node's decisions learn, as one list. Plain values; each is codable with cereal and with Json.h.
//
// A node plays two roles in one core. As entry it admits the requests of its callers, picks the engine and hands them to the
// engine's home. As home it queues and dispatches the requests of its engines. A request whose home is the entry node itself
// takes the same path: SendToHome names the node's own id and the host program feeds HandedOver back into the same core.
#pragma once

#include "base/Error.h"
#include "decisions/Request.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace jj {

BOOST_DESCRIBE_ENUM(RunState, NotRun, Ran, OutcomeUnknown)

// ---- entry role

// A caller's request, or an item that a job's worker wants run. Answered by exactly one Answer or Refuse.
struct RequestArrived {
    RequestSpec spec_;
};
BOOST_DESCRIBE_STRUCT(RequestArrived, (), (spec_))

// The caller went away, or its job was cancelled. At the entry and, passed on by CancelAtHome, at the home.
struct RequestCancelled {
    RequestId request_;
};
BOOST_DESCRIBE_STRUCT(RequestCancelled, (), (request_))

// Why a request gets no (further) answer. Each is final for the caller; RefusalReason with NotRun may be sent again by it.
enum class RefusalReason : std::uint8_t {
    None,
    DeadlineUnreachable, // the predicted wait passes the deadline
    Expired, // its deadline passed while it waited
    QueueFull, // bounds on items or bytes
    NoUpstream, // none that serves: gone, leaving, suspect or unreachable region
    RetriesExhausted, // budget spent or attempts used up
    Quarantined, // its content crashed upstreams before
    OutcomeUnknown, // may have run and must not run again
    UpstreamError, // the upstream answered with an error of its own
    HomeLost, // home silent and the answer had begun
    Cancelled,
};
BOOST_DESCRIBE_ENUM(RefusalReason, None, DeadlineUnreachable, Expired, QueueFull, NoUpstream, RetriesExhausted, Quarantined, OutcomeUnknown, UpstreamError, HomeLost, Cancelled)

// What a home says when it is done with a hand-over: the command HandBack of the home, as the entry learns it.
enum class HandOverOutcome : std::uint8_t {
    Answered, // whole answer delivered
    Refused, // final; reason_ and runState_ say why
    Returned, // not run here, the entry may try elsewhere
};
BOOST_DESCRIBE_ENUM(HandOverOutcome, Answered, Refused, Returned)

struct HandedBack {
    HandOverId handOver_;
    HandOverOutcome outcome_ = HandOverOutcome::Answered;
    RefusalReason reason_ = RefusalReason::None;
    RunState runState_ = RunState::Ran;
    Duration retryAfter_ {};
    // Answer tokens that the caller has, for the run that goes on elsewhere.
    std::uint32_t position_ = 0;
    // The upstream that an attempt failed on, which is left out next time; none when nothing failed. Costs a retry.
    UpstreamId failedOn_;
    // Upstreams that crashed while they ran this content; above 0 the request is a suspect and runs alone among suspects.
    std::uint32_t crashes_ = 0;
};
BOOST_DESCRIBE_STRUCT(HandedBack, (), (handOver_, outcome_, reason_, runState_, retryAfter_, position_, failedOn_, crashes_))

// The link to the home broke, or the home was silent past its heartbeat bound, with this hand-over open.
struct HomeLost {
    HandOverId handOver_;
    // Answer tokens that reached the caller so far; a resumable request goes on behind them.
    std::uint32_t position_ = 0;
    // False only when no byte of the request can have reached the home.
    bool sent_ = true;
};
BOOST_DESCRIBE_STRUCT(HomeLost, (), (handOver_, position_, sent_))

// ---- home role

// A request that an entry node handed to this home for one of its engines.
struct HandedOver {
    RequestSpec spec_;
    std::uint32_t number_ = 0;
    NodeId entry_;
    UpstreamId upstream_;
    // Tokens of the answer that the caller has already; the run starts behind them.
    std::uint32_t position_ = 0;
    // Batch only: the time that its job has to spare; below 0 it gets the guaranteed share.
    Duration slack_ = Duration::max();
};
BOOST_DESCRIBE_STRUCT(HandedOver, (), (spec_, number_, entry_, upstream_, position_, slack_))

// Progress of running attempts, batched: the host program reports at most once a few milliseconds.
struct AttemptProgress {
    AttemptId attempt_;
    // Tokens of the answer that have come, over all attempts of the request; 0 on a first byte without a token.
    std::uint32_t position_ = 0;
};
BOOST_DESCRIBE_STRUCT(AttemptProgress, (), (attempt_, position_))

struct AttemptsProgressed {
    std::vector<AttemptProgress> progress_;
};
BOOST_DESCRIBE_STRUCT(AttemptsProgressed, (), (progress_))

struct AttemptFinished {
    AttemptId attempt_;
    std::uint32_t position_ = 0;
};
BOOST_DESCRIBE_STRUCT(AttemptFinished, (), (attempt_, position_))

enum class FailureClass : std::uint8_t {
    Connect, // no connection: no byte was sent
    Overloaded, // upstream refused it (429, 503): not run
    Rejected, // upstream answered with an error of the request itself (4xx): final
    ServerError, // upstream answered with an error of its own (5xx)
    Disconnected, // connection lost with the attempt in flight
    Crashed, // connection lost and a new one to the same upstream was refused: its process died with the attempt in flight
    Silent, // no progress within the bound
    Lapsed, // the time in which it was allowed to begin was over before it was sent; the upstream had no part in it
};
BOOST_DESCRIBE_ENUM(FailureClass, Connect, Overloaded, Rejected, ServerError, Disconnected, Crashed, Silent, Lapsed)

struct AttemptFailed {
    AttemptId attempt_;
    FailureClass class_ = FailureClass::Disconnected;
    // True when any byte of the request can have reached the upstream.
    bool bytesSent_ = true;
    std::uint32_t position_ = 0;
};
BOOST_DESCRIBE_STRUCT(AttemptFailed, (), (attempt_, class_, bytesSent_, position_))

// Answer to ProbeUpstream.
struct ProbeEnded {
    UpstreamId upstream_;
    bool healthy_ = false;
};
BOOST_DESCRIBE_STRUCT(ProbeEnded, (), (upstream_, healthy_))

// ---- both roles

enum class UpstreamKind : std::uint8_t {
    Engine, // streams tokens, batches continuously
    Plain, // one answer a call
};
BOOST_DESCRIBE_ENUM(UpstreamKind, Engine, Plain)

enum class UpstreamState : std::uint8_t {
    Serving,
    Leaving, // finishes what it has, gets nothing new
    Gone,
};
BOOST_DESCRIBE_ENUM(UpstreamState, Serving, Leaving, Gone)

// An upstream was added, changed its state or its role.
struct UpstreamChanged {
    UpstreamId upstream_;
    ServiceId service_;
    RegionId region_;
    FailureDomainId failureDomain_;
    UpstreamKind kind_ = UpstreamKind::Engine;
    UpstreamState state_ = UpstreamState::Serving;
    // Streams that it runs at once; 0 when not known (then the service's policy gives it).
    std::uint32_t slots_ = 0;
    std::uint32_t kvTokens_ = 0;
    // Whether it resumes a stream at a position and exports KV state.
    bool resumes_ = true;
    bool exportsKv_ = false;
};
BOOST_DESCRIBE_STRUCT(UpstreamChanged, (), (upstream_, service_, region_, failureDomain_, kind_, state_, slots_, kvTokens_, resumes_, exportsKv_))

// An engine's own report of its load, as it was some time ago.
struct EngineReported {
    UpstreamId upstream_;
    // When the report was true, on this node's clock.
    TimePoint at_ {};
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint32_t kvUsed_ = 0;
    std::uint32_t kvTotal_ = 0;
    double stepMilliseconds_ = 0;
    bool leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(EngineReported, (), (upstream_, at_, running_, waiting_, kvUsed_, kvTotal_, stepMilliseconds_, leaving_))

struct PrefixChange {
    PrefixId prefix_;
    bool stored_ = true;
};
BOOST_DESCRIBE_STRUCT(PrefixChange, (), (prefix_, stored_))

// Late and with gaps: a hint, never a fact.
struct CacheChanged {
    UpstreamId upstream_;
    std::vector<PrefixChange> changes_;
};
BOOST_DESCRIBE_STRUCT(CacheChanged, (), (upstream_, changes_))

// What a home knows of one of its engines; carried by the digest and with each HandBack. Command ShareLoad of the home.
struct HomeLoad {
    UpstreamId upstream_;
    NodeId home_;
    // Grows with each report of one home's run, so that a crossed one is dropped.
    std::uint64_t sequence_ = 0;
    std::uint32_t onlineRunning_ = 0;
    std::uint32_t onlineWaiting_ = 0;
    std::uint32_t batchRunning_ = 0;
    std::uint32_t batchWaiting_ = 0;
    // Streams that the engine may run at once, and batch items that the home would take now.
    std::uint32_t slots_ = 0;
    std::uint32_t batchRoom_ = 0;
    // Expected wait of an online request that arrives now, until its prompt's work starts: behind all that wait, and, since the
    // queue is fair, for a workspace that has nothing waiting.
    Duration onlineWait_ {};
    Duration freshWait_ {};
    Duration step_ {};
    bool suspect_ = false;
};
BOOST_DESCRIBE_STRUCT(HomeLoad, (), (upstream_, home_, sequence_, onlineRunning_, onlineWaiting_, batchRunning_, batchWaiting_, slots_, batchRoom_, onlineWait_, freshWait_, step_, suspect_))

struct HomeReported {
    std::vector<HomeLoad> loads_;
};
BOOST_DESCRIBE_STRUCT(HomeReported, (), (loads_))

enum class NodeState : std::uint8_t {
    Live,
    Leaving,
    Gone,
};
BOOST_DESCRIBE_ENUM(NodeState, Live, Leaving, Gone)

// A node of the fleet, this node included; from membership. Homes follow from the live nodes (rendezvous hashing).
struct NodeChanged {
    NodeId node_;
    RegionId region_;
    NodeState state_ = NodeState::Live;
};
BOOST_DESCRIBE_STRUCT(NodeChanged, (), (node_, region_, state_))

// The link from this node's region to another one.
struct LinkChanged {
    RegionId region_;
    bool up_ = true;
    // This node's share of the link, and the one-way delay.
    std::uint64_t bytesPerSecond_ = 0;
    Duration delay_ {};
};
BOOST_DESCRIBE_STRUCT(LinkChanged, (), (region_, up_, bytesPerSecond_, delay_))

// A request content that crashed upstreams, learned from a peer (its ShareFingerprint).
struct FingerprintLearned {
    Fingerprint fingerprint_;
    ServiceId service_;
    std::uint32_t crashes_ = 0;
    UpstreamId lastUpstream_;
};
BOOST_DESCRIBE_STRUCT(FingerprintLearned, (), (fingerprint_, service_, crashes_, lastUpstream_))

// What operators set for one service.
struct ServicePolicy {
    ServiceId service_;
    UpstreamKind kind_ = UpstreamKind::Engine;
    // 0 = only batch throughput counts, 1 = only the online tail counts.
    double latencyWeight_ = 0.5;
    // Bounds on time to first token and on time between tokens; the latter rules batch concurrency.
    Duration firstTokenBound_ = std::chrono::milliseconds(800);
    Duration betweenTokensBound_ = std::chrono::milliseconds(50);
    // Streams an engine runs when it doesn't say itself.
    std::uint32_t slots_ = 96;
    // Bounds of one engine's queue at its home.
    std::uint32_t queueItems_ = 256;
    std::uint64_t queueBytes_ = 16U << 20U;
    // How long an engine's step takes: a base, a part for each stream and a part for each prompt token worked on; as measured
    // when the service is set up. Observed steps correct it.
    Duration stepBase_ = std::chrono::milliseconds(12);
    Duration stepPerStream_ = std::chrono::microseconds(250);
    Duration stepPerPromptToken_ = std::chrono::microseconds(50);
    // Prompt tokens that an engine works on in one step at most.
    std::uint32_t chunkTokens_ = 512;
    // Retries allowed for each 100 first attempts.
    std::uint32_t retryPercent_ = 10;
    Duration silenceBound_ = std::chrono::seconds(5);
};
BOOST_DESCRIBE_STRUCT(ServicePolicy, (), (service_, kind_, latencyWeight_, firstTokenBound_, betweenTokensBound_, slots_, queueItems_, queueBytes_, stepBase_, stepPerStream_, stepPerPromptToken_, chunkTokens_, retryPercent_, silenceBound_))

struct ConfigurationApplied {
    ConfigVersion version_;
    std::vector<ServicePolicy> services_;
};
BOOST_DESCRIBE_STRUCT(ConfigurationApplied, (), (version_, services_))

// How a job stands against its deadline, from its holder, each few seconds.
struct JobPace {
    JobId job_;
    ServiceId service_;
    TimePoint deadline_ = neverTime;
    std::uint64_t itemsLeft_ = 0;
    // Items a second that the job has been finishing of late.
    double itemsPerSecond_ = 0;
};
BOOST_DESCRIBE_STRUCT(JobPace, (), (job_, service_, deadline_, itemsLeft_, itemsPerSecond_))

struct JobEnded {
    JobId job_;
};
BOOST_DESCRIBE_STRUCT(JobEnded, (), (job_))

using Event = std::variant<RequestArrived, RequestCancelled, HandedBack, HomeLost, HandedOver, AttemptsProgressed, AttemptFinished, AttemptFailed, ProbeEnded,
    UpstreamChanged, EngineReported, CacheChanged, HomeReported, NodeChanged, LinkChanged, FingerprintLearned, ConfigurationApplied, JobPace, JobEnded>;

} // namespace jj
