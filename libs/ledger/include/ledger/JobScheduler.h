// One node's jobs: those that it owns, their items and results, and reads, ends, takeovers and handovers.
//
//     JobScheduler scheduler(settings, outlets);
//     scheduler.adopt(job, now);                                  // this node is the owner of an accepted job
//     while (auto run = scheduler.startNext(service, now)) ...    // the most urgent item that waits
//     scheduler.event(run->id_, eventId, data);                   // of its stream
//     scheduler.ended(run->id_, RunEnd::Completed, now);
//     scheduler.read(job, after, wait, force, now, done);
//     scheduler.tick(now, wall);
//
// Ownership is no lease. The head names the owner; whoever finds it dead writes itself in under the head's version, and goes on from the
// result pages. Failure met: the owner was only paused or cut off, wakes, and adds results of its own. It shows as an item with two
// results, or as results whose positions differ from node to node. The guard: the K-th result page is created if absent, so of two owners
// only one gets position K; the other reads that page, drops what it lists, and goes on behind it.
//
// A node that may have been replaced without knowing it (it was paused, or can't hear its peers) asks the store before it answers
// a read of an open job: what another owner has listed must not be missing from its answer.
#pragma once

#include "ledger/Acceptor.h"
#include "ledger/Records.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jj {

// One run of an item at an engine.
using RunId = Id<struct RunTag>;

struct SchedulerSettings {
    // Results that finish within it share a page, while the job has more to do; it is this part of the time until the job is due, and
    // commitWindow_ at most. A caller sees a result half of it later on average, and never the last one.
    double commitPart_ = 0.2;
    Duration commitWindow_ = 2s;
    // From so long before the job is due on, each result is listed at once.
    Duration dueMargin_ = 1s;
    // An item that fails is tried again after it, twice as long after each further failure, up to longestRetry_.
    Duration firstRetry_ = 100ms;
    Duration longestRetry_ = 4s;
    // Store calls that no caller waits for go on for so long; they carry on over an outage.
    Duration patience_ = std::chrono::minutes(10);
    // A read that has to ask the store waits for at most so long.
    Duration readBound_ = 1s;
    // Items that haven't arrived by then won't: the submission was given up.
    Duration itemsBound_ = 10s;
    // An item that is due within the rest of its run and this has to run now. Commits take some 300 ms, slots come and go in bursts of
    // seconds.
    Duration urgentMargin_ = 2500ms;
    // With less than this part of the rest of its run left, an item can't be in time.
    double hopelessPart_ = 0.7;
    // A gap between two ticks over this means that the process was paused, and others may have taken over.
    Duration pauseBound_ = 1s;
    // While this node may have been replaced: how old the store's answer may be for a read, counted from when the store was asked. What one
    // node has answered, every other one must know a second later, and a caller reads each half second: so it is asked for each
    // second read.
    Duration trustedFor_ = 900ms;
    // What the store didn't do is tried again after it.
    Duration storeRetry_ = 500ms;
    // A node that started, was paused or was believed dead within it may have been replaced as the owner of a job that it is sent
    // now: detection and takeover take some three seconds.
    Duration newcomer_ = 10s;
    // By then all nodes that can reach this process know that it has started. It writes itself into the heads of its jobs anew, and need not ask the
    // store for them after that.
    Duration knownAfter_ = 4s;
    // Wall clocks differ between hosts and jump; nothing is given up before this much extra.
    Duration clockSlack_ = 5s;
    // A finished job that nobody reads leaves memory after it, and is read from the store again when needed.
    Duration keepIdle_ = 20s;
    // Objects of a job that isn't open are removed after so long.
    Duration retention_ = 150s;
    std::size_t answerBytes_ = 900 * 1024; // of results in one answer; at least one result is given
};

struct ItemRun {
    RunId id_;
    JobName job_;
    std::string host_;
    std::string item_;
    std::string path_;
    ItemHeaders headers_;
    std::string body_; // decoded
    std::optional<std::uint64_t> resumeAfter_; // the last event that is held; the run goes on after it
    TimePoint due_ {};
};

// How an item stands against its due time, by what runs take lately.
enum class ItemUrgency : std::uint8_t {
    Relaxed, // may give way and still be in time
    Urgent, // in time only if it runs now
    Doubtful, // not begun, and what began with so little time left was late of late: after all that can be in time
    Late, // can't be in time any more: after all others
};

enum class RunEnd : std::uint8_t {
    Completed, // all events came, and the answer's end
    GivenWay, // stopped for a question, or never begun; goes on where it stopped
    Broken, // the engine or the connection was lost; goes on where it stopped
    OutOfStep, // the run didn't go on after the event that was asked for; begins anew
    Failed, // the engine's own failure
    Impossible, // the engine says that the item can never be done
    RouteGone, // no configuration carries the item any more
};

enum class ReadOutcome : std::uint8_t {
    Found,
    Missing, // no such job
    Unsure, // the store can't be asked now
    Elsewhere, // owner_ has it
};

