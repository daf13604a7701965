// Discovery, claims and loading. Items are in RunnerItems.cpp, commits in RunnerCommit.cpp.
#include "jobs/JobRunner.h"

#include "base/Number.h"

#include <algorithm>
#include <limits>

namespace jj {

JobRunner::JobRunner(JobContext& context, const PartitionLeases& leases, OnStopped onStopped)
    : context_(context)
    , leases_(leases)
    , onStopped_(std::move(onStopped))
    , window_(context.settings_.window_)
    , retryTokens_(context.settings_.retryBurst_)
{
}

OpenJob* JobRunner::find(JobRef job)
{
    const auto found = jobs_.find(job.id_);
    return found == jobs_.end() || found->second.serial_ != job.serial_ ? nullptr : &found->second;
}

LoadedChunk* JobRunner::findChunk(JobRef ref, std::uint32_t index, ChunkState state)
{
    OpenJob* job = find(ref);
    if (!job)
        return nullptr;
    const auto place = job->chunks_.find(index);
    return place == job->chunks_.end() || place->second.state_ != state ? nullptr : &place->second;
}

bool JobRunner::mayHold(const OpenJob& job) const { return !leases_.actingEpoch(job.partition_).isNone(); }

void JobRunner::refillRetries()
{
    const double earned = toSeconds(context_.now_ - std::exchange(retriesAt_, context_.now_)) * context_.settings_.retriesPerSecond_;
    retryTokens_ = std::min(context_.settings_.retryBurst_, retryTokens_ + earned);
}

bool JobRunner::mayAct(const OpenJob& job) const
{
    const Epoch acting = leases_.actingEpoch(job.partition_);
    return !acting.isNone() && acting == job.claimed_ && job.phase_ == JobPhase::Running;
}

std::uint32_t JobRunner::loadedChunks() const
{
    std::uint32_t count = 0;
    for (const auto& [id, job] : jobs_)
        count += static_cast<std::uint32_t>(job.chunks_.size());
    return count;
}

void JobRunner::acquired(PartitionId partition, Epoch epoch)
{
    held_[partition] = { epoch, context_.now_, false };
    for (auto& [id, job] : jobs_) {
        if (job.partition_ == partition && (job.phase_ == JobPhase::Running || job.phase_ == JobPhase::Claiming))
            job.phase_ = JobPhase::Known;
    }
}

// Finished results are kept: if nobody took over, they are committed after the next claim. Runs that may not be repeated go on,
// since nobody may send them again.
void JobRunner::lapsed(PartitionId partition)
{
    for (auto& [id, job] : jobs_) {
        if (job.partition_ == partition)
            cancelRuns(job, false);
    }
}

void JobRunner::lost(PartitionId partition)
{
    held_.erase(partition);
    std::vector<JobId> gone;
    for (auto& [id, job] : jobs_) {
        if (job.partition_ == partition)
            gone.push_back(id);
    }
    for (const JobId id : gone) {
        cancelRuns(jobs_.at(id), true);
        drop(id);
    }
}

bool JobRunner::isIdle(PartitionId partition) const
{
    return std::none_of(jobs_.begin(), jobs_.end(), [partition](const auto& entry) {
        const OpenJob& job = entry.second;
        const auto busy = [](const auto& chunk) { return chunk.second.isBegun() || chunk.second.state_ == ChunkState::Writing || chunk.second.state_ == ChunkState::Written; };
        return job.partition_ == partition && (job.updating_ || std::any_of(job.chunks_.begin(), job.chunks_.end(), busy));
    });
}

void JobRunner::tick()
{
    discover();
    commitDue();
    checkDue();
    refillRetries();
    supplyWork();
    startItems();
}

// ---- Discovery

void JobRunner::discover()
{
    for (auto& [partition, held] : held_) {
        if (held.discovering_ || context_.now_ < held.discoverAt_ || leases_.actingEpoch(partition).isNone())
            continue;
        held.discovering_ = true;
        listOpen(partition, {});
    }
}

void JobRunner::listOpen(PartitionId partition, const std::string& after)
{
    context_.call(ObjectCall::list(openPrefix(partition), false, after), CallClass::Read, context_.now_ + context_.settings_.leaseTime_, [this, partition](const SettledAnswer& answer) {
        const auto held = held_.find(partition);
        if (held == held_.end())
            return;
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<std::uint64_t> id = lastHexOf(entry.key_);
            if (id && !jobs_.contains(JobId(id.value())))
                fetch(JobId(id.value()));
        }
        if (!answer.answer_.next_.empty())
            return listOpen(partition, answer.answer_.next_);
        held->second.discovering_ = false;
        held->second.discoverAt_ = context_.now_ + context_.settings_.discoverEvery_;
    });
}

void JobRunner::hinted(JobId job)
{
    if (held_.contains(context_.partitionOf(job)) && !jobs_.contains(job))
        fetch(job);
}

