// Manages the jobs that one node owns: their items and results, reads, cancellation, takeover and handover.
//
//     JobScheduler scheduler(settings, outlets);
//     scheduler.adopt(transfer, now, wall);                       // this node is the owner of an accepted job
//     while (auto run = scheduler.startNext(service, now)) ...    // the most urgent waiting item
//     scheduler.event(run->id_, eventId, data);                   // an event of the run's stream
//     scheduler.ended(run->id_, RunResult::Completed, now);
//     scheduler.handleFailures(failures, now);                    // what another node knows of failed runs
//     scheduler.read(job, after, wait, force, now, done);
//     scheduler.tick(now, wall);
//
// Ownership is not a lease. The head names the owner. A node that considers the owner dead writes itself into the head, on condition that
// the head's version is unchanged, and continues after the existing result pages. The former owner may only have been paused or cut off,
// and may then try to add results of its own, which could give an item two results, or make positions differ between nodes. To prevent
// this, the K-th result page is created only if absent, so only one of two owners can write it. The other one reads that page, drops its
// own results for the items listed there, and continues after it.
//
// A node that may have been replaced without noticing (because it was paused, or doesn't receive its peers' messages) queries the store
// before it answers a read of an open job, because its answer must include what another owner has listed.
#pragma once

#include "base/SoftwareVersion.h"
#include "ledger/Acceptor.h"
#include "ledger/ItemFailures.h"
#include "ledger/Records.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jj {

// Identifies one run of an item on an engine.
using RunId = Id<struct RunTag>;

struct SchedulerSettings {
    // Results that finish within a commit window share a result page, unless they complete the job. The window is this fraction of the time
    // left until the job is due, at most commitWindow_. On average it delays a result by half its length; it never delays the last result.
    double commitFraction_ = 0.2;
    Duration commitWindow_ = 2s;
    std::size_t maxValueBytes_ = maxObjectBytes; // of a value in the store
    // Within this time before the job is due, each result is committed at once.
    Duration dueMargin_ = 1s;
    // Delay before an item is retried after a failed run. It doubles with each further failure, up to maxRetryDelay_.
    Duration initialRetryDelay_ = 100ms;
    Duration maxRetryDelay_ = 4s;
    // Delay before an item that was withheld may be tried.
    Duration withheldDelay_ = 2s;
    // Delay before an item that was preempted after an event runs again: the node that needed its slot has taken it by then.
    Duration preemptionDelay_ = 50ms;
    // A handover waits this long for the first event or the end of runs that have just begun. An engine that rejects an item answers within
    // this time, and an answer to a run that was stopped isn't counted.
    Duration firstAnswerTimeout_ = 500ms;
    // Items that have had no route for this time are given up. A host may learn later than the one that accepted a job that its route exists.
    Duration routeGrace_ = 5s;
    // Timeout of store calls that no caller waits for; long enough for them to survive an outage.
    Duration backgroundTimeout_ = std::chrono::minutes(10);
    // Timeout of a read that has to query the store.
    Duration readTimeout_ = 1s;
    // Items that are missing from the store after this time will not arrive, because their submission was abandoned.
    Duration itemsTimeout_ = 10s;
    // An item is urgent if the time until it is due is less than the rest of its run plus this margin. A commit takes about 300 ms, and
    // slots become free and occupied in bursts of seconds.
    Duration urgentMargin_ = 2500ms;
    // An item can't finish in time if the time left is less than this fraction of the rest of its run.
    double infeasibleFraction_ = 0.7;
    // A longer gap between two ticks means that the process was paused and that other nodes may have taken over its jobs.
    Duration pauseThreshold_ = 1s;
    // An item starts only if a query sent within this time has shown that its job is open and owned by this node. Any node may acknowledge the
    // end of a job once the store has it, and engines must get none of its items more than 3 s later. A connection to an engine takes up to
    // 250 ms.
    Duration startConfirmationLifetime_ = 1500ms;
    // While this node may have been replaced, an answer of the store is valid for reads for this time, counted from the sending of the
    // query. A result that one node has returned must be known to all others one second later. Callers read every 500 ms, so every second
    // read queries the store.
    Duration confirmationLifetime_ = 900ms;
    // Delay before a failed store operation is retried.
    Duration storeRetryDelay_ = 500ms;
    // After its start, a pause, or being considered dead, a node may for this time have been replaced as the owner of a job that it now
    // receives. Detection and takeover take about three seconds.
    Duration replacementWindow_ = 10s;
    // A message of an acceptance that comes later than this after the submission is late. A submission to a slow store takes up to 400 ms.
    Duration longestAcceptance_ = 500ms;
    // After this time all nodes that can reach this process have noticed its start. The process then rewrites the heads of its jobs, and
    // no longer queries the store before reads.
    Duration announcedAfter_ = 4s;
    // Wall clocks differ between hosts and may jump, so items are abandoned and objects removed only after this additional time.
    Duration clockSlack_ = 5s;
    // A completed or cancelled job without reads is dropped from memory after this time, and is loaded from the store again when needed.
    Duration idleTimeout_ = 20s;
    // The objects of a job that is no longer open are removed this long after the job was accepted.
    Duration retention_ = 150s;
    std::size_t maxAnswerBytes_ = 900 * 1024; // limit for the results in one answer; an answer contains at least one result if there is one
};

