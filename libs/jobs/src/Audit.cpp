// The exactly-once checker.
#include "jobs/Audit.h"

#include "jobs/ChunkCodec.h"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>

namespace jj {

namespace {

    constexpr std::size_t chunkTextLimit = 8U << 20U;

    class Auditor {
    public:
        Auditor(const AuditInput& input, bool mustBeFinished)
            : input_(input)
            , mustBeFinished_(mustBeFinished)
        {
            for (const ObjectEntry& entry : input.objects_)
                objects_[entry.key_] = &entry.value_;
        }

        AuditReport run()
        {
            // A job whose acknowledgement was lost on the way may still be read: it is held to the same promises.
            std::map<JobId, std::optional<std::uint32_t>> known;
            for (const AuditEvent& event : input_.events_) {
                if (const auto* job = std::get_if<JobAcknowledged>(&event))
                    known[job->job_] = job->items_;
                else if (const auto* read = std::get_if<ResultWasRead>(&event))
                    known.try_emplace(read->job_);
            }
            for (const auto& [job, items] : known)
                auditJob(job, items);
            auditCancels();
            auditReads();
            auditKeys();
            return std::move(report_);
        }

    private:
        const std::string* object(const std::string& key) const
        {
            const auto found = objects_.find(key);
            return found == objects_.end() ? nullptr : found->second;
        }

        void find(FindingKind kind, JobId job, std::string detail = {}) { report_.findings_.push_back({ kind, job, std::move(detail) }); }

        PartitionId partition(JobId job) const { return PartitionId(static_cast<std::uint32_t>(job.value() % input_.partitions_)); }

        void auditJob(JobId job, std::optional<std::uint32_t> items)
        {
            const std::string* text = object(manifestKey(partition(job), job));
            if (!text)
                return find(FindingKind::JobLost, job);
            const Result<Manifest> manifest = Manifest::decode(*text);
            if (!manifest)
                return find(FindingKind::RecordUnreadable, job, "manifest");
            if (items && manifest.value().items_ != *items)
                find(FindingKind::ItemsMiscounted, job, "acknowledged " + std::to_string(*items));
            AuditedJob audited { job, JobState::Waiting, {} };
            Ledger ledger;
            if (const std::string* stored = object(ledgerKey(partition(job), job))) {
                const Result<Ledger> decoded = Ledger::decode(*stored);
                if (!decoded || !decoded.value().belongsTo(manifest.value()))
                    return find(FindingKind::RecordUnreadable, job, "ledger");
                ledger = decoded.value();
            }
            audited.state_ = ledger.state_;
            if (mustBeFinished_ && !ledger.isEnded())
                find(FindingKind::JobUnfinished, job);
            auditChunks(manifest.value(), ledger, audited);
            report_.jobs_.push_back(std::move(audited));
        }

        void auditChunks(const Manifest& manifest, const Ledger& ledger, AuditedJob& audited)
        {
            std::uint32_t done = 0;
            std::uint32_t failed = 0;
            std::set<std::string> seen;
            for (std::uint32_t chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
                std::vector<AuditedItem> items = itemsOf(manifest, chunk);
                const Epoch epoch = ledger.epochOf(chunk);
                if (!epoch.isNone())
                    auditResults(manifest.job_, chunk, epoch, items);
                for (AuditedItem& item : items) {
                    if (!seen.insert(item.customId_).second)
                        find(FindingKind::ItemsMiscounted, manifest.job_, "twice: " + item.customId_);
                    if (item.results_ > 1)
                        find(FindingKind::ItemWithTwoResults, manifest.job_, item.customId_);
                    if (item.results_ == 0 && (ledger.state_ == JobState::Done || !epoch.isNone()))
                        find(FindingKind::ItemWithoutResult, manifest.job_, item.customId_);
                    if (item.results_ > 0)
                        ++(item.end_ == ItemEnd::Done ? done : failed);
                    audited.items_.push_back(std::move(item));
                }
            }
            if (audited.items_.size() != manifest.items_)
                find(FindingKind::ItemsMiscounted, manifest.job_, "in chunks " + std::to_string(audited.items_.size()));
            if (done != ledger.done_ || failed != ledger.failed_)
                find(FindingKind::ItemsMiscounted, manifest.job_, "in ledger " + std::to_string(ledger.done_) + "+" + std::to_string(ledger.failed_));
        }

        std::vector<AuditedItem> itemsOf(const Manifest& manifest, std::uint32_t chunk)
        {
            std::vector<AuditedItem> items;
            const std::string* value = object(chunkKey(manifest.upload_, chunk));
            const Result<std::string> text = value ? decompressText(*value, chunkTextLimit) : Result<std::string>(JobError::BadRecord);
            if (!text) {
                find(FindingKind::ChunkLost, manifest.job_, std::to_string(chunk));
                return items;
            }
            for (const std::string_view line : splitLines(text.value())) {
                const Result<JobItem> item = parseItem(line);
                items.push_back({ item ? item.value().customId_ : std::string(), 0, ItemEnd::Done });
            }
            return items;
        }

