// The systems of the home role over one engine, and the moves that they make.
#include "HomeRole.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jj {

namespace {

    // Streams above what is allowed that are left to end by themselves: yielding for each small cut would only move work about.
    constexpr double yieldSlack = 8;

} // namespace

void HomeRole::pump(UpstreamId upstream, TimePoint now, Commands& out)
{
    EngineState& state = engine(upstream);
    if (state.circuit_.isOpen())
        return;
    if (state.circuit_.state() == Circuit::State::HalfOpen && !state.running_.empty())
        return;
    if (!fleet_.features().onlineFirst_)
        return pumpInOrder(upstream, state, now, out);
    pumpSuspects(upstream, state, now, out);
    pumpOnline(upstream, state, now, out);
    relieve(upstream, state, now, out);
    pumpBatch(upstream, state, now, out);
}

void HomeRole::pumpInOrder(UpstreamId upstream, EngineState& state, TimePoint now, Commands& out)
{
    const auto alive = [this](const FairQueue::Entry& entry) {
        const Item* item = requests_.cell<Item>(entry.request_);
        return item && !item->running_ && item->ticket_ == entry.ticket_;
    };
    while (static_cast<double>(state.running_.size()) < batchMost(upstream)) {
        const FairQueue::Entry* entry = state.online_.front(alive);
        if (!entry)
            return;
        const RequestId request = entry->request_;
        state.online_.popFront();
        dispatch(request, state, now, out);
    }
}

// A suspect runs with no other suspect beside it, so that the next crash has one culprit.
void HomeRole::pumpSuspects(UpstreamId upstream, EngineState& state, TimePoint now, Commands& out)
{
    for (std::deque<FairQueue::Entry>* queue : { &state.onlineSuspects_, &state.batchSuspects_ }) {
        while (state.suspectsRunning_ == 0 && !queue->empty()) {
            const FairQueue::Entry entry = queue->front();
            const Item* item = requests_.cell<Item>(entry.request_);
            if (!item || item->running_ || item->ticket_ != entry.ticket_) {
                queue->pop_front();
                continue;
            }
            const RequestSpec& spec = *requests_.cell<RequestSpec>(entry.request_);
            while (!fits(state, upstream, spec) && yieldOne(upstream, state, out, Spare::None)) { }
            if (!fits(state, upstream, spec))
                return;
            queue->pop_front();
            dispatch(entry.request_, state, now, out);
        }
    }
}

// A content that crashes its engine does so again where it did before. A suspect that is past that place is innocent, and the
// next suspect may start; waiting for its last token would keep dozens of innocents of one crash in line for a minute.
void HomeRole::clearSuspect(RequestId request, EngineState& state, TimePoint now, Commands& out)
{
    const Cell row = cell(request);
    if (!row.item_.suspect_)
        return;
    row.item_.suspect_ = false;
    state.suspectsRunning_ -= row.item_.running_ ? 1 : 0;
    quarantine_.learn(row.spec_.fingerprint_, 0, row.item_.upstream_, now);
    out.push_back(ShareFingerprint { { row.spec_.fingerprint_, row.spec_.service_, 0, row.item_.upstream_ } });
}

void HomeRole::pumpOnline(UpstreamId upstream, EngineState& state, TimePoint now, Commands& out)
{
    const auto alive = [this](const FairQueue::Entry& entry) {
        const Item* item = requests_.cell<Item>(entry.request_);
        return item && !item->running_ && item->ticket_ == entry.ticket_;
    };
    while (const FairQueue::Entry* entry = state.online_.front(alive)) {
        const RequestId request = entry->request_;
        const RequestSpec& spec = *requests_.cell<RequestSpec>(request);
        while (!fits(state, upstream, spec) && yieldOne(upstream, state, out, Spare::None)) { }
        if (!fits(state, upstream, spec))
            return;
        state.online_.popFront();
        dispatch(request, state, now, out);
    }
}

// Batch gives way: each batch stream lengthens every step of an online request's prompt work, so when questions come fast all of
// them go, at the first few arrivals and not when the queue shows it.
void HomeRole::relieve(UpstreamId upstream, EngineState& state, TimePoint now, Commands& out)
{
    if (!fleet_.features().yielding_ || state.batchRunning_ == 0)
        return;
    const double allowed = batchAllowed(upstream, state, now);
    while (state.batchRunning_ > allowed + yieldSlack && yieldOne(upstream, state, out, Spare::Unstarted)) { }
}

