// Jobs over HTTP: uploads as they stream in, status, result pages and cancel.
#include "CallersServer.h"

#include "gateway/ChatAnswer.h"
#include "gateway/ChatCall.h"
#include "gateway/GatewayError.h"

#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;
    using ExchangePtr = std::shared_ptr<http::Exchange>;

    // A job that names no deadline is due a day later.
    constexpr Duration defaultJobTime = std::chrono::hours(24);

    const char* jobErrorName(std::error_code code)
    {
        switch (static_cast<JobError>(code.value())) {
        case JobError::BadLine:
            return "jobs.BadLine";
        case JobError::DuplicateCustomId:
            return "jobs.DuplicateCustomId";
        case JobError::LineTooLong:
            return "jobs.LineTooLong";
        case JobError::TooManyItems:
            return "jobs.TooManyItems";
        case JobError::NoItems:
            return "jobs.NoItems";
        case JobError::DeadlinePassed:
            return "jobs.DeadlinePassed";
        case JobError::DeadlineOutOfReach:
            return "jobs.DeadlineOutOfReach";
        case JobError::KeyReused:
            return "jobs.KeyReused";
        case JobError::StoreUnavailable:
            return "jobs.StoreUnavailable";
        case JobError::TooBusy:
            return "jobs.TooBusy";
        case JobError::NoSuchJob:
            return "jobs.NoSuchJob";
        case JobError::AlreadyDone:
            return "jobs.AlreadyDone";
        case JobError::BadRecord:
            return "jobs.BadRecord";
        case JobError::BadSettings:
            return "jobs.BadSettings";
        case JobError::Draining:
            return "jobs.Draining";
        case JobError::EarlierCallBegan:
            return "jobs.EarlierCallBegan";
        }
        return "jobs.Unknown";
    }

    int jobErrorStatus(std::error_code code)
    {
        switch (static_cast<JobError>(code.value())) {
        case JobError::KeyReused:
        case JobError::AlreadyDone:
        case JobError::EarlierCallBegan:
            return 409;
        case JobError::StoreUnavailable:
        case JobError::TooBusy:
        case JobError::Draining:
            return 503;
        case JobError::NoSuchJob:
            return 404;
        case JobError::BadRecord:
        case JobError::BadSettings:
            return 500;
        default:
            return 400;
        }
    }

    std::string describeLines(const std::vector<LineProblem>& problems)
    {
        std::string text;
        for (const LineProblem& problem : problems)
            text += (text.empty() ? "; line " : ", line ") + std::to_string(problem.line_) + " " + jobErrorName(make_error_code(problem.error_));
        return text;
    }

    json::object statusObject(const JobStatus& status)
    {
        return { { "id", idText(status.job_.value()) }, { "state", toString(status.state_) }, { "service", status.service_ }, { "items", status.items_ }, { "done", status.done_ }, { "failed", status.failed_ }, { "acceptedAt", status.acceptedAt_.time_since_epoch().count() }, { "deadline", status.deadline_.time_since_epoch().count() } };
    }

    void respondJson(http::Exchange& exchange, int status, const json::object& object)
    {
        exchange.respond({ status, { { "Content-Type", "application/json" } }, json::serialize(object) });
    }

    // Pulls the body piece by piece; while the core says pause, nothing is pulled, so the socket's own flow control holds the caller.
    class UploadPump : public std::enable_shared_from_this<UploadPump> {
    public:
        UploadPump(ExchangePtr exchange, JobHost& jobs)
            : exchange_(std::move(exchange))
            , jobs_(jobs)
        {
        }

        void begin(UploadBegun header)
        {
            UploadSink sink;
            sink.accepted_ = [self = shared_from_this()](const Acknowledge& accepted) {
                respondJson(*self->exchange_, accepted.known_ ? 200 : 201, { { "id", idText(accepted.job_.value()) }, { "items", accepted.items_ }, { "known", accepted.known_ } });
            };
            sink.refused_ = [self = shared_from_this()](const RefuseUpload& refused) {
                refuseJob(*self->exchange_, refused.error_, refused.ran_, refused.retryAfter_, describeLines(refused.lines_));
            };
            sink.pause_ = [self = shared_from_this()](bool paused) { self->pause(paused); };
            upload_ = jobs_.beginUpload(std::move(header), std::move(sink));
            pull();
        }

    private:
        void pull()
        {
            exchange_->readBody([self = shared_from_this()](http::BodyPiece piece) { self->take(std::move(piece)); });
        }

        void take(http::BodyPiece piece)
        {
            if (piece.error_)
                return jobs_.abortUpload(upload_);
            if (!piece.data_.empty())
                jobs_.uploadBytes(upload_, std::move(piece.data_));
            if (piece.last_)
                return jobs_.endUpload(upload_);
            {
                const std::lock_guard lock(lock_);
                waiting_ = paused_;
                if (waiting_)
                    return;
            }
            pull();
        }

        void pause(bool paused)
        {
            {
                const std::lock_guard lock(lock_);
                paused_ = paused;
                if (paused || !waiting_)
                    return;
                waiting_ = false;
            }
            pull();
        }

        ExchangePtr exchange_;
        JobHost& jobs_;
        UploadId upload_;
        std::mutex lock_; // guards the two flags: pieces and pauses come from different threads
        bool paused_ = false;
        bool waiting_ = false; // the next piece is pulled when the pause ends
    };

} // namespace