        void auditResults(JobId job, std::uint32_t chunk, Epoch epoch, std::vector<AuditedItem>& items)
        {
            std::unordered_map<std::string, AuditedItem*> byId;
            for (AuditedItem& item : items)
                byId[item.customId_] = &item;
            bool last = false;
            for (std::uint32_t part = 0; !last; ++part) {
                const std::string* value = object(resultKey(job, chunk, epoch, part));
                const Result<ResultPart> lines = value ? decodeResultPart(*value) : Result<ResultPart>(JobError::BadRecord);
                if (!lines)
                    return find(FindingKind::ResultLost, job, std::to_string(chunk) + "-" + std::to_string(part));
                last = lines.value().last_;
                for (const std::string_view line : splitLines(lines.value().lines_)) {
                    const Result<ItemResult> result = parseResultLine(line);
                    const auto found = result ? byId.find(result.value().customId_) : byId.end();
                    if (found == byId.end()) {
                        find(FindingKind::ResultOfNoItem, job, std::string(line));
                        continue;
                    }
                    if (found->second->results_++ == 0)
                        found->second->end_ = result.value().end_;
                    results_[{ job, found->first }] = line;
                }
            }
        }

        void auditCancels()
        {
            std::map<JobId, WallTime> cancelled;
            for (const AuditEvent& event : input_.events_) {
                const auto* cancel = std::get_if<CancelWasAcknowledged>(&event);
                if (cancel && (!cancelled.contains(cancel->job_) || cancel->at_ < cancelled[cancel->job_]))
                    cancelled[cancel->job_] = cancel->at_;
            }
            for (const AuditEvent& event : input_.events_) {
                const auto* start = std::get_if<ItemStarted>(&event);
                const auto found = start ? cancelled.find(start->job_) : cancelled.end();
                if (found != cancelled.end() && start->at_ > found->second + std::chrono::duration_cast<std::chrono::milliseconds>(input_.clockTolerance_))
                    find(FindingKind::StartedAfterCancel, start->job_, std::to_string(start->item_.value()));
            }
        }

        void auditReads()
        {
            for (const AuditEvent& event : input_.events_) {
                const auto* read = std::get_if<ResultWasRead>(&event);
                const Result<ItemResult> result = read ? parseResultLine(read->line_) : Result<ItemResult>(JobError::BadRecord);
                if (!read)
                    continue;
                const auto found = result ? results_.find({ read->job_, result.value().customId_ }) : results_.end();
                if (found == results_.end() || found->second != read->line_)
                    find(FindingKind::ResultChanged, read->job_, read->line_);
            }
        }

        void auditKeys()
        {
            std::map<std::string, std::uint32_t> executions;
            std::map<std::string, RunState> reported;
            for (const AuditEvent& event : input_.events_) {
                if (const auto* executed = std::get_if<KeyExecuted>(&event))
                    executions[executed->key_] += executed->count_;
                if (const auto* ended = std::get_if<CallEnded>(&event))
                    reported[ended->key_] = ended->ran_;
            }
            for (const auto& [key, ran] : reported) {
                const std::uint32_t count = executions[key];
                if (ran == RunState::NotRun && count > 0)
                    find(FindingKind::NotRunButExecuted, JobId::none(), key);
                if (ran == RunState::Ran && count == 0)
                    find(FindingKind::RanButNotExecuted, JobId::none(), key);
            }
            for (const auto& [key, count] : executions) {
                if (count > 1)
                    find(FindingKind::ExecutedTwice, JobId::none(), key);
                report_.keys_.push_back({ key, count });
            }
        }

        const AuditInput& input_;
        const bool mustBeFinished_;
        std::unordered_map<std::string, const std::string*> objects_;
        std::map<std::pair<JobId, std::string>, std::string> results_;
        AuditReport report_;
    };

} // namespace

std::string_view toString(FindingKind kind)
{
    switch (kind) {
    case FindingKind::JobLost:
        return "jobLost";
    case FindingKind::RecordUnreadable:
        return "recordUnreadable";
    case FindingKind::ItemsMiscounted:
        return "itemsMiscounted";
    case FindingKind::ChunkLost:
        return "chunkLost";
    case FindingKind::ResultLost:
        return "resultLost";
    case FindingKind::ItemWithoutResult:
        return "itemWithoutResult";
    case FindingKind::ItemWithTwoResults:
        return "itemWithTwoResults";
    case FindingKind::ResultOfNoItem:
        return "resultOfNoItem";
    case FindingKind::ResultChanged:
        return "resultChanged";
    case FindingKind::StartedAfterCancel:
        return "startedAfterCancel";
    case FindingKind::ExecutedTwice:
        return "executedTwice";
    case FindingKind::NotRunButExecuted:
        return "notRunButExecuted";
    case FindingKind::RanButNotExecuted:
        return "ranButNotExecuted";
    case FindingKind::JobUnfinished:
        return "jobUnfinished";
    }
    return "unknown";
}

bool AuditReport::has(FindingKind kind) const
{
    return std::any_of(findings_.begin(), findings_.end(), [kind](const Finding& finding) { return finding.kind_ == kind; });
}

AuditReport audit(const AuditInput& input) { return Auditor(input, false).run(); }

AuditReport auditFinished(const AuditInput& input) { return Auditor(input, true).run(); }

} // namespace jj
