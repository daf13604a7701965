// The exactly-once checker: from the events of all processes and the store's content, states each accepted item's one result and
// each at-most-once key's executions, and lists whatever contradicts the promises.
//
//     AuditReport report = audit(input);
//     if (!report.findings_.empty()) ...
//
// It shares only the stored records with the code that runs jobs, none of its decisions.
#pragma once

#include "events/TimelineEvent.h"
#include "jobs/Records.h"

#include <span>
#include <variant>

namespace jj {

// ---- What processes and upstreams recorded

struct JobAcknowledged {
    JobId job_;
    std::uint32_t items_ = 0;
};

struct CancelWasAcknowledged {
    JobId job_;
    WallTime at_ {};
};

struct ItemStarted {
    JobId job_;
    ItemIndex item_;
    WallTime at_ {};
};

// What the caller of an at-most-once call received last.
struct CallEnded {
    std::string key_; // as the upstream saw it
    RunState ran_ = RunState::Ran;
};

// How often an upstream executed a key; one such record for each upstream and key.
struct KeyExecuted {
    std::string key_;
    std::uint32_t count_ = 0;
};

// A result line as some caller read it: it must still be the one result.
struct ResultWasRead {
    JobId job_;
    std::string line_;
};

using AuditEvent = std::variant<JobAcknowledged, CancelWasAcknowledged, ItemStarted, CallEnded, KeyExecuted, ResultWasRead>;

struct AuditInput {
    std::vector<AuditEvent> events_;
    std::vector<ObjectEntry> objects_; // all under jobs/, with values
    std::uint32_t partitions_ = 64;
    Duration clockTolerance_ {}; // by which hosts' wall clocks may differ
};

// From the event files of all processes: jobAccepted (job, count: items), jobCancelled (job: acknowledged as cancelled) and itemStarted
// (job, item). Other kinds say nothing about exactly-once and are left out.
std::vector<AuditEvent> auditEvents(std::span<const TimelineEvent> events);
// From an upstream's GET /v1/executions: {"key":count,...}. Fails with BadRecord.
Result<std::vector<AuditEvent>> executionsFrom(std::string_view json);

// ---- What it finds

enum class FindingKind : std::uint8_t {
    JobLost, // acknowledged, and no manifest stands
    RecordUnreadable,
    ItemsMiscounted, // manifest, chunks, ledger and acknowledgement differ
    ChunkLost, // a chunk that the manifest names is gone
    ResultLost, // the ledger names results that don't stand
    ItemWithoutResult, // the job is done
    ItemWithTwoResults,
    ResultOfNoItem,
    ResultChanged, // a caller read another one
    StartedAfterCancel,
    ExecutedTwice, // an at-most-once key
    NotRunButExecuted,
    RanButNotExecuted,
    JobUnfinished, // neither done nor cancelled; a finding only when the input says that all should be
};

std::string_view toString(FindingKind kind);

struct Finding {
    FindingKind kind_ = FindingKind::JobLost;
    JobId job_;
    std::string detail_; // item, chunk or key
};

struct AuditedItem {
    std::string customId_;
    std::uint32_t results_ = 0;
    ItemEnd end_ = ItemEnd::Done; // of the first result
};

struct AuditedJob {
    JobId job_;
    JobState state_ = JobState::Waiting;
    std::vector<AuditedItem> items_;
};

struct AuditedKey {
    std::string key_;
    std::uint32_t executions_ = 0;
};

struct AuditReport {
    std::vector<AuditedJob> jobs_;
    std::vector<AuditedKey> keys_;
    std::vector<Finding> findings_;

    bool has(FindingKind kind) const;
};

AuditReport audit(const AuditInput& input);
// As audit(), with a finding for each acknowledged job that is neither done nor cancelled.
AuditReport auditFinished(const AuditInput& input);

} // namespace jj
