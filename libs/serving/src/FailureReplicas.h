// Keeps copies of the records of failed items (ledger/ItemFailures.h) at hosts in other failure domains.
//
// The owner of a job sends a record when an engine has answered an item with an error, before the item runs again. A host that becomes the
// owner asks for the records of the job. Each receiver replies with what it knows.
#pragma once

#include "DecisionLog.h"
#include "Fleet.h"
#include "ledger/JobScheduler.h"
#include "membership/Replicas.h"

#include <vector>

namespace jj {

struct FailureReplicaCandidate {
    ReplicaCandidate host_;
    bool isLeaving_ = false;
};

// Returns the hosts that records of the job, which `job` is a hash of, are sent to: those that are to hold copies, and hosts that are leaving
// and held copies before. These may be the only ones that know the records, and reply with them.
std::vector<NodeId> chooseFailureReplicas(std::uint64_t job, const std::vector<FailureReplicaCandidate>& candidates);

class FailureReplicas {
public:
    // All of these must outlive this object.
    FailureReplicas(Fleet& fleet, JobScheduler& scheduler, DecisionLog& log)
        : fleet_(fleet)
        , scheduler_(scheduler)
        , log_(log)
    {
    }

    // Sends the records to the hosts that hold copies, and adds what these know to the scheduler's records.
    void share(const JobFailures& failures);
    // Adds the records of another host. Returns what this host knows of their items, or of the whole job if there are no records.
    JobFailures handle(const JobFailures& failures);

private:
    std::vector<NodeId> replicasOf(const JobName& job) const;
    void handleReply(NodeId from, const JobKey& job, const Result<PeerReply>& reply);

    Fleet& fleet_;
    JobScheduler& scheduler_;
    DecisionLog& log_;
};

} // namespace jj
