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
// refused request changes nothing. Each node follows its own usage, and what it hears of the others' corrects it slowly, so that the nodes
// don't all serve the same workspace between two messages. A request that starts adds the slot time that a run is expected to take at once, as in start-time fair
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
    // Of usage. Sums are one to two seconds old; with 2 s the hosts' corrections overshoot before they see each other's.
    Duration halfLife_ = 4s;
    Duration reportInterval_ = 500ms; // between two reports of a node, and between two sums of a cell
    Duration reportTimeout_ = 2s; // a report or sum that is older is dropped
    Duration competitionMemory_ = 2s; // reports go on for this long after the last request waited
    double lowerRanksFraction_ = 0.1; // of the slot time, which the lower ranks together get at least while they want it
    std::size_t maxReported_ = 32; // workspaces in one message
    float minReportedSlots_ = 0.02F; // smaller usage isn't reported; its claim is close to zero anyway
    // Whether claims follow the usage of this node, which it knows at any moment, and the sums only correct them. Claims that follow the sums
    // make all hosts give slots to the same workspaces until the next ones.
    bool isOwnUsageLeading_ = true;
    double maxFleetRatio_ = 400; // of all slots in use to those of this node; it may use almost none
    // With each sum, the claims of a workspace are multiplied by the ratio of its usage to its share to this power, up to this factor. It
    // removes the difference that remains where a workspace has callers at few hosts only.
    double correctionGain_ = 0.2;
    double maxCorrection_ = 4;
    // Of its share that a workspace uses at most if it counts as below it. A workspace that alone uses nearly all slots sets the level of the
    // shares itself, and its usage changes by a tenth from one moment to the next.
    double belowShareFraction_ = 0.75;
    // Of the reports of a node, and of the sums to each node. Larger messages are sent less often.
    std::size_t bytesPerSecond_ = 450;
};

struct WorkspaceWeight {
    WorkspaceId workspace_;
    double weight_ = 1;
};

// The state of a workspace, for logs and metrics.
struct WorkspaceShare {
    WorkspaceId workspace_;
    double slots_ = 0; // used recently, over all nodes
    double share_ = 0; // the slots that it may use, after those that use far less than their shares
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
    // Returns the slots that a workspace has used recently, over all nodes.
    double slotsOf(WorkspaceId workspace, TimePoint now) const;
    // Returns by how much one more request raises the usage of a workspace's claims. Smaller differences of claims mean nothing.
    float usageOfOneRun(WorkspaceId workspace) const;
    // Returns whether the workspace uses clearly less than its max-min share of all slots in use.
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
    };
    std::optional<Sums> nextSums(CellId cell, TimePoint now);
    // Returns what all nodes except `node` use, as of the last nextSums(), to be sent to this node of the cell. Its own part is left out
    // because it can't know which of its reports the sum would contain.
    ShareSum sumFor(NodeId node) const;
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
        void remove(const ShareReport& report);
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
        , ownLowerFraction_(settings.lowerRanksFraction_ * lowerRanksMargin)
    {
    }

    double meanSlots(const Usage& usage, TimePoint now) const;
    // Returns what a run that has just begun adds to the usage.
    double chargeOfOneRun() const;
    // Returns the mean and what the running requests add to it.
    double chargedSlots(const Usage& usage, TimePoint now) const;
    void change(Usage& usage, int slots, TimePoint now);
    bool isCompeting(TimePoint now) const { return competedAt_ != TimePoint() && now - competedAt_ < settings_.competitionMemory_; }
    double weightOf(WorkspaceId workspace) const;
    // Returns the max-min share of a workspace of weight 1.
    double shareLevel(TimePoint now) const;
    // Returns the usage that claims follow: this node's, scaled to all nodes and corrected by what the sums say.
    double claimedSlots(WorkspaceId workspace, TimePoint now) const;
    // Returns the usage over all nodes relative to the share of the workspace.
    double deviation(WorkspaceId workspace, TimePoint now) const;
    void updateCorrections(TimePoint now);
    // Returns the usage of a rank and all lower ones, over all nodes and at this one.
    double slotsFrom(Rank rank, TimePoint now) const;
    double ownSlotsFrom(Rank rank, TimePoint now) const;
    std::optional<Rank> mostUrgentRank(TimePoint now) const;
    std::vector<WorkspaceShare> activeUsage(TimePoint now) const;
    bool areLowerRanksStarved(Rank rank, TimePoint now) const;
    std::vector<WorkspaceUsage> ownWorkspaces(TimePoint now) const;
    std::vector<RankUsage> ownRanks(TimePoint now) const;
    void rebuildOthers(TimePoint now);
    void adaptLowerFraction(TimePoint now);
    Duration pauseAfter(std::size_t bytes) const;
    ShareSum sumOf(CellId cell, bool isOfFleet, const SlotsInUse& slots) const;
    void expire(TimePoint now);
    std::vector<WorkspaceUsage> largest(std::vector<WorkspaceUsage> usages) const;

    FairShareSettings settings_;
    NodeId self_;
    Incarnation incarnation_;
    std::unordered_map<WorkspaceId, double> weights_;
    bool ranksDiffer_ = false;
    std::map<WorkspaceId, Usage> ownWorkspaces_;
    std::map<Rank, Usage> ownRanks_;
    std::map<NodeId, ReceivedReport> reports_; // of the other nodes of this cell, at a delegate
    std::map<CellId, std::optional<ReceivedSum>> cellSums_; // of other cells, at a delegate
    std::optional<ReceivedSum> fleetSum_; // the last one of the delegate of this cell
    std::optional<CellId> ownCell_; // set while this node acts as a delegate
    SlotsInUse others_; // usage of all other nodes
    double fleetRatio_ = 1; // of all slots in use to those of this node, as of others_
    std::unordered_map<WorkspaceId, double> corrections_; // of claims; of the workspaces in others_ only
    TimePoint correctedAt_ {};
    SlotsInUse fleetSlots_; // usage of all nodes, at a delegate, as of the last sums
    TimePoint competedAt_ {};
    TimePoint reportAt_ {}; // the earliest time of the next report
    TimePoint sumAt_ {}; // the earliest time of the next sums
    TimePoint summedAt_ {};
    std::uint32_t sequence_ = 0;
    std::uint32_t sumSequence_ = 0;
    // The hosts aim at more than lowerRanksFraction_, because the mean of a controlled value is below the value at which the control begins.
    static constexpr double lowerRanksMargin = 1.15;
    double ownLowerFraction_ = 0; // of this node's slot time that lower ranks get while they are starved
    Duration expectedRun_ = 800ms;
    mutable double level_ = 0; // the last result of shareLevel(), as of levelAt_
    mutable TimePoint levelAt_ {};
};

} // namespace jj

template <>
struct std::is_error_code_enum<jj::ShareError> : std::true_type {
};
