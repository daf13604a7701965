// Starting items, and what becomes of each attempt (D7).
#include "jobs/JobRunner.h"

#include <algorithm>

namespace jj {

namespace {

    constexpr Duration slowestStart = 1s; // pause before a NotRun item is tried again, at most

} // namespace

void JobRunner::startItems()
{
    std::vector<std::pair<WallTime, JobId>> order;
    for (const auto& [id, job] : jobs_) {
        if (mayAct(job) && job.requesters_.empty())
            order.emplace_back(job.manifest_.deadline_, id);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [deadline, id] : order) {
        OpenJob& job = jobs_.at(id);
        for (auto& [index, chunk] : job.chunks_) {
            if (runs_.size() >= window_)
                return;
            // What is begun is finished before a partition is given back: the results of half a chunk would be lost.
            if (chunk.state_ == ChunkState::Running && (chunk.isBegun() || !leases_.isReleasing(job.partition_)))
                startChunk(id, job, index, chunk);
        }
    }
}

void JobRunner::startChunk(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk)
{
    for (std::uint32_t i = 0; i < chunk.items_.size() && runs_.size() < window_; ++i) {
        LoadedItem& item = chunk.items_[i];
        if (item.state_ != ItemState::Waiting || context_.now_ < item.notBefore_)
            continue;
        if (job.manifest_.atMostOnce_ && !intentStands(id, job, index, chunk, i))
            continue;
        if (chunk.left_ == 0)
            return;
        // A failing upstream is met by at most this many retries, whatever the number of items that fail.
        if (item.attempts_ > 0) {
            if (retryTokens_ < 1)
                continue;
            retryTokens_ -= 1;
        }
        start(id, job, index, chunk, i);
    }
}

// Failure met: a holder sends an item that may not be repeated and dies; the next holder sends it again, and an order is billed
// twice. The guard: the intent of a group of items is created if absent before the first of them is sent; only its creator ever sends
// them. A later holder finds it and ends the items as OutcomeUnknown.
bool JobRunner::intentStands(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item)
{
    const std::uint32_t group = item / context_.settings_.intentItems_;
    switch (chunk.intents_[group]) {
    case IntentState::Own:
        return true;
    case IntentState::Writing:
        return false;
    case IntentState::None:
        chunk.intents_[group] = IntentState::Writing;
        writeIntent(id, job, index, group);
        return false;
    case IntentState::Foreign:
        endItem(id, index, chunk, item, ItemEnd::OutcomeUnknown, {});
        return false;
    }
    return false;
}

void JobRunner::writeIntent(JobId id, OpenJob& job, std::uint32_t index, std::uint32_t group)
{
    const Lease author { context_.node_, context_.incarnation_, job.claimed_, context_.mark() };
    context_.call(ObjectCall::create(intentKey(id, index, group), author.encode()), CallClass::Commit, neverTime, [this, ref = JobRef { id, job.serial_ }, index, group](const SettledAnswer& answer) {
        if (LoadedChunk* chunk = findChunk(ref, index, ChunkState::Running))
            chunk->intents_[group] = answer.ok() ? IntentState::Own : IntentState::Foreign;
    });
}

void JobRunner::start(JobId id, OpenJob& job, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item)
{
    LoadedItem& entry = chunk.items_[item];
    const Result<JobItem> parsed = parseItem(chunk.lines_[item]);
    if (!parsed)
        return endItem(id, index, chunk, item, ItemEnd::Refused, {});
    const std::uint32_t place = job.manifest_.firstItem(index) + item;
    entry.state_ = ItemState::Running;
    entry.run_ = RunId(nextRun_++);
    ++chunk.running_;
    ++started_;
    runs_.insert(entry.run_, { id, index, item });
    RunItem run;
    run.run_ = entry.run_;
    run.job_ = id;
    run.item_ = ItemIndex(place);
    run.epoch_ = job.claimed_;
    run.workspace_ = job.manifest_.workspace_;
    run.service_ = job.manifest_.service_;
    run.customId_ = parsed.value().customId_;
    run.body_ = parsed.value().body_;
    run.attempt_ = entry.attempts_ + 1;
    run.deadline_ = job.manifest_.deadline_;
    run.validUntil_ = leases_.validUntil(job.partition_);
    run.atMostOnce_ = job.manifest_.atMostOnce_;
    run.idempotencyKey_ = hexName(id.value()) + "-" + std::to_string(place);
    run.suspect_ = entry.crashes_ > 0;
    context_.emit(std::move(run));
}

void JobRunner::itemFinished(const ItemFinished& event)
{
    // Answers to cancelled runs find no row (D8).
    const Run* row = runs_.cell<Run>(event.run_);
    if (!row)
        return;
    const Run run = *row;
    runs_.erase(event.run_);
    OpenJob& job = jobs_.at(run.job_);
    LoadedChunk& chunk = job.chunks_.at(run.chunk_); // cancelRuns() removes a chunk's runs before the chunk goes
    LoadedItem& item = chunk.items_[run.item_];
    --chunk.running_;
    item.state_ = ItemState::Waiting;
    item.run_ = RunId::none();
    if (event.outcome_ != RunOutcome::NotRun)
        retryTokens_ = std::min(context_.settings_.retryBurst_, retryTokens_ + context_.settings_.retryShare_);
    if (const std::optional<ItemEnd> end = endOf(job, item, event))
        endItem(run.job_, run.chunk_, chunk, run.item_, *end, event.body_);
}

// How the item ends after this attempt; nullopt when it is to be tried again.
std::optional<ItemEnd> JobRunner::endOf(const OpenJob& job, LoadedItem& item, const ItemFinished& event)
{
    const JobSettings& settings = context_.settings_;
    const bool overrun = context_.wall_ > job.manifest_.deadline_ + std::chrono::duration_cast<std::chrono::milliseconds>(settings.overrun_);
    item.notBefore_ = context_.now_ + std::max(event.retryAfter_, context_.backoff(settings.firstBackoff_, event.outcome_ == RunOutcome::NotRun ? slowestStart : settings.longestBackoff_, item.delays_));
    ++item.delays_;
    if (event.outcome_ == RunOutcome::NotRun)
        return overrun ? std::optional(ItemEnd::TimedOut) : std::nullopt;
    ++item.attempts_;
    switch (event.outcome_) {
    case RunOutcome::Done:
        return event.body_.size() > settings.maxResultBytes_ ? ItemEnd::TooLarge : ItemEnd::Done;
    case RunOutcome::Refused:
        return ItemEnd::Refused;
    case RunOutcome::TooLarge:
        return ItemEnd::TooLarge;
    case RunOutcome::Quarantined:
        return ItemEnd::CrashesUpstream;
    default:
        break;
    }
    if (job.manifest_.atMostOnce_)
        return ItemEnd::OutcomeUnknown;
    const bool crashed = event.outcome_ == RunOutcome::Crashed;
    item.crashes_ += crashed ? 1 : 0;
    const bool tryAgain = item.attempts_ < settings.maxAttempts_ && item.crashes_ < settings.maxCrashes_ && !overrun;
    if (tryAgain)
        return std::nullopt;
    if (crashed)
        return ItemEnd::CrashesUpstream;
    return event.outcome_ == RunOutcome::TimedOut ? ItemEnd::TimedOut : ItemEnd::UpstreamFailed;
}

void JobRunner::endItem(JobId id, std::uint32_t index, LoadedChunk& chunk, std::uint32_t item, ItemEnd end, const std::string& body)
{
    LoadedItem& entry = chunk.items_[item];
    const Result<JobItem> parsed = parseItem(chunk.lines_[item]);
    const bool keepBody = body.size() <= context_.settings_.maxResultBytes_;
    entry.state_ = ItemState::Ended;
    entry.result_ = resultLine({ parsed ? parsed.value().customId_ : std::string(), end, entry.attempts_, keepBody ? body : std::string() });
    chunk.failed_ += end == ItemEnd::Done ? 0 : 1;
    if (--chunk.left_ == 0)
        writeResults(id, index, chunk);
}

// Of a chunk that isn't finished all items run again, so it is dropped whole: a holder with a begun chunk would start its items anew and
// keep the partition. Items that may run once go on, since nobody may send them again.
void JobRunner::abandonItems()
{
    for (auto& [id, job] : jobs_) {
        if (job.manifest_.atMostOnce_)
            continue;
        cancelRuns(job, false);
        for (const auto& [index, chunk] : job.chunks_) {
            if (chunk.state_ == ChunkState::Running)
                job.nextChunk_ = std::min(job.nextChunk_, index);
        }
        std::erase_if(job.chunks_, [](const auto& entry) { return entry.second.state_ == ChunkState::Running; });
    }
}

void JobRunner::cancelRuns(OpenJob& job, bool alsoAtMostOnce)
{
    if (job.manifest_.atMostOnce_ && !alsoAtMostOnce)
        return;
    for (auto& [index, chunk] : job.chunks_) {
        for (LoadedItem& item : chunk.items_) {
            if (item.state_ != ItemState::Running)
                continue;
            context_.emit(CancelItem { item.run_ });
            runs_.erase(item.run_);
            item.run_ = RunId::none();
            item.state_ = ItemState::Waiting;
            --chunk.running_;
        }
    }
}

} // namespace jj