void HomeRole::pumpBatch(UpstreamId upstream, EngineState& state, TimePoint now, Commands& out)
{
    const auto alive = [this](const FairQueue::Entry& entry) {
        const Item* item = requests_.cell<Item>(entry.request_);
        return item && !item->running_ && item->ticket_ == entry.ticket_;
    };
    for (FairQueue* queue : { &state.urgent_, &state.batch_ }) {
        while (const FairQueue::Entry* entry = queue->front(alive)) {
            const RequestId request = entry->request_;
            if (!batchMayStart(upstream, state, cell(request), queue == &state.urgent_, now))
                break;
            queue->popFront();
            dispatch(request, state, now, out);
        }
    }
}

double HomeRole::batchMost(UpstreamId upstream) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    const double slots = info ? fleet_.slotsOf(*info) : 0;
    // Without homes no node knows what the others run, so each takes its part.
    const double nodes = fleet_.features().homes_ ? 1.0 : static_cast<double>(fleet_.liveNodes());
    return std::max(1.0, slots * fleet_.features().batchShare_ / nodes);
}

bool HomeRole::fits(const EngineState& state, UpstreamId upstream, const RequestSpec& spec) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    if (!info)
        return false;
    if (!fleet_.features().homes_)
        return spec.class_ == RequestClass::Online || state.batchRunning_ < batchMost(upstream);
    if (state.running_.size() + 1 > fleet_.slotsOf(*info))
        return false;
    return info->kvTokens_ == 0 || state.kvHeld_ + kvOf(spec) <= info->kvTokens_;
}

double HomeRole::batchAllowed(UpstreamId upstream, const EngineState& state, TimePoint now) const
{
    const Features& features = fleet_.features();
    const double limit = features.adaptiveConcurrency_ ? std::min(state.limit_.value(), batchMost(upstream)) : batchMost(upstream);
    if (!features.yielding_)
        return limit;
    if (pressure(state) >= features.pressureTokens_)
        return 0;
    // Questions a second at which batch begins to shrink; at twice that none is left. The more the tail counts, the sooner.
    const double share = 2.0 - rateAt(upstream, state, now) / coolRate(upstream);
    return limit * std::clamp(share, 0.0, 1.0);
}

double HomeRole::rateAt(UpstreamId upstream, const EngineState& state, TimePoint now) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    const auto shared = info ? heats_.find(info->service_) : heats_.end();
    const double own = state.heat_.at(now);
    if (shared == heats_.end())
        return own;
    // One engine may be hot alone, when it holds a prefix that many ask for; then its own rate counts, less readily.
    return std::max(shared->second.heat_.at(now) / shared->second.engines_, own * fleet_.features().ownHeatWeight_);
}

double HomeRole::coolRate(UpstreamId upstream) const
{
    const Features& features = fleet_.features();
    return features.coolRate_ + (1.0 - policyOf(upstream).latencyWeight_) * features.coolRateRange_;
}

bool HomeRole::batchMayStart(UpstreamId upstream, const EngineState& state, const Cell& row, bool urgent, TimePoint now) const
{
    const Features& features = fleet_.features();
    const UpstreamChanged* info = fleet_.upstream(upstream);
    // The guaranteed share of a job whose slack has run out; its bound is what online gives up for it.
    if (urgent && info && state.urgentRunning_ < urgentFloor(*info) && fits(state, upstream, row.spec_))
        return true;
    if (state.onlineWaiting_ > 0 || state.batchRunning_ + 1 > batchAllowed(upstream, state, now))
        return false;
    if (!fits(state, upstream, row.spec_))
        return false;
    // Prompt work of batch goes ahead of the next question's inside the engine; a stream that kept its KV state has none. While
    // batch is shrinking no new prompt starts: it would yield before its first token, and be worked on again.
    if (!row.item_.kvFrom_.isNone() || !features.promptPacing_)
        return true;
    if (features.yielding_ && rateAt(upstream, state, now) > coolRate(upstream))
        return false;
    return state.batchPrompt_ == 0 || state.batchPrompt_ + row.spec_.promptTokens_ <= features.batchPromptTokens_;
}

std::uint32_t HomeRole::urgentFloor(const UpstreamChanged& upstream) const
{
    return static_cast<std::uint32_t>(std::ceil(fleet_.features().urgentShare_ * fleet_.slotsOf(upstream)));
}

double HomeRole::aheadOf(const EngineState& state, std::size_t waiting)
{
    const double turns = static_cast<double>((waiting + 1) * state.online_.workspaces());
    return std::min<double>(state.onlineWaiting_, turns);
}

