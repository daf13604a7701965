// jj audit: does each accepted item have one result, did each call that may not be repeated run at most once, was each refusal true?
//
// What was promised comes from the event files of all processes and from the records of callers; what stands comes from the object
// API and from the plain services' own counts.
#include "Command.h"
#include "events/Timeline.h"
#include "jobs/Audit.h"
#include "objectclient/ObjectClient.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <functional>
#include <memory>

namespace jj::cli {

namespace json = boost::json;

namespace {

    constexpr const char* recordsHelp = R"(Records of callers are JSON lines, each one of
  {"job": ID, "items": N}              a job that was acknowledged
  {"cancelled": ID, "at": MS}          a cancel that was acknowledged
  {"key": KEY, "run": "ran" | "notRun" | "outcomeUnknown"}   what the caller of KEY received last
  {"result": ID, "line": TEXT}         a result line as it was read)";

    struct AuditOptions {
        std::string store_;
        std::vector<std::string> events_;
        std::vector<std::string> records_;
        std::vector<std::string> services_;
        int toleranceMs_ = 0;
        bool finished_ = false;
    };

    // Reads all objects under a prefix, page after page, coming back when the store is over its rate.
    class StoreReader {
    public:
        StoreReader(const Endpoint& store, std::string prefix)
            : prefix_(std::move(prefix))
            , retry_(io_)
            , client_(io_, { store }, [](const std::function<void()>& task) { task(); })
        {
        }

        Result<std::vector<ObjectEntry>> run()
        {
            next({});
            io_.run();
            if (error_)
                return error_;
            return std::move(entries_);
        }

    private:
        static constexpr int mostRetries = 100;
        static constexpr std::uint32_t pageEntries = 100;

        void next(const std::string& after)
        {
            client_.call(ObjectCall::list(prefix_, true, after, pageEntries), [this, after](ObjectAnswer answer) {
                if (answer.error_ == ObjectError::RateLimited && ++retries_ < mostRetries)
                    return later(after);
                error_ = answer.error_;
                for (ObjectEntry& entry : answer.entries_)
                    entries_.push_back(std::move(entry));
                if (answer.ok() && !answer.next_.empty())
                    return next(answer.next_);
                io_.stop();
            });
        }

        void later(const std::string& after)
        {
            retry_.expires_after(std::chrono::milliseconds(100));
            retry_.async_wait([this, after](boost::system::error_code) { next(after); });
        }

        std::string prefix_;
        boost::asio::io_context io_ { 1 };
        boost::asio::steady_timer retry_;
        ObjectClient client_;
        std::vector<ObjectEntry> entries_;
        std::error_code error_;
        int retries_ = 0;
    };

    std::optional<RunState> runStateFrom(std::string_view name)
    {
        for (const RunState state : { RunState::NotRun, RunState::Ran, RunState::OutcomeUnknown }) {
            if (toString(state) == name)
                return state;
        }
        return std::nullopt;
    }

    std::string textOf(const json::object& record, std::string_view key)
    {
        const json::value* value = record.if_contains(key);
        return value != nullptr && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
    }

    std::int64_t integerOf(const json::object& record, std::string_view key)
    {
        const json::value* value = record.if_contains(key);
        return value != nullptr && value->is_int64() ? value->get_int64() : 0;
    }

    // False when the line is no record.
    bool takeRecord(const json::object& record, AuditInput& input)
    {
        if (const auto job = idFromText(textOf(record, "job"))) {
            input.events_.emplace_back(JobAcknowledged { JobId(*job), static_cast<std::uint32_t>(integerOf(record, "items")) });
            return true;
        }
        if (const auto job = idFromText(textOf(record, "cancelled"))) {
            input.events_.emplace_back(CancelWasAcknowledged { JobId(*job), WallTime(std::chrono::milliseconds(integerOf(record, "at"))) });
            return true;
        }
        if (const auto job = idFromText(textOf(record, "result"))) {
            input.events_.emplace_back(ResultWasRead { JobId(*job), textOf(record, "line") });
            return true;
        }
        const auto ran = runStateFrom(textOf(record, "run"));
        if (!ran || textOf(record, "key").empty())
            return false;
        input.events_.emplace_back(CallEnded { textOf(record, "key"), *ran });
        return true;
    }

    bool readRecords(Context& context, const std::string& path, AuditInput& input)
    {
        std::ifstream in(path);
        if (!in) {
            complain(context, "jj.CantRead", "can't read '" + path + "'");
            return false;
        }
        std::size_t number = 0;
        for (std::string line; std::getline(in, line);) {
            ++number;
            boost::system::error_code error;
            const json::value record = json::parse(line, error);
            if (error || !record.is_object() || !takeRecord(record.get_object(), input)) {
                complain(context, "jj.BadRecord", path + ", line " + std::to_string(number) + " is no record");
                return false;
            }
        }
        return true;
    }

