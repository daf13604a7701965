// Divides slot time between workspaces by weighted max-min fairness, and between priorities, while requests compete for slots.
//
//     FairShares shares = FairShares::create(settings, self, incarnation).value();
//     shares.setWorkspaces(weights);
//     shares.started(workspace, rank, now);                 // a request of this node takes a slot
//     shares.ended(workspace, rank, now);
//     const Claim claim = shares.claim(workspace, rank, now);
//     if (auto report = shares.nextReport(now)) ...         // to the delegate of the cell
//
// The claim of a waiting request is its rank and the slot time that its workspace has used recently over all nodes, divided by its weight. The
// request with the lowest claim goes first, so a workspace that uses less than its share overtakes those that use more, until all use equal
// shares or have no request waiting. Usage is an exponentially weighted mean of the slots in use: it counts slot time, not requests, and a
// refused request changes nothing. A request that starts adds the slot time that a run is expected to take at once, as in start-time fair
// queueing: the mean follows so slowly that a workspace would otherwise get all slots that become free within a moment.
//
// Only what has been used is exchanged, and only while requests compete. A node that hears of no other uses its own part alone.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "shares/ShareMessages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace jj {

enum class ShareError : int {
    BadSettings = 1, // a time isn't positive, or a fraction isn't between 0 and 1
};

std::error_code make_error_code(ShareError error);

struct FairShareSettings {
    Duration halfLife_ = 2s; // of usage
    Duration reportInterval_ = 500ms; // between two reports of a node, and between two sums of a cell
    Duration reportTimeout_ = 2s; // a report or sum that is older is dropped
    Duration competitionMemory_ = 2s; // reports go on for this long after the last request waited
    double lowerRanksFraction_ = 0.1; // of the slot time, which the lower ranks together get at least while they want it
    std::size_t maxReported_ = 32; // workspaces in one message
    float minReportedSlots_ = 0.02F; // smaller usage isn't reported; its claim is close to zero anyway
};

struct WorkspaceWeight {
    WorkspaceId workspace_;
    double weight_ = 1;
};

// The state of a workspace, for logs and metrics.
struct WorkspaceShare {
    WorkspaceId workspace_;
    double slots_ = 0; // used recently, over all nodes
    double share_ = 0; // the slots that it may use while all active workspaces want more
};

class FairShares {
public:
    // Errors: ShareError::BadSettings.
    static Result<FairShares> create(FairShareSettings settings, NodeId self, Incarnation incarnation);

    // Sets the weights. With no workspaces the usage of all claims is 0.
    void setWorkspaces(const std::vector<WorkspaceWeight>& weights);
    // Sets whether ranks differ between requests. If they don't, the rank of all claims is 0.
    void setRanksDiffer(bool differ) { ranksDiffer_ = differ; }
    bool isActive() const { return !weights_.empty() || ranksDiffer_; }

    // Sets how long a request is expected to occupy its slot.
    void setExpectedRun(Duration run) { expectedRun_ = run; }

    // ---- usage of this node
    void started(WorkspaceId workspace, Rank rank, TimePoint now);
    void ended(WorkspaceId workspace, Rank rank, TimePoint now);
    // Records that a request waits at this node or, according to reports, at another one of the cell.
    void recordCompetition(TimePoint now) { competedAt_ = now; }

    // ---- decisions
    Claim claim(WorkspaceId workspace, Rank rank, TimePoint now) const;
    // Returns by how much one more request raises the usage of a workspace's claims. Smaller differences of claims mean nothing.
    float usageOfOneRun(WorkspaceId workspace) const;
    // Returns whether the workspace uses less than its share of all slots in use.
    bool isBelowShare(WorkspaceId workspace, TimePoint now) const;
    // Returns the active workspaces, those that use most first, at most `most`.
    std::vector<WorkspaceShare> activeShares(std::size_t most, TimePoint now) const;

