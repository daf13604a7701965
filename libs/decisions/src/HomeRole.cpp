// Events of the home role.
#include "HomeRole.h"

#include <algorithm>

namespace jj {

namespace {

    // Waiting batch items beyond this share of the slots go back: they'd only lose the choice of another engine.
    constexpr double batchWaitingShare = 0.5;
    constexpr double stayWeight = 0.05;
    // More than an engine can have given unseen before it crashed.
    constexpr std::uint32_t tokensThatClear = 4;

} // namespace

HomeRole::Cell HomeRole::cell(RequestId request)
{
    const auto row = requests_.find(request);
    return { requests_.get<RequestSpec>(*row), requests_.get<Item>(*row) };
}

EngineState& HomeRole::engine(UpstreamId upstream)
{
    if (EngineState* known = engines_.cell<EngineState>(upstream))
        return *known;
    engines_.insert(upstream, EngineState {});
    return *engines_.cell<EngineState>(upstream);
}

const ServicePolicy& HomeRole::policyOf(UpstreamId upstream) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    return fleet_.policy(info ? info->service_ : ServiceId::none());
}

void HomeRole::handedOver(const HandedOver& event, TimePoint now, Commands& out)
{
    const RequestSpec& spec = event.spec_;
    const RequestId request = spec.id_;
    if (const Item* known = requests_.cell<Item>(request)) {
        // Handed over anew while an older hand-over is still here: the entry has given the older one up.
        if (known->handOver_ >= event.number_)
            return;
        cancel(request, now, out);
    }
    requests_.insert(request, spec, Item {});
    Item& item = *requests_.cell<Item>(request);
    item.handOver_ = event.number_;
    item.entry_ = event.entry_;
    item.upstream_ = event.upstream_;
    item.position_ = item.startPosition_ = event.position_;
    item.slack_ = event.slack_;
    item.urgent_ = fleet_.features().slackPacing_ && spec.class_ == RequestClass::Batch && event.slack_ < Duration::zero();
    if (quarantine_.isProven(spec.fingerprint_, now))
        return refuse(request, RefusalReason::Quarantined, out);
    if (isDue(spec, event.position_) && spec.deadline_ <= now)
        return refuse(request, RefusalReason::Expired, out);
    item.suspect_ = quarantine_.find(spec.fingerprint_, now) != nullptr;

    const UpstreamChanged* info = fleet_.upstream(event.upstream_);
    EngineState& state = engine(event.upstream_);
    if (!info || info->state_ != UpstreamState::Serving || state.circuit_.isOpen())
        return giveBack(request, RefusalReason::NoUpstream, {}, out);
    const ServicePolicy& policy = policyOf(event.upstream_);
    const bool online = spec.class_ == RequestClass::Online;
    const auto batchBound = static_cast<std::uint32_t>(fleet_.slotsOf(*info) * batchWaitingShare) + 1;
    const bool full = online ? state.onlineWaiting_ >= policy.queueItems_ : fleet_.features().homes_ && !item.suspect_ && state.batchWaiting_ >= batchBound;
    if (full || state.waitingBytes_ + spec.bytes_ > policy.queueBytes_)
        return giveBack(request, RefusalReason::QueueFull, onlineWait(event.upstream_, state, state.onlineWaiting_), out);
    if (online && isDue(spec, event.position_) && fleet_.features().homes_) {
        const Duration wait = onlineWait(event.upstream_, state, aheadOf(state, state.online_.waiting(spec.workspace_)));
        if (now + wait > spec.deadline_)
            return giveBack(request, RefusalReason::DeadlineUnreachable, wait, out);
    }
    if (online) {
        state.heat_.add(now);
        heats_[spec.service_].heat_.add(now);
    }
    enqueue(request, state, false);
    if (!online)
        followJob(event, now);
    pump(event.upstream_, now, out);
}

