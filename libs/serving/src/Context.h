// What the parts of a serving node share. All of it lives on one thread.
#pragma once

#include "CrashSuspects.h"
#include "DecisionLog.h"
#include "Fleet.h"
#include "StoreLink.h"
#include "capacity/CapacityBoard.h"
#include "http/Client.h"
#include "http/Server.h"
#include "routes/RouteTable.h"
#include "serving/ServingSettings.h"
#include "serving/Translation.h"
#include "telemetry/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace jj {

// What a node counts; shown on its metrics address.
struct ServingMetrics {
    explicit ServingMetrics(Metrics& metrics);

    Metrics& metrics_;
    CounterHandle answered_; // requests whose answer was passed on whole
    CounterHandle refused_; // answered "not run"
    CounterHandle failed_; // answered with a failure after they may have run
    CounterHandle brokenOff_; // cut after the answer had begun
    CounterHandle left_; // whose caller went away
    CounterHandle resent_; // sent to another engine
    CounterHandle displaced_; // questions that took a batch item's slot
    CounterHandle queued_; // questions that waited in an engine's queue
    CounterHandle itemRuns_;
    CounterHandle itemsGivenWay_;
    CounterHandle jobsKept_; // acknowledged on copies on disks
    DistributionHandle firstEvent_; // ms from a request's arrival to its answer's first bytes
    DistributionHandle accept_; // ms from a submission's arrival to its acknowledgement
};

class SlotQueue;

struct Context {
    boost::asio::io_context& io_;
    const ServingSettings& settings_;
    const Translation& translation_;
    DecisionLog& log_;
    ServingMetrics& metrics_;
    CapacityBoard& board_;
    http::Client& engines_; // connections to engines
    Fleet* fleet_ = nullptr; // set before anything runs
    SlotQueue* queue_ = nullptr; // as fleet_
    std::shared_ptr<const RouteTable> table_ {}; // null until the first configuration
    CrashSuspects suspects_ {};

    TimePoint now() const { return SystemClock().now(); }
    // Asks an engine that is left alone on a fresh connection whether it lives; only then a request tries it.
    void probe(UpstreamId engine);
    void failed(UpstreamId engine, EngineFault fault, std::error_code error);
    // The engine refuses connections: what it ran when it went down is suspect.
    void engineDown(UpstreamId engine);
    // Takes the load that an engine tells in its answer.
    void observe(UpstreamId engine, const http::Headers& headers);
};

// A refusal with its type, in the product's form. `retryAfter` zero leaves the header out.
http::Response refusal(const Translation& translation, int status, std::string_view code, std::string_view message, RunState run, Duration retryAfter);

// Headers that pass through: all but those of one connection.
http::Headers passedHeaders(const http::Headers& headers);

} // namespace jj
