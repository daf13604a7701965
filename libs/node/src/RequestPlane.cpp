// The entry's side of requests: opening them, handing them over, writing answers. RequestRuns.cpp has the home's side.
#include "RequestPlane.h"

#include "RequestState.h"
#include "Translate.h"

namespace jj {

RequestPlane::RequestPlane(http::Client& client, const FleetViewBoard& view, EventWriter* events, Feed feed)
    : client_(client)
    , view_(view)
    , events_(events)
    , feed_(std::move(feed))
{
}

void RequestPlane::connect(PeerLinks& links, Incarnation incarnation)
{
    links_ = &links;
    self_ = links.self();
    incarnation_ = incarnation;
}

void RequestPlane::record(EventKind kind, RequestId request, UpstreamId engine, EventDetail detail)
{
    if (!events_)
        return;
    TimelineEvent event;
    event.kind_ = kind;
    event.request_ = request;
    event.engine_ = engine;
    event.detail_ = std::move(detail);
    events_->write(std::move(event), SystemClock().wallNow());
}

void RequestPlane::open(EntryRequest request)
{
    const RequestSpec spec = request.spec_;
    auto entry = std::make_shared<Entry>(std::move(request));
    {
        const std::lock_guard lock(lock_);
        entries_[spec.id_] = std::move(entry);
    }
    record(EventKind::RequestAccepted, spec.id_);
    feed_(RequestArrived { spec });
}

void RequestPlane::callerGone(RequestId request)
{
    if (!takeEntry(request))
        return;
    record(EventKind::RequestCancelled, request);
    feed_(RequestCancelled { request });
}

std::shared_ptr<RequestPlane::Entry> RequestPlane::entry(RequestId request) const
{
    const std::lock_guard lock(lock_);
    const auto found = entries_.find(request);
    return found == entries_.end() ? nullptr : found->second;
}

std::shared_ptr<RequestPlane::Entry> RequestPlane::takeEntry(RequestId request)
{
    const std::lock_guard lock(lock_);
    const auto found = entries_.find(request);
    if (found == entries_.end())
        return nullptr;
    std::shared_ptr<Entry> entry = std::move(found->second);
    entries_.erase(found);
    return entry;
}

void RequestPlane::perform(const SendToHome& command)
{
    const auto entry = this->entry(command.handOver_.request_);
    if (!entry)
        return;
    {
        const std::lock_guard lock(entry->lock_);
        entry->handOver_ = command.handOver_.number_;
        entry->home_ = command.home_;
    }
    record(EventKind::RequestRouted, command.handOver_.request_, command.upstream_);
    if (command.home_ != self_)
        return sendToPeer(command, *entry);
    RequestStart start = startMessage(*entry, command, keyOf(command.handOver_));
    accept(start, self_);
}

void RequestPlane::sendToPeer(const SendToHome& command, const Entry& entry)
{
    const auto sent = links_->send(command.home_, startMessage(entry, command, keyOf(command.handOver_)));
    if (!sent)
        feed_(HomeLost { command.handOver_, command.position_, false });
}

void RequestPlane::perform(const CancelAtHome& command)
{
    if (command.home_ != self_) {
        (void)links_->send(command.home_, CancelRequest { keyOf(command.handOver_) });
        return;
    }
    if (dropRun(command.handOver_))
        feed_(RequestCancelled { command.handOver_.request_ });
}

void RequestPlane::perform(const Answer& command)
{
    const auto entry = takeEntry(command.request_);
    if (!entry)
        return;
    record(EventKind::RequestFinished, command.request_);
    const std::lock_guard lock(entry->lock_);
    entry->request_.sink_.end_();
}

void RequestPlane::perform(const Refuse& command)
{
    const auto entry = takeEntry(command.request_);
    if (!entry)
        return;
    EventDetail detail;
    detail.error_ = std::string(refusalOf(command).code_) + "/" + std::string(toString(command.runState_));
    record(EventKind::RequestRefused, command.request_, {}, std::move(detail));
    const std::lock_guard lock(entry->lock_);
    entry->request_.sink_.refuse_(command);
}

void RequestPlane::entryTokens(const RunKey& key, std::uint32_t position, std::uint32_t count, std::string_view text)
{
    const auto entry = this->entry(key.request_);
    if (!entry)
        return dropLate(key.request_);
    const std::lock_guard lock(entry->lock_);
    // An answer of a superseded hand-over, or tokens that the caller has: passing them on would double words in the answer.
    if (entry->handOver_ != key.number_ || position - count != entry->position_)
        return dropLate(key.request_);
    if (entry->position_ == 0)
        record(EventKind::FirstToken, key.request_);
    entry->position_ = position;
    entry->request_.sink_.tokens_(position, count, text);
}

void RequestPlane::entryHead(const RunKey& key, int status, std::string_view contentType)
{
    const auto entry = this->entry(key.request_);
    if (!entry)
        return dropLate(key.request_);
    const std::lock_guard lock(entry->lock_);
    if (entry->handOver_ != key.number_)
        return dropLate(key.request_);
    entry->position_ = 0;
    if (entry->request_.sink_.head_)
        entry->request_.sink_.head_(status, contentType);
}

void RequestPlane::dropLate(RequestId request)
{
    record(EventKind::LateAnswerDropped, request);
    const std::lock_guard lock(lock_);
    ++lateAnswers_;
}

void RequestPlane::onMessage(NodeId from, LinkMessage&& message)
{
    if (const auto* start = std::get_if<RequestStart>(&message)) {
        accept(*start, from);
    } else if (const auto* data = std::get_if<StreamData>(&message)) {
        if (data->key_.incarnation_ == incarnation_)
            entryTokens({ data->key_.request_, data->key_.attempt_ }, static_cast<std::uint32_t>(data->position_) + data->count_, data->count_, data->bytes_);
    } else if (const auto* head = std::get_if<StreamHead>(&message)) {
        if (head->key_.incarnation_ == incarnation_)
            entryHead({ head->key_.request_, head->key_.attempt_ }, head->status_, head->contentType_);
    } else if (const auto* end = std::get_if<StreamEnd>(&message)) {
        if (end->key_.incarnation_ == incarnation_)
            feed_(fromWire(*end));
    } else if (const auto* cancel = std::get_if<CancelRequest>(&message)) {
        if (dropRun({ cancel->key_.request_, cancel->key_.attempt_ }))
            feed_(RequestCancelled { cancel->key_.request_ });
    }
}

void RequestPlane::onLinkLost(NodeId peer, const std::vector<AttemptKey>& unsent)
{
    std::vector<std::shared_ptr<Entry>> entries;
    std::vector<RunKey> runs;
    {
        const std::lock_guard lock(lock_);
        for (const auto& [id, entry] : entries_)
            entries.push_back(entry);
        for (const auto& [key, run] : runs_) {
            if (run->entry_ == peer)
                runs.push_back(key);
        }
    }
    for (const auto& entry : entries) {
        HomeLost lost;
        {
            const std::lock_guard lock(entry->lock_);
            if (entry->home_ != peer)
                continue;
            lost.handOver_ = { entry->request_.spec_.id_, entry->handOver_ };
            lost.position_ = entry->position_;
        }
        lost.sent_ = std::find(unsent.begin(), unsent.end(), keyOf(lost.handOver_)) == unsent.end();
        feed_(lost);
    }
    // The entry is gone, and its callers with it: their streams would hold slots for nobody.
    for (const RunKey& key : runs) {
        if (dropRun(key))
            feed_(RequestCancelled { key.request_ });
    }
}

RequestPlaneCounts RequestPlane::counts() const
{
    const std::lock_guard lock(lock_);
    return { entries_.size(), runs_.size(), lateAnswers_ };
}

} // namespace jj
