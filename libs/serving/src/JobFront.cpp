// Reads, item bodies and cancellations take the same path: they are sent to the presumed owner, then to the owner named in its
// reply, and finally answered by this node from the store.
#include "JobFront.h"

#include "HopTimes.h"
#include "ItemChecks.h"
#include "JobCallStep.h"

namespace jj {

namespace {

    constexpr Duration callTimeout = 1200ms;
    // Covers the disk write on the host that spools the job, about 1 ms, and a round trip to another region.
    constexpr Duration spoolTimeout = 600ms;
    constexpr int maxHops = 3;
    constexpr Duration retryAfter = 300ms;
    constexpr std::size_t maxKnownOwners = 8192;

    Duration waitOf(const JobRequest& call)
    {
        const auto* read = std::get_if<JobReadRequest>(&call);
        return read ? read->wait_ : Duration::zero();
    }

    const JobName& jobOf(const JobRequest& call)
    {
        return std::visit([](const auto& one) -> const JobName& { return one.job_; }, call);
    }

    JobName& jobOf(JobRequest& call)
    {
        return std::visit([](auto& one) -> JobName& { return one.job_; }, call);
    }

    PeerCall peerCallOf(const JobRequest& call, Duration wait)
    {
        if (const auto* read = std::get_if<JobReadRequest>(&call))
            return ReadRequest { read->job_, read->after_, static_cast<std::uint32_t>(wait / 1ms) };
        if (const auto* body = std::get_if<ItemBodyRequest>(&call))
            return BodyRequest { body->job_, body->item_ };
        return CancelJobRequest { std::get<JobCancelRequest>(call).job_ };
    }

