// All that goes into and comes out of the job core.
//
// Events are facts that the core receives; commands are what its embedder has to do. Neither holds pointers or handles, so that both can
// be recorded and replayed.
#pragma once

#include "jobs/JobTypes.h"
#include "objects/CallQueue.h"

#include <optional>
#include <variant>

namespace jj {

// ---- Events

// The partitions this node should hold, and those it should take only when their holder is gone (from membership). What it holds
// and finds in neither list it gives back once its running items are done; a standby that took over keeps what it took.
struct PartitionsAssigned {
    std::vector<PartitionId> owned_;
    std::vector<PartitionId> standby_;
};

struct UploadBegun {
    UploadId upload_;
    std::string workspace_;
    std::string service_;
    std::string key_; // idempotency key; empty: the content's digest is the key
    WallTime deadline_ {};
    bool atMostOnce_ = false; // the service's calls may not be repeated
};

// Any piece of the upload's JSON lines; pieces need not end at line ends.
struct UploadBytes {
    UploadId upload_;
    std::string bytes_;
};

struct UploadEnded {
    UploadId upload_;
};

// The caller went away before the end.
struct UploadAborted {
    UploadId upload_;
};

struct ItemFinished {
    RunId run_;
    RunOutcome outcome_ = RunOutcome::Done;
    std::string body_; // JSON of the answer, or of the upstream's error; may be empty
    Duration retryAfter_ {}; // NotRun and Failed: not before
};

// Items that this node may have running at once, from batch pacing.
struct WindowChanged {
    std::uint32_t items_ = 0;
};

struct CancelAsked {
    AskId ask_;
    std::string workspace_;
    JobId job_;
};

// From another node (see TellCancel): the job is cancelled in the store; stop it and say so.
struct CancelTold {
    NodeId from_;
    JobId job_;
};

// From another node (see TellStopped): its holder has stopped the job and starts none of its items any more.
struct HolderStopped {
    JobId job_;
    Epoch epoch_;
};

// From another node (see TellAccepted): a new job is in the store. A hint; a lost one costs up to discoverEvery_.
struct JobHinted {
    JobId job_;
};

struct StatusAsked {
    AskId ask_;
    std::string workspace_;
    JobId job_;
};

struct ResultsAsked {
    AskId ask_;
    std::string workspace_;
    JobId job_;
    std::uint32_t cursor_ = 0; // 0 first, then next_ of the page before
};

// A request that may not be repeated is about to be sent (D6).
struct CallAsked {
    AskId ask_;
    std::string workspace_;
    std::string service_;
    std::string key_;
    Fingerprint fingerprint_; // of method, path and body: the same key with another fingerprint is refused
};

// After BeginCall: what came of it.
struct CallFinished {
    AskId ask_;
    RunState ran_ = RunState::Ran;
    int status_ = 0;
    std::string body_;
};

// Finish what runs, start nothing, hand the partitions over.
struct DrainAsked { };

// The drain has lasted for long: items that still run and may run again are left to the next holder of their job.
struct AbandonAsked { };

struct StoreAnswered {
    CallId call_;
    ObjectAnswer answer_;
};

using JobEvent = std::variant<PartitionsAssigned, UploadBegun, UploadBytes, UploadEnded, UploadAborted, ItemFinished, WindowChanged,
    CancelAsked, CancelTold, HolderStopped, JobHinted, StatusAsked, ResultsAsked, CallAsked, CallFinished, DrainAsked, AbandonAsked, StoreAnswered>;

// ---- Commands

// Answer with StoreAnswered, once.
struct StoreCall {
    CallId call_;
    ObjectCall request_;
};

// Run one item and answer with ItemFinished, once. Not to be begun at or after validUntil_: then answer NotRun.
struct RunItem {
    RunId run_;
    JobId job_;
    ItemIndex item_;
    Epoch epoch_;
    std::string workspace_;
    std::string service_;
    std::string customId_;
    std::string body_; // JSON of the request
    std::uint32_t attempt_ = 1;
    WallTime deadline_ {};
    TimePoint validUntil_ {};
    bool atMostOnce_ = false;
    std::string idempotencyKey_; // the same for each attempt of the item
    bool suspect_ = false; // an upstream died under it: run it where it harms no other
};

// Stop a run; its ItemFinished may still come and is ignored.
struct CancelItem {
    RunId run_;
};

struct Acknowledge {
    UploadId upload_;
    JobId job_;
    std::uint32_t items_ = 0;
    bool known_ = false; // the job had been accepted before
};

struct LineProblem {
    std::uint32_t line_ = 0; // from 1
    JobError error_ = JobError::BadLine;
};

// The upload is refused whole; nothing of it will run.
struct RefuseUpload {
    UploadId upload_;
    JobError error_ = JobError::BadLine;
    std::vector<LineProblem> lines_;
    Duration retryAfter_ {}; // zero: coming back doesn't help
    // NotRun, or OutcomeUnknown when the manifest's write got no answer: a resend with the same key or content settles it.
    RunState ran_ = RunState::NotRun;
};

struct PauseUpload {
    UploadId upload_;
};
struct ResumeUpload {
    UploadId upload_;
};

// To all nodes that may hold the partition: they get JobHinted.
struct TellAccepted {
    PartitionId partition_;
    JobId job_;
};

// To the node: it gets CancelTold.
struct TellCancel {
    NodeId to_;
    JobId job_;
};

// To the node: it gets HolderStopped.
struct TellStopped {
    NodeId to_;
    JobId job_;
    Epoch epoch_;
};

// No item of the job starts from now on.
struct CancelAcknowledged {
    AskId ask_;
    JobId job_;
};

struct JobStatus {
    JobId job_;
    JobState state_ = JobState::Waiting;
    std::string service_;
    std::uint32_t items_ = 0;
    std::uint32_t done_ = 0;
    std::uint32_t failed_ = 0;
    WallTime acceptedAt_ {};
    WallTime deadline_ {};
};

struct StatusAnswered {
    AskId ask_;
    JobStatus status_;
};

// Result lines in the items' order. While the job runs, a page ends before the first chunk that isn't committed: ask again later.
struct ResultsPage {
    AskId ask_;
    std::string lines_; // JSON lines
    std::uint32_t next_ = 0; // cursor of the next page
    bool end_ = false; // nothing follows and nothing will
};

// A question ends in an error.
struct AskRefused {
    AskId ask_;
    std::error_code error_;
    Duration retryAfter_ {};
};

// The intent stands: send the call, then tell CallFinished.
struct BeginCall {
    AskId ask_;
};

// The call ran before; this was its answer.
struct CallKnown {
    AskId ask_;
    int status_ = 0;
    std::string body_;
    bool bodyKept_ = true; // false: the answer was too long to be recorded
};

// The call isn't sent.
struct CallRefused {
    AskId ask_;
    std::error_code error_;
    RunState ran_ = RunState::NotRun; // OutcomeUnknown: an earlier call with this key has begun; its upstream may know the outcome
    Duration retryAfter_ {};
};

using JobCommand = std::variant<StoreCall, RunItem, CancelItem, Acknowledge, RefuseUpload, PauseUpload, ResumeUpload, TellAccepted, TellCancel,
    TellStopped, CancelAcknowledged, StatusAnswered, ResultsPage, AskRefused, BeginCall, CallKnown, CallRefused>;

} // namespace jj