struct ItemRun {
    RunId id_;
    JobName job_;
    std::string workspace_; // of the job; empty: none
    std::string host_;
    std::string item_;
    std::string path_;
    ItemHeaders headers_;
    std::string body_; // decoded
    std::optional<std::uint64_t> resumeAfter_; // last event received in earlier runs; the run resumes after it
    TimePoint due_ {};
    WallTime acceptedAt_ {}; // of the job
    std::size_t textBytes_ = 0; // of the events received in earlier runs
    Duration confirmedAgo_ {}; // since the query that last showed that the job is open and owned by this node
};

// Whether an item can finish before it is due, estimated from the duration of recent runs.
enum class ItemUrgency : std::uint8_t {
    Relaxed, // can yield its slot and still finish in time
    Urgent, // finishes in time only if it runs now
    Doubtful, // not started; recent items with as little time left finished late, so it runs after all that can finish in time
    Late, // can't finish in time; runs after all others
};

enum class RunResult : std::uint8_t {
    Completed, // all events and the end of the answer were received
    Preempted, // by an online request or another item; resumes after the last event received, but not at once
    Released, // the engine didn't start the run, or is silent while another one has a free slot; may start again at once
    Interrupted, // the engine or the connection was lost; resumes after the last event received
    ResumeMismatch, // the run didn't resume after the requested event; starts over
    Failed, // the engine reported an error of its own
    Unprocessable, // the engine reported that the item can never succeed
    RouteRemoved, // no configuration routes the item any more
    Withheld, // not sent, because requests like the item crash engines; it waits, until it is abandoned if need be
};

enum class ReadOutcome : std::uint8_t {
    Found,
    Missing, // there is no such job
    Unavailable, // the store doesn't answer now
    OtherOwner, // owned by another node, which owner_ names
};

struct ReadAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unavailable;
    NodeId owner_;
    std::uint32_t total_ = 0;
    std::uint32_t next_ = 0;
    std::vector<JobResult> results_;
};

struct BodyAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unavailable;
    NodeId owner_;
    std::string body_; // decoded
};

struct CancelAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unavailable;
    NodeId owner_;
};

// A job that is transferred to another owner, with the output of its runs so far.
struct JobTransfer {
    struct Progress {
        std::string item_;
        std::string text_;
        std::uint32_t events_ = 0;
        std::uint64_t lastEvent_ = 0;
        SoftwareVersionId version_; // of the engines that wrote the text
    };

