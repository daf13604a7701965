// Runs the items of this node's jobs at engines, in the slots that questions leave, and gives those slots back at once.
//
// Failure met: engines admit in order of arrival, so an item that waits at an engine stands in front of the next question, and one that
// runs holds a slot for seconds. It shows as late first events in a burst. The guard: an item is sent only to an engine with a free slot
// beside the reserve, and is cancelled when a question needs its slot. It goes on behind its last event, which costs the engine
// 10 to 30 ms of reading in place of the whole run.
#pragma once

#include "Context.h"
#include "EventScanner.h"
#include "ledger/JobScheduler.h"

#include <map>
#include <memory>
#include <optional>

namespace jj {

struct ItemRunnerSettings {
    // A run without an event for so long is lost: several times the longest pause of a full engine.
    Duration silence_ = 1500ms;
    // Before any was measured: 219 events on a busy engine.
    Duration assumedRun_ = 5s;
    // Of the items that are in time only if they run now, so many on an engine don't give way: a share for batch, never the whole.
    std::uint16_t firmPerEngine_ = 1;
    // Starts in one turn of the loop: nodes that see the same free slots at the same moment don't all take them.
    std::size_t startsPerTurn_ = 4;
};

class ItemRunner {
public:
    ItemRunner(Context& context, JobScheduler& scheduler, ItemRunnerSettings settings);

    // Starts what fits.
    void pump(TimePoint now);
    // A question needs a slot of the engine. False: this node runs no item there.
    bool giveWay(UpstreamId engine, TimePoint now);
    // How many of the engine's slots its items keep against questions.
    void markFirm(TimePoint now);
    // The scheduler has no use for the run any more.
    void stop(RunId run);
    std::size_t running() const { return runs_.size(); }

private:
    struct Run {
        ItemRun item_;
        std::string service_;
        UpstreamId engine_;
        TimePoint sentAt_ {};
        std::shared_ptr<http::Call> call_;
        int status_ = 0;
        bool rejected_ = false;
        EventScanner scanner_;
    };
    using RunPtr = std::shared_ptr<Run>;

    // What was reported last of the items that wait for a service.
    struct ReportedItems {
        std::size_t count_ = 0;
        TimePoint firstDue_ = neverTime;

        friend bool operator==(const ReportedItems&, const ReportedItems&) = default;
    };

    // Starts the first item that fits; false: none does.
    bool startOne(TimePoint now);
    void reportWaiting(TimePoint now);
    void cedeOne(TimePoint now);
    void send(const RunPtr& run);
    void onHead(const RunPtr& run, const http::ResponseHead& head);
    void onData(const RunPtr& run, std::string_view data);
    void onEnd(const RunPtr& run);
    void onError(const RunPtr& run, const http::CallFailure& failure);
    void finish(const RunPtr& run, RunEnd end, std::string_view why);
    bool isCurrent(const RunPtr& run) const;

    Context& context_;
    JobScheduler& scheduler_;
    ItemRunnerSettings settings_;
    std::map<RunId, RunPtr> runs_;
    std::map<std::string, ReportedItems> reported_;
    double meanRunSeconds_;
};

} // namespace jj