    bool readEventFiles(Context& context, const std::vector<std::string>& paths, AuditInput& input)
    {
        for (const std::string& path : paths) {
            const auto file = readEventFile(path);
            if (!file) {
                complain(context, "jj.CantRead", "can't read '" + path + "'");
                return false;
            }
            for (AuditEvent& event : auditEvents(file.value().events_))
                input.events_.push_back(std::move(event));
        }
        return true;
    }

    bool readExecutions(Context& context, const std::string& service, AuditInput& input)
    {
        const auto response = call(context, service, { "GET", "/v1/executions", {}, {} });
        if (!response)
            return false;
        auto counts = executionsFrom(response->body_);
        if (!counts) {
            complain(context, "jj.BadAnswer", counts.error().message());
            return false;
        }
        for (AuditEvent& event : counts.value()) {
            // Calls without a key made no promise.
            if (!std::get<KeyExecuted>(event).key_.empty())
                input.events_.push_back(std::move(event));
        }
        return true;
    }

    std::size_t countOf(const AuditReport& report, std::initializer_list<FindingKind> kinds)
    {
        return static_cast<std::size_t>(std::count_if(report.findings_.begin(), report.findings_.end(),
            [&](const Finding& finding) { return std::find(kinds.begin(), kinds.end(), finding.kind_) != kinds.end(); }));
    }

    json::object summary(const AuditReport& report)
    {
        std::size_t items = 0;
        std::size_t done = 0;
        std::size_t failed = 0;
        for (const AuditedJob& job : report.jobs_) {
            items += job.items_.size();
            for (const AuditedItem& item : job.items_) {
                done += item.results_ > 0 && item.end_ == ItemEnd::Done ? 1 : 0;
                failed += item.results_ > 0 && item.end_ != ItemEnd::Done ? 1 : 0;
            }
        }
        const std::size_t lost = countOf(report, { FindingKind::JobLost, FindingKind::ChunkLost, FindingKind::ResultLost, FindingKind::ItemWithoutResult });
        const std::size_t doubled = countOf(report, { FindingKind::ItemWithTwoResults, FindingKind::ExecutedTwice });
        const std::size_t untrue = countOf(report, { FindingKind::NotRunButExecuted, FindingKind::RanButNotExecuted, FindingKind::StartedAfterCancel });
        return { { "jobs", report.jobs_.size() }, { "items", items }, { "done", done }, { "failed", failed }, { "keys", report.keys_.size() }, { "lost", lost }, { "doubled", doubled }, { "untrue", untrue }, { "findings", report.findings_.size() } };
    }

    void printReport(Context& context, const AuditReport& report)
    {
        json::object out = summary(report);
        json::array findings;
        for (const Finding& finding : report.findings_)
            findings.push_back(json::object { { "kind", toString(finding.kind_) }, { "job", idText(finding.job_.value()) }, { "detail", finding.detail_ } });
        if (context.json_)
            out["list"] = findings;
        print(context, out);
        if (!context.json_) {
            for (const json::value& finding : findings)
                print(context, finding.get_object());
        }
    }

    void runAudit(Context& context, const AuditOptions& options)
    {
        context.exit_ = Exit::BadInput;
        AuditInput input;
        input.clockTolerance_ = std::chrono::milliseconds(options.toleranceMs_);
        const auto store = readEndpoint(context, options.store_);
        if (!store || !readEventFiles(context, options.events_, input))
            return;
        for (const std::string& path : options.records_) {
            if (!readRecords(context, path, input))
                return;
        }
        for (const std::string& service : options.services_) {
            if (!readExecutions(context, service, input))
                return;
        }
        auto objects = StoreReader(*store, "jobs/").run();
        if (!objects) {
            context.exit_ = Exit::Unreachable;
            return complain(context, "jj.StoreUnreadable", objects.error().message());
        }
        input.objects_ = std::move(objects.value());
        const AuditReport report = options.finished_ ? auditFinished(input) : audit(input);
        context.exit_ = report.findings_.empty() ? Exit::Done : Exit::Findings;
        printReport(context, report);
    }

} // namespace

void addAudit(CLI::App& app, Context& context)
{
    auto options = std::make_shared<AuditOptions>();
    CLI::App* command = app.add_subcommand("audit", "state that nothing is lost, nothing doubled and every refusal true; exit code 5 when not");
    command->add_option("--store", options->store_, "the object API, IP:PORT")->required();
    command->add_option("--events", options->events_, "event files of all processes");
    command->add_option("--records", options->records_, std::string("records of callers.\n") + recordsHelp);
    command->add_option("--service", options->services_, "plain services that count their runs, IP:PORT");
    command->add_option("--tolerance-ms", options->toleranceMs_, "by how much hosts' clocks may differ")->check(CLI::NonNegativeNumber)->capture_default_str();
    command->add_flag("--finished", options->finished_, "a job that has not ended is a finding too");
    command->callback([&context, options] { runAudit(context, *options); });
}

} // namespace jj::cli
