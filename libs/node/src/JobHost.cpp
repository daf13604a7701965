// One turn: an event into the job core, then its commands.
#include "JobHost.h"

#include "Translate.h"
#include "base/Hash.h"
#include "gateway/ChatCall.h"

#include <boost/json.hpp>

namespace jj {

namespace {

    namespace json = boost::json;

    // The core's slowest allowed tick: what must not wait for it (answers, uploads, cancels) has a turn of its own.
    constexpr Duration tickPeriod = 50ms;

    // An item's body names no model when its job names the service; the engine protocol wants one.
    std::string withModel(const std::string& body, const std::string& service)
    {
        json::error_code error;
        json::value value = json::parse(body, error);
        json::object* object = error ? nullptr : value.if_object();
        if (!object)
            return body;
        (*object)["model"] = service;
        return json::serialize(*object);
    }

    std::string answerBody(const std::string& text, std::uint32_t tokens)
    {
        json::object message { { "role", "assistant" }, { "content", text } };
        json::object choice { { "index", 0 }, { "message", std::move(message) }, { "finish_reason", "stop" } };
        return json::serialize(json::object { { "choices", json::array { std::move(choice) } }, { "usage", json::object { { "completion_tokens", tokens } } } });
    }

    std::string errorBody(const Refuse& refuse)
    {
        return json::serialize(json::object { { "error", json::object { { "reason", static_cast<int>(refuse.reason_) }, { "run", toString(refuse.runState_) } } } });
    }

