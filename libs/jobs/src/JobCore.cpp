// Wires the parts of the job core together: each event to its part, ticks in a fixed order.
#include "jobs/JobCore.h"

#include "base/Hash.h"
#include "jobs/Acceptor.h"
#include "jobs/CancelDesk.h"
#include "jobs/Collector.h"
#include "jobs/IntentLog.h"
#include "jobs/JobRunner.h"
#include "jobs/PartitionLeases.h"
#include "jobs/ReadDesk.h"

namespace jj {

namespace {

    template <class... Handlers>
    struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <class... Handlers>
    Overloaded(Handlers...) -> Overloaded<Handlers...>;

    constexpr std::uint32_t mostPartitions = 1000; // one List answer holds all leases
    constexpr std::size_t recordSlack = 65'536; // room for headers and for text that compression makes longer

    bool fitTogether(const JobSettings& settings)
    {
        // A job is never removed while an upload goes on that found no manifest before it (see JobRunner::removeMarker).
        const bool times = settings.leaseMargin_ > Duration::zero() && settings.renewEvery_ * 2 < settings.leaseTime_ - settings.leaseMargin_ && settings.uploadBound_ * 2 < settings.orphanAge_
            && settings.uploadBound_ * 2 < settings.retention_;
        const bool sizes = settings.chunkBytes_ + recordSlack <= maxObjectBytes && settings.maxLineBytes_ < settings.chunkBytes_ && settings.maxResultBytes_ <= settings.maxLineBytes_;
        const bool counts = settings.partitions_ > 0 && settings.partitions_ <= mostPartitions && settings.chunkItems_ > 0 && settings.chunkWritesInFlight_ > 0 && settings.intentItems_ > 0
            && settings.outcomeGroup_ > 0 && settings.maxAttempts_ > 0 && settings.commitChunks_ > 0;
        return times && sizes && counts;
    }

} // namespace

struct JobCore::Parts {
    explicit Parts(const JobCoreOptions& options)
        : context_(options.settings_, options.node_, options.incarnation_, options.seed_)
        , leases_(context_, { [this](PartitionId partition, Epoch epoch) { runner_.acquired(partition, epoch); }, [this](PartitionId partition) { runner_.lapsed(partition); }, [this](PartitionId partition) { runner_.lost(partition); }, [this](PartitionId partition) { return runner_.isIdle(partition); } })
        , runner_(context_, leases_, [this](JobId job, Epoch epoch, NodeId requester) { stopped(job, epoch, requester); })
        , acceptor_(context_)
        , cancels_(context_, [this](JobId job) { runner_.cancelTold(job, context_.node_); })
        , reads_(context_)
        , intents_(context_)
        , collector_(context_)
    {
    }

    void stopped(JobId job, Epoch epoch, NodeId requester)
    {
        if (requester == context_.node_)
            cancels_.holderStopped(job, epoch);
        else
            context_.emit(TellStopped { requester, job, epoch });
    }

    void setTime(TimePoint now, WallTime wall)
    {
        context_.now_ = now;
        context_.wall_ = wall;
        leases_.noteLapses();
    }

    void sendCalls()
    {
        context_.queue_.tick(context_.now_);
        for (OutgoingCall& call : context_.queue_.take())
            context_.emit(StoreCall { call.id_, std::move(call.call_) });
    }

    JobContext context_;
    PartitionLeases leases_;
    JobRunner runner_;
    Acceptor acceptor_;
    CancelDesk cancels_;
    ReadDesk reads_;
    IntentLog intents_;
    Collector collector_;
};

Result<std::unique_ptr<JobCore>> JobCore::create(const JobCoreOptions& options)
{
    if (!fitTogether(options.settings_) || options.node_.isNone() || options.incarnation_.isNone())
        return JobError::BadSettings;
    return std::unique_ptr<JobCore>(new JobCore(options));
}

JobCore::JobCore(const JobCoreOptions& options)
    : parts_(std::make_unique<Parts>(options))
{
}

JobCore::~JobCore() = default;

void JobCore::handle(JobEvent event, TimePoint now, WallTime wallNow)
{
    Parts& parts = *parts_;
    parts.setTime(now, wallNow);
    std::visit(Overloaded {
                   [&](const PartitionsAssigned& e) { parts.leases_.assign(e); },
                   [&](const UploadBegun& e) { parts.acceptor_.begin(e); },
                   [&](const UploadBytes& e) { parts.acceptor_.bytes(e); },
                   [&](const UploadEnded& e) { parts.acceptor_.end(e.upload_); },
                   [&](const UploadAborted& e) { parts.acceptor_.abort(e.upload_); },
                   [&](const ItemFinished& e) { parts.runner_.itemFinished(e); },
                   [&](const WindowChanged& e) { parts.runner_.setWindow(e.items_); },
                   [&](const CancelAsked& e) { parts.cancels_.ask(e); },
                   [&](const CancelTold& e) { parts.runner_.cancelTold(e.job_, e.from_); },
                   [&](const HolderStopped& e) { parts.cancels_.holderStopped(e.job_, e.epoch_); },
                   [&](const JobHinted& e) { parts.runner_.hinted(e.job_); },
                   [&](const StatusAsked& e) { parts.reads_.ask(e); },
                   [&](const ResultsAsked& e) { parts.reads_.ask(e); },
                   [&](const CallAsked& e) { parts.intents_.ask(e); },
                   [&](const CallFinished& e) { parts.intents_.finished(e); },
                   [&](const DrainAsked&) { parts.context_.draining_ = true; },
                   [&](const AbandonAsked&) { parts.runner_.abandonItems(); },
                   [&](StoreAnswered& e) { parts.context_.queue_.answered(e.call_, std::move(e.answer_), now); },
               },
        event);
    parts.sendCalls();
}

void JobCore::tick(TimePoint now, WallTime wallNow)
{
    Parts& parts = *parts_;
    parts.setTime(now, wallNow);
    parts.leases_.tick();
    parts.acceptor_.tick();
    parts.cancels_.tick();
    parts.runner_.tick();
    parts.intents_.tick();
    parts.collector_.tick(!parts.leases_.actingEpoch(PartitionId(0)).isNone());
    parts.sendCalls();
}

std::vector<JobCommand> JobCore::take() { return std::exchange(parts_->context_.commands_, {}); }

void JobCore::setStoreRates(double readsPerSecond, double writesPerSecond) { parts_->context_.queue_.budget().setRates(readsPerSecond, writesPerSecond); }

JobCoreCounts JobCore::counts() const
{
    const Parts& parts = *parts_;
    return { parts.context_.queue_.sent(), parts.leases_.held(), parts.runner_.openJobs(), parts.runner_.loadedChunks(), parts.runner_.running(), parts.runner_.started(), parts.runner_.committed(),
        parts.context_.queue_.budget().isOut() };
}

bool JobCore::isDrained() const
{
    const Parts& parts = *parts_;
    return parts.context_.draining_ && parts.leases_.held() == 0 && parts.acceptor_.uploads() == 0 && parts.intents_.isIdle();
}

JobId jobIdOf(std::string_view workspace, std::string_view service, std::string_view keyOrDigest)
{
    const std::uint64_t scope = mixHash(hash64(workspace), hash64(service));
    return JobId(mixHash(scope, hash64(keyOrDigest)) >> 1);
}

PartitionId partitionOf(JobId job, std::uint32_t partitions) { return PartitionId(static_cast<std::uint32_t>(job.value() % partitions)); }

} // namespace jj