    JobName job_;
    JobHead head_;
    ObjectVersion headVersion_;
    std::vector<JobItem> items_;
    std::uint32_t resultPages_ = 0; // number of result pages known to exist
    // The job may have results beyond these pages: an earlier message with this transfer may have been delivered, or the job may have been
    // accepted earlier.
    bool mayHaveResults_ = false;
    std::vector<Progress> progress_;
    std::vector<ItemFailures> failures_ {};
    bool isTakenOver_ = false; // an owner that was considered dead may still run items of the job
};

// Kinds of events that the scheduler reports for the log.
enum class SchedulerNote : std::uint8_t {
    Adopted,
    Loaded, // the count is the number of results known
    TakenOver,
    OwnershipLost, // the head names another owner
    Listed, // results were committed
    PageConflict, // another owner had already written the result page
    ItemErrored,
    TextRefused, // the store can't hold the text of a completed item; the count is its size in bytes
    ItemFailed, // an engine answered with an error; the count is the number of failed runs known
    ItemRetried,
    ItemRestarted, // its text was discarded, because no engine of the software version that wrote it serves
    JobDone,
    JobCancelled,
    CancelMarkFound, // of a job that this node has in memory
    CancelMarkRemoved,
    JobVoid,
    HandedOver,
    Removed,
    StoreFailed,
};
std::string_view toString(SchedulerNote note);

struct SchedulerEvent {
    SchedulerNote note_ = SchedulerNote::Adopted;
    std::string_view job_;
    std::string_view item_;
    // Listed: number of results so far. For other kinds see where the event is reported.
    std::uint64_t count_ = 0;
    std::error_code error_;
    ObjectVersion version_ = ObjectVersion::none(); // of the job's head, as this node knows it; none: it has no job, or the event isn't about the head
    NodeId owner_ = NodeId::none(); // that the head names, if there is a version
};

struct SchedulerOutlets {
    LedgerStore store_;
    NodeId self_;
    std::function<bool(NodeId)> isLive_;
    // Returns the node that should own a job after `former`, chosen from the live nodes that run jobs; none if there is no such node.
    std::function<NodeId(std::string_view job, NodeId former)> preferredOwner_;
    std::function<void(RunId)> stop_; // stops a run whose output is no longer needed; the scheduler ignores further events of it
    std::function<void(NodeId to, JobTransfer)> transfer_;
    // Sends the records to the hosts that hold copies. What these hosts know of the job is then passed to handleFailures().
    std::function<void(const JobFailures&)> shareFailures_;
    std::function<void(const SchedulerEvent&)> note_;
    // Returns the service that the item is currently routed to. Returns nullopt while no configuration is known, and an empty name if no
    // route matches the item.
    std::function<std::optional<std::string>(std::string_view host, std::string_view path)> serviceOf_;
    // Whether an engine of the service with this software version takes new runs.
    std::function<bool(std::string_view service, SoftwareVersionId version)> isVersionServing_;
    // Whether some host may hold a spooled job that isn't in the store yet. While this is true, a read of a job that isn't in the store is
    // answered with Unavailable instead of Missing.
    std::function<bool()> mayBeSpooled_;
    // Whether a write of this object that this node has begun may have taken effect, although its outcome isn't known yet.
    std::function<bool(std::string_view key)> isWriteInDoubt_;
    // Whether other nodes may have replaced this one without its noticing.
    std::function<bool()> mayBeReplaced_;
    // Returns the slot time that the items of a workspace have used recently, relative to its weight; empty: all workspaces count alike.
    std::function<double(const std::string& workspace)> usageOf_ {};
};

class JobScheduler {
public:
    using ReadDone = std::function<void(ReadAnswer)>;
    using BodyDone = std::function<void(BodyAnswer)>;
    using CancelDone = std::function<void(CancelAnswer)>;

    JobScheduler(SchedulerSettings settings, SchedulerOutlets outlets);
    ~JobScheduler();

    // ---- location of a job, from its head in the store
    struct JobLocation {
        ReadOutcome outcome_ = ReadOutcome::Unavailable;
        NodeId owner_;
        JobState state_ = JobState::Open;
        std::uint32_t total_ = 0;
    };
    void locate(const JobName& name, TimePoint now, std::function<void(const JobLocation&)> done);