struct ReadAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unsure;
    NodeId owner_;
    std::uint32_t total_ = 0;
    std::uint32_t next_ = 0;
    std::vector<JobResult> results_;
};

struct BodyAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unsure;
    NodeId owner_;
    std::string body_; // decoded
};

struct EndAnswer {
    ReadOutcome outcome_ = ReadOutcome::Unsure;
    NodeId owner_;
};

// A job that changes hands, with what its runs have brought so far.
struct JobTransfer {
    struct Progress {
        std::string item_;
        std::string text_;
        std::uint32_t events_ = 0;
        std::uint64_t lastEvent_ = 0;
        std::uint32_t failures_ = 0;
    };

    JobName job_;
    JobHead head_;
    ObjectVersion headVersion_;
    std::vector<JobItem> items_;
    std::uint32_t resultPages_ = 0; // that are known to exist
    bool isResent_ = false; // an earlier message with it had no answer
    std::vector<Progress> progress_;
};

// What a node decided about a job, for the log.
enum class SchedulerNote : std::uint8_t {
    Adopted,
    TakenOver,
    Lost, // another owner stands in the head
    Listed, // results were committed
    ConflictMet, // another owner had written the page
    ItemErrored,
    ItemRetried,
    JobDone,
    JobEnded,
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
    std::uint64_t count_ = 0; // Listed: results so far; others: see the place
    std::error_code error_;
};

struct SchedulerOutlets {
    LedgerStore store_;
    NodeId self_;
    std::function<bool(NodeId)> isLive_;
    // Who should own a job after `former`, of the live nodes that run jobs; none when there are none.
    std::function<NodeId(std::string_view job, NodeId former)> preferredOwner_;
    std::function<void(RunId)> stop_; // the run is of no use any more; nothing more is said of it
    std::function<void(NodeId to, JobTransfer)> transfer_;
    std::function<void(const SchedulerEvent&)> note_;
    // Which service carries the item now; nullopt when no configuration is known, empty when none of its routes does.
    std::function<std::optional<std::string>(std::string_view host, std::string_view path)> serviceOf_;
    // A job that isn't in the store may be on its way there from some host's disk, so nobody can say that there is no such job.
    std::function<bool()> mayBeKept_;
    // Others may have replaced this node without its knowing.
    std::function<bool()> mayBeReplaced_;
};

class JobScheduler {
public:
    using ReadDone = std::function<void(ReadAnswer)>;
    using BodyDone = std::function<void(BodyAnswer)>;
    using EndDone = std::function<void(EndAnswer)>;

    JobScheduler(SchedulerSettings settings, SchedulerOutlets outlets);
    ~JobScheduler();

    // ---- where a job stands, by its head in the store
    struct Place {
        ReadOutcome outcome_ = ReadOutcome::Unsure;
        NodeId owner_;
        JobState state_ = JobState::Open;
        std::uint32_t total_ = 0;
    };
    void locate(const JobName& name, TimePoint now, std::function<void(const Place&)> done);

    // ---- ownership
    void adopt(JobTransfer job, TimePoint now, WallTime wall);
    // Reads all heads, now and each time it is called; takes over what has no live owner. Stale heads will do but for the first time.
    void scan(bool stale, TimePoint now);
    // Gives all jobs to other nodes; afterwards none is taken.
    void beginLeaving(TimePoint now);
    // Gives open jobs to whoever should own them, if that is another node: this one only took them in while it knew no better.
    void passOn(TimePoint now);
    bool hasLeft() const;
    void suspectAll(TimePoint now);

    // ---- runs
    // The most urgent item that waits and whose service is `service`; it counts as running from then on.
    std::optional<ItemRun> startNext(std::string_view service, TimePoint now);
    // Of the items that wait for a service: how the one stands that startNext() would give, and how many there are.
    struct Waiting {
        ItemUrgency urgency_ = ItemUrgency::Late;
        std::size_t count_ = 0;
        std::size_t inTime_ = 0; // of them: those that can still be in time
        TimePoint firstDue_ = neverTime; // of those in time; never: there are none
    };
    std::map<std::string, Waiting> waiting(TimePoint now);
    void event(RunId run, std::uint64_t eventId, std::string_view data);
    void ended(RunId run, RunEnd end, TimePoint now);
    ItemUrgency urgencyOf(RunId run, TimePoint now) const;
    // What a whole run takes lately.
    void setRunTime(Duration time) { runTime_ = time; }

    // ---- callers. `force`: answer from the store, whoever owns the job.
    void read(const JobName& job, std::uint32_t after, Duration wait, bool force, TimePoint now, ReadDone done);
    void body(const JobName& job, const std::string& item, bool force, TimePoint now, BodyDone done);
    void end(const JobName& job, bool force, TimePoint now, EndDone done);

    // A mark says that the job was ended past its owner.
    void endMarked(const JobName& job, TimePoint now);

