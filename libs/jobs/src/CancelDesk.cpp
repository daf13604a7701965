// Cancel: write the ledger, then wait for the holder.
#include "jobs/CancelDesk.h"

namespace jj {

CancelDesk::CancelDesk(JobContext& context, TellSelf tellSelf)
    : context_(context)
    , tellSelf_(std::move(tellSelf))
{
}

CancelDesk::Cancel* CancelDesk::find(AskId ask)
{
    const auto found = cancels_.find(ask);
    return found == cancels_.end() ? nullptr : &found->second;
}

void CancelDesk::ask(const CancelAsked& event)
{
    Cancel& cancel = cancels_[event.ask_];
    cancel.asked_ = event;
    readLedger(cancel);
}

void CancelDesk::readLedger(Cancel& cancel)
{
    const AskId ask = cancel.asked_.ask_;
    const JobId job = cancel.asked_.job_;
    context_.call(ObjectCall::get(ledgerKey(context_.partitionOf(job), job)), CallClass::Accept, patience(), [this, ask](const SettledAnswer& answer) {
        if (Cancel* found = find(ask))
            readManifest(*found, answer);
    });
}

// Failure met: a ledger that is read after the manifest is of a job that was accepted anew in between. It is taken for an earlier job's and
// replaced, with the results that it names. The guard: the manifest is read after the ledger, so a ledger that isn't of this job is older.
void CancelDesk::readManifest(Cancel& cancel, const SettledAnswer& ledger)
{
    const AskId ask = cancel.asked_.ask_;
    const JobId job = cancel.asked_.job_;
    context_.call(ObjectCall::get(manifestKey(context_.partitionOf(job), job)), CallClass::Accept, patience(), [this, ask, ledger](const SettledAnswer& answer) {
        Cancel* found = find(ask);
        if (!found)
            return;
        Result<Manifest> manifest = answer.ok() ? Manifest::decode(answer.answer_.value_) : Result<Manifest>(answer.is(ObjectError::NotFound) ? JobError::NoSuchJob : JobError::StoreUnavailable);
        if (!manifest)
            return refuse(ask, manifest.error());
        if (manifest.value().workspace_ != found->asked_.workspace_)
            return refuse(ask, JobError::NoSuchJob);
        found->manifest_ = std::move(manifest.value());
        decide(*found, ledger);
    });
}

void CancelDesk::decide(Cancel& cancel, const SettledAnswer& answer)
{
    const AskId ask = cancel.asked_.ask_;
    if (answer.is(ObjectError::NotFound))
        return writeLedger(cancel, {}, ObjectVersion::none());
    Result<Ledger> ledger = answer.ok() ? Ledger::decode(answer.answer_.value_) : Result<Ledger>(JobError::StoreUnavailable);
    if (!ledger)
        return refuse(ask, ledger.error());
    if (!ledger.value().belongsTo(cancel.manifest_)) {
        Ledger fresh;
        fresh.epoch_ = ledger.value().epoch_;
        return writeLedger(cancel, std::move(fresh), answer.answer_.version_);
    }
    if (ledger.value().state_ == JobState::Done)
        return refuse(ask, JobError::AlreadyDone);
    if (ledger.value().state_ == JobState::Cancelled)
        return wait(cancel, ledger.value());
    writeLedger(cancel, std::move(ledger.value()), answer.answer_.version_);
}

// The same object as every commit and claim: cancel, completion and takeover have one order.
void CancelDesk::writeLedger(Cancel& cancel, Ledger ledger, ObjectVersion version)
{
    const AskId ask = cancel.asked_.ask_;
    const JobId job = cancel.asked_.job_;
    ledger.upload_ = cancel.manifest_.upload_;
    ledger.state_ = JobState::Cancelled;
    ledger.endedAt_ = context_.wall_;
    ledger.mark_ = context_.mark();
    const std::string key = ledgerKey(context_.partitionOf(job), job);
    ObjectCall call = version.isNone() ? ObjectCall::create(key, ledger.encode()) : ObjectCall::update(key, ledger.encode(), version);
    context_.call(std::move(call), CallClass::Accept, patience(), [this, ask, ledger](const SettledAnswer& answer) {
        Cancel* found = find(ask);
        if (!found)
            return;
        if (answer.ok())
            return wait(*found, ledger);
        if (answer.is(ObjectError::Conflict))
            return readLedger(*found);
        refuse(ask, JobError::StoreUnavailable);
    });
}

void CancelDesk::wait(Cancel& cancel, const Ledger& ledger)
{
    cancel.ledger_ = ledger;
    // Without a holder the epoch is of an earlier job under this id: nobody has claimed this one, and no claim can succeed any more.
    const bool nobodyActs = ledger.epoch_ == Epoch(0) || ledger.holder_.isNone() || ledger.stopped_ == ledger.epoch_;
    if (nobodyActs)
        return acknowledge(cancel.asked_.ask_);
    cancel.waits_ = true;
    cancel.tellAt_ = context_.now_;
    cancel.checkAt_ = context_.now_;
}

void CancelDesk::holderStopped(JobId job, Epoch epoch)
{
    std::vector<AskId> done;
    for (const auto& [ask, cancel] : cancels_) {
        // None: the holder has nothing of the job. A later epoch: the ledger's holder is gone.
        if (cancel.waits_ && cancel.asked_.job_ == job && (epoch.isNone() || epoch >= cancel.ledger_.epoch_))
            done.push_back(ask);
    }
    for (const AskId ask : done)
        acknowledge(ask);
}

void CancelDesk::tick()
{
    std::vector<JobId> own;
    for (auto& [ask, cancel] : cancels_) {
        if (!cancel.waits_)
            continue;
        if (context_.now_ >= cancel.tellAt_) {
            cancel.tellAt_ = context_.now_ + context_.settings_.cancelRepeat_;
            if (cancel.ledger_.holder_ == context_.node_)
                own.push_back(cancel.asked_.job_);
            else
                context_.emit(TellCancel { cancel.ledger_.holder_, cancel.asked_.job_ });
        }
        if (context_.now_ >= cancel.checkAt_ && !cancel.checking_)
            checkLease(cancel);
    }
    for (const JobId job : own)
        tellSelf_(job);
}

void CancelDesk::checkLease(Cancel& cancel)
{
    const AskId ask = cancel.asked_.ask_;
    cancel.checking_ = true;
    context_.call(ObjectCall::get(leaseKey(context_.partitionOf(cancel.asked_.job_))), CallClass::Accept, patience(), [this, ask](const SettledAnswer& answer) {
        Cancel* found = find(ask);
        if (!found)
            return;
        found->checking_ = false;
        found->checkAt_ = context_.now_ + context_.settings_.cancelCheck_;
        const Result<Lease> lease = answer.ok() ? Lease::decode(answer.answer_.value_) : Result<Lease>(JobError::StoreUnavailable);
        if (!lease)
            return;
        if (lease.value().holder_.isNone() || lease.value().epoch_ > found->ledger_.epoch_)
            return acknowledge(ask);
        if (found->leaseSeenAt_ == neverTime || found->leaseVersion_ != answer.answer_.version_) {
            found->leaseVersion_ = answer.answer_.version_;
            found->leaseSeenAt_ = context_.now_;
        } else if (context_.now_ - found->leaseSeenAt_ >= context_.settings_.leaseTime_) {
            return acknowledge(ask);
        }
        checkLedger(*found);
    });
}

void CancelDesk::checkLedger(Cancel& cancel)
{
    const AskId ask = cancel.asked_.ask_;
    const JobId job = cancel.asked_.job_;
    cancel.checking_ = true;
    context_.call(ObjectCall::get(ledgerKey(context_.partitionOf(job), job)), CallClass::Accept, patience(), [this, ask](const SettledAnswer& answer) {
        Cancel* found = find(ask);
        if (!found)
            return;
        found->checking_ = false;
        const Result<Ledger> ledger = answer.ok() ? Ledger::decode(answer.answer_.value_) : Result<Ledger>(JobError::StoreUnavailable);
        if (ledger && ledger.value().stopped_ == found->ledger_.epoch_)
            acknowledge(ask);
    });
}

void CancelDesk::acknowledge(AskId ask)
{
    context_.emit(CancelAcknowledged { ask, cancels_.at(ask).asked_.job_ });
    cancels_.erase(ask);
}

void CancelDesk::refuse(AskId ask, std::error_code error)
{
    const bool later = error == JobError::StoreUnavailable;
    context_.emit(AskRefused { ask, error, later ? std::max<Duration>(1s, context_.queue_.budget().comeBackAfter(context_.now_)) : Duration::zero() });
    cancels_.erase(ask);
}

} // namespace jj
