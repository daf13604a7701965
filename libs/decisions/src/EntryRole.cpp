// Admission, hand-over, retries and final answers at the entry node.
#include "EntryRole.h"

#include <algorithm>

namespace jj {

namespace {

    // What a caller receives when nothing better is known.
    constexpr Duration standardRetryAfter = std::chrono::seconds(1);
    constexpr Duration firstBackoff = std::chrono::milliseconds(20);
    // How long an upstream that failed a request of ours is left out, unless its home says that it is well.
    constexpr Duration avoidFor = std::chrono::milliseconds(500);
    constexpr Duration avoidReturned = std::chrono::milliseconds(200);
    // Callers that are refused come back at least this much later, so that they don't return in a wave within the same burst.
    constexpr Duration leastRetryAfter = std::chrono::milliseconds(500);

} // namespace

void EntryRole::arrive(const RequestSpec& spec, TimePoint now, Commands& out)
{
    if (requests_.contains(spec.id_))
        return;
    const auto refuseAtDoor = [&](RefusalReason reason, Duration retryAfter) {
        ++refusals_;
        out.push_back(Refuse { spec.id_, reason, RunState::NotRun, retryAfter });
    };
    if (quarantine_.isProven(spec.fingerprint_, now))
        return refuseAtDoor(RefusalReason::Quarantined, {});
    if (spec.deadline_ <= now)
        return refuseAtDoor(RefusalReason::Expired, {});
    const bool full = requests_.size() >= maxRequests || bytes_ + spec.bytes_ > maxBytes;
    if (full || (spec.class_ == RequestClass::Batch && batchWaiting_ >= maxBatchWaiting))
        return refuseAtDoor(RefusalReason::QueueFull, standardRetryAfter);
    requests_.insert(spec.id_, spec, Progress {});
    bytes_ += spec.bytes_;
    budget(spec).onFirstAttempt(fleet_.policy(spec.service_).retryPercent_);
    if (spec.class_ == RequestClass::Batch)
        enqueueBatch(spec.id_, now, out);
    else
        route(spec.id_, now, out);
}

RetryBudget& EntryRole::budget(const RequestSpec& spec)
{
    Budgets& budgets = budgets_[spec.service_];
    return spec.class_ == RequestClass::Online ? budgets.online_ : budgets.batch_;
}

void EntryRole::route(RequestId request, TimePoint now, Commands& out)
{
    const auto row = requests_.find(request);
    const RequestSpec& spec = requests_.get<RequestSpec>(*row);
    const Progress& progress = requests_.get<Progress>(*row);
    const Quarantine::Entry* suspect = quarantine_.find(spec.fingerprint_, now);
    const auto choice = suspect ? router_.chooseForSuspect(spec, suspect->lastUpstream_, now) : router_.choose(spec, isUrgent(spec, now), progress.avoid_, now);
    if (!choice)
        return refuse(request, RefusalReason::NoUpstream, standardRetryAfter, out);
    if (spec.class_ == RequestClass::Online && isDue(spec, progress.position_) && now + choice->wait_ > spec.deadline_)
        return refuse(request, RefusalReason::DeadlineUnreachable, std::max(leastRetryAfter, choice->wait_), out);
    send(request, *choice, now, out);
}

void EntryRole::send(RequestId request, const Choice& choice, TimePoint now, Commands& out)
{
    const auto row = requests_.find(request);
    const RequestSpec& spec = requests_.get<RequestSpec>(*row);
    Progress& progress = requests_.get<Progress>(*row);
    progress.stage_ = Stage::Sent;
    progress.home_ = choice.home_;
    progress.upstream_ = choice.upstream_;
    ++progress.handOver_;
    router_.noteSent(spec, choice.upstream_, now);
    out.push_back(SendToHome { { request, progress.handOver_ }, choice.home_, choice.upstream_, progress.position_, slackOf(spec, now) });
}

void EntryRole::enqueueBatch(RequestId request, TimePoint now, Commands& out)
{
    const auto row = requests_.find(request);
    const RequestSpec& spec = requests_.get<RequestSpec>(*row);
    if (quarantine_.find(spec.fingerprint_, now))
        return route(request, now, out);
    requests_.get<Progress>(*row).stage_ = Stage::Waiting;
    ++batchWaiting_;
    pushBatch(request, now);
    feedBatch(now, out);
}

void EntryRole::pushBatch(RequestId request, TimePoint now)
{
    const auto row = requests_.find(request);
    const RequestSpec& spec = requests_.get<RequestSpec>(*row);
    Progress& progress = requests_.get<Progress>(*row);
    progress.ticket_ = nextTicket_++;
    FairQueue& queue = isUrgent(spec, now) ? urgent_ : batch_;
    queue.push(spec.workspace_, { request, progress.ticket_, spec.promptTokens_ + spec.maxOutputTokens_ });
}

bool EntryRole::isUrgent(const RequestSpec& spec, TimePoint now) const
{
    return fleet_.features().slackPacing_ && slackOf(spec, now) < Duration::zero();
}

void EntryRole::feedBatch(TimePoint now, Commands& out)
{
    if (batchWaiting_ == 0)
        return;
    const auto alive = [this](const FairQueue::Entry& entry) {
        const Progress* progress = requests_.cell<Progress>(entry.request_);
        return progress && progress->stage_ == Stage::Waiting && progress->ticket_ == entry.ticket_;
    };
    for (FairQueue* queue : { &urgent_, &batch_ }) {
        while (const FairQueue::Entry* entry = queue->front(alive)) {
            const RequestId request = entry->request_;
            const auto row = requests_.find(request);
            const auto choice = router_.choose(requests_.get<RequestSpec>(*row), queue == &urgent_, requests_.get<Progress>(*row).avoid_, now);
            if (!choice)
                break;
            queue->popFront();
            --batchWaiting_;
            send(request, *choice, now, out);
        }
    }
}

// Slack = deadline - now - remaining work at the measured rate.
Duration EntryRole::slackOf(const RequestSpec& spec, TimePoint now) const
{
    const auto found = jobs_.find(spec.job_);
    if (spec.class_ != RequestClass::Batch || found == jobs_.end() || found->second.deadline_ == neverTime)
        return Duration::max();
    return found->second.deadline_ - now - found->second.remaining_;
}

void EntryRole::apply(const JobPace& event, TimePoint now)
{
    JobView& job = jobs_[event.job_];
    const bool wasUrgent = job.urgent_;
    job.deadline_ = event.deadline_;
    job.readAt_ = now;
    constexpr double leastRate = 0.01;
    constexpr double longestSeconds = 1e7;
    job.remaining_ = fromSeconds(std::min(longestSeconds, static_cast<double>(event.itemsLeft_) / std::max(event.itemsPerSecond_, leastRate)));
    job.urgent_ = fleet_.features().slackPacing_ && job.deadline_ != neverTime && job.deadline_ - now < job.remaining_;
    if (job.urgent_ == wasUrgent)
        return;
    // Its waiting items change queues.
    const auto specs = requests_.column<RequestSpec>();
    const auto progresses = requests_.column<Progress>();
    for (std::size_t i = 0; i < specs.size(); ++i) {
        if (specs[i].job_ == event.job_ && progresses[i].stage_ == Stage::Waiting)
            pushBatch(specs[i].id_, now);
    }
}

bool EntryRole::cancel(RequestId request, TimePoint, Commands& out)
{
    const Progress* progress = requests_.cell<Progress>(request);
    if (!progress)
        return false;
    if (progress->stage_ == Stage::Sent)
        out.push_back(CancelAtHome { { request, progress->handOver_ }, progress->home_ });
    refuse(request, RefusalReason::Cancelled, {}, out);
    return true;
}

void EntryRole::handedBack(const HandedBack& event, TimePoint now, Commands& out)
{
    const RequestId request = event.handOver_.request_;
    Progress* progress = requests_.cell<Progress>(request);
    // An answer to a hand-over that was superseded: the request lives on under a newer one.
    if (!progress || progress->stage_ != Stage::Sent || progress->handOver_ != event.handOver_.number_)
        return;
    if (event.outcome_ == HandOverOutcome::Answered) {
        out.push_back(Answer { request });
        erase(request);
        return;
    }
    progress->position_ = std::max(progress->position_, event.position_);
    if (event.runState_ != RunState::NotRun)
        progress->runState_ = event.runState_;
    const RequestSpec& spec = *requests_.cell<RequestSpec>(request);
    if (event.crashes_ > 0)
        quarantine_.learn(spec.fingerprint_, event.crashes_, event.failedOn_, now);
    if (event.outcome_ == HandOverOutcome::Refused)
        return refuse(request, event.reason_, event.retryAfter_, out);
    if (!event.failedOn_.isNone())
        return retry(request, event.failedOn_, now, out);
    // Not run there: the queue is full or too long, or the engine is on its way out. Somewhere else may do.
    // An engine that doesn't serve is left out until its home's report can have come. Without this a batch item went to and fro
    // between an entry and a home on one node, within one instant, for good.
    if (UpstreamView* view = fleet_.view(progress->upstream_); view && event.reason_ == RefusalReason::NoUpstream)
        view->avoidUntil_ = std::max(view->avoidUntil_, now + avoidReturned);
    if (++progress->returns_ > maxReturns)
        return refuse(request, event.reason_, std::max(leastRetryAfter, event.retryAfter_), out);
    if (progress->avoid_.size() < progress->avoid_.capacity())
        progress->avoid_.push_back(progress->upstream_);
    if (spec.class_ == RequestClass::Batch) {
        // Its room is gone; the next report brings the truth.
        if (UpstreamView* view = fleet_.view(progress->upstream_))
            view->load_.batchRoom_ = 0;
        progress->avoid_.clear();
        progress->returns_ = 0;
        return enqueueBatch(request, now, out);
    }
    route(request, now, out);
}

void EntryRole::homeLost(const HomeLost& event, TimePoint now, Commands& out)
{
    const RequestId request = event.handOver_.request_;
    Progress* progress = requests_.cell<Progress>(request);
    if (!progress || progress->stage_ != Stage::Sent || progress->handOver_ != event.handOver_.number_)
        return;
    fleet_.markSilent(progress->home_, now);
    progress->position_ = std::max(progress->position_, event.position_);
    if (event.sent_)
        progress->runState_ = RunState::OutcomeUnknown;
    if (event.sent_ && !requests_.cell<RequestSpec>(request)->idempotent_)
        return refuse(request, RefusalReason::OutcomeUnknown, {}, out);
    // The engine isn't to blame: the next home in the hash order takes it, on the same engine or another.
    retry(request, UpstreamId::none(), now, out);
}

void EntryRole::retry(RequestId request, UpstreamId failedOn, TimePoint now, Commands& out)
{
    const auto row = requests_.find(request);
    const RequestSpec& spec = requests_.get<RequestSpec>(*row);
    Progress& progress = requests_.get<Progress>(*row);
    if (!failedOn.isNone()) {
        if (UpstreamView* view = fleet_.view(failedOn))
            view->avoidUntil_ = now + avoidFor;
        if (progress.avoid_.size() < progress.avoid_.capacity())
            progress.avoid_.push_back(failedOn);
    }
    if (progress.retries_ >= maxRetries || !budget(spec).take())
        return refuse(request, RefusalReason::RetriesExhausted, standardRetryAfter, out);
    ++progress.retries_;
    ++retries_;
    // The first retry goes at once: somebody waits, and the budget bounds the load. Later ones wait a jittered, doubling time.
    if (progress.retries_ == 1) {
        if (spec.class_ == RequestClass::Batch)
            return enqueueBatch(request, now, out);
        return route(request, now, out);
    }
    const auto most = static_cast<std::uint64_t>(firstBackoff.count()) << progress.retries_;
    progress.stage_ = Stage::Backoff;
    progress.retryAt_ = now + Duration(static_cast<std::int64_t>(most / 2 + random_() % (most / 2)));
    ++backoffs_;
}

void EntryRole::tick(TimePoint now, Commands& out)
{
    if (backoffs_ > 0 || batchWaiting_ > 0) {
        std::vector<RequestId> due;
        std::vector<RequestId> expired;
        const auto progresses = requests_.column<Progress>();
        const auto specs = requests_.column<RequestSpec>();
        for (std::size_t i = 0; i < progresses.size(); ++i) {
            if (progresses[i].stage_ == Stage::Sent)
                continue;
            if (isDue(specs[i], progresses[i].position_) && specs[i].deadline_ <= now)
                expired.push_back(specs[i].id_);
            else if (progresses[i].stage_ == Stage::Backoff && progresses[i].retryAt_ <= now)
                due.push_back(specs[i].id_);
        }
        for (const RequestId request : expired)
            refuse(request, RefusalReason::Expired, {}, out);
        for (const RequestId request : due) {
            --backoffs_;
            requests_.cell<Progress>(request)->stage_ = Stage::Routing;
            if (requests_.cell<RequestSpec>(request)->class_ == RequestClass::Batch)
                enqueueBatch(request, now, out);
            else
                route(request, now, out);
        }
    }
    feedBatch(now, out);
}

void EntryRole::refuse(RequestId request, RefusalReason reason, Duration retryAfter, Commands& out)
{
    ++refusals_;
    out.push_back(Refuse { request, reason, requests_.cell<Progress>(request)->runState_, retryAfter });
    erase(request);
}

void EntryRole::erase(RequestId request)
{
    const auto row = requests_.find(request);
    const Progress& progress = requests_.get<Progress>(*row);
    bytes_ -= requests_.get<RequestSpec>(*row).bytes_;
    batchWaiting_ -= progress.stage_ == Stage::Waiting ? 1 : 0;
    backoffs_ -= progress.stage_ == Stage::Backoff ? 1 : 0;
    requests_.erase(request);
}

} // namespace jj