void HomeRole::followJob(const HandedOver& event, TimePoint now)
{
    const JobId job = event.spec_.job_;
    const bool urgent = fleet_.features().slackPacing_ && event.slack_ < Duration::zero();
    const auto known = urgentJobs_.find(job);
    if (job.isNone() || (known != urgentJobs_.end()) == urgent)
        return;
    if (urgent)
        urgentJobs_.emplace(job, event.spec_.deadline_);
    else
        urgentJobs_.erase(known);
    const std::vector<RequestId> ids(requests_.ids().begin(), requests_.ids().end());
    for (const RequestId request : ids) {
        const Cell row = cell(request);
        if (row.spec_.job_ != job || row.item_.urgent_ == urgent || (!urgent && mustRunNow(row.spec_, row.item_, now)))
            continue;
        setUrgent(request, urgent);
    }
}

void HomeRole::setUrgent(RequestId request, bool urgent)
{
    const Cell row = cell(request);
    EngineState& state = engine(row.item_.upstream_);
    row.item_.urgent_ = urgent;
    if (row.item_.running_) {
        state.urgentRunning_ += urgent ? 1U : ~0U;
        return;
    }
    countWaiting(row.spec_, state, -1);
    enqueue(request, state, row.item_.attempt_ > 0);
}

bool HomeRole::mustRunNow(const RequestSpec& spec, const Item& item, TimePoint now) const
{
    if (spec.class_ != RequestClass::Batch || spec.deadline_ == neverTime || !fleet_.features().slackPacing_)
        return false;
    const std::uint32_t left = spec.maxOutputTokens_ - std::min(item.position_, spec.maxOutputTokens_);
    return spec.deadline_ - now < left * policyOf(item.upstream_).betweenTokensBound_;
}

void HomeRole::cancel(RequestId request, TimePoint now, Commands& out)
{
    const Item* item = requests_.cell<Item>(request);
    if (!item)
        return;
    const UpstreamId upstream = item->upstream_;
    EngineState& state = engine(upstream);
    if (item->running_)
        stop(request, state, CancelReason::CallerGone, false, out);
    else if (item->ticket_ != 0)
        countWaiting(*requests_.cell<RequestSpec>(request), state, -1);
    requests_.erase(request);
    pump(upstream, now, out);
}

void HomeRole::progressed(const AttemptsProgressed& event, TimePoint now, Commands& out)
{
    for (const AttemptProgress& progress : event.progress_) {
        Item* item = requests_.cell<Item>(progress.attempt_.request_);
        if (!item || !item->running_ || item->handOver_ != progress.attempt_.handOver_ || item->attempt_ != progress.attempt_.number_)
            continue;
        const UpstreamId upstream = item->upstream_;
        EngineState& state = engine(upstream);
        const bool first = !item->started();
        if (progress.position_ > item->position_) {
            if (!first)
                state.limit_.observe((now - item->progressAt_) / (progress.position_ - item->position_), now);
            item->position_ = progress.position_;
        }
        item->progressAt_ = now;
        const bool cleared = item->suspect_ && item->position_ >= item->startPosition_ + tokensThatClear;
        if (cleared) {
            clearSuspect(progress.attempt_.request_, state, now, out);
            pump(upstream, now, out);
        }
        if (!first || !item->started())
            continue;
        state.circuit_.onSuccess();
        const bool online = requests_.cell<RequestSpec>(progress.attempt_.request_)->class_ == RequestClass::Online;
        (online ? state.onlinePrompt_ : state.batchPrompt_) -= item->promptLeft_;
        item->promptLeft_ = 0;
        pump(upstream, now, out);
    }
}

