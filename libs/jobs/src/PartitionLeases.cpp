// Observing, taking, renewing and giving back leases.
#include "jobs/PartitionLeases.h"

#include <algorithm>

namespace jj {

PartitionLeases::PartitionLeases(JobContext& context, LeaseListener listener)
    : context_(context)
    , listener_(std::move(listener))
{
}

void PartitionLeases::assign(const PartitionsAssigned& event)
{
    for (auto& [id, partition] : partitions_)
        partition.role_ = Role::None;
    for (const PartitionId id : event.standby_)
        partitions_[id].role_ = Role::Standby;
    for (const PartitionId id : event.owned_)
        partitions_[id].role_ = Role::Owner;
}

Epoch PartitionLeases::actingEpoch(PartitionId id) const
{
    const auto found = partitions_.find(id);
    if (found == partitions_.end() || found->second.lapsed_ || context_.now_ >= found->second.validUntil_)
        return Epoch::none();
    return found->second.epoch_;
}

TimePoint PartitionLeases::validUntil(PartitionId id) const
{
    const auto found = partitions_.find(id);
    return found == partitions_.end() || found->second.epoch_.isNone() ? TimePoint {} : found->second.validUntil_;
}

bool PartitionLeases::isReleasing(PartitionId id) const
{
    const auto found = partitions_.find(id);
    return found != partitions_.end() && (found->second.role_ == Role::None || context_.draining_);
}

std::uint32_t PartitionLeases::held() const
{
    return static_cast<std::uint32_t>(std::count_if(partitions_.begin(), partitions_.end(), [](const auto& entry) { return !entry.second.epoch_.isNone(); }));
}

void PartitionLeases::noteLapses()
{
    for (auto& [id, partition] : partitions_) {
        if (partition.epoch_.isNone() || partition.lapsed_ || context_.now_ < partition.validUntil_)
            continue;
        partition.lapsed_ = true;
        partition.renewAt_ = context_.now_;
        listener_.lapsed_(id);
    }
}

void PartitionLeases::tick()
{
    if (!observing_ && context_.now_ >= observeAt_)
        observe();
    for (auto& [id, partition] : partitions_) {
        if (partition.busy_)
            continue;
        const bool holds = !partition.epoch_.isNone();
        if (holds && !partition.lapsed_ && isReleasing(id) && listener_.idle_(id))
            release(id, partition);
        else if (holds && context_.now_ >= partition.renewAt_)
            renew(id, partition);
        else if (!holds && mayTake(partition))
            take(id, partition);
    }
}

void PartitionLeases::observe()
{
    const bool wanted = !context_.draining_ && std::any_of(partitions_.begin(), partitions_.end(), [](const auto& entry) { return entry.second.role_ != Role::None && entry.second.epoch_.isNone(); });
    if (!wanted)
        return;
    observing_ = true;
    context_.call(ObjectCall::list(leasePrefix(), true), CallClass::Lease, context_.now_ + context_.settings_.leaseTime_, [this](const SettledAnswer& answer) {
        observing_ = false;
        observeAt_ = context_.now_ + context_.settings_.observeEvery_;
        if (answer.ok())
            observed(answer.answer_);
    });
}

void PartitionLeases::observed(const ObjectAnswer& answer)
{
    for (auto& [id, partition] : partitions_) {
        const std::string key = leaseKey(id);
        const auto entry = std::lower_bound(answer.entries_.begin(), answer.entries_.end(), key, [](const ObjectEntry& left, const std::string& right) { return left.key_ < right; });
        if (entry == answer.entries_.end() || entry->key_ != key) {
            saw(partition, {}, ObjectVersion::none());
        } else if (const Result<Lease> lease = Lease::decode(entry->value_)) {
            saw(partition, lease.value(), entry->version_);
        }
    }
}

void PartitionLeases::saw(Partition& partition, const Lease& lease, ObjectVersion version)
{
    if (partition.seenAt_ != neverTime && partition.seenVersion_ == version)
        return;
    partition.seen_ = lease;
    partition.seenVersion_ = version;
    partition.seenAt_ = context_.now_;
}

bool PartitionLeases::mayTake(const Partition& partition) const
{
    if (partition.role_ == Role::None || partition.seenAt_ == neverTime || context_.draining_)
        return false;
    const bool owner = partition.role_ == Role::Owner;
    const bool isFree = partition.seen_.holder_.isNone();
    const Duration unchanged = context_.now_ - partition.seenAt_;
    if (owner && isFree)
        return true;
    return unchanged >= context_.settings_.leaseTime_ + (owner ? Duration::zero() : context_.settings_.standbyDelay_);
}

Lease PartitionLeases::ownLease(Epoch epoch) { return { context_.node_, context_.incarnation_, epoch, context_.mark() }; }

void PartitionLeases::take(PartitionId id, Partition& partition)
{
    const Lease lease = ownLease(Epoch(partition.seen_.epoch_.value() + 1));
    partition.busy_ = true;
    ObjectCall call = partition.seenVersion_.isNone() ? ObjectCall::create(leaseKey(id), lease.encode()) : ObjectCall::update(leaseKey(id), lease.encode(), partition.seenVersion_);
    context_.call(std::move(call), CallClass::Lease, context_.now_ + context_.settings_.renewEvery_, [this, id, lease](const SettledAnswer& answer) { taken(id, answer, lease); });
}

void PartitionLeases::taken(PartitionId id, const SettledAnswer& answer, const Lease& lease)
{
    Partition& partition = partitions_[id];
    partition.busy_ = false;
    if (!answer.ok()) {
        // Whatever stands now is new to this node: it waits for a whole lease time again.
        partition.seenAt_ = neverTime;
        return;
    }
    partition.epoch_ = lease.epoch_;
    partition.version_ = answer.answer_.version_;
    partition.lapsed_ = false;
    partition.validUntil_ = answer.firstSentAt_ + context_.settings_.leaseTime_ - context_.settings_.leaseMargin_;
    partition.renewAt_ = answer.firstSentAt_ + context_.settings_.renewEvery_;
    saw(partition, lease, answer.answer_.version_);
    if (context_.now_ < partition.validUntil_)
        listener_.acquired_(id, lease.epoch_);
    else
        partition.lapsed_ = true;
}

// Once lapsed, a lease is renewed under a new epoch, as if by another holder: somebody may have acted on its lapse, such as a
// cancel that was acknowledged because nobody could be running the job.
void PartitionLeases::renew(PartitionId id, Partition& partition)
{
    const Lease lease = ownLease(partition.lapsed_ ? Epoch(partition.epoch_.value() + 1) : partition.epoch_);
    partition.busy_ = true;
    const bool again = partition.lapsed_;
    context_.call(ObjectCall::update(leaseKey(id), lease.encode(), partition.version_), CallClass::Lease, context_.now_ + context_.settings_.renewEvery_,
        [this, id, lease, again](const SettledAnswer& answer) {
            if (again && answer.ok())
                taken(id, answer, lease);
            else
                renewed(id, answer);
        });
}

void PartitionLeases::renewed(PartitionId id, const SettledAnswer& answer)
{
    Partition& partition = partitions_[id];
    partition.busy_ = false;
    if (partition.epoch_.isNone())
        return;
    if (answer.is(ObjectError::Conflict) || answer.is(ObjectError::NotFound))
        return readBack(id);
    if (!answer.ok())
        return;
    partition.version_ = answer.answer_.version_;
    // noteLapses() has run: a renewal that is answered after the lapse doesn't undo it.
    if (partition.lapsed_)
        return;
    partition.validUntil_ = std::max(partition.validUntil_, answer.firstSentAt_ + context_.settings_.leaseTime_ - context_.settings_.leaseMargin_);
    partition.renewAt_ = answer.firstSentAt_ + context_.settings_.renewEvery_;
}

// The lease isn't the one this node wrote last: taken over, or an earlier renewal of its own landed late.
void PartitionLeases::readBack(PartitionId id)
{
    partitions_[id].busy_ = true;
    context_.call(ObjectCall::get(leaseKey(id)), CallClass::Lease, context_.now_ + context_.settings_.renewEvery_, [this, id](const SettledAnswer& answer) {
        Partition& partition = partitions_[id];
        partition.busy_ = false;
        const Result<Lease> lease = answer.ok() ? Lease::decode(answer.answer_.value_) : Result<Lease>(JobError::BadRecord);
        if (!lease)
            return;
        const bool own = lease.value().holder_ == context_.node_ && lease.value().incarnation_ == context_.incarnation_;
        if (!own) {
            lose(id, partition);
            saw(partition, lease.value(), answer.answer_.version_);
            return;
        }
        partition.version_ = answer.answer_.version_;
        partition.epoch_ = std::max(partition.epoch_, lease.value().epoch_);
        partition.renewAt_ = context_.now_;
    });
}

void PartitionLeases::lose(PartitionId id, Partition& partition)
{
    partition.epoch_ = Epoch::none();
    partition.validUntil_ = {};
    partition.lapsed_ = false;
    listener_.lost_(id);
}

void PartitionLeases::release(PartitionId id, Partition& partition)
{
    Lease lease = ownLease(partition.epoch_);
    lease.holder_ = NodeId::none();
    const ObjectVersion version = partition.version_;
    // From here on this node doesn't act, whether or not the write gets through; a lost write costs one lease time.
    lose(id, partition);
    partition.busy_ = true;
    context_.call(ObjectCall::update(leaseKey(id), lease.encode(), version), CallClass::Lease, context_.now_ + context_.settings_.renewEvery_, [this, id](const SettledAnswer&) {
        partitions_[id].busy_ = false;
        partitions_[id].seenAt_ = neverTime;
    });
}

} // namespace jj