// Prompt work ahead of a new arrival, at the pace of full steps, and the stay of those before it when the engine is full.
Duration HomeRole::onlineWait(UpstreamId upstream, const EngineState& state, double ahead) const
{
    const UpstreamChanged* info = fleet_.upstream(upstream);
    if (!info)
        return Duration::zero();
    const ServicePolicy& policy = policyOf(upstream);
    double wait = 0;
    if (info->kind_ == UpstreamKind::Engine) {
        const double share = state.onlineWaiting_ > 0 ? ahead / state.onlineWaiting_ : 0;
        const double prompt = state.onlinePrompt_ + state.onlinePromptWaiting_ * share;
        const double step = toSeconds(policy.stepBase_) + state.onlineRunning_ * toSeconds(policy.stepPerStream_);
        wait += prompt * (toSeconds(policy.stepPerPromptToken_) + step / std::max<std::uint32_t>(policy.chunkTokens_, 1));
    }
    const double slots = std::max<std::uint32_t>(fleet_.slotsOf(*info), 1);
    const double held = fleet_.features().yielding_ ? state.onlineRunning_ : static_cast<double>(state.running_.size());
    const double behind = ahead + held + 1 - slots;
    if (behind > 0)
        wait += behind * state.stay_ / slots;
    return fromSeconds(wait);
}

// ---- moves of one request

void HomeRole::enqueue(RequestId request, EngineState& state, bool first)
{
    const Cell row = cell(request);
    row.item_.ticket_ = nextTicket_++;
    const FairQueue::Entry entry { request, row.item_.ticket_, kvOf(row.spec_) };
    countWaiting(row.spec_, state, 1);
    if (!fleet_.features().onlineFirst_) {
        state.online_.push(WorkspaceId(0), entry);
    } else if (row.item_.suspect_) {
        (row.spec_.class_ == RequestClass::Online ? state.onlineSuspects_ : state.batchSuspects_).push_back(entry);
    } else {
        FairQueue& queue = row.spec_.class_ == RequestClass::Online ? state.online_ : row.item_.urgent_ ? state.urgent_
                                                                                                        : state.batch_;
        if (first)
            queue.pushFront(row.spec_.workspace_, entry);
        else
            queue.push(row.spec_.workspace_, entry);
    }
}

void HomeRole::countWaiting(const RequestSpec& spec, EngineState& state, int sign)
{
    const auto step = static_cast<std::uint32_t>(sign);
    if (spec.class_ == RequestClass::Online) {
        state.onlineWaiting_ += step;
        state.onlinePromptWaiting_ += step * spec.promptTokens_;
    } else {
        state.batchWaiting_ += step;
    }
    state.waitingBytes_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(sign) * spec.bytes_);
}

void HomeRole::countRunning(RequestId request, EngineState& state, int sign)
{
    const Cell row = cell(request);
    const bool online = row.spec_.class_ == RequestClass::Online;
    const auto step = static_cast<std::uint32_t>(sign);
    row.item_.running_ = sign > 0;
    (online ? state.onlineRunning_ : state.batchRunning_) += step;
    (online ? state.onlinePrompt_ : state.batchPrompt_) += step * row.item_.promptLeft_;
    state.urgentRunning_ += row.item_.urgent_ ? step : 0;
    state.suspectsRunning_ += row.item_.suspect_ ? step : 0;
    state.kvHeld_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(sign) * kvOf(row.spec_));
    running_ += static_cast<std::size_t>(static_cast<std::int64_t>(sign));
    if (sign > 0) {
        state.running_.push_back(request);
        return;
    }
    row.item_.promptLeft_ = 0;
    const auto place = std::find(state.running_.begin(), state.running_.end(), request);
    *place = state.running_.back();
    state.running_.pop_back();
}

void HomeRole::dispatch(RequestId request, EngineState& state, TimePoint now, Commands& out)
{
    const Cell row = cell(request);
    Item& item = row.item_;
    countWaiting(row.spec_, state, -1);
    const bool keepsKv = item.kvFrom_ == item.upstream_ && !item.kvFrom_.isNone();
    item.promptLeft_ = keepsKv ? 0 : row.spec_.promptTokens_ + item.position_;
    item.sent_ = true;
    ++item.attempt_;
    item.startPosition_ = item.position_;
    item.dispatchedAt_ = item.progressAt_ = now;
    countRunning(request, state, 1);
    out.push_back(Dispatch { { request, item.handOver_, item.attempt_ }, item.upstream_, item.position_, keepsKv ? item.kvFrom_ : UpstreamId::none() });
    item.kvFrom_ = UpstreamId::none();
}