void HomeRole::finished(const AttemptFinished& event, TimePoint now, Commands& out)
{
    const RequestId request = event.attempt_.request_;
    Item* item = requests_.cell<Item>(request);
    // The answer of an attempt that was superseded: dropped, its request goes on elsewhere.
    if (!item || item->attempt_ == 0 || item->handOver_ != event.attempt_.handOver_ || item->attempt_ != event.attempt_.number_)
        return;
    const UpstreamId upstream = item->upstream_;
    EngineState& state = engine(upstream);
    const RequestSpec& spec = *requests_.cell<RequestSpec>(request);
    state.circuit_.onSuccess();
    if (spec.class_ == RequestClass::Online)
        state.stay_ += stayWeight * (toSeconds(now - item->dispatchedAt_) - state.stay_);
    clearSuspect(request, state, now, out);
    // A stream that was asked to yield with its last token on the way has its whole answer: resumed behind its end, no engine would
    // take it, and its job would never be done.
    if (item->running_)
        countRunning(request, state, -1);
    else
        countWaiting(spec, state, -1);
    HandedBack back;
    back.outcome_ = HandOverOutcome::Answered;
    back.runState_ = RunState::Ran;
    back.position_ = event.position_;
    handBack(request, back, out);
    pump(upstream, now, out);
}

void HomeRole::failed(const AttemptFailed& event, TimePoint now, Commands& out)
{
    const RequestId request = event.attempt_.request_;
    Item* item = requests_.cell<Item>(request);
    if (!item || item->attempt_ == 0 || item->handOver_ != event.attempt_.handOver_ || item->attempt_ != event.attempt_.number_)
        return;
    const UpstreamId upstream = item->upstream_;
    EngineState& state = engine(upstream);
    // A stream that was asked to yield has failed before: what its engine did counts, and the stream goes on elsewhere.
    if (item->running_) {
        item->position_ = std::max(item->position_, event.position_);
        countRunning(request, state, -1);
    } else {
        countWaiting(*requests_.cell<RequestSpec>(request), state, -1);
    }
    failedAttempt(request, event.class_, event.bytesSent_, now, out);
    pump(upstream, now, out);
}

// What becomes of a request whose attempt has failed; the request is not running any more.
void HomeRole::failedAttempt(RequestId request, FailureClass failure, bool bytesSent, TimePoint now, Commands& out)
{
    const Cell row = cell(request);
    const RequestSpec spec = row.spec_;
    const UpstreamId upstream = row.item_.upstream_;
    EngineState& state = engine(upstream);
    if (!bytesSent && row.item_.attempt_ == 1)
        row.item_.sent_ = false;
    HandedBack back;
    back.outcome_ = HandOverOutcome::Returned;
    back.failedOn_ = upstream;
    back.runState_ = runStateOf(row.item_);
    back.position_ = row.item_.position_;
    if (failure == FailureClass::Rejected) {
        // The upstream works; it doesn't like the request, and no other will.
        back.outcome_ = HandOverOutcome::Refused;
        back.reason_ = RefusalReason::UpstreamError;
        back.runState_ = RunState::Ran;
        return handBack(request, back, out);
    }
    if (failure == FailureClass::Lapsed) {
        back.outcome_ = HandOverOutcome::Refused;
        back.reason_ = RefusalReason::Expired;
        return handBack(request, back, out);
    }
    const bool opened = state.circuit_.onFailure(failure, now);
    if (failure == FailureClass::Crashed && bytesSent) {
        back.crashes_ = quarantine_.addCrash(spec.fingerprint_, upstream, now);
        out.push_back(ShareFingerprint { { spec.fingerprint_, spec.service_, back.crashes_, upstream } });
    }
    const bool mayHaveRun = bytesSent && failure != FailureClass::Overloaded;
    const UpstreamChanged* info = fleet_.upstream(upstream);
    if (back.crashes_ >= Quarantine::crashesThatProve) {
        back.outcome_ = HandOverOutcome::Refused;
        back.reason_ = RefusalReason::Quarantined;
    } else if (mayHaveRun && !spec.idempotent_) {
        back.outcome_ = HandOverOutcome::Refused;
        back.reason_ = RefusalReason::OutcomeUnknown;
        back.runState_ = RunState::OutcomeUnknown;
    } else if (back.position_ > 0 && !(info && info->resumes_)) {
        // Part of the answer is with the caller and can't be continued elsewhere.
        back.outcome_ = HandOverOutcome::Refused;
        back.reason_ = RefusalReason::UpstreamError;
    }
    handBack(request, back, out);
    if (opened)
        returnWaiting(upstream, out);
    // Copies of the content at this home's other engines.
    if (back.crashes_ > 0)
        learned({ spec.fingerprint_, spec.service_, back.crashes_, upstream }, now, out);
}

