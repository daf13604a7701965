// Leases on the partitions of all jobs (D5): which of them this node may act for, and under which epoch.
//
// Failure met: a holder is paused, its lease lapses, another node takes over, and the first wakes and goes on. It shows as two
// nodes running one partition. The guard has two sides. In time: a holder acts only until leaseTime_ - leaseMargin_ after its
// last renewal was first sent, by its own clock, and mayAct() is asked right before each effect; another node takes over only
// when it has seen the lease unchanged for leaseTime_ by its own clock, which began later. In the store: every taking raises the
// epoch, and each commit is a conditional update of an object that the new holder updates before it acts (see JobRunner), so what
// still slips through the first side is refused by the second. Nothing depends on clocks agreeing.
#pragma once

#include "jobs/JobContext.h"

#include <map>

namespace jj {

// Reported by the leases; the runner of jobs meets it.
struct LeaseListener {
    std::function<void(PartitionId, Epoch)> acquired_;
    std::function<void(PartitionId)> lapsed_; // the node may not act; nobody is known to have taken over
    std::function<void(PartitionId)> lost_; // somebody else holds it, or it was given back
    std::function<bool(PartitionId)> idle_; // nothing runs or waits for its commit
};

class PartitionLeases {
public:
    PartitionLeases(JobContext& context, LeaseListener listener);

    void assign(const PartitionsAssigned& event);
    // Before anything else at each event and tick: a node that was paused must learn it before it acts.
    void noteLapses();
    void tick();

    // The epoch this node may act under right now; none when it may not.
    Epoch actingEpoch(PartitionId partition) const;
    // No effect may begin at or after this time.
    TimePoint validUntil(PartitionId partition) const;
    bool isReleasing(PartitionId partition) const;
    std::uint32_t held() const;

private:
    enum class Role : std::uint8_t {
        None,
        Standby,
        Owner,
    };

    struct Partition {
        Role role_ = Role::None;
        // What stands in the store, as last seen, and since when it has been unchanged to this node's knowledge.
        Lease seen_;
        ObjectVersion seenVersion_;
        TimePoint seenAt_ = neverTime; // neverTime: never seen
        // As holder. Invariant: epoch_ is none, or this node wrote the lease of version version_ with it.
        Epoch epoch_;
        ObjectVersion version_;
        TimePoint validUntil_ {};
        bool lapsed_ = false;
        bool busy_ = false; // a write or read of this lease is on its way
        TimePoint renewAt_ {};
    };

    void observe();
    void observed(const ObjectAnswer& answer);
    void saw(Partition& partition, const Lease& lease, ObjectVersion version);
    bool mayTake(const Partition& partition) const;
    void take(PartitionId id, Partition& partition);
    void taken(PartitionId id, const SettledAnswer& answer, const Lease& lease);
    void renew(PartitionId id, Partition& partition);
    void renewed(PartitionId id, const SettledAnswer& answer);
    void release(PartitionId id, Partition& partition);
    void readBack(PartitionId id);
    void lose(PartitionId id, Partition& partition);
    Lease ownLease(Epoch epoch);

    JobContext& context_;
    LeaseListener listener_;
    std::map<PartitionId, Partition> partitions_;
    bool observing_ = false;
    TimePoint observeAt_ {};
};

} // namespace jj
