// State and helper functions shared by the components of a serving node. Everything here is used on a single thread.
#pragma once

#include "DecisionLog.h"
#include "EventScanner.h"
#include "Fleet.h"
#include "Quotas.h"
#include "StoreLink.h"
#include "capacity/CapacityBoard.h"
#include "http/ByteBudget.h"
#include "http/Client.h"
#include "http/Server.h"
#include "ledger/Records.h"
#include "routes/RouteTable.h"
#include "serving/ServingSettings.h"
#include "serving/Translation.h"
#include "telemetry/Metrics.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace jj {

// Counters and distributions of a node, served on its metrics address.
struct ServingMetrics {
    explicit ServingMetrics(Metrics& metrics);

    Metrics& metrics_;
    CounterHandle answered_; // requests whose complete answer was forwarded
    CounterHandle unauthorized_; // requests without a key that the configuration has
    CounterHandle overQuota_; // requests refused because their workspace was over its quota
    CounterHandle refused_; // requests refused without being run
    CounterHandle failed_; // requests that may have run and were answered with a failure
    CounterHandle aborted_; // answers aborted after they had started
    CounterHandle disconnected_; // requests whose caller disconnected
    CounterHandle resent_; // requests sent to another engine
    CounterHandle silences_; // engines that fell silent on a stream that may be resumed
    CounterHandle versionGone_; // streams that couldn't go on because no engine of their software version serves
    CounterHandle streamsResumed_; // streams that callers resumed and that were sent on
    CounterHandle streamsUnknown_; // streams that callers resumed and whose software version couldn't be found
    CounterHandle crashBlocked_; // requests refused because of what they share with requests that crash engines
    CounterHandle itemsWithheld_; // runs of items that were put off for the same reason
    CounterHandle preemptions_; // online requests that took a batch item's slot
    CounterHandle queued_; // online requests that waited in an engine's queue
    CounterHandle itemRuns_;
    CounterHandle itemsPreempted_;
    CounterHandle answersOverLimit_; // answers of engines of which an element exceeded its limit
    CounterHandle enginesPaused_; // times that an engine wasn't read because its caller's queue was full
    CounterHandle loadHeadersIgnored_; // load headers that can't be read
    CounterHandle handlersFailed_; // handlers of the loop that an exception left
    CounterHandle jobsSpooled_; // jobs acknowledged once spooled on disks, before the store accepted them
    CounterHandle requestsQueued_; // online requests that waited for a slot
    GaugeHandle requestsWaiting_; // that wait for a slot now
    GaugeHandle workspacesCompeting_; // that have used slots recently, over all nodes
    GaugeHandle lowestShareRatio_; // the lowest use, relative to its share, of a workspace whose requests wait here
    GaugeHandle bytesForReaders_; // held for callers and engines whose answers are under way
    GaugeHandle bytesOfUploads_; // of request bodies
    GaugeHandle bytesLimit_;
    GaugeHandle enginesSlow_; // slower than the median of their service
    GaugeHandle readersCutOff_; // callers that took no byte while the byte budget was exhausted, since the start
    GaugeHandle bytesOfHeads_;
    GaugeHandle headsRefused_; // requests whose header didn't fit into the byte budget, since the start
    GaugeHandle logLinesDropped_; // because of their limits, or because the log takes no more
    GaugeHandle logWritesFailed_; // because the log's reader is gone or its file can't grow
    GaugeHandle connectionsEvicted_; // connections that were closed to make room for others, since the start
    GaugeHandle uploadsRefused_; // requests whose body didn't fit into the byte budget, since the start
    DistributionHandle firstEvent_; // ms from a request's arrival to the first bytes of its answer
    DistributionHandle accept_; // ms from a job submission's arrival to its acknowledgement
};

class CrashWatch;
class Shares;
class SlotQueue;
class StreamVersions;

struct Context {
    static constexpr std::size_t maxAnswerBytes = 16U * 1024 * 1024;
    static constexpr std::size_t minElementsInBudget = 4;

