// Decides at the host that a caller has connected to whether a request is within the quota of its workspace.
//
//     QuotaGate gate(settings, self, incarnation, outlets, now);
//     gate.admit(workspace, now, [](const QuotaGate::Answer& answer, TimePoint now) { ... });   // at once, or after a round trip
//     gate.returnCredit(workspace, now);                                                     // the request didn't run
//     gate.tick(now);
//
// While a workspace has credit, requests are admitted at once and reported to its accountants (QuotaAccountant.h) in the next tick. While
// its credit is scarce, each request waits for the decision of one accountant.
//
// If no accountant answers, the host admits its equal share of the quota. The bound allows for it as long as few hosts are cut off.
#pragma once

#include "workspaces/QuotaMessages.h"
#include "workspaces/QuotaSettings.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace jj {

struct QuotaOutlets {
    // Returns the accountants of a workspace, the one to query first at the front. May include this host; empty if none is known.
    std::function<std::vector<NodeId>(WorkspaceId)> accountantsOf_;
    std::function<void(NodeId, const QuotaReport&)> sendReport_;
    std::function<void(NodeId, const AdmissionRequest&)> sendRequest_;
    // Returns the number of hosts that may admit requests, including this one.
    std::function<std::size_t()> hosts_;
};

class QuotaGate {
public:
    struct Answer {
        bool isAdmitted_ = false;
        Duration retryAfter_ {}; // if not admitted
    };
    using Done = std::function<void(const Answer&, TimePoint now)>;

    QuotaGate(QuotaSettings settings, NodeId self, Incarnation incarnation, QuotaOutlets outlets, TimePoint now);

    // Calls `done` once, at the latest after all accountants have been queried in vain.
    void admit(WorkspaceId workspace, const Quota& quota, TimePoint now, Done done);
    void returnCredit(WorkspaceId workspace, TimePoint now);

    void handle(const AdmissionDecision& decision, TimePoint now);
    void handle(const QuotaNotice& notice, TimePoint now);
    void tick(TimePoint now);

    // Numbers for operators, since the start of the process.
    struct Totals {
        std::uint64_t admitted_ = 0;
        std::uint64_t requested_ = 0; // of the admitted and refused ones, those that waited for an accountant
        std::uint64_t refused_ = 0;
        std::uint64_t returned_ = 0;
        std::uint64_t unanswered_ = 0; // decided by this host alone, because no accountant answered
    };
    const Totals& totals() const { return totals_; }

private:
    struct Usage {
        std::int64_t admitted_ = 0;
        std::int64_t reported_ = 0; // admitted_ in the last report
        std::int64_t latest_ = 0; // change of admitted_ from the report before to the last one
        TimePoint changedAt_ {};
        bool isDirty_ = false; // changed since the last report
        TimePoint scarceUntil_ {};
        TimePoint refusingUntil_ {};
        Duration refusalWait_ {}; // what the last refusal said
        double ownTokens_ = 0; // credit of this host alone, while no accountant answers
        TimePoint ownRefilledAt_ {};
    };

    struct PendingRequest {
        WorkspaceId workspace_;
        Quota quota_;
        std::size_t requested_ = 0; // number of accountants that were queried
        TimePoint sentAt_ {};
        Done done_;
    };

    void requestDecision(std::uint32_t number, PendingRequest pending, TimePoint now);
    void decideAlone(const PendingRequest& pending, TimePoint now);
    void count(WorkspaceId workspace, std::int64_t requests, TimePoint now);
    void refuse(Duration wait, const Done& done, TimePoint now);
    void sendReports(TimePoint now);

    QuotaSettings settings_;
    NodeId self_;
    Incarnation incarnation_;
    QuotaOutlets outlets_;
    // Entries are never removed, because the totals that accountants know would start again. Only workspaces of a configuration get one.
    std::unordered_map<WorkspaceId, Usage> usages_;
    std::set<WorkspaceId> unreported_; // whose count must be reported, or repeated
    std::map<std::uint32_t, PendingRequest> pending_; // by number; the oldest first
    std::uint32_t nextNumber_ = 1;
    std::uint32_t sequence_ = 0;
    TimePoint cautiousUntil_;
    TimePoint tickedAt_;
    std::mt19937_64 random_;
    Totals totals_;
};

// A host that may keep accounts. Settled: other hosts have reported to it for long enough that its accounts are complete.
struct AccountantCandidate {
    NodeId node_;
    bool isSettled_ = false;
};

// Chooses the accountants of a workspace by rendezvous hashing, so that hosts that know the same candidates choose alike. Settled ones come
// first.
std::vector<NodeId> chooseAccountants(WorkspaceId workspace, const std::vector<AccountantCandidate>& candidates, std::size_t count);

} // namespace jj