void JobRunner::fetch(JobId id)
{
    OpenJob& job = jobs_[id];
    job.serial_ = nextSerial_++;
    job.partition_ = context_.partitionOf(id);
    context_.call(ObjectCall::get(manifestKey(job.partition_, id)), CallClass::Read, context_.now_ + context_.settings_.leaseTime_,
        [this, ref = JobRef { id, job.serial_ }](const SettledAnswer& answer) { manifestRead(ref, answer); });
}

void JobRunner::manifestRead(JobRef ref, const SettledAnswer& answer)
{
    const JobId id = ref.id_;
    OpenJob* job = find(ref);
    if (!job || job->phase_ != JobPhase::Fetching)
        return;
    Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(JobError::NoSuchJob);
    if (!manifest) {
        // Found again by the next discovery.
        drop(id);
        if (answer.is(ObjectError::NotFound))
            forgetStrayMarker(id);
        return;
    }
    job->manifest_ = std::move(manifest.value());
    fetchLedger(ref);
}

// A marker whose upload never committed. Removed only at an age far beyond the bound of uploads, as the manifest may still come.
void JobRunner::forgetStrayMarker(JobId id)
{
    const std::string key = openKey(context_.partitionOf(id), id);
    context_.call(ObjectCall::get(key), CallClass::Background, context_.now_ + context_.settings_.leaseTime_, [this, key](const SettledAnswer& answer) {
        const auto ms = parseNumber<std::int64_t>(answer.answer_.value_, { 0, std::numeric_limits<std::int64_t>::max() });
        if (!answer.ok() || !ms)
            return;
        if (context_.wall_ - WallTime(std::chrono::milliseconds(*ms)) > context_.settings_.orphanAge_)
            context_.call(ObjectCall::remove(key, answer.answer_.version_), CallClass::Background, context_.now_ + context_.settings_.leaseTime_, [](const SettledAnswer&) {});
    });
}

void JobRunner::fetchLedger(JobRef ref)
{
    const JobId id = ref.id_;
    context_.call(ObjectCall::get(ledgerKey(context_.partitionOf(id), id)), CallClass::Read, context_.now_ + context_.settings_.leaseTime_, [this, ref, id](const SettledAnswer& answer) {
        OpenJob* job = find(ref);
        if (!job || job->phase_ != JobPhase::Fetching)
            return;
        if (answer.is(ObjectError::NotFound)) {
            job->phase_ = JobPhase::Known;
            return;
        }
        const Result<Ledger> ledger = answer.ok() ? Ledger::decode(answer.answer_.value_) : Result<Ledger>(JobError::StoreUnavailable);
        if (!ledger)
            return drop(id);
        job->version_ = answer.answer_.version_;
        job->phase_ = JobPhase::Known;
        // Of an earlier job under this id: its epoch still counts, the rest doesn't.
        if (!ledger.value().belongsTo(job->manifest_)) {
            job->ledger_.epoch_ = ledger.value().epoch_;
            return;
        }
        adopt(*job, ledger.value(), answer.answer_.version_);
        if (job->ledger_.isEnded())
            end(id, *job);
    });
}

// ---- Claim and load

// Items that run or may start now; those that wait for a retry don't keep others out of the window.
std::uint32_t JobRunner::readyItems(const LoadedChunk& chunk) const
{
    if (chunk.state_ != ChunkState::Running)
        return 0;
    return static_cast<std::uint32_t>(std::count_if(chunk.items_.begin(), chunk.items_.end(), [this](const LoadedItem& item) {
        return item.state_ == ItemState::Running || (item.state_ == ItemState::Waiting && item.notBefore_ <= context_.now_);
    }));
}

// Items that can be started now or soon.
std::uint32_t JobRunner::supply() const
{
    std::uint32_t items = 0;
    for (const auto& [id, job] : jobs_) {
        if (!mayHold(job))
            continue;
        if (job.phase_ == JobPhase::Claiming)
            items += job.manifest_.itemsIn(job.nextChunk_);
        for (const auto& [index, chunk] : job.chunks_)
            items += chunk.state_ == ChunkState::Reading ? job.manifest_.itemsIn(index) : readyItems(chunk);
    }
    return items;
}