    // ---- messages
    // Returns the next report of this node; nullopt while there is nothing to send.
    std::optional<ShareReport> nextReport(TimePoint now);
    // As a delegate: applies the report of a node of this cell, and returns the next sums; nullopt while there is nothing to send.
    void applyReport(const ShareReport& report, TimePoint now);
    struct Sums {
        ShareSum ofCell_; // for the delegates of other cells
        ShareSum ofFleet_; // for the nodes of this cell
    };
    std::optional<Sums> nextSums(CellId cell, TimePoint now);
    // Applies a sum of this cell's delegate, or, as a delegate, the sum of another cell.
    void applySum(const ShareSum& sum, TimePoint now);
    void forget(NodeId node) { reports_.erase(node); }

private:
    // An exponentially weighted mean of a number of slots that changes in steps.
    struct Usage {
        double slots_ = 0; // the mean, as of at_
        std::uint32_t running_ = 0;
        TimePoint at_ {};
    };
    struct SlotsInUse {
        std::unordered_map<WorkspaceId, double> workspaces_;
        std::map<Rank, double> ranks_;

        void add(const std::vector<WorkspaceUsage>& workspaces, const std::vector<RankUsage>& ranks);
    };
    struct ReceivedReport {
        ShareReport report_;
        TimePoint at_ {};
    };
    struct ReceivedSum {
        ShareSum sum_;
        TimePoint at_ {};
    };

    FairShares(FairShareSettings settings, NodeId self, Incarnation incarnation)
        : settings_(settings)
        , self_(self)
        , incarnation_(incarnation)
    {
    }

    double meanSlots(const Usage& usage, TimePoint now) const;
    // Returns the mean and what the running requests add to it.
    double chargedSlots(const Usage& usage, TimePoint now) const;
    void change(Usage& usage, int slots, TimePoint now);
    bool isCompeting(TimePoint now) const { return competedAt_ != TimePoint() && now - competedAt_ < settings_.competitionMemory_; }
    double weightOf(WorkspaceId workspace) const;
    // Returns the slots for each unit of weight that all active workspaces together use.
    double meanLevel(TimePoint now) const;
    // Returns the usage over all nodes.
    double slotsOf(WorkspaceId workspace, TimePoint now) const;
    double slotsOfRank(Rank rank, TimePoint now) const;
    bool areLowerRanksStarved(Rank rank, TimePoint now) const;
    std::vector<WorkspaceUsage> ownWorkspaces(TimePoint now) const;
    std::vector<RankUsage> ownRanks(TimePoint now) const;
    void rebuildSums();
    ShareSum sumOf(CellId cell, bool isOfFleet, const SlotsInUse& slots);
    void expire(TimePoint now);
    std::vector<WorkspaceUsage> largest(std::vector<WorkspaceUsage> usages) const;

    FairShareSettings settings_;
    NodeId self_;
    Incarnation incarnation_;
    std::unordered_map<WorkspaceId, double> weights_;
    bool ranksDiffer_ = false;
    std::map<WorkspaceId, Usage> ownWorkspaces_;
    std::map<Rank, Usage> ownRanks_;
    // This node's part of the last sum that it has received of its cell, so that the part isn't counted twice.
    SlotsInUse ownInSums_;
    std::map<NodeId, ReceivedReport> reports_; // of the nodes of this cell, at a delegate
    // At a delegate, those of its own cell and of others; at other nodes, the last one of the fleet.
    std::map<CellId, ReceivedSum> cellSums_;
    SlotsInUse sums_; // of cellSums_
    TimePoint competedAt_ {};
    TimePoint reportedAt_ {};
    TimePoint summedAt_ {};
    std::uint32_t sequence_ = 0;
    std::uint32_t sumSequence_ = 0;
    SlotsInUse lastReported_; // this node's part of its last report, or, at a delegate, of its last sum
    Duration expectedRun_ = 800ms;
    mutable double level_ = 0; // the last result of meanLevel(), as of levelAt_
    mutable TimePoint levelAt_ {};
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::ShareError> : std::true_type {
};