    std::string_view nameOf(const JobRequest& call)
    {
        static constexpr std::string_view names[] = { "read", "body", "end" };
        return names[call.index()];
    }

} // namespace

struct JobFront::PendingCall {
    std::shared_ptr<http::Exchange> exchange_;
    JobRequest call_;
    std::string id_; // of the job, as its caller knows it
    TimePoint startedAt_ {};
    int hops_ = 0;
    NodeId nextNode_; // node to query next
};

JobFront::JobFront(Context& context, JobScheduler& scheduler, StoreLink& store)
    : context_(context)
    , scheduler_(scheduler)
    , acceptances_(acceptanceOutlets())
    , intake_({ .maxValueBytes_ = context.settings_.storeValueBytes_ }, intakeOutlets(store))
{
}

AcceptanceOutlets JobFront::acceptanceOutlets()
{
    AcceptanceOutlets outlets;
    outlets.self_ = context_.fleet_->self();
    outlets.adopt_ = [this](JobTransfer job) { scheduler_.adopt(std::move(job), context_.now(), SystemClock().wallNow()); };
    outlets.send_ = [this](NodeId owner, JobTransfer job, std::function<void(std::error_code)> done) {
        context_.fleet_->request(owner, AdoptRequest { std::move(job) }, callTimeout, [done = std::move(done)](const Result<PeerReply>& reply) { done(reply ? std::error_code() : reply.error()); });
    };
    outlets.noteUnanswered_ = [this](const JobName& job, int tries, std::error_code error) { context_.log_.line("ownerUnreachable").with("job", job).with("tries", tries).with("error", error.message()); };
    return outlets;
}

IntakeOutlets JobFront::intakeOutlets(StoreLink& store)
{
    IntakeOutlets outlets;
    outlets.store_ = [&store](ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { store.send(std::move(call), callClass, until, std::move(done)); };
    outlets.isStoreUnavailable_ = [&store] { return store.isUnreachable(); };
    outlets.chooseReplicas_ = [this](const std::vector<NodeId>& silent) { return context_.fleet_->selectSpoolHosts({ context_.settings_.tolerableHostLosses_, context_.settings_.tolerableDomainLosses_, context_.settings_.tolerableRegionLosses_ }, silent); };
    outlets.requestSpooling_ = [this](NodeId host, SpooledJob job, std::function<void(SpoolOutcome, TimePoint)> done) { spoolAt(host, std::move(job), std::move(done)); };
    outlets.discardCopy_ = [this](NodeId host, const JobName& job) { removeSpooledCopy(host, job); };
    outlets.ownerOf_ = [this](const JobName& job) { return context_.fleet_->preferredOwner(job, context_.fleet_->self()); };
    outlets.notifyOwner_ = [this](const JobName& job, const Acceptance& acceptance) {
        rememberOwner(job, acceptance.head_.owner_);
        sendToOwner(job, acceptance);
    };
    return outlets;
}

// ---- job submissions

void JobFront::submit(const std::shared_ptr<http::Exchange>& exchange, const RouteTable& table, const Route& route, const Caller& caller)
{
    const TimePoint startedAt = context_.now();
    auto submission = context_.translation_.parseSubmission_(exchange->request());
    if (!submission) {
        context_.log_.line("jobRefused").with("request", exchange->request().headers_.find(context_.translation_.headers_.attemptId_)).with("error", submission.error().message());
        return exchange->respond(refusalResponse(context_.translation_, 400, "job.Unreadable", submission.error().message(), RunState::NotRun, {}));
    }
    JobSubmission& job = submission.value();
    if (const auto fault = findItemFault(job, table.limits().headerBytes_)) {
        context_.log_.line("jobRefused").with("request", job.job_).with("error", fault->message_);
        return exchange->respond(refusalResponse(context_.translation_, fault->status_, fault->code_, fault->message_ + "; the job has not run", RunState::NotRun, {}));
    }
    const std::string id = std::exchange(job.job_, storedJobName(table, caller, job.job_));
    job.head_.workspace_ = caller.workspace_;
    job.head_.host_ = hostName(exchange->request().headers_.find("Host"));
    job.head_.runTarget_ = route.runTarget_;
    job.head_.abandonAfter_ = route.abandonAfter_;
    job.head_.maxAttempts_ = route.maxAttempts_;
    const JobName name = job.job_;
    intake_.submit(std::move(job), context_.settings_.acceptTimeout_, startedAt, SystemClock().wallNow(), [this, exchange, id, name, startedAt](const IntakeAnswer& answer, TimePoint now) { respond(exchange, id, name, answer, startedAt, now); });
}

void JobFront::spoolAt(NodeId host, SpooledJob job, std::function<void(SpoolOutcome, TimePoint)> done)
{
    const JobName name = job.submission_.job_;
    context_.fleet_->request(host, SpoolRequest { std::move(job) }, spoolTimeout, [this, host, name, done = std::move(done)](const Result<PeerReply>& reply) {
        const auto* kept = reply ? std::get_if<SpoolReply>(&reply.value()) : nullptr;
        const SpoolOutcome outcome = kept ? kept->outcome_ : SpoolOutcome::Unknown;
        if (outcome != SpoolOutcome::Spooled)
            context_.log_.line("copyMissing").with("job", name).with("host", host.value()).with("outcome", outcome == SpoolOutcome::Refused ? "refused" : "unknown");
        done(outcome, context_.now());
    });
}

void JobFront::removeSpooledCopy(NodeId host, const JobName& job)
{
    context_.fleet_->request(host, DropSpooledRequest { job }, spoolTimeout, [this, job](const Result<PeerReply>& reply) {
        if (!reply)
            context_.log_.line("copyNotForgotten").with("job", job).with("error", reply.error().message());
    });
}

void JobFront::discardCopies(const JobName& job)
{
    for (const Peer& peer : context_.fleet_->peers()) {
        if (peer.isLive() && peer.spooledJobs_ > 0)
            removeSpooledCopy(peer.node_, job);
    }
}

void JobFront::respond(const std::shared_ptr<http::Exchange>& exchange, const std::string& id, const JobName& job, const IntakeAnswer& answer, TimePoint startedAt, TimePoint now)
{
    context_.log_.line("jobSubmitted").with("request", id).with("job", job).with("outcome", toString(answer.outcome_)).with("items", answer.items_).with("owner", answer.owner_.value()).with("afterMs", now - startedAt);
    switch (answer.outcome_) {
    case AcceptOutcome::Accepted:
    case AcceptOutcome::Spooled:
        context_.metrics_.metrics_.observe(context_.metrics_.accept_, toMilliseconds(now - startedAt));
        if (answer.outcome_ == AcceptOutcome::Spooled)
            context_.metrics_.metrics_.add(context_.metrics_.jobsSpooled_);
        return exchange->respond({ 202, { { "Content-Type", "application/json" } }, "{}" });
    case AcceptOutcome::AlreadyAccepted:
        return exchange->respond({ 202, { { "Content-Type", "application/json" } }, "{}" });
    case AcceptOutcome::NotAccepted:
        context_.metrics_.metrics_.add(context_.metrics_.refused_);
        return exchange->respond(refusalResponse(context_.translation_, 503, "store.Unavailable", "the store can't take the job now; no item of it runs", RunState::NotRun, retryAfter));
    case AcceptOutcome::Unknown:
        context_.metrics_.metrics_.add(context_.metrics_.failed_);
        return exchange->respond(refusalResponse(context_.translation_, 500, "store.OutcomeUnknown", "the store gave no answer; the job may be accepted, send it again", RunState::OutcomeUnknown, {}));
    case AcceptOutcome::Invalid:
        return exchange->respond(refusalResponse(context_.translation_, 400, "job.Invalid", answer.failure_.message(), RunState::NotRun, {}));
    }
}

// ---- calls about existing jobs

NodeId JobFront::ownerOf(const JobName& job) const
{
    const auto found = owners_.find(job);
    if (found != owners_.end() && context_.fleet_->isLive(found->second))
        return found->second;
    return context_.fleet_->preferredOwner(job, context_.fleet_->self());
}

void JobFront::rememberOwner(const JobName& job, NodeId owner)
{
    if (owners_.size() >= maxKnownOwners)
        owners_.clear();
    owners_[job] = owner;
}

void JobFront::call(std::shared_ptr<http::Exchange> exchange, const RouteTable& table, const Caller& caller, JobRequest call)
{
    auto pending = std::make_shared<PendingCall>();
    pending->exchange_ = std::move(exchange);
    pending->call_ = std::move(call);
    pending->id_ = jobOf(pending->call_);
    jobOf(pending->call_) = storedJobName(table, caller, pending->id_);
    start(pending);
}

void JobFront::start(const PendingCallPtr& pending)
{
    pending->nextNode_ = ownerOf(jobOf(pending->call_));
    pending->startedAt_ = context_.now();
    pending->hops_ = 0;
    queryOwner(pending);
}

void JobFront::queryOwner(const PendingCallPtr& pending)
{
    if (pending->nextNode_ == context_.fleet_->self() || pending->nextNode_.isNone())
        return answerLocally(pending, pending->nextNode_.isNone());
    const HopTimes times = hopTimes(waitOf(pending->call_), context_.now() - pending->startedAt_);
    context_.fleet_->request(pending->nextNode_, peerCallOf(pending->call_, times.wait_), times.timeout_, [this, pending](Result<PeerReply> reply) {
        if (!reply) {
            context_.log_.line("ownerUnreachable").with("job", jobOf(pending->call_)).with("call", nameOf(pending->call_)).with("owner", pending->nextNode_.value()).with("error", reply.error().message());
            return answerLocally(pending, true);
        }
        ReadOutcome outcome = ReadOutcome::Unavailable;
        NodeId owner;
        if (const auto* read = std::get_if<ReadAnswer>(&reply.value())) {
            outcome = read->outcome_;
            owner = read->owner_;
        } else if (const auto* body = std::get_if<BodyAnswer>(&reply.value())) {
            outcome = body->outcome_;
            owner = body->owner_;
        } else if (const auto* end = std::get_if<CancelAnswer>(&reply.value())) {
            outcome = end->outcome_;
            owner = end->owner_;
        }
        onReply(pending, outcome, owner, false, reply.value());
    });
}

void JobFront::answerLocally(const PendingCallPtr& pending, bool bypassOwner)
{
    const TimePoint now = context_.now();
    if (const auto* read = std::get_if<JobReadRequest>(&pending->call_)) {
        return scheduler_.read(read->job_, read->after_, hopTimes(read->wait_, now - pending->startedAt_).wait_, bypassOwner, now, [this, pending](ReadAnswer answer) {
            const ReadOutcome outcome = answer.outcome_;
            const NodeId owner = answer.owner_;
            onReply(pending, outcome, owner, true, std::move(answer));
        });
    }
    if (const auto* body = std::get_if<ItemBodyRequest>(&pending->call_)) {
        return scheduler_.body(body->job_, body->item_, bypassOwner, now, [this, pending](BodyAnswer answer) {
            const ReadOutcome outcome = answer.outcome_;
            const NodeId owner = answer.owner_;
            onReply(pending, outcome, owner, true, std::move(answer));
        });
    }
    scheduler_.end(std::get<JobCancelRequest>(pending->call_).job_, bypassOwner, now, [this, pending](CancelAnswer answer) { onReply(pending, answer.outcome_, answer.owner_, true, answer); });
}

void JobFront::onReply(const PendingCallPtr& pending, ReadOutcome outcome, NodeId owner, bool wasLocal, const PeerReply& reply)
{
    const bool mayContinue = ++pending->hops_ < maxHops && context_.now() - pending->startedAt_ < waitOf(pending->call_) + callTimeout;
    const JobName& job = jobOf(pending->call_);
    switch (nextStep(outcome, owner, context_.fleet_->self(), { wasLocal, mayContinue, mayBeStoredUnderId(job, pending->id_) })) {
    case JobCallStep::AskOwner:
        rememberOwner(job, owner);
        pending->nextNode_ = owner;
        return queryOwner(pending);
    case JobCallStep::ReadStore:
        if (outcome == ReadOutcome::OtherOwner)
            rememberOwner(job, owner);
        return answerLocally(pending, true);
    case JobCallStep::AskByCallersId:
        jobOf(pending->call_) = pending->id_;
        return start(pending);
    case JobCallStep::Respond:
        break;
    }
    if (outcome == ReadOutcome::Found && !wasLocal)
        rememberOwner(job, pending->nextNode_);
    respond(*pending, outcome, wasLocal, reply);
}

void JobFront::respond(const PendingCall& pending, ReadOutcome outcome, bool wasLocal, const PeerReply& reply)
{
    http::Exchange& exchange = *pending.exchange_;
    const int status = statusOf(outcome);
    const bool isUnsure = status == 503;
    if (outcome != ReadOutcome::Found)
        context_.log_.line("jobCallFailed").with("job", jobOf(pending.call_)).with("call", nameOf(pending.call_)).with("outcome", isUnsure ? "unsure" : "missing").with("hops", pending.hops_).with("afterMs", context_.now() - pending.startedAt_);
    if (outcome == ReadOutcome::Found && std::holds_alternative<JobCancelRequest>(pending.call_))
        context_.log_.line("jobEndAcknowledged").with("job", jobOf(pending.call_)).with("by", wasLocal ? "thisHost" : "owner").with("owner", wasLocal ? std::get<CancelAnswer>(reply).owner_.value() : pending.nextNode_.value()).with("hops", pending.hops_).with("afterMs", context_.now() - pending.startedAt_);
    if (isUnsure)
        return exchange.respond(refusalResponse(context_.translation_, status, "job.Unsure", "neither the job's owner nor the store can be asked now", RunState::NotRun, retryAfter));
    if (outcome == ReadOutcome::Missing)
        return exchange.respond(refusalResponse(context_.translation_, status, "job.NotFound", "no such job or item", RunState::NotRun, {}));
    if (const auto* read = std::get_if<ReadAnswer>(&reply))
        return exchange.respond({ 200, { { "Content-Type", "application/json" } }, context_.translation_.formatResults_(*read) });
    if (const auto* body = std::get_if<BodyAnswer>(&reply))
        return exchange.respond({ 200, { { "Content-Type", "application/octet-stream" } }, body->body_ });
    exchange.respond({ 200, { { "Content-Type", "application/json" } }, "{}" });
}

} // namespace jj