    // ---- ownership
    void adopt(JobTransfer job, TimePoint now, WallTime wall);
    // Lists all heads once, loads jobs that this node owns, and takes over jobs whose owner is dead. Reads the head of a loaded job again
    // if the store has a newer version, and loads expired jobs to remove them. A stale list suffices, except for the first scan after a
    // start.
    void scan(bool stale, TimePoint now);
    // Hands over all jobs to other nodes. No further jobs are accepted.
    void beginLeaving(TimePoint now);
    // Hands over open jobs whose preferred owner is another node. This node owns such jobs because it lacked current information when it
    // accepted them.
    void handOverMisplaced(TimePoint now);
    bool hasLeft() const;
    // Makes this node confirm the ownership of all open jobs in the store, because it was paused or considered dead. Until the store has
    // answered, no runs of these jobs start: another owner may run the same items.
    void recheckOwnership(TimePoint now);

    // ---- runs
    // Returns the most urgent item that waits for the service and that an engine of this software version may run, and marks it as running;
    // nullopt if there is none, or if the store has yet to confirm that its job is open (see startConfirmationLifetime_). An item that has text
    // of another version isn't returned while engines of that version serve, and starts over once there are none. `onlyUrgent`: only urgent
    // items, for a slot that only these may take.
    std::optional<ItemRun> startNext(std::string_view service, TimePoint now, SoftwareVersionId version = SoftwareVersion().id(), bool onlyUrgent = false);
    // The items that wait for one service: their number, and the urgency of the most urgent one.
    struct Waiting {
        ItemUrgency urgency_ = ItemUrgency::Late;
        std::size_t count_ = 0;
        std::size_t inTime_ = 0; // number of items that can still finish in time
        TimePoint firstDue_ = neverTime; // earliest due time of the items that can finish in time; neverTime if there are none
        TimePoint firstUrgentDue_ = neverTime; // the same for those that are urgent
        std::set<SoftwareVersionId> versions_; // that wrote the text of items which have some
    };
    std::map<std::string, Waiting> waiting(TimePoint now);
    void event(RunId run, std::uint64_t eventId, std::string_view data);
    void ended(RunId run, RunResult end, TimePoint now);
    // Counts an answer that has arrived after ended() or SchedulerOutlets::stop_ of its run. `result`: Failed or Unprocessable.
    void answeredLate(const ItemRun& run, RunResult result, TimePoint now);
    ItemUrgency urgencyOf(RunId run, TimePoint now) const;
    // Sets the duration of a complete, uninterrupted run, as recently measured.
    void setRunTime(Duration time) { runTime_ = time; }

    // ---- failures of items, also of jobs that other nodes own
    // Returns what this node knows of the failed runs of a job's items.
    JobFailures failuresOf(const JobKey& job) const { return failures_.failuresOf(job); }
    // Returns what this node knows of the items in `failures`, or of all items of the job if there are none in it.
    JobFailures answerTo(const JobFailures& failures) const { return failures_.answerTo(failures); }
    // Adds what another node knows, and gives up items that may not run again. Returns whether any of it was new.
    bool handleFailures(const JobFailures& failures, TimePoint now);

    // ---- calls on behalf of callers. `force`: use the store whichever node owns the job.
    void read(const JobName& job, std::uint32_t after, Duration wait, bool force, TimePoint now, ReadDone done);
    void body(const JobName& job, const std::string& item, bool force, TimePoint now, BodyDone done);
    // Cancels the job.
    void end(const JobName& job, bool force, TimePoint now, CancelDone done);

    // Handles the mark of a job that was cancelled bypassing its owner.
    void handleCancelMark(const JobName& job, TimePoint now);

