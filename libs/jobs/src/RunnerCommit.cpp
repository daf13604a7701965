// Writing results, committing them by the ledger, and ending jobs.
#include "jobs/JobRunner.h"

#include <algorithm>

namespace jj {

// A result object is named by chunk and epoch, and an epoch has one writer: what stands under the name is this holder's own.
void JobRunner::writeResults(JobId id, std::uint32_t index, LoadedChunk& chunk)
{
    const OpenJob& job = jobs_.at(id);
    const Epoch epoch = job.claimed_;
    std::vector<std::string> lines;
    lines.reserve(chunk.items_.size());
    for (LoadedItem& item : chunk.items_)
        lines.push_back(std::move(item.result_));
    std::vector<std::string> parts = encodeResultParts(lines);
    chunk.state_ = ChunkState::Writing;
    chunk.writtenEpoch_ = epoch;
    chunk.partsLeft_ = static_cast<std::uint32_t>(parts.size());
    chunk.lines_.clear();
    chunk.text_ = {};
    for (std::uint32_t part = 0; part < parts.size(); ++part) {
        context_.call(ObjectCall::create(resultKey(id, index, epoch, part), std::move(parts[part])), CallClass::Commit, neverTime,
            [this, ref = JobRef { id, job.serial_ }, index, epoch](const SettledAnswer&) { partWritten(ref, index, epoch); });
    }
}

void JobRunner::partWritten(JobRef ref, std::uint32_t index, Epoch epoch)
{
    LoadedChunk* chunk = findChunk(ref, index, ChunkState::Writing);
    if (!chunk || chunk->writtenEpoch_ != epoch || --chunk->partsLeft_ > 0)
        return;
    chunk->state_ = ChunkState::Written;
    OpenJob* job = find(ref);
    if (job->written_++ == 0)
        job->writtenSince_ = context_.now_;
}

// Results of several chunks share one ledger write.
void JobRunner::commitDue()
{
    for (auto& [id, job] : jobs_) {
        if (job.phase_ != JobPhase::Running || job.updating_ || job.written_ == 0)
            continue;
        const bool last = job.ledger_.committedChunks() + job.written_ == job.manifest_.chunkCount();
        const bool many = job.written_ >= context_.settings_.commitChunks_;
        if (last || many || context_.now_ - job.writtenSince_ >= context_.settings_.commitEvery_)
            commit(id, job);
    }
}

// No lease is checked here: the condition on the ledger's version is the check, and holds even when the lease has lapsed unseen.
void JobRunner::commit(JobId id, OpenJob& job)
{
    Ledger ledger = job.ledger_;
    for (const auto& [index, chunk] : job.chunks_) {
        if (chunk.state_ != ChunkState::Written || !ledger.commit(index, chunk.writtenEpoch_))
            continue;
        ledger.failed_ += chunk.failed_;
        ledger.done_ += job.manifest_.itemsIn(index) - chunk.failed_;
    }
    if (ledger.committedChunks() == job.manifest_.chunkCount()) {
        ledger.state_ = JobState::Done;
        ledger.endedAt_ = context_.wall_;
    }
    ledger.mark_ = context_.mark();
    job.updating_ = true;
    context_.call(ObjectCall::update(ledgerKey(job.partition_, id), ledger.encode(), job.version_), CallClass::Commit, neverTime, [this, id, ref = JobRef { id, job.serial_ }, ledger](const SettledAnswer& answer) {
        OpenJob* found = find(ref);
        if (!found || !found->updating_)
            return;
        found->updating_ = false;
        if (answer.ok())
            committed(id, ledger, answer.answer_.version_);
        else
            readLedger(id, *found);
    });
}

void JobRunner::committed(JobId id, const Ledger& ledger, ObjectVersion version)
{
    OpenJob& job = jobs_.at(id);
    committed_ += ledger.done_ + ledger.failed_ - job.ledger_.done_ - job.ledger_.failed_;
    adopt(job, ledger, version);
    if (ledger.isEnded())
        end(id, job);
    else if (!job.requesters_.empty())
        readLedger(id, job);
}

// Takes the ledger as it stands in the store, and drops the chunks that it names.
void JobRunner::adopt(OpenJob& job, const Ledger& ledger, ObjectVersion version)
{
    job.ledger_ = ledger;
    job.version_ = version;
    job.checkedAt_ = context_.now_;
    std::erase_if(job.chunks_, [&](const auto& entry) { return !ledger.epochOf(entry.first).isNone(); });
    job.written_ = static_cast<std::uint32_t>(std::count_if(job.chunks_.begin(), job.chunks_.end(), [](const auto& entry) { return entry.second.state_ == ChunkState::Written; }));
    job.writtenSince_ = context_.now_;
}

// A holder that has nothing to commit would not meet a cancel otherwise.
void JobRunner::checkDue()
{
    for (auto& [id, job] : jobs_) {
        if (job.phase_ == JobPhase::Running && !job.updating_ && context_.now_ - job.checkedAt_ >= context_.settings_.ledgerCheck_)
            readLedger(id, job);
    }
}

void JobRunner::readLedger(JobId id, OpenJob& job)
{
    job.updating_ = true;
    context_.call(ObjectCall::get(ledgerKey(job.partition_, id)), CallClass::Commit, neverTime, [this, ref = JobRef { id, job.serial_ }](const SettledAnswer& answer) { ledgerRead(ref, answer); });
}

// What stands in the store decides: cancelled, in another holder's hands, or still this node's.
void JobRunner::ledgerRead(JobRef ref, const SettledAnswer& answer)
{
    const JobId id = ref.id_;
    OpenJob* job = find(ref);
    if (!job || !job->updating_)
        return;
    job->updating_ = false;
    // The ledger of an earlier job under this id, collected since this job read it: the next claim creates it.
    if (answer.is(ObjectError::NotFound) && job->phase_ == JobPhase::Claiming) {
        job->version_ = ObjectVersion::none();
        job->phase_ = JobPhase::Known;
        return;
    }
    const Result<Ledger> ledger = answer.ok() ? Ledger::decode(answer.answer_.value_) : Result<Ledger>(JobError::BadRecord);
    if (!ledger)
        return;
    if (ledger.value().state_ == JobState::Cancelled) {
        adopt(*job, ledger.value(), answer.answer_.version_);
        return stop(id, *job);
    }
    if (ledger.value().isEnded()) {
        cancelRuns(*job, true);
        adopt(*job, ledger.value(), answer.answer_.version_);
        return end(id, *job);
    }
    // Claimed by another epoch since: whatever this node has loaded may have run elsewhere.
    const bool ours = ledger.value().holder_ == context_.node_ && ledger.value().epoch_ == job->claimed_;
    if (!ours) {
        cancelRuns(*job, true);
        job->chunks_.clear();
        job->nextChunk_ = 0;
        job->phase_ = JobPhase::Known;
    } else if (job->phase_ == JobPhase::Claiming) {
        job->phase_ = JobPhase::Known;
    }
    adopt(*job, ledger.value(), answer.answer_.version_);
    job->requesters_.clear();
}

void JobRunner::cancelTold(JobId id, NodeId from)
{
    const auto found = jobs_.find(id);
    OpenJob* job = found == jobs_.end() ? nullptr : &found->second;
    const bool mayRun = job && (job->phase_ == JobPhase::Running || job->phase_ == JobPhase::Claiming || !job->chunks_.empty());
    if (!mayRun) {
        // Nothing of it runs here, and no claim can succeed any more.
        const auto held = held_.find(context_.partitionOf(id));
        return onStopped_(id, held == held_.end() ? Epoch::none() : held->second.epoch_, from);
    }
    // From here on no item starts (see startItems); the ledger then says whether the job is cancelled indeed.
    job->requesters_.insert(from);
    if (!job->updating_)
        readLedger(id, *job);
}

void JobRunner::stop(JobId id, OpenJob& job)
{
    cancelRuns(job, true);
    job.chunks_.clear();
    const Epoch epoch = job.claimed_;
    for (const NodeId requester : job.requesters_)
        onStopped_(id, epoch, requester);
    job.requesters_.clear();
    // For a node that can't be reached by message: the ledger says so too.
    if (!epoch.isNone() && job.ledger_.epoch_ == epoch && job.ledger_.stopped_ != epoch) {
        Ledger ledger = job.ledger_;
        ledger.stopped_ = epoch;
        ledger.mark_ = context_.mark();
        context_.call(ObjectCall::update(ledgerKey(job.partition_, id), ledger.encode(), job.version_), CallClass::Commit, context_.now_ + context_.settings_.leaseTime_, [](const SettledAnswer&) {});
    }
    end(id, job);
}

// Plans the removal of the ended job, then takes it off the list of open ones.
void JobRunner::end(JobId id, OpenJob& job)
{
    job.phase_ = JobPhase::Ending;
    job.chunks_.clear();
    const WallTime removeAt = job.ledger_.endedAt_ + std::chrono::duration_cast<std::chrono::milliseconds>(context_.settings_.retention_);
    const TimePoint until = context_.now_ + context_.settings_.leaseTime_;
    const JobRef ref { id, job.serial_ };
    context_.call(ObjectCall::create(expiryKey(removeAt, id), hexName(id.value())), CallClass::Background, until, [this, ref, upload = job.manifest_.upload_](const SettledAnswer& answer) {
        if (!answer.ok() && !answer.is(ObjectError::Conflict))
            return drop(ref);
        removeMarker(ref, upload);
    });
}

// Failure met: a holder that was paused goes on, and removes the marker of a job that was accepted anew under the id of the one that it
// ended; no holder finds that job. The guard: the marker is removed as it stood when the ended job's manifest was still there afterwards.
// Whoever writes a marker has found no manifest before (see Acceptor::findKnown), so what it writes comes later, and the removal fails.
void JobRunner::removeMarker(JobRef ref, const std::string& upload)
{
    const PartitionId partition = context_.partitionOf(ref.id_);
    const std::string key = openKey(partition, ref.id_);
    const TimePoint until = context_.now_ + context_.settings_.leaseTime_;
    context_.call(ObjectCall::get(key), CallClass::Background, until, [this, ref, upload, partition, key, until](const SettledAnswer& marker) {
        if (!marker.ok())
            return drop(ref);
        context_.call(ObjectCall::get(manifestKey(partition, ref.id_)), CallClass::Background, until, [this, ref, upload, key, until, version = marker.answer_.version_](const SettledAnswer& answer) {
            const Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(JobError::NoSuchJob);
            if (!manifest || manifest.value().upload_ != upload)
                return drop(ref);
            context_.call(ObjectCall::remove(key, version), CallClass::Background, until, [this, ref](const SettledAnswer&) { drop(ref); });
        });
    });
}

} // namespace jj
