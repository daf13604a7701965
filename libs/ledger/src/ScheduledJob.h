// A job in its owner's memory. Private to this library.
#pragma once

#include "ledger/JobScheduler.h"

namespace jj {

enum class ItemState : std::uint8_t {
    Waiting,
    Running,
    Finished, // its result waits to be listed
    Listed,
};

struct JobScheduler::Item {
    JobItem item_;
    ItemState state_ = ItemState::Waiting;
    std::string text_; // data of the events that came, separated by line feeds
    std::uint32_t events_ = 0;
    std::uint64_t lastEvent_ = 0; // meaningful when events_ > 0
    std::uint32_t failures_ = 0; // answers that were the engine's own failure
    std::uint32_t setbacks_ = 0; // runs in a row that brought nothing
    TimePoint notBefore_ {};
    TimePoint begunAt_ {}; // its first run here; none: it hasn't run
    RunId run_; // while Running

    // Text and position go together: a run that resumed behind text that is gone would leave a hole in the result.
    void startAnew()
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

    struct Ender {
        TimePoint asked_ {};
        EndDone done_;
    };

    JobName name_;
    JobHead head_;
    ObjectVersion headVersion_;
    TimePoint due_ {};
    bool loaded_ = false; // items and results are here
    TimePoint loadStarted_ {};
    std::vector<Item> items_;
    std::unordered_map<std::string, std::size_t> byId_;

    // Invariant: listed_ holds the results of pages 0 to pages_ - 1, in order; what it holds is in the store.
    std::vector<JobResult> listed_;
    std::uint32_t pages_ = 0;
    std::vector<JobResult> pending_; // finished, in no page yet
    TimePoint pendingSince_ {};
    std::vector<JobResult> committing_; // in the create of page pages_ that is under way
    bool isCommitting_ = false;
    TimePoint commitSentAt_ {};
    TimePoint commitAgainAt_ {};

    std::vector<Reader> readers_;
    bool suspect_ = false; // another node may own the job by now
    TimePoint askAgainAt_ {};
    TimePoint checkedAt_ {}; // when the store was asked that last confirmed that nobody does
    TimePoint lastUse_ {};
    bool stateChanging_ = false; // an update of the head is under way
    std::vector<Ender> enders_; // callers who asked for the end and have no answer yet
    bool ending_ = false; // the update of the head that is under way is the end
    // Invariant: no claim that another node sent before this process was known can succeed any more.
    bool isConfirmed_ = false;
    bool isTakenOver_ = false; // from an owner that this node believed dead, and that may live
    std::map<std::string, JobTransfer::Progress> progress_; // brought by a transfer, until the items are loaded

    bool isOpen() const { return head_.state_ == JobState::Open; }
    bool mayRun() const { return loaded_ && isOpen() && !ending_ && enders_.empty(); }
    bool isComplete() const { return listed_.size() >= head_.total_; }
};

} // namespace jj
