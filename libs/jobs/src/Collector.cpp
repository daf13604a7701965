// Retention.
#include "jobs/Collector.h"

namespace jj {

namespace {

    constexpr std::uint32_t pageSize = 100; // removals at once

} // namespace

Collector::Collector(JobContext& context)
    : context_(context)
{
}

void Collector::tick(bool isCollector)
{
    if (!isCollector || context_.now_ < nextAt_)
        return;
    nextAt_ = context_.now_ + context_.settings_.collectEvery_;
    collectEnded();
    collectOrphans();
    sweep<CallIntent>(calls_);
    sweep<OutcomeGroup>(outcomes_);
}

template <class Record>
void Collector::sweep(Sweep& sweep)
{
    context_.call(ObjectCall::list(sweep.prefix_, true, sweep.after_, pageSize), CallClass::Background, patience(), [this, &sweep](const SettledAnswer& answer) {
        if (!answer.ok())
            return;
        sweep.after_ = answer.answer_.next_;
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<Record> record = Record::decode(entry.value_);
            if (record && context_.wall_ - record.value().at_ > context_.settings_.callRetention_)
                remove(entry.key_, entry.version_, [] {});
        }
    });
}

void Collector::collectEnded()
{
    // Keys sort by the hour of removal.
    context_.call(ObjectCall::list(expiryPrefix(), false, {}, pageSize), CallClass::Background, patience(), [this](const SettledAnswer& answer) {
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<WallTime> at = expiryOf(entry.key_);
            const Result<std::uint64_t> job = lastHexOf(entry.key_);
            // The key names the hour in which retention ends: wait until it is over.
            if (at && job && at.value() + 1h <= context_.wall_)
                removeJob(entry.key_, JobId(job.value()));
        }
    });
}

void Collector::removeJob(const std::string& expiry, JobId job)
{
    const PartitionId partition = context_.partitionOf(job);
    context_.call(ObjectCall::get(manifestKey(partition, job)), CallClass::Background, patience(), [this, expiry, job, partition](const SettledAnswer& answer) {
        const Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(JobError::NoSuchJob);
        if (!manifest && !answer.is(ObjectError::NotFound))
            return;
        if (!manifest)
            return remove(expiry, ObjectVersion::none(), [] {});
        const ObjectVersion version = answer.answer_.version_;
        context_.call(ObjectCall::get(ledgerKey(partition, job)), CallClass::Background, patience(), [this, expiry, job, partition, version, upload = manifest.value().upload_](const SettledAnswer& ledgerAnswer) {
            const Result<Ledger> ledger = ledgerAnswer.ok() ? Ledger::decode(ledgerAnswer.answer_.value_) : Result<Ledger>(JobError::StoreUnavailable);
            // Accepted anew under its id: not this entry's job any more.
            if (!ledger || !ledger.value().isEnded() || ledger.value().upload_ != upload)
                return;
            // Accepted anew and ended since: the entry is of the earlier job. It stays until this job's time, which has an entry of its own.
            if (context_.wall_ < ledger.value().endedAt_ + std::chrono::duration_cast<std::chrono::milliseconds>(context_.settings_.retention_))
                return;
            const ObjectVersion ledgerVersion = ledgerAnswer.answer_.version_;
            const SeenObject manifestSeen { manifestKey(partition, job), version };
            removeAll(resultPrefix(job), manifestSeen, [=, this] {
                removeAll(intentPrefix(job), manifestSeen, [=, this] {
                    removeAll(chunkPrefix(upload), manifestSeen, [=, this] {
                        remove(manifestSeen.key_, version, [=, this] {
                            remove(ledgerKey(partition, job), ledgerVersion, [=, this] { remove(expiry, ObjectVersion::none(), [] {}); });
                        });
                    });
                });
            });
        });
    });
}

void Collector::collectOrphans()
{
    // Keys sort by the time the upload began.
    context_.call(ObjectCall::list(uploadPrefix(), true, {}, pageSize), CallClass::Background, patience(), [this](const SettledAnswer& answer) {
        for (const ObjectEntry& entry : answer.answer_.entries_) {
            const Result<UploadRecord> record = UploadRecord::decode(entry.value_);
            if (!record || context_.wall_ - record.value().begunAt_ < context_.settings_.orphanAge_)
                continue;
            const std::string upload = entry.key_.substr(uploadPrefix().size());
            const JobId job = record.value().job_;
            if (job.isNone()) {
                removeOrphan(entry.key_, upload);
                continue;
            }
            context_.call(ObjectCall::get(manifestKey(context_.partitionOf(job), job)), CallClass::Background, patience(), [this, key = entry.key_, upload](const SettledAnswer& found) {
                const Result<Manifest> manifest = found.ok() ? Manifest::decode(found.answer_.value_) : Result<Manifest>(JobError::NoSuchJob);
                if (manifest && manifest.value().upload_ == upload)
                    remove(key, ObjectVersion::none(), [] {});
                else if (manifest || found.is(ObjectError::NotFound))
                    removeOrphan(key, upload);
            });
        }
    });
}

void Collector::removeOrphan(const std::string& record, const std::string& upload)
{
    // An upload's name is never used again, so nothing else can come under it.
    removeAll(chunkPrefix(upload), {}, [this, record] { remove(record, ObjectVersion::none(), [] {}); });
}

// Failure met: a collector that was cut off or paused goes on, and removes what a job that was accepted anew under the id has written
// since. The guard: what was listed is removed at its version, and only if the manifest stood unchanged after the listing.
void Collector::removeAll(const std::string& prefix, const SeenObject& manifest, Then then)
{
    context_.call(ObjectCall::list(prefix, false, {}, pageSize), CallClass::Background, patience(), [this, prefix, manifest, then = std::move(then)](const SettledAnswer& answer) {
        if (!answer.ok())
            return;
        if (answer.answer_.entries_.empty())
            return then();
        const Then next = [this, prefix, manifest, then] { removeAll(prefix, manifest, then); };
        if (manifest.key_.empty())
            return removeListed(answer.answer_.entries_, next);
        context_.call(ObjectCall::get(manifest.key_), CallClass::Background, patience(), [this, manifest, next, entries = answer.answer_.entries_](const SettledAnswer& standing) {
            if (standing.ok() && standing.answer_.version_ == manifest.version_)
                removeListed(entries, next);
        });
    });
}

// Goes on when the last one is removed; a lost removal is met again by a later round.
void Collector::removeListed(const std::vector<ObjectEntry>& entries, const Then& then)
{
    for (std::size_t i = 0; i + 1 < entries.size(); ++i)
        remove(entries[i].key_, entries[i].version_, [] {});
    remove(entries.back().key_, entries.back().version_, then);
}

void Collector::remove(const std::string& key, ObjectVersion version, Then then)
{
    context_.call(ObjectCall::remove(key, version), CallClass::Background, patience(), [then = std::move(then)](const SettledAnswer& answer) {
        if (answer.ok() || answer.is(ObjectError::NotFound))
            then();
    });
}

} // namespace jj