void HomeRole::probeEnded(const ProbeEnded& event, TimePoint now, Commands& out)
{
    engine(event.upstream_).circuit_.onProbe(event.healthy_, now);
    nextReport_ = now; // entries learn at the next tick
    pump(event.upstream_, now, out);
}

void HomeRole::upstreamChanged(const UpstreamChanged& event, TimePoint now, Commands& out)
{
    if (!engines_.contains(event.upstream_))
        return;
    nextReport_ = now;
    if (event.state_ != UpstreamState::Serving)
        returnWaiting(event.upstream_, out);
    else
        pump(event.upstream_, now, out);
}

// A peer saw a content crash its upstream. Copies that run here would crash the next ones: they stop, and meet in one queue.
void HomeRole::learned(const FingerprintLearned& event, TimePoint now, Commands& out)
{
    if (event.crashes_ == 0)
        return;
    std::vector<RequestId> copies;
    const auto specs = requests_.column<RequestSpec>();
    const auto items = requests_.column<Item>();
    for (std::size_t i = 0; i < specs.size(); ++i) {
        if (specs[i].fingerprint_ == event.fingerprint_ && specs[i].service_ == event.service_ && !(event.crashes_ == 1 && items[i].suspect_))
            copies.push_back(specs[i].id_);
    }
    for (const RequestId request : copies) {
        const Cell row = cell(request);
        const UpstreamId upstream = row.item_.upstream_;
        EngineState& state = engine(upstream);
        if (row.item_.running_)
            stop(request, state, CancelReason::Superseded, false, out);
        else
            countWaiting(row.spec_, state, -1);
        row.item_.ticket_ = 0;
        if (event.crashes_ >= Quarantine::crashesThatProve || (row.item_.sent_ && !row.spec_.idempotent_))
            refuse(request, event.crashes_ >= Quarantine::crashesThatProve ? RefusalReason::Quarantined : RefusalReason::OutcomeUnknown, out);
        else
            giveBack(request, RefusalReason::None, {}, out);
        pump(upstream, now, out);
    }
}

void HomeRole::tick(TimePoint now, Commands& out)
{
    for (std::size_t i = 0; i < engines_.size(); ++i)
        relieve(engines_.ids()[i], engines_.column<EngineState>()[i], now, out);
    if (now >= nextScan_) {
        nextScan_ = now + scanPeriod;
        scanRequests(now, out);
        const std::vector<UpstreamId> ids(engines_.ids().begin(), engines_.ids().end());
        for (const UpstreamId upstream : ids) {
            EngineState& state = engine(upstream);
            if (state.circuit_.takeProbe(now))
                out.push_back(ProbeUpstream { upstream });
            const ServicePolicy& policy = policyOf(upstream);
            // The tail's weight tightens the bound that batch is held to.
            const double target = toSeconds(policy.betweenTokensBound_) * (1.0 - fleet_.features().stepTightening_ * policy.latencyWeight_);
            state.limit_.adapt(target, state.batchRunning_, batchMost(upstream), now);
            pump(upstream, now, out);
        }
    }
    if (now >= nextReport_) {
        nextReport_ = now + reportPeriod;
        boost::unordered::erase_if(urgentJobs_, [now](const auto& each) { return each.second <= now; });
        shareLoads(now, out);
    }
}

// What could go on nowhere else is waited for until its caller's time is up.
bool HomeRole::isHung(const RequestSpec& spec, const Item& item, TimePoint now) const
{
    if (now - item.progressAt_ <= policyOf(item.upstream_).silenceBound_)
        return false;
    const UpstreamChanged* info = fleet_.upstream(item.upstream_);
    const bool mayBeContinued = item.position_ == 0 || (info && info->resumes_);
    const bool mayGoElsewhere = spec.idempotent_ && mayBeContinued;
    return mayGoElsewhere || spec.deadline_ <= now || spec.deadline_ == neverTime;
}

