// The state of a job in its owner's memory. Private to this library.
#pragma once

#include "ledger/JobScheduler.h"

#include <algorithm>
#include <iterator>

namespace jj {

enum class ItemState : std::uint8_t {
    Waiting,
    Running,
    Finished, // the result isn't committed yet
    Listed,
};

struct JobScheduler::Item {
    JobItem item_;
    ItemState state_ = ItemState::Waiting;
    std::string text_; // data of the events received so far, separated by line feeds
    std::uint32_t events_ = 0;
    std::uint64_t lastEvent_ = 0; // valid if events_ > 0
    SoftwareVersionId version_; // of the engines that wrote text_; valid if events_ > 0
    SoftwareVersionId runVersion_; // of the engine that the run was started for; valid while Running
    std::uint32_t retries_ = 0; // number of runs that failed or were preempted since the last event was received
    TimePoint notBefore_ {};
    std::optional<TimePoint> withoutRouteSince_; // none: it has a route, or no configuration is known
    TimePoint firstRunAt_ {}; // start of its first run on this node; none if it hasn't run
    RunId run_; // set while Running
    TimePoint runStartedAt_ {}; // valid while Running
    bool hasRunEvent_ = false; // an event of this run was received; valid while Running

    // Discards text and position together: a run that resumes after discarded text would leave a gap in the result.
    void discardProgress()
    {
        text_.clear();
        events_ = 0;
        lastEvent_ = 0;
    }
};

struct JobScheduler::Job {
    struct Reader {
        std::uint32_t after_ = 0;
        TimePoint until_ {};
        ReadDone done_;
    };

    struct CancelRequest {
        TimePoint requestedAt_ {};
        CancelDone done_;
    };

    JobName name_;
    JobHead head_;
    ObjectVersion headVersion_;
    TimePoint due_ {};
    bool isLoaded_ = false; // items and results are in memory
    bool isHeadRead_ = true; // head_ is known to be the one in the store, or the job is new
    TimePoint loadStarted_ {};
    TimePoint reloadAt_ {}; // when a load that has failed is started again; none while a load is under way
    std::vector<Item> items_;
    std::unordered_map<std::string, std::size_t> byId_;

    // Invariant: listed_ holds the results of pages 0 to pages_ - 1 in order, and all of them are in the store.
    std::vector<JobResult> listed_;
    std::uint32_t pages_ = 0;
    std::vector<JobResult> pending_; // finished results that are on no page yet
    TimePoint pendingSince_ {};
    std::vector<JobResult> committing_; // results in the pending create of page pages_
    bool isCommitting_ = false;
    std::size_t maxResultsPerPage_ = SIZE_MAX; // fewer after the store has refused a page for good
    TimePoint commitSentAt_ {};
    TimePoint retryStoreAt_ {};

    std::vector<Reader> readers_;
    bool isOwnershipUncertain_ = false; // another node may own the job by now
    // When the latest query was sent that showed the job open and owned by this node; none: not known. Invariant: no item starts later than
    // startConfirmationLifetime_ after it.
    TimePoint openConfirmedAt_ {};
    bool isRenewalDue_ = false; // the confirmation is renewed, so that the next item needn't wait for the store
    TimePoint openQuestionedAt_ {}; // queries sent before this don't confirm that the job is open
    bool mayMissResults_ = false; // another owner may have listed results, because the head has changed or a page was met
    std::uint32_t headChanges_ = 0; // number of changes of the head that were found in the store
    TimePoint nextConfirmationAt_ {};
    TimePoint confirmedAt_ {}; // when the latest query was sent that confirmed this node's ownership
    TimePoint lastUse_ {};
    bool isUpdatingHead_ = false; // an update of the head is pending
    bool isHandingOver_ = false; // that update names the next owner, who may have found it already
    bool isHandoverDue_ = false; // the job is handed over as soon as its runs allow it; no run starts
    std::vector<CancelRequest> cancelRequests_; // callers that requested cancellation and haven't been answered
    bool isCancelling_ = false; // the pending update of the head cancels the job
    bool isCancelMarkDue_ = false; // the job is cancelled and was taken over, and its mark isn't known to be in the store
    bool isWritingCancelMark_ = false;
    // Invariant: if true, no claim that another node sent before it noticed this process's start can succeed any more.
    bool isConfirmed_ = false;
    bool isTakenOver_ = false; // it may have been claimed from an owner that was considered dead, but may still be alive
    std::map<std::string, JobTransfer::Progress> progress_; // from a transfer, until the items are loaded

    JobKey key() const { return { name_, head_.acceptedAt_ }; }
    bool isOpen() const { return head_.state_ == JobState::Open; }
    bool isVoid() const { return head_.state_ == JobState::Void; }
    bool mayRun() const { return isLoaded_ && isOpen() && isOpenConfirmed() && !mayMissResults_ && !isHandoverDue_ && !isCancelling_ && cancelRequests_.empty(); }
    bool isOpenConfirmed() const { return openConfirmedAt_ != TimePoint(); }
    void confirmOpen(TimePoint queriedAt)
    {
        if (queriedAt >= openQuestionedAt_)
            openConfirmedAt_ = std::max(openConfirmedAt_, queriedAt);
    }
    // No item starts until a query that is sent from now on has shown that the job is open.
    void questionOpen(TimePoint now)
    {
        openConfirmedAt_ = {};
        openQuestionedAt_ = now;
    }
    bool isComplete() const { return listed_.size() >= head_.total_; }

    // Removes and returns the readers that meet the condition.
    template <class Condition>
    std::vector<Reader> takeReaders(Condition isReady)
    {
        const auto rest = std::stable_partition(readers_.begin(), readers_.end(), [&](const Reader& reader) { return !isReady(reader); });
        std::vector<Reader> ready(std::make_move_iterator(rest), std::make_move_iterator(readers_.end()));
        readers_.erase(rest, readers_.end());
        return ready;
    }
};

} // namespace jj