void refuseJob(http::Exchange& exchange, std::error_code code, RunState run, Duration retryAfter, std::string_view extra)
{
    const std::string message = code.message() + std::string(extra);
    refuseCall(exchange, { jobErrorStatus(code), jobErrorName(code), message, run, retryAfter });
}

void CallersServer::submit(const ExchangePtr& exchange)
{
    const http::Request& request = exchange->request();
    UploadBegun header;
    header.workspace_ = workspaceOf(exchange);
    header.service_ = std::string(request.headers_.find("Service"));
    header.key_ = std::string(request.headers_.find("Idempotency-Key"));
    header.atMostOnce_ = request.headers_.has("At-Most-Once");
    const auto view = parts_.view_.current();
    const ServiceConfig* service = view->config().service(header.service_);
    if (!service || service->kind_ != ServiceKind::Engines)
        return refuseCall(*exchange, { 404, codeName(GatewayError::UnknownService), "header Service must name a service of engines", RunState::NotRun, {} });
    Duration timeLeft = defaultJobTime;
    if (const std::string_view deadline = request.headers_.find("Deadline"); !deadline.empty()) {
        const auto parsed = parseDeadline(deadline, SystemClock().wallNow());
        if (!parsed)
            return refuseCall(*exchange, { 400, codeName(GatewayError::BadDeadline), parsed.error().message(), RunState::NotRun, {} });
        timeLeft = parsed.value();
    }
    header.deadline_ = SystemClock().wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft);
    std::make_shared<UploadPump>(exchange, parts_.jobs_)->begin(std::move(header));
}

void CallersServer::job(const ExchangePtr& exchange, std::string_view rest)
{
    const auto slash = rest.find('/');
    const auto id = idFromText(rest.substr(0, slash));
    const std::string_view action = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    const std::string& method = exchange->request().method_;
    if (!id)
        return refuseJob(*exchange, JobError::NoSuchJob, RunState::NotRun, {});
    if (action.empty() && method == "GET")
        return status(exchange, JobId(*id));
    if (action == "results" && method == "GET")
        return results(exchange, JobId(*id));
    if (action == "cancel" && method == "POST")
        return cancel(exchange, JobId(*id));
    refuseCall(*exchange, { 404, codeName(GatewayError::UnknownPath), "no such call on a job", RunState::NotRun, {} });
}

void CallersServer::status(const ExchangePtr& exchange, JobId job)
{
    StatusAsked asked;
    asked.workspace_ = workspaceOf(exchange);
    asked.job_ = job;
    parts_.jobs_.ask(std::move(asked), [exchange](const JobCommand& answer) {
        if (const auto* status = std::get_if<StatusAnswered>(&answer))
            respondJson(*exchange, 200, statusObject(status->status_));
        else if (const auto* refused = std::get_if<AskRefused>(&answer))
            refuseJob(*exchange, refused->error_, RunState::NotRun, refused->retryAfter_);
    });
}

void CallersServer::cancel(const ExchangePtr& exchange, JobId job)
{
    CancelAsked asked;
    asked.workspace_ = workspaceOf(exchange);
    asked.job_ = job;
    parts_.jobs_.ask(std::move(asked), [exchange](const JobCommand& answer) {
        if (const auto* done = std::get_if<CancelAcknowledged>(&answer))
            respondJson(*exchange, 200, { { "id", idText(done->job_.value()) }, { "state", "cancelled" } });
        else if (const auto* refused = std::get_if<AskRefused>(&answer))
            refuseJob(*exchange, refused->error_, RunState::OutcomeUnknown, refused->retryAfter_);
    });
}

void CallersServer::results(const ExchangePtr& exchange, JobId job)
{
    nextPage(exchange, job, 0, false);
}

// Pages go out as they are read, each when the one before has gone: a slow reader of a large job costs one page of memory.
void CallersServer::nextPage(const ExchangePtr& exchange, JobId job, std::uint32_t cursor, bool started)
{
    ResultsAsked asked;
    asked.workspace_ = workspaceOf(exchange);
    asked.job_ = job;
    asked.cursor_ = cursor;
    parts_.jobs_.ask(std::move(asked), [this, exchange, job, cursor, started](const JobCommand& answer) {
        if (const auto* refused = std::get_if<AskRefused>(&answer)) {
            // Once lines went out the status can't be changed: a cut connection tells the reader that the list isn't whole.
            if (started)
                return exchange->abort();
            return refuseJob(*exchange, refused->error_, RunState::NotRun, refused->retryAfter_);
        }
        const auto* page = std::get_if<ResultsPage>(&answer);
        if (!page)
            return;
        if (!started)
            exchange->start(200, { { "Content-Type", "application/x-ndjson" } });
        exchange->write(page->lines_);
        if (page->end_ || page->next_ == cursor)
            return exchange->end();
        exchange->whenDrained([this, exchange, job, next = page->next_] { nextPage(exchange, job, next, true); });
    });
}

} // namespace jj