void HomeRole::scanRequests(TimePoint now, Commands& out)
{
    std::vector<RequestId> expired;
    std::vector<RequestId> silent;
    std::vector<RequestId> urgent;
    const auto specs = requests_.column<RequestSpec>();
    const auto items = requests_.column<Item>();
    for (std::size_t i = 0; i < specs.size(); ++i) {
        const Item& item = items[i];
        const bool waits = !item.running_ || (specs[i].class_ == RequestClass::Online && !item.started());
        if (waits && isDue(specs[i], item.position_) && specs[i].deadline_ <= now)
            expired.push_back(specs[i].id_);
        else if (item.running_ && isHung(specs[i], item, now))
            silent.push_back(specs[i].id_);
        else if (!item.urgent_ && mustRunNow(specs[i], item, now))
            urgent.push_back(specs[i].id_);
    }
    // The last items of a job: no later hand-over tells this home that their slack is gone.
    for (const RequestId request : urgent)
        setUrgent(request, true);
    for (const RequestId request : expired) {
        const Cell row = cell(request);
        EngineState& state = engine(row.item_.upstream_);
        if (row.item_.running_)
            stop(request, state, CancelReason::Expired, false, out);
        else
            countWaiting(row.spec_, state, -1);
        refuse(request, RefusalReason::Expired, out);
    }
    // An open connection that something between the two ends has lost track of looks healthy for good; only the tokens that
    // don't come tell. The attempt is given up and the request goes on elsewhere.
    for (const RequestId request : silent) {
        stop(request, engine(cell(request).item_.upstream_), CancelReason::Superseded, false, out);
        failedAttempt(request, FailureClass::Silent, true, now, out);
    }
}

void HomeRole::shareLoads(TimePoint now, Commands& out)
{
    ShareLoad share;
    for (auto& each : heats_)
        each.second.engines_ = 0;
    fleet_.forEachHomed([&](UpstreamId upstream) {
        if (const auto found = heats_.find(fleet_.upstream(upstream)->service_); found != heats_.end())
            ++found->second.engines_;
    });
    for (auto& each : heats_)
        each.second.engines_ = std::max(each.second.engines_, 1U);
    for (const UpstreamId upstream : engines_.ids())
        share.loads_.push_back(loadOf(upstream, *engines_.cell<EngineState>(upstream), now));
    fleet_.forEachHomed([&](UpstreamId upstream) {
        if (!engines_.contains(upstream))
            share.loads_.push_back(loadOf(upstream, EngineState {}, now));
    });
    if (!share.loads_.empty())
        out.push_back(std::move(share));
}

HomeLoad HomeRole::loadOf(UpstreamId upstream, const EngineState& engine, TimePoint now) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    HomeLoad load;
    load.upstream_ = upstream;
    load.home_ = fleet_.settings().self_;
    // The clock grows over restarts of the process, so a new run's reports pass for newer ones.
    load.sequence_ = static_cast<std::uint64_t>(now.time_since_epoch().count()) + 1;
    load.onlineRunning_ = engine.onlineRunning_;
    load.onlineWaiting_ = engine.onlineWaiting_;
    load.batchRunning_ = engine.batchRunning_;
    load.batchWaiting_ = engine.batchWaiting_;
    load.slots_ = info ? fleet_.slotsOf(*info) : 0;
    // A few more than run now, so that a stream that ends finds its successor here: idle capacity lasts only seconds.
    constexpr double lookAhead = 4;
    const double allowed = std::min(engine.limit_.value(), batchMost(upstream)) + lookAhead;
    const double taken = engine.batchRunning_ + engine.batchWaiting_;
    const bool open = engine.circuit_.isOpen();
    load.batchRoom_ = open || allowed <= taken ? 0 : static_cast<std::uint32_t>(allowed - taken);
    load.onlineWait_ = onlineWait(upstream, engine, engine.onlineWaiting_);
    load.freshWait_ = onlineWait(upstream, engine, aheadOf(engine, 0));
    load.step_ = fromSeconds(engine.limit_.meanSeconds());
    load.suspect_ = open;
    return load;
}

} // namespace jj
