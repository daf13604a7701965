// Handles callers' requests about jobs. Any node accepts a request; the node that owns the job answers it.
#pragma once

#include "AcceptanceSender.h"
#include "Caller.h"
#include "Context.h"
#include "ledger/JobIntake.h"
#include "ledger/JobScheduler.h"

#include <map>
#include <memory>
#include <string>

namespace jj {

class JobFront {
public:
    JobFront(Context& context, JobScheduler& scheduler, StoreLink& store);

    void submit(const std::shared_ptr<http::Exchange>& exchange, const RouteTable& table, const Route& route, const Caller& caller);
    void call(std::shared_ptr<http::Exchange> exchange, const RouteTable& table, const Caller& caller, JobRequest call);
    // Sends a job that the store has accepted to its owner.
    // Makes the hosts that hold copies of spooled jobs discard those of this one, because the store holds the job.
    void discardCopies(const JobName& job);
    void sendToOwner(const JobName& job, const Acceptance& acceptance) { acceptances_.send(job, acceptance); }
    void tick(TimePoint now) { intake_.tick(now); }

private:
    struct PendingCall;
    using PendingCallPtr = std::shared_ptr<PendingCall>;

    AcceptanceOutlets acceptanceOutlets();
    IntakeOutlets intakeOutlets(StoreLink& store);
    void spoolAt(NodeId host, SpooledJob job, std::function<void(SpoolOutcome, TimePoint)> done);
    void removeSpooledCopy(NodeId host, const JobName& job);
    void respond(const std::shared_ptr<http::Exchange>& exchange, const std::string& id, const JobName& job, const IntakeAnswer& answer, TimePoint startedAt, TimePoint now);
    void start(const PendingCallPtr& pending);
    void queryOwner(const PendingCallPtr& pending);
    // Answers from this node. `bypassOwner`: reads the store, whichever node owns the job.
    void answerLocally(const PendingCallPtr& pending, bool bypassOwner);
    void onReply(const PendingCallPtr& pending, ReadOutcome outcome, NodeId owner, bool wasLocal, const PeerReply& reply);
    // `wasLocal`: the answer is this node's own.
    void respond(const PendingCall& pending, ReadOutcome outcome, bool wasLocal, const PeerReply& reply);
    // Returns the last known owner if it is alive, else the preferred one.
    NodeId ownerOf(const JobName& job) const;
    void rememberOwner(const JobName& job, NodeId owner);

    Context& context_;
    JobScheduler& scheduler_;
    AcceptanceSender acceptances_;
    JobIntake intake_;
    // Last known owner of each job. An outdated entry costs one extra hop.
    std::map<JobName, NodeId> owners_;
};

} // namespace jj
