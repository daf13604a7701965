// The checker accepts a true history and rejects each doctored one.
#include "JobWorld.h"

#include "jobs/ChunkCodec.h"

#include <doctest/doctest.h>

using namespace jj;

namespace {

const JobId job = JobWorld::jobOf("k");

// A finished job of 12 items in three chunks, as it stands in the store.
AuditInput trueHistory()
{
    JobWorld world(quickOptions());
    world.upload(0, 1, JobWorld::lines(12), "k");
    world.runUntil([&] { return world.isEnded(job); }, 60s);
    AuditInput input;
    input.events_ = world.events();
    for (std::string& line : world.readAll(0, job))
        input.events_.emplace_back(ResultWasRead { job, std::move(line) });
    for (const auto& [key, entry] : world.store().core().objects())
        input.objects_.push_back(entry);
    input.partitions_ = 2;
    return input;
}

ObjectEntry& entryOf(AuditInput& input, std::string_view prefix)
{
    for (ObjectEntry& entry : input.objects_) {
        if (entry.key_.starts_with(prefix))
            return entry;
    }
    static ObjectEntry none;
    return none;
}

void removeEntry(AuditInput& input, std::string_view prefix)
{
    const std::string key = entryOf(input, prefix).key_;
    std::erase_if(input.objects_, [&key](const ObjectEntry& entry) { return entry.key_ == key; });
}

void changeLedger(AuditInput& input, const std::function<void(Ledger&)>& change)
{
    Ledger ledger = Ledger::decode(entryOf(input, "jobs/s/").value_).value();
    change(ledger);
    entryOf(input, "jobs/s/").value_ = ledger.encode();
}

void changeResults(AuditInput& input, const std::function<void(std::vector<std::string>&)>& change)
{
    std::string& value = entryOf(input, resultPrefix(job)).value_;
    const std::string text = decodeResultPart(value).value().lines_;
    std::vector<std::string> lines;
    for (const std::string_view line : splitLines(text))
        lines.emplace_back(line);
    change(lines);
    value = encodeResultParts(lines)[0];
}

} // namespace

TEST_CASE("the checker accepts a true history and states each item's one result")
{
    const AuditReport report = auditFinished(trueHistory());
    CHECK(report.findings_.empty());
    REQUIRE(report.jobs_.size() == 1);
    REQUIRE(report.jobs_[0].items_.size() == 12);
    for (const AuditedItem& item : report.jobs_[0].items_)
        CHECK(item.results_ == 1);
}

TEST_CASE("the checker rejects each doctored store")
{
    struct Doctored {
        FindingKind kind_;
        std::function<void(AuditInput&)> change_;
    };
    const std::vector<Doctored> cases {
        { FindingKind::JobLost, [](AuditInput& input) { removeEntry(input, "jobs/m/"); } },
        { FindingKind::RecordUnreadable, [](AuditInput& input) { entryOf(input, "jobs/m/").value_ = "{}"; } },
        { FindingKind::RecordUnreadable, [](AuditInput& input) { entryOf(input, "jobs/s/").value_.resize(20); } },
        { FindingKind::RecordUnreadable, [](AuditInput& input) { changeLedger(input, [](Ledger& ledger) { ledger.committed_.push_back({ 1, 1, Epoch(9) }); }); } },
        { FindingKind::ChunkLost, [](AuditInput& input) { removeEntry(input, "jobs/c/"); } },
        { FindingKind::ResultLost, [](AuditInput& input) { removeEntry(input, "jobs/r/"); } },
        { FindingKind::ResultLost, [](AuditInput& input) { entryOf(input, "jobs/r/").value_[0] = 'M'; } },
        { FindingKind::JobUnfinished, [](AuditInput& input) { removeEntry(input, "jobs/s/"); } },
        { FindingKind::ItemsMiscounted, [](AuditInput& input) { changeLedger(input, [](Ledger& ledger) { --ledger.done_; }); } },
        { FindingKind::ItemsMiscounted, [](AuditInput& input) { input.events_.emplace_back(JobAcknowledged { job, 13 }); } },
        { FindingKind::ItemWithoutResult, [](AuditInput& input) { changeResults(input, [](auto& lines) { lines.pop_back(); }); } },
        { FindingKind::ItemWithoutResult, [](AuditInput& input) { changeLedger(input, [](Ledger& ledger) { ledger.committed_[0].last_ = 1; }); } },
        { FindingKind::ItemWithTwoResults, [](AuditInput& input) { changeResults(input, [](auto& lines) { lines.push_back(lines[0]); }); } },
        { FindingKind::ResultOfNoItem, [](AuditInput& input) { changeResults(input, [](auto& lines) { lines.push_back(resultLine({ "stranger", ItemEnd::Done, 1, "{}" })); }); } },
        { FindingKind::ResultChanged, [](AuditInput& input) { changeResults(input, [](auto& lines) { lines[0] = resultLine({ "item-0", ItemEnd::Done, 1, "{\"other\":1}" }); }); } },
        { FindingKind::StartedAfterCancel, [](AuditInput& input) { input.events_.emplace_back(CancelWasAcknowledged { job, WallTime() }); } },
    };
    for (const Doctored& doctored : cases) {
        AuditInput input = trueHistory();
        doctored.change_(input);
        const AuditReport report = auditFinished(input);
        CHECK_MESSAGE(report.has(doctored.kind_), std::string(toString(doctored.kind_)));
    }
}

TEST_CASE("event files and upstreams' counts become what the checker reads")
{
    std::vector<TimelineEvent> events(4);
    events[0].kind_ = EventKind::JobAccepted;
    events[0].job_ = job;
    events[0].detail_.count_ = 12;
    events[1].kind_ = EventKind::ItemStarted;
    events[1].job_ = job;
    events[1].item_ = ItemIndex(3);
    events[1].at_ = WallTime(std::chrono::milliseconds(10));
    events[2].kind_ = EventKind::JobCancelled;
    events[2].job_ = job;
    events[3].kind_ = EventKind::LeaseTaken;
    AuditInput input = trueHistory();
    input.events_ = auditEvents(events);
    CHECK(input.events_.size() == 3);
    const AuditReport report = auditFinished(input);
    REQUIRE(report.findings_.size() == 1);
    CHECK(report.has(FindingKind::StartedAfterCancel));
    CHECK(executionsFrom(R"({"a":1,"b":2})").value().size() == 2);
    CHECK(executionsFrom(R"({"a":"x"})").error() == JobError::BadRecord);
    CHECK(executionsFrom("[]").error() == JobError::BadRecord);
}

TEST_CASE("the checker counts executions of at-most-once keys against what callers received")
{
    AuditInput input;
    input.events_ = { CallEnded { "a", RunState::Ran }, KeyExecuted { "a", 1 }, CallEnded { "b", RunState::NotRun }, CallEnded { "c", RunState::OutcomeUnknown }, KeyExecuted { "c", 1 } };
    CHECK(audit(input).findings_.empty());
    CHECK(audit(input).keys_.size() == 3);
    input.events_.emplace_back(KeyExecuted { "a", 1 });
    CHECK(audit(input).has(FindingKind::ExecutedTwice));
    input.events_.emplace_back(KeyExecuted { "b", 1 });
    CHECK(audit(input).has(FindingKind::NotRunButExecuted));
    input.events_.emplace_back(CallEnded { "d", RunState::Ran });
    CHECK(audit(input).has(FindingKind::RanButNotExecuted));
}
