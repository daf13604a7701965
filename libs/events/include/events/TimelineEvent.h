// One thing that a process did or saw, for the time line of all processes.
//
// An event holds numbers, ids and names of things only: never text of a request or an answer, and never a secret. Each kind uses
// the fields that fit it and leaves the others at their defaults; defaults are not written.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jj {

enum class EventKind : std::uint8_t {
    // A process
    ProcessStarted,
    ProcessStopped,
    DrainStarted,
    DrainDone,
    // A request and its attempts
    RequestAccepted,
    RequestRouted,
    RequestQueued,
    AttemptSent,
    AttemptFailed,
    FirstToken,
    RequestFinished,
    RequestRefused,
    RequestCancelled,
    LateAnswerDropped,
    StreamYielded,
    StreamResumed,
    FingerprintSuspected,
    FingerprintQuarantined,
    // Jobs and items
    JobAccepted,
    JobStarted,
    ChunkClaimed,
    ItemStarted,
    ItemDone,
    ItemFailed,
    ChunkCommitted,
    CommitRefused,
    JobCompleted,
    JobCancelled,
    // Leases and intents
    LeaseTaken,
    LeaseRenewed,
    LeaseLost,
    IntentCreated,
    OutcomeRecorded,
    // Membership
    MemberAlive,
    MemberSuspect,
    MemberGone,
    MemberLeaving,
    // Upstreams
    UpstreamUp,
    UpstreamDown,
    UpstreamLeaving,
    ConnectionSilent,
    // Configuration and orders
    ConfigSeen,
    ConfigApplied,
    ConfigRefused,
    OrderSent,
    OrderRefused,
    OrderDone,
    // The platform's store
    StoreDown,
    StoreUp,
    // Stand-ins
    FaultSet,
    EngineCrashed,
    Count, // not a kind
};

constexpr std::size_t eventKindCount = static_cast<std::size_t>(EventKind::Count);

// The kind's name as written in files, in lower camel case: `requestAccepted`.
std::string_view toString(EventKind kind);
std::optional<EventKind> eventKindFrom(std::string_view name);

// Fields that only some kinds use.
struct EventDetail {
    std::int32_t attempt_ = -1;
    std::int32_t position_ = -1; // of a stream, in tokens
    std::int64_t count_ = -1; // items, tokens or calls, as the kind says
    std::int64_t durationUs_ = -1; // how long what ends here took
    Epoch epoch_; // fencing number of a lease or an order
    ObjectVersion version_; // of an object or a configuration
    NodeId peer_; // the other node concerned
    std::uint32_t partition_ = noPartition;
    std::string subject_; // name of a thing: a service, an adapter, a switch
    std::string error_; // name of a typed error, such as `notRun`

    static constexpr std::uint32_t noPartition = 0xffff'ffff;
};

struct TimelineEvent {
    // Set by the writer.
    std::string host_; // the process, as ip:port or a name
    Incarnation incarnation_;
    std::uint64_t sequence_ = 0; // from 0 in each incarnation of a process
    WallTime at_ {};

    EventKind kind_ = EventKind::ProcessStarted;
    RequestId request_;
    JobId job_;
    ItemIndex item_;
    UpstreamId engine_;
    EventDetail detail_;
};

// One line without its newline.
std::string toJsonLine(const TimelineEvent& event);
// Nothing for a line that is no event, such as the torn last line of a process that was killed.
std::optional<TimelineEvent> eventFromJsonLine(std::string_view line);

// An id as 16 lower-case hex digits, as in event files and on command lines.
std::string idText(std::uint64_t value);
std::optional<std::uint64_t> idFromText(std::string_view text);

} // namespace jj
