// Keeps the accounts of the workspaces for which this host is one of the accountants.
//
//     QuotaAccountant accountant(settings);
//     accountant.setWorkspaces(table, now);
//     accountant.handle(report);                          // a host has admitted requests
//     const AdmissionDecision decision = accountant.decide(request, now);
//     if (const auto notice = accountant.takeNotice(now)) ...   // for all hosts
//
// An account is a token bucket. Hosts admit requests on their own while the bucket has more than a reserve, and report them afterwards; below
// the reserve they request a decision first. The reserve covers what all hosts together admit until they have received the notice.
//
// Every accountant of a workspace receives the counts of all hosts, and totals can be received in any order and more than once. So the
// buckets of two accountants agree within the delay of the reports, and either one can decide.
//
// A new account, or one of a process that has just started or was paused, doesn't know what ran before. It starts with a part of what the
// bound allows beyond the quota, so that a restart of all hosts doesn't grant a burst twice.
#pragma once

#include "workspaces/QuotaMessages.h"
#include "workspaces/QuotaSettings.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace jj {

class QuotaAccountant {
public:
    explicit QuotaAccountant(QuotaSettings settings)
        : settings_(settings)
    {
    }

    // Quotas take effect at once: a lower burst cuts the credit, a higher one adds to it. `table` must outlive the next call.
    void setWorkspaces(const WorkspaceTable* table, TimePoint now);
    // Sets the share of each quota that the hosts which this host can reach may use, if others may be serving callers out of its reach.
    void setShare(double share) { share_ = share; }

    void handle(const QuotaReport& report, TimePoint now);
    AdmissionDecision decide(const AdmissionRequest& request, TimePoint now);
    // Returns the workspaces whose state has changed, or must be repeated; none if there are none.
    std::optional<QuotaNotice> takeNotice(TimePoint now);

    // Forgets the accounts that other hosts keep now. Their counts would be outdated when this host becomes an accountant again.
    void keepOnly(const std::function<bool(WorkspaceId)>& isKept);

    std::size_t accounts() const { return accounts_.size(); }

private:
    struct HostCount {
        Incarnation incarnation_;
        std::uint32_t sequence_ = 0;
        std::int64_t admitted_ = 0;
    };

    struct Account {
        Quota quota_;
        double tokens_ = 0; // negative: more was admitted than the quota allows
        TimePoint refilledAt_ {};
        double demand_ = 0; // requests per second, admitted or refused
        double returning_ = 0; // refused requests for which credit will have come when their callers return
        bool isScarce_ = false;
        bool isAnnounced_ = true; // the last change of isScarce_ is in a notice
        TimePoint announcedAt_ {};
        std::map<NodeId, HostCount> hosts_;
    };

    // Returns null if the workspace is unknown or unlimited.
    Account* accountOf(WorkspaceId workspace, TimePoint now);
    double depthOf(const Account& account) const;
    void refill(Account& account, TimePoint now) const;
    void charge(Account& account, double requests) const;
    void updateState(Account& account) const;
    void detectPause(TimePoint now);

    QuotaSettings settings_;
    const WorkspaceTable* table_ = nullptr;
    double share_ = 1;
    TimePoint activeAt_ {};
    std::unordered_map<WorkspaceId, Account> accounts_;
};

} // namespace jj