void HomeRole::stop(RequestId request, EngineState& state, CancelReason reason, bool exportKv, Commands& out)
{
    const Item& item = cell(request).item_;
    out.push_back(CancelAttempt { { request, item.handOver_, item.attempt_ }, item.upstream_, reason, exportKv });
    countRunning(request, state, -1);
}

// Work that is lost when this stream gives way, in tokens to be worked on again; infinite when it mustn't.
double HomeRole::lossOf(RequestId request, bool exportsKv)
{
    const Cell row = cell(request);
    if (row.spec_.class_ != RequestClass::Batch || !row.spec_.idempotent_)
        return std::numeric_limits<double>::infinity();
    const double left = row.spec_.maxOutputTokens_ > row.item_.position_ ? row.spec_.maxOutputTokens_ - row.item_.position_ : 0;
    // Nothing is lost, so the one that would stay longest goes: those nearly done free their memory by themselves.
    if (exportsKv && row.item_.started())
        return 1.0 + 1.0 / (1.0 + left);
    return 2.0 + row.spec_.promptTokens_ - row.spec_.prefixTokens_ + row.item_.position_;
}

bool HomeRole::yieldOne(UpstreamId upstream, EngineState& state, Commands& out, Spare spare)
{
    const Features& features = fleet_.features();
    const UpstreamChanged* info = fleet_.upstream(upstream);
    if (!features.yielding_ || state.batchRunning_ == 0 || !info)
        return false;
    const bool exports = features.exportKv_ && info->exportsKv_;
    const bool urgentKept = state.urgentRunning_ <= urgentFloor(*info);
    RequestId cheapest;
    double least = std::numeric_limits<double>::infinity();
    for (const RequestId request : state.running_) {
        const Item& each = cell(request).item_;
        if ((urgentKept && each.urgent_) || (spare == Spare::Unstarted && !each.started()))
            continue;
        const double loss = lossOf(request, exports);
        if (loss < least) {
            least = loss;
            cheapest = request;
        }
    }
    if (cheapest.isNone())
        return false;
    Item& item = cell(cheapest).item_;
    const bool keep = exports && item.started();
    stop(cheapest, state, CancelReason::Yield, keep, out);
    item.kvFrom_ = keep ? upstream : UpstreamId::none();
    // Without a way to resume, the answer starts anew.
    if (!info->resumes_)
        item.position_ = item.startPosition_ = 0;
    enqueue(cheapest, state, true);
    ++yields_;
    return true;
}

void HomeRole::handBack(RequestId request, HandedBack back, Commands& out)
{
    const Item& item = *requests_.cell<Item>(request);
    back.handOver_ = HandOverId { request, item.handOver_ };
    out.push_back(HandBack { item.entry_, back });
    requests_.erase(request);
}

// Not run here, nothing failed: the entry tries elsewhere. The request isn't counted as waiting any more.
void HomeRole::giveBack(RequestId request, RefusalReason reason, Duration retryAfter, Commands& out)
{
    const Item& item = *requests_.cell<Item>(request);
    HandedBack back;
    back.outcome_ = HandOverOutcome::Returned;
    back.reason_ = reason;
    back.runState_ = runStateOf(item);
    back.retryAfter_ = retryAfter;
    back.position_ = item.position_;
    handBack(request, back, out);
}

void HomeRole::refuse(RequestId request, RefusalReason reason, Commands& out)
{
    HandedBack back;
    back.outcome_ = HandOverOutcome::Refused;
    back.reason_ = reason;
    back.runState_ = runStateOf(*requests_.cell<Item>(request));
    handBack(request, back, out);
}

// The engine is leaving or its circuit is open: what waits for it is answered or moved now, not when the engine is back.
void HomeRole::returnWaiting(UpstreamId upstream, Commands& out)
{
    std::vector<RequestId> waiting;
    const auto specs = requests_.column<RequestSpec>();
    const auto items = requests_.column<Item>();
    for (std::size_t i = 0; i < specs.size(); ++i) {
        if (items[i].upstream_ == upstream && !items[i].running_)
            waiting.push_back(specs[i].id_);
    }
    EngineState& state = engine(upstream);
    for (const RequestId request : waiting) {
        countWaiting(*requests_.cell<RequestSpec>(request), state, -1);
        giveBack(request, RefusalReason::NoUpstream, {}, out);
    }
}

} // namespace jj
