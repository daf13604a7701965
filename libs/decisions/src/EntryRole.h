// The entry role: admits the requests of this node's callers, picks an engine and hands them to its home, retries what may be
// retried, and gives each request exactly one final answer at the moment it is decided.
#pragma once

#include "FairQueue.h"
#include "Fleet.h"
#include "Quarantine.h"
#include "Router.h"

#include <boost/container/static_vector.hpp>

namespace jj {

class EntryRole {
public:
    EntryRole(Fleet& fleet, Router& router, Quarantine& quarantine)
        : fleet_(fleet)
        , router_(router)
        , quarantine_(quarantine)
        , random_(fleet.settings().seed_ ^ 0x9E3779B97F4A7C15U)
    {
    }

    void arrive(const RequestSpec& spec, TimePoint now, Commands& out);
    // False when the request isn't one of this entry's.
    bool cancel(RequestId request, TimePoint now, Commands& out);
    void handedBack(const HandedBack& event, TimePoint now, Commands& out);
    void homeLost(const HomeLost& event, TimePoint now, Commands& out);
    void apply(const JobPace& event, TimePoint now);
    void apply(const JobEnded& event) { jobs_.erase(event.job_); }
    // Hands waiting batch items to homes with room.
    void feedBatch(TimePoint now, Commands& out);
    void tick(TimePoint now, Commands& out);

    std::size_t size() const { return requests_.size(); }
    std::uint64_t retries() const { return retries_; }
    std::uint64_t refusals() const { return refusals_; }

private:
    enum class Stage : std::uint8_t {
        Routing, // on its way to one of the others, within one call
        Waiting, // batch, until a home has room
        Sent, // at a home
        Backoff, // until retryAt_
    };

    struct Progress {
        Stage stage_ = Stage::Routing;
        std::uint32_t handOver_ = 0;
        NodeId home_;
        UpstreamId upstream_;
        std::uint32_t position_ = 0;
        std::uint32_t retries_ = 0;
        std::uint32_t returns_ = 0;
        // NotRun until bytes can have reached an upstream.
        RunState runState_ = RunState::NotRun;
        TimePoint retryAt_ = neverTime;
        std::uint64_t ticket_ = 0;
        boost::container::static_vector<UpstreamId, 4> avoid_;
    };

    struct JobView {
        TimePoint deadline_ = neverTime;
        TimePoint readAt_ {};
        Duration remaining_ {}; // of work, at the measured rate
        bool urgent_ = false;
    };

    struct Budgets {
        RetryBudget online_;
        RetryBudget batch_;
    };

    static constexpr std::size_t maxRequests = 16384;
    static constexpr std::uint64_t maxBytes = 256U << 20U;
    static constexpr std::size_t maxBatchWaiting = 1024;
    static constexpr std::uint32_t maxRetries = 3;
    static constexpr std::uint32_t maxReturns = 6;

    void route(RequestId request, TimePoint now, Commands& out);
    void send(RequestId request, const Choice& choice, TimePoint now, Commands& out);
    void retry(RequestId request, UpstreamId failedOn, TimePoint now, Commands& out);
    void enqueueBatch(RequestId request, TimePoint now, Commands& out);
    void refuse(RequestId request, RefusalReason reason, Duration retryAfter, Commands& out);
    void erase(RequestId request);
    RequestId nextBatch(TimePoint now);
    void pushBatch(RequestId request, TimePoint now);
    bool isUrgent(const RequestSpec& spec, TimePoint now) const;
    Duration slackOf(const RequestSpec& spec, TimePoint now) const;
    RetryBudget& budget(const RequestSpec& spec);

    Fleet& fleet_;
    Router& router_;
    Quarantine& quarantine_;
    std::mt19937_64 random_;
    Table<RequestId, RequestSpec, Progress> requests_;
    std::uint64_t bytes_ = 0;
    // Invariants: batchWaiting_ counts the rows in Stage::Waiting, backoffs_ those in Stage::Backoff.
    FairQueue urgent_;
    FairQueue batch_;
    std::size_t batchWaiting_ = 0;
    std::size_t backoffs_ = 0;
    std::uint64_t nextTicket_ = 1;
    boost::unordered_flat_map<JobId, JobView, std::hash<JobId>> jobs_;
    boost::unordered_flat_map<ServiceId, Budgets, std::hash<ServiceId>> budgets_;
    std::uint64_t retries_ = 0;
    std::uint64_t refusals_ = 0;
};

} // namespace jj
