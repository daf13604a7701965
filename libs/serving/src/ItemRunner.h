// Runs the items of this node's jobs on engine slots that online requests do not use, and frees a slot as soon as one needs it.
//
// Engines admit requests in order of arrival, so an item that is queued at an engine delays the online requests behind it, and a
// running item occupies its slot for seconds. In a burst this would delay the first events of online requests. An item is
// therefore sent only to an engine that has a free slot beyond those reserved for online requests, and its run is cancelled
// when an online request needs the slot. The item later resumes after its last event, which costs an engine 10 to 30 ms of prompt
// processing instead of a whole run.
#pragma once

#include "Context.h"
#include "CrashWatch.h"
#include "EventScanner.h"
#include "StreamEnd.h"
#include "ledger/JobScheduler.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jj {

struct ItemRunnerSettings {
    // An engine counts as silent after this long without a byte, several times the longest pause on a fully loaded engine. The item leaves
    // it if another engine has a free slot.
    Duration silenceTimeout_ = 1500ms;
    // A run whose engine has been silent, or has sent no event, for this long is given up even if no other engine has a free slot.
    Duration silenceLimit_ = 10s;
    // Assumed duration of a run until one has been measured: that of 219 events on a busy engine.
    Duration assumedRunTime_ = 5s;
    // Number of urgent items per engine that online requests can't preempt. Urgent items meet their deadline only if they run now.
    // The limit gives batch work a share of each engine, but never all of it.
    std::uint16_t nonPreemptiblePerEngine_ = 1;
    // Maximum number of runs started by one call of pump(), so that nodes that see the same free slots at the same time don't all
    // take them.
    std::size_t maxStartsPerPump_ = 4;
    std::size_t maxIgnoredBytes_ = 64U * 1024; // of the body of a failure or refusal, which is of no use
    // Text of an item over all its runs: a result has to fit into one answer to its reader.
    std::size_t maxTextBytes_ = 900U * 1024;
};

class ItemRunner {
public:
    ItemRunner(Context& context, JobScheduler& scheduler, ItemRunnerSettings settings);

    // Starts the waiting items for which there are free slots.
    void pump(TimePoint now);
    // Preempts one item on the engine for an online request, unless all items there are non-preemptible. Returns false if this node
    // runs no item on the engine.
    bool preemptItem(UpstreamId engine, TimePoint now);
    // Updates the number of non-preemptible items on each engine on the capacity board.
    void updateNonPreemptibleItems(TimePoint now);
    // Cancels a run that the scheduler no longer needs, without reporting its end to the scheduler. An error that its engine has answered
    // is reported nevertheless.
    void stop(RunId run);
    std::size_t running() const { return runs_.size(); }

private:
    struct Run {
        ItemRun item_;
        std::string service_;
        UpstreamId engine_;
        TimePoint sentAt_ {};
        TimePoint heardAt_ {}; // when the engine sent its last byte; the time of the send while there is none
        TimePoint usefulAt_ {}; // when the head of the answer or the last event with text came; the time of the send while there is none
        std::size_t ignoredBytes_ = 0; // of an answer that isn't a stream
        bool isSilent_ = false; // no byte has come for silenceTimeout_
        std::shared_ptr<http::Call> call_;
        int status_ = 0;
        bool rejected_ = false;
        RequestFingerprints fingerprints_; // what the item may share with requests that crash engines
        std::optional<TimePoint> firstEventAt_; // none: no event of this run has arrived
        bool isProven_ = false; // the run has gone on for long enough that the item doesn't crash its engine
        std::optional<http::AnswerEnd> end_; // none until the answer has ended
        EventScanner scanner_;
        EventClock eventClock_;
        std::size_t textBytes_ = 0; // of the events of this run
        http::ByteHold hold_; // of the event that is being scanned
    };
    using RunPtr = std::shared_ptr<Run>;

    // The last reported state of the items that wait for a service.
    struct ReportedItems {
        std::size_t count_ = 0;
        TimePoint firstDue_ = neverTime;

        friend bool operator==(const ReportedItems&, const ReportedItems&) = default;
    };

    // Starts the first item that has a free slot. Returns false if there is none.
    bool startOne(TimePoint now);
    // Start an item of the service on an engine of this software version; none: of any. Return false if no slot or no item fits.
    bool startOn(const std::string& service, const JobScheduler::Waiting& waiting, SoftwareVersionId version, TimePoint now);
    // `onlyUrgent`: an urgent item, in a slot that only these may take.
    bool startOn(const std::string& service, TimePoint due, SoftwareVersionId version, bool onlyUrgent, TimePoint now);
    // Puts off an item with what requests that crash engines share. Returns false if the item may run.
    bool withhold(const Run& run, TimePoint now);
    // Moves items from silent engines to engines that have a free slot.
    void leaveSilentEngines(TimePoint now);
    // Ends the run if another engine can take the item. Returns that engine, or none.
    EnginePick checkSilence(const RunPtr& run, TimePoint now);
    // Returns an engine that isn't silent and has a free slot for the item, or none.
    EnginePick pickOtherEngine(const Run& run, TimePoint now);
    // Ends runs whose engine sends bytes but no event.
    void endEndlessAnswers(TimePoint now);
    void recordOverLimit(const Run& run, std::error_code error);
    void endWithoutEvents(const RunPtr& run, std::string_view why);
    // Records that a byte came from the run's engine.
    void recordBytes(Run& run);
    void onEvent(const RunPtr& run);
    void onEngineLost(const RunPtr& run, std::error_code error);
    // Returns whether the end of the run's answer shows that the stream broke off.
    StreamBreak findBreak(const Run& run, http::AnswerEnd answerEnd);
    void reportWaiting(TimePoint now);
    void yieldOneItem(TimePoint now);
    void send(const RunPtr& run);
    void onHead(const RunPtr& run, const http::ResponseHead& head);
    void onData(const RunPtr& run, std::string_view data);
    void onEnd(const RunPtr& run, http::AnswerEnd answerEnd);
    void onError(const RunPtr& run, const http::CallFailure& failure);
    void finish(const RunPtr& run, RunResult end, std::string_view why);
    // Ends the run's call. An error that the engine has answered, and that this node hasn't read yet, is reported to the scheduler.
    static void endCall(Run& run);
    // Returns the error that the engine has answered the item with, or nullopt.
    static std::optional<RunResult> rejectionOf(const Run& run);
    void reportLateRejection(const Run& run);
    bool isCurrent(const RunPtr& run) const;

    Context& context_;
    JobScheduler& scheduler_;
    ItemRunnerSettings settings_;
    std::map<RunId, RunPtr> runs_;
    // The events after which runs of items resumed that ended without an event. Forgotten when the item has ended, or there are too many.
    std::map<std::string, std::uint64_t> emptyRuns_;
    std::map<std::string, ReportedItems> lastReported_;
    double meanRunSeconds_;
};

} // namespace jj