    boost::asio::io_context& io_;
    const ServingSettings& settings_;
    const Translation& translation_;
    DecisionLog& log_;
    ServingMetrics& metrics_;
    CapacityBoard& board_;
    http::Client& engines_; // connections to engines
    std::shared_ptr<http::ByteBudget> budget_ {}; // of the bytes that are held for callers and engines
    Fleet* fleet_ = nullptr; // set before the event loop runs
    SlotQueue* queue_ = nullptr; // set before the event loop runs
    Quotas* quotas_ = nullptr; // set before the event loop runs
    Shares* shares_ = nullptr; // set before the event loop runs
    StreamVersions* streams_ = nullptr; // set before the event loop runs
    CrashWatch* crashes_ = nullptr; // set before the event loop runs
    std::shared_ptr<const RouteTable> table_ {}; // null until the first configuration is applied
    TimePoint stopsAt_ = neverTime; // when requests without an answer are ended because the process stops; never: it doesn't stop
    TimePoint tickAt_ {}; // when the loop last ran its periodic work
    TimePoint stalledAt_ {}; // the first such time after a stop of the process; none: there was none

    TimePoint now() const { return SystemClock().now(); }
    // Checks over a new connection whether an engine in backoff is alive. Requests are sent to the engine again only if it is.
    void probe(UpstreamId engine);
    // Records a failure of the engine. Reports it to the other nodes if the engine enters backoff.
    void failed(UpstreamId engine, EngineFault fault, std::error_code error);
    // Records that an engine which was silent goes on.
    void engineGoesOn(UpstreamId engine);
    // Records the load that an engine states in the headers of its answer.
    void observe(UpstreamId engine, const http::Headers& headers);
    // Records events that have arrived together, which show how fast the engine works. Events that are read after this process was stopped
    // for a moment show nothing.
    void recordEvents(UpstreamId engine, EventClock& clock, std::size_t events);
    // Records that the loop runs.
    void recordTick();
    // Records an answer of which an element exceeded its limit.
    void recordOverLimit(UpstreamId engine, std::error_code error);
    // Maximum sizes of an event and of a whole answer, in bytes. Several of them fit into the budget.
    std::size_t eventLimit() const { return std::min(EventScanner::maxEventBytes, budget_->limit() / minElementsInBudget); }
    std::size_t answerLimit() const { return std::min(maxAnswerBytes, budget_->limit() / minElementsInBudget); }
};

// Returns whether an engine gave no sign in time. An engine that is cut off or stands still looks the same as one that is gone.
bool isTimeout(std::error_code error);

// Returns whether an element of an engine's answer exceeded its limit. This is no evidence that the request crashes engines.
bool isOverLimit(std::error_code error);

// Returns an error response that carries `code` and the run state. The retry header is omitted if `retryAfter` is zero.
http::Response refusalResponse(const Translation& translation, int status, std::string_view code, std::string_view message, RunState run, Duration retryAfter);

// Returns the response to a request without a valid key.
http::Response unauthorizedResponse(const Translation& translation);

// Returns the end-to-end headers, which a proxy forwards: all except the hop-by-hop ones.
http::Headers endToEndHeaders(const http::Headers& headers);

// Returns the value of all headers `name` as one list.
std::string joinedValues(const http::Headers& headers, std::string_view name);
std::string joinedValues(const ItemHeaders& headers, std::string_view name);

// Returns the list of a prompt's parts as it came, cut to a length that fits into a log line.
std::string_view partsForLog(std::string_view parts);

// Returns whether an engine's answer is a success without its signature: bytes of its head are wrong.
bool isUnsealedSuccess(const HeaderNames& names, const http::ResponseHead& head);

// Returns whether a header of a caller's request or of a batch item reaches no engine, however it is spelled: the workspace header, which
// only the node sets, and the caller's key if the configuration has workspaces.
bool isWithheldHeader(const HeaderNames& names, const RouteTable* table, std::string_view name);

} // namespace jj