    void tick(TimePoint now, WallTime wall);
    std::size_t openJobs() const;
    std::size_t loadedJobs() const { return jobs_.size(); }

private:
    struct Item;
    struct Job;
    struct Running {
        JobName job_;
        std::size_t item_ = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    Job* findOwnedJob(const JobName& name);
    void note(SchedulerNote note, std::string_view job, std::string_view item = {}, std::uint64_t count = 0, std::error_code error = {}) const;
    // Reports an event of the job's head.
    void noteHead(SchedulerNote note, std::string_view job, const JobHead& head, ObjectVersion version, std::uint64_t count = 0) const;
    void store(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { outlets_.store_(std::move(call), callClass, until, std::move(done)); }
    TimePoint dueAt(const JobHead& head, TimePoint now, WallTime wall) const;

    // Loading
    // `queriedAt`: when the query was sent that returned the head, or the update that wrote it.
    void loadOwned(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint queriedAt, TimePoint now);
    void loadHead(const JobPtr& job, TimePoint now);
    void loadContents(const JobPtr& job, TimePoint now);
    void loadItems(const JobPtr& job, std::uint32_t page, TimePoint now);
    void loadResults(const JobPtr& job, std::uint32_t page, TimePoint now);
    void fence(const JobPtr& job, TimePoint now);
    void finishLoading(const JobPtr& job, TimePoint now);
    void makeVoid(const JobPtr& job, std::uint32_t missingPage, TimePoint now);
    void reopenIfComplete(const JobPtr& job, std::uint32_t missingPage, TimePoint now);
    void applyResults(const JobPtr& job, std::vector<JobResult> results);
    void handleListedHead(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now);
    void listHeads(std::string after, bool stale, TimePoint now);
    void takeOver(const JobName& name, TimePoint now);
    void claim(const JobName& name, JobHead head, ObjectVersion version, TimePoint now);
    void refresh(const JobPtr& job, TimePoint now, std::function<void(bool isOwner, TimePoint)> then);
    void loadMissingResults(const JobPtr& job, TimePoint queriedAt, TimePoint now, std::function<void(bool isOwner, TimePoint)> then);
    void drop(const JobName& name);

    // Results
    void finishItem(const JobPtr& job, std::size_t item, ResultState state, TimePoint now);
    // The same, but leaves the commit to the caller.
    void addResult(const JobPtr& job, std::size_t item, ResultState state, TimePoint now);
    void commitIfDue(const JobPtr& job, TimePoint now);
    void commit(const JobPtr& job, TimePoint now);
    void finishCommit(const JobPtr& job, const SettledAnswer& answer, TimePoint now);
    // Lists the item as errored, without its text.
    void dropText(const Job& job, JobResult& result);
    void resolveConflict(const JobPtr& job, TimePoint now);
    // Reads the head after a result page that another owner has written, or may have written.
    void confirmThenComplete(const JobPtr& job, TimePoint now);
    void setState(const JobPtr& job, JobState state, TimePoint now, std::function<void(bool, TimePoint)> then);
    void completeIfDone(const JobPtr& job, TimePoint now);
    void stopRuns(const JobPtr& job, bool keepText);
    void detectPause(TimePoint now);
    // Records the start of the process at the first call.
    void noteStart(TimePoint now);
    // Whether this node may have been replaced without noticing, because it started or was unavailable recently.
    bool wasRecentlyUnavailable(TimePoint now) const;
    bool wasRecentlyPaused(TimePoint now) const;
    bool isRecentlyStarted(TimePoint now) const { return now - startedAt_ < settings_.replacementWindow_; }
    bool mayHaveBeenReplaced(const Job& job, TimePoint now) const;
    void confirmOwnership(const JobPtr& job, TimePoint now);
    void abandonOverdue(const JobPtr& job, TimePoint now);
    ItemUrgency urgencyOf(const Job& job, const Item& item, TimePoint now) const;
    struct NextItem {
        JobPtr job_; // null: no item may start
        std::size_t item_ = 0;
    };
    NextItem chooseNext(std::string_view service, TimePoint now, SoftwareVersionId version, bool onlyUrgent);
    ItemRun beginRun(const JobPtr& job, std::size_t itemIndex, std::string body, SoftwareVersionId version, TimePoint now);
    // Whether it was confirmed recently enough that the job is open and owned by this node.
    bool isStartConfirmed(const Job& job, TimePoint now) const;
    // Queries the store for the head, unless this was done less than storeRetryDelay_ ago.
    void confirmHead(const JobPtr& job, TimePoint now);
    void updateMeanStretch(const Item& item, TimePoint now);
    FailedRunId failedRunIdOf(RunId run) const;
    // Records a run that an engine answered with an error, here and at the hosts that hold copies.
    void recordFailure(const JobKey& job, const std::string& item, RunId run, bool isUnprocessable, TimePoint now);
    bool mayRunAgain(const Job& job, const Item& item) const;
    // Lists a waiting item as errored if it may not run again. Returns whether it does.
    bool giveUpIfRejected(const JobPtr& job, std::size_t item, TimePoint now);
    void giveUpRejected(const JobPtr& job, TimePoint now);
    // Returns whether the job has runs that neither brought an event nor have lasted for firstAnswerTimeout_.
    bool hasUnansweredRuns(const Job& job, TimePoint now) const;
    // Returns the service that the item is routed to; nullopt while it isn't known, and an empty name if the item has had no route for long.
    std::optional<std::string> serviceOf(const Job& job, Item& item, TimePoint now) const;
    bool mayRunAt(const Item& item, std::string_view service, SoftwareVersionId version) const;

    // Reads
    // Answers the readers for whose position there is a result.
    void answerReaders(const JobPtr& job);
    void answerExpiredReaders(const JobPtr& job, TimePoint now);
    ReadAnswer slice(const Job& job, std::uint32_t after) const;
    void readOwned(const JobPtr& job, std::uint32_t after, Duration wait, TimePoint now, ReadDone done);
    void readFromStore(const JobName& name, const JobHead& head, std::uint32_t after, TimePoint now, const ReadDone& done);
    void readHead(const JobName& name, TimePoint now, std::function<void(ReadOutcome, const JobHead&, ObjectVersion, TimePoint)> then);
    void writeCancellation(const JobPtr& job, TimePoint now);
    void writeOwnCancelMark(const JobPtr& job, TimePoint now);
    static void answerCancelRequests(const JobPtr& job, const CancelAnswer& answer);
    void answerTimedOutCancelRequests(const JobPtr& job, TimePoint now);
    void writeCancelMark(const JobName& name, TimePoint until, const CancelDone& done);
    void cancelInStore(const JobName& name, TimePoint now, TimePoint until, CancelDone done);

    // Handover
    void handOver(const JobPtr& job, TimePoint now);
    void removeExpired(const JobPtr& job, WallTime wall, TimePoint now);

    SchedulerSettings settings_;
    SchedulerOutlets outlets_;
    std::map<JobName, JobPtr> jobs_; // the jobs that this node believes it owns
    // Jobs that this process has owned before, and jobs that an earlier process may have owned because their heads couldn't be read. A message
    // that makes this node the owner of such a job may be older.
    std::unordered_map<JobName, TimePoint> earlierJobs_;
    FailureTable failures_ { FailureTableSettings() }; // of this node's jobs and of jobs that it holds copies for
    std::unordered_map<RunId, Running> runs_;
    std::uint64_t nextRun_ = 1;
    std::map<JobName, TimePoint> pendingTakeovers_; // takeovers in progress, so that two scans don't start the same one twice
    TimePoint startedAt_ {}; // start of the process
    WallTime startedAtWall_ {};
    TimePoint lastUnavailableAt_ {}; // when this node last was found to have been paused or considered dead
    TimePoint lastTick_ {};
    WallTime wall_ {};
    Duration runTime_ = 5s;
    double meanEvents_ = 0; // mean number of events of completed items; 0 before the first one
    // Mean time from an item's first run to its completion, as a multiple of an uninterrupted run. It exceeds 1 because items yield to
    // online requests.
    double meanStretch_ = 1;
    bool leaving_ = false;
    bool scanning_ = false;
    bool hasListedHeads_ = false; // a scan has ended since the start of the process
};

} // namespace jj