    void tick(TimePoint now, WallTime wall);
    std::size_t openJobs() const;
    std::size_t heldJobs() const { return jobs_.size(); }

private:
    struct Item;
    struct Job;
    struct Running {
        JobName job_;
        std::size_t item_ = 0;
    };
    using JobPtr = std::shared_ptr<Job>;

    Job* owned(const JobName& name);
    void note(SchedulerNote note, std::string_view job, std::string_view item = {}, std::uint64_t count = 0, std::error_code error = {}) const;
    void store(ObjectCall call, CallClass callClass, TimePoint until, SettledCompletion done) { outlets_.store_(std::move(call), callClass, until, std::move(done)); }
    TimePoint dueAt(const JobHead& head, TimePoint now, WallTime wall) const;

    // Loading
    void loadOwned(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now);
    void loadItems(const JobPtr& job, std::uint32_t page, TimePoint now);
    void loadResults(const JobPtr& job, std::uint32_t page, TimePoint now);
    void fence(const JobPtr& job, TimePoint now);
    void loaded(const JobPtr& job, TimePoint now);
    void makeVoid(const JobPtr& job, TimePoint now);
    void applyResults(const JobPtr& job, std::vector<JobResult> results);
    void consider(const JobName& name, const JobHead& head, ObjectVersion version, TimePoint now);
    void listHeads(std::string after, bool stale, TimePoint now);
    void takeOver(const JobName& name, TimePoint now);
    void claim(const JobName& name, JobHead head, ObjectVersion version, TimePoint now);
    void refresh(const JobPtr& job, TimePoint now, std::function<void(bool known, TimePoint)> then);
    void drop(const JobName& name);

    // Results
    void finishItem(const JobPtr& job, std::size_t item, ResultState state, TimePoint now);
    void commitIfDue(const JobPtr& job, TimePoint now);
    void commit(const JobPtr& job, TimePoint now);
    void committed(const JobPtr& job, const SettledAnswer& answer, TimePoint now);
    void settleConflict(const JobPtr& job, TimePoint now);
    void setState(const JobPtr& job, JobState state, TimePoint now, std::function<void(bool, TimePoint)> then);
    void completeIfDone(const JobPtr& job, TimePoint now);
    void stopRuns(const JobPtr& job, bool keepText);
    void noticePause(TimePoint now);
    // It may have been replaced without knowing it.
    bool wasAway(TimePoint now) const;
    bool wasPaused(TimePoint now) const;
    bool isNewcomer(TimePoint now) const { return now - firstUse_ < settings_.newcomer_; }
    bool mayHaveBeenReplaced(const Job& job, TimePoint now) const;
    void confirmOwnership(const JobPtr& job, TimePoint now);
    void abandonOverdue(const JobPtr& job, TimePoint now);
    ItemUrgency urgencyOf(const Job& job, const Item& item, TimePoint now) const;
    void learnStretch(const Item& item, TimePoint now);

    // Reads
    void answerReaders(const JobPtr& job, TimePoint now, bool all);
    ReadAnswer slice(const Job& job, std::uint32_t after) const;
    void readOwned(const JobPtr& job, std::uint32_t after, Duration wait, TimePoint now, ReadDone done);
    void readFromStore(const JobName& name, const JobHead& head, std::uint32_t after, TimePoint now, const ReadDone& done);
    void lookUp(const JobName& name, TimePoint now, std::function<void(ReadOutcome, const JobHead&, ObjectVersion, TimePoint)> then);
    void writeEnd(const JobPtr& job, TimePoint now);
    static void answerEnders(const JobPtr& job, const EndAnswer& answer);
    void answerLateEnders(const JobPtr& job, TimePoint now);
    void markEnd(const JobName& name, TimePoint until, const EndDone& done);
    void endInStore(const JobName& name, TimePoint now, TimePoint until, EndDone done);

    // Handover
    void handOver(const JobPtr& job, TimePoint now);
    void removeExpired(const JobPtr& job, WallTime wall, TimePoint now);

    SchedulerSettings settings_;
    SchedulerOutlets outlets_;
    std::map<JobName, JobPtr> jobs_; // that this node owns, to its knowledge
    std::unordered_map<RunId, Running> runs_;
    std::uint64_t nextRun_ = 1;
    std::map<JobName, TimePoint> claiming_; // takeovers under way, so that two scans don't start two
    TimePoint firstUse_ {}; // when the process began
    TimePoint awayAt_ {}; // when it was last found to have been paused or believed dead
    TimePoint lastTick_ {};
    WallTime wall_ {};
    Duration runTime_ = 5s;
    double meanEvents_ = 0; // of whole items; 0: none has ended yet
    // From an item's first run to its end, in lengths of an uninterrupted run: what giving way to questions makes of it.
    double meanStretch_ = 1;
    bool leaving_ = false;
    bool scanning_ = false;
};

} // namespace jj
