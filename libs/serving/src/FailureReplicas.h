// Keeps copies of the records of failed items (ledger/ItemFailures.h) at hosts in other failure domains.
//
// The owner of a job sends a record when an engine has answered an item with an error, before the item runs again. A host that becomes the
// owner asks for the records of the job. Each receiver replies with what it knows.
#pragma once

#include "DecisionLog.h"
#include "Fleet.h"
#include "ledger/JobScheduler.h"

#include <vector>

namespace jj {

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
    // Adds the records of another host. Returns all that this host knows of the job.
    JobFailures handle(const JobFailures& failures);

private:
    std::vector<NodeId> replicasOf(const JobName& job) const;
    void handleReply(NodeId from, const JobKey& job, const Result<PeerReply>& reply);

    Fleet& fleet_;
    JobScheduler& scheduler_;
    DecisionLog& log_;
};

} // namespace jj