    // Text of a running item; the sink's calls come one at a time.
    struct ItemText {
        std::string text_;
        std::uint32_t tokens_ = 0;
    };

} // namespace

JobHost::JobHost(std::unique_ptr<JobCore> core, NodeId self, RegionId region, ObjectClient& store, RequestPlane& plane, EventWriter* events, JobOutlets outlets)
    : self_(self)
    , region_(region)
    , store_(store)
    , plane_(plane)
    , events_(events)
    , outlets_(std::move(outlets))
    , core_(std::move(core))
{
}

Result<std::unique_ptr<JobHost>> JobHost::create(Runtime& runtime, const JobCoreOptions& options, RegionId region, ObjectClient& store, RequestPlane& plane, EventWriter* events, JobOutlets outlets)
{
    BOOST_OUTCOME_TRY(auto core, JobCore::create(options));
    std::unique_ptr<JobHost> host(new JobHost(std::move(core), options.node_, region, store, plane, events, std::move(outlets)));
    host->actor_ = runtime.spawn(tickPeriod, [raw = host.get()](TimePoint now) {
        raw->core_->tick(now, SystemClock().wallNow());
        raw->performAll(now);
    });
    return host;
}

AskId JobHost::nextAsk() { return AskId(nextAsk_++); }

void JobHost::record(EventKind kind, JobId job, ItemIndex item, EventDetail detail)
{
    if (!events_)
        return;
    TimelineEvent event;
    event.kind_ = kind;
    event.job_ = job;
    event.item_ = item;
    event.detail_ = std::move(detail);
    events_->write(std::move(event), SystemClock().wallNow());
}

UploadId JobHost::beginUpload(UploadBegun header, UploadSink sink)
{
    const UploadId id(nextUpload_++);
    header.upload_ = id;
    actor_.post([this, id, header = std::move(header), sink = std::move(sink)](TimePoint now) mutable {
        uploads_[id] = std::move(sink);
        take(std::move(header), now);
    });
    return id;
}

void JobHost::uploadBytes(UploadId upload, std::string bytes)
{
    actor_.post([this, upload, bytes = std::move(bytes)](TimePoint now) mutable { take(UploadBytes { upload, std::move(bytes) }, now); });
}

void JobHost::endUpload(UploadId upload)
{
    actor_.post([this, upload](TimePoint now) { take(UploadEnded { upload }, now); });
}

void JobHost::abortUpload(UploadId upload)
{
    actor_.post([this, upload](TimePoint now) {
        uploads_.erase(upload);
        take(UploadAborted { upload }, now);
    });
}

void JobHost::callFinished(CallFinished finished)
{
    actor_.post([this, finished = std::move(finished)](TimePoint now) mutable { take(std::move(finished), now); });
}

void JobHost::assign(std::vector<PartitionId> owned, std::vector<PartitionId> standby)
{
    actor_.post([this, owned = std::move(owned), standby = std::move(standby)](TimePoint now) mutable { take(PartitionsAssigned { std::move(owned), std::move(standby) }, now); });
}

void JobHost::onNotice(NodeId from, const JobNotice& notice)
{
    actor_.post([this, from, notice](TimePoint now) {
        switch (notice.kind_) {
        case JobNoticeKind::Accepted:
            return take(JobHinted { notice.job_ }, now);
        case JobNoticeKind::Cancel:
            return take(CancelTold { from, notice.job_ }, now);
        case JobNoticeKind::Stopped:
            return take(HolderStopped { notice.job_, notice.epoch_ }, now);
        }
    });
}

void JobHost::drain()
{
    actor_.post([this](TimePoint now) { take(DrainAsked {}, now); });
}

void JobHost::abandonItems()
{
    actor_.post([this](TimePoint now) { take(AbandonAsked {}, now); });
}

void JobHost::take(JobEvent event, TimePoint now)
{
    core_->handle(std::move(event), now, SystemClock().wallNow());
    performAll(now);
}

void JobHost::performAll(TimePoint now)
{
    for (const JobCommand& command : core_->take()) {
        std::visit(
            [&](const auto& one) {
                if constexpr (requires { perform(one, now); })
                    perform(one, now);
                else if constexpr (requires { perform(one); })
                    perform(one);
                else
                    answerAsk(one.ask_, command);
            },
            command);
    }
    const std::lock_guard lock(countsLock_);
    counts_ = core_->counts();
    drained_ = core_->isDrained();
}

void JobHost::answerAsk(AskId ask, const JobCommand& command)
{
    const auto found = asks_.find(ask);
    if (found == asks_.end())
        return;
    const AskSink sink = std::move(found->second);
    asks_.erase(found);
    sink(command);
}

void JobHost::perform(const StoreCall& command)
{
    store_.call(command.request_, [this, call = command.call_](const ObjectAnswer& answer) {
        actor_.post([this, call, answer](TimePoint now) { take(StoreAnswered { call, answer }, now); });
    });
}

void JobHost::perform(const RunItem& command, TimePoint now)
{
    const auto call = now < command.validUntil_ ? parseChatCall(withModel(command.body_, command.service_)) : Result<ChatCall>(BaseError::TimedOut);
    if (!call) {
        const RunOutcome outcome = call.error() == BaseError::TimedOut ? RunOutcome::NotRun : RunOutcome::Refused;
        ItemFinished finished;
        finished.run_ = command.run_;
        finished.outcome_ = outcome;
        finished.body_ = json::serialize(json::object { { "error", call.error().message() } });
        return take(std::move(finished), now);
    }
    EntryRequest request;
    RequestSpec& spec = request.spec_;
    spec.id_ = outlets_.nextRequest_();
    spec.service_ = idFromName<ServiceId>(command.service_);
    spec.workspace_ = idFromName<WorkspaceId>(command.workspace_);
    spec.class_ = RequestClass::Batch;
    spec.job_ = command.job_;
    spec.promptTokens_ = call.value().promptTokens_;
    spec.prefix_ = call.value().prefix_;
    spec.prefixTokens_ = call.value().prefixTokens_;
    spec.maxOutputTokens_ = call.value().maxTokens_;
    spec.bytes_ = static_cast<std::uint32_t>(call.value().openBody_.size());
    spec.deadline_ = now + (command.deadline_ - SystemClock().wallNow());
    spec.fingerprint_ = call.value().fingerprint_;
    spec.idempotent_ = !command.atMostOnce_;
    spec.originRegion_ = region_;
    request.startBefore_ = command.validUntil_;
    request.idempotencyKey_ = command.idempotencyKey_;
    request.body_ = call.value().openBody_;
    auto text = std::make_shared<ItemText>();
    request.sink_.tokens_ = [text](std::uint32_t position, std::uint32_t, std::string_view piece) {
        text->text_ += piece;
        text->tokens_ = position;
    };
    request.sink_.end_ = [this, command, text] {
        ItemFinished finished;
        finished.run_ = command.run_;
        finished.body_ = answerBody(text->text_, text->tokens_);
        finishItem(command, std::move(finished));
    };
    request.sink_.refuse_ = [this, command](const Refuse& refuse) {
        ItemFinished finished;
        finished.run_ = command.run_;
        finished.outcome_ = outcomeOf(refuse);
        finished.body_ = errorBody(refuse);
        finished.retryAfter_ = refuse.retryAfter_;
        finishItem(command, std::move(finished));
    };
    items_[command.run_] = spec.id_;
    EventDetail detail;
    detail.attempt_ = static_cast<std::int32_t>(command.attempt_);
    detail.epoch_ = command.epoch_;
    record(EventKind::ItemStarted, command.job_, command.item_, std::move(detail));
    plane_.open(std::move(request));
}

void JobHost::finishItem(const RunItem& item, ItemFinished finished)
{
    record(finished.outcome_ == RunOutcome::Done ? EventKind::ItemDone : EventKind::ItemFailed, item.job_, item.item_);
    actor_.post([this, finished = std::move(finished)](TimePoint now) mutable {
        items_.erase(finished.run_);
        take(std::move(finished), now);
    });
}

void JobHost::perform(const CancelItem& command)
{
    const auto found = items_.find(command.run_);
    if (found == items_.end())
        return;
    plane_.callerGone(found->second);
    items_.erase(found);
}

void JobHost::perform(const Acknowledge& command)
{
    const auto found = uploads_.find(command.upload_);
    if (found == uploads_.end())
        return;
    EventDetail detail;
    detail.count_ = command.items_;
    record(EventKind::JobAccepted, command.job_, {}, std::move(detail));
    found->second.accepted_(command);
    uploads_.erase(found);
}

void JobHost::perform(const RefuseUpload& command)
{
    const auto found = uploads_.find(command.upload_);
    if (found == uploads_.end())
        return;
    found->second.refused_(command);
    uploads_.erase(found);
}

void JobHost::perform(const PauseUpload& command)
{
    if (const auto found = uploads_.find(command.upload_); found != uploads_.end())
        found->second.pause_(true);
}

void JobHost::perform(const ResumeUpload& command)
{
    if (const auto found = uploads_.find(command.upload_); found != uploads_.end())
        found->second.pause_(false);
}

void JobHost::perform(const TellAccepted& command)
{
    for (const NodeId node : outlets_.holdersOf_(command.partition_)) {
        if (node != self_)
            outlets_.send_(node, JobNotice { JobNoticeKind::Accepted, command.job_, {} });
    }
}

void JobHost::perform(const TellCancel& command)
{
    outlets_.send_(command.to_, JobNotice { JobNoticeKind::Cancel, command.job_, {} });
}

void JobHost::perform(const TellStopped& command)
{
    outlets_.send_(command.to_, JobNotice { JobNoticeKind::Stopped, command.job_, command.epoch_ });
}

JobCoreCounts JobHost::counts() const
{
    const std::lock_guard lock(countsLock_);
    return counts_;
}

bool JobHost::isDrained() const
{
    const std::lock_guard lock(countsLock_);
    return drained_;
}

} // namespace jj