// The job that is due first goes first.
void JobRunner::supplyWork()
{
    // What was loaded under an earlier epoch of this node goes on first, also while the partition is being given back.
    for (auto& [id, job] : jobs_) {
        if (job.phase_ == JobPhase::Known && !job.updating_ && !job.chunks_.empty() && mayHold(job))
            claim(id, job);
    }
    std::uint32_t have = supply();
    std::uint32_t loaded = loadedChunks();
    if (have >= window_ || loaded >= context_.settings_.maxLoadedChunks_)
        return;
    std::vector<std::pair<WallTime, JobId>> order;
    for (const auto& [id, job] : jobs_) {
        const bool acting = mayHold(job) && !leases_.isReleasing(job.partition_);
        if (acting && (job.phase_ == JobPhase::Known || mayAct(job)))
            order.emplace_back(job.manifest_.deadline_, id);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [deadline, id] : order) {
        OpenJob& job = jobs_.at(id);
        if (job.phase_ == JobPhase::Known && !job.updating_) {
            have += job.manifest_.itemsIn(job.nextChunk_);
            claim(id, job);
        }
        while (have < window_ && loaded < context_.settings_.maxLoadedChunks_ && mayAct(job) && loadNext(id, job)) {
            have += job.manifest_.itemsIn(job.nextChunk_ - 1);
            ++loaded;
        }
        if (have >= window_ || loaded >= context_.settings_.maxLoadedChunks_)
            return;
    }
}

// Nothing of the job starts under this epoch before the ledger carries it: from then on older holders' commits are refused.
void JobRunner::claim(JobId id, OpenJob& job)
{
    const Epoch epoch = leases_.actingEpoch(job.partition_);
    // A later holder has been here: this node's lease is gone, though it hasn't heard of it yet. Epochs in a ledger only grow.
    if (job.ledger_.epoch_ > epoch)
        return;
    Ledger ledger = job.ledger_;
    ledger.upload_ = job.manifest_.upload_;
    ledger.epoch_ = epoch;
    ledger.holder_ = context_.node_;
    ledger.state_ = JobState::Running;
    ledger.mark_ = context_.mark();
    job.phase_ = JobPhase::Claiming;
    job.updating_ = true;
    const std::string key = ledgerKey(job.partition_, id);
    ObjectCall call = job.version_.isNone() ? ObjectCall::create(key, ledger.encode()) : ObjectCall::update(key, ledger.encode(), job.version_);
    context_.call(std::move(call), CallClass::Commit, neverTime, [this, id, ref = JobRef { id, job.serial_ }, epoch, ledger](const SettledAnswer& answer) {
        OpenJob* found = find(ref);
        if (!found || !found->updating_)
            return;
        found->updating_ = false;
        if (!answer.ok())
            return readLedger(id, *found);
        found->ledger_ = ledger;
        found->version_ = answer.answer_.version_;
        found->checkedAt_ = context_.now_;
        const bool current = found->phase_ == JobPhase::Claiming;
        found->claimed_ = epoch;
        found->phase_ = current ? JobPhase::Running : found->phase_;
        if (!found->requesters_.empty())
            readLedger(id, *found);
    });
}

// False when the job has no chunk to load now.
bool JobRunner::loadNext(JobId id, OpenJob& job)
{
    if (context_.now_ < job.loadAt_)
        return false;
    const std::uint32_t chunks = job.manifest_.chunkCount();
    while (job.nextChunk_ < chunks && (job.chunks_.contains(job.nextChunk_) || !job.ledger_.epochOf(job.nextChunk_).isNone()))
        ++job.nextChunk_;
    if (job.nextChunk_ >= chunks)
        return false;
    const std::uint32_t index = job.nextChunk_++;
    job.chunks_[index].state_ = ChunkState::Reading;
    context_.call(ObjectCall::get(chunkKey(job.manifest_.upload_, index)), CallClass::Read, neverTime, [this, ref = JobRef { id, job.serial_ }, index](const SettledAnswer& answer) { chunkRead(ref, index, answer); });
    return true;
}

void JobRunner::chunkRead(JobRef ref, std::uint32_t index, const SettledAnswer& answer)
{
    OpenJob* job = find(ref);
    LoadedChunk* found = findChunk(ref, index, ChunkState::Reading);
    if (!found)
        return;
    LoadedChunk& chunk = *found;
    Result<std::string> text = answer.ok() ? decompressText(answer.answer_.value_, context_.settings_.chunkBytes_ + context_.settings_.maxLineBytes_) : Result<std::string>(JobError::BadRecord);
    if (!text) {
        job->loadAt_ = context_.now_ + context_.settings_.ledgerCheck_;
        job->chunks_.erase(index);
        job->nextChunk_ = std::min(job->nextChunk_, index);
        return;
    }
    chunk.text_ = std::move(text.value());
    chunk.lines_ = splitLines(chunk.text_);
    chunk.items_.resize(chunk.lines_.size());
    chunk.left_ = static_cast<std::uint32_t>(chunk.items_.size());
    const std::uint32_t groupSize = context_.settings_.intentItems_;
    chunk.intents_.resize(job->manifest_.atMostOnce_ ? (chunk.left_ + groupSize - 1) / groupSize : 0);
    chunk.state_ = ChunkState::Running;
}

void JobRunner::drop(JobId id) { jobs_.erase(id); }

void JobRunner::drop(JobRef job)
{
    if (find(job))
        drop(job.id_);
}

} // namespace jj
