// Simulates in virtual time a fleet of hosts that keep the quotas of workspaces. Datagrams are delayed or lost; hosts can be killed, frozen
// and cut off. An oracle outside the hosts' code sees only which requests came and which ran.
#pragma once

#include "base/Hash.h"
#include "workspaces/QuotaAccountant.h"
#include "workspaces/QuotaGate.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace jj {

struct QuotaFleetShape {
    std::size_t hosts_ = 64;
    std::size_t regions_ = 2;
    double loss_ = 0.01;
    Duration regionDelay_ = 12ms; // one way
    Duration localDelay_ = 500us; // one way, inside a region
    Duration detectionTime_ = 1200ms; // until other hosts notice that a host is down
};

class QuotaFleet {
public:
    QuotaFleet(const QuotaFleetShape& shape, const QuotaSettings& settings, std::uint64_t seed);

    // ---- workspaces. Each change takes effect at all hosts at once.

    // Adds `count` workspaces of skewed size with `arrivalsPerSecond` together. The quota of each is `headroom` times what it sends.
    void addWorkspaces(std::size_t count, double arrivalsPerSecond, double headroom);
    // Adds a workspace of its own size and quota. Returns its position.
    std::size_t addWorkspace(double arrivalsPerSecond, const Quota& quota);
    void setQuota(std::size_t workspace, const Quota& quota);
    // Multiplies the arrivals of all workspaces, or of one of them, by a factor.
    void setLoad(double factor) { load_ = factor; }
    void setLoad(std::size_t workspace, double factor) { workspaces_[workspace].load_ = factor; }
    // Sets the share of admitted requests that no engine runs, so that their credit returns.
    void setReturned(double share) { returnedShare_ = share; }

    // ---- hosts

    std::size_t hosts() const { return hosts_.size(); }
    void kill(std::size_t host);
    void restart(std::size_t host);
    // A frozen host neither receives nor serves. It handles what came meanwhile when it thaws.
    void freeze(std::size_t host, bool isFrozen);
    // A host that is cut off serves callers, but exchanges no datagrams.
    void cut(std::size_t host, bool isCut);

    void advance(Duration time);

    // ---- the oracle

    struct Report {
        std::uint64_t arrived_ = 0;
        std::uint64_t owed_ = 0; // requests that one bucket for the whole fleet would have admitted
        std::uint64_t ran_ = 0;
        double refusedShare_ = 0; // of what was owed
        double worstRefusedShare_ = 0; // of the worst-served workspace among those that were owed 50 requests or more
        double worstWindow_ = 0; // largest number of runs in a window, as a fraction of the bound
        std::string worstWorkspace_;
        double datagramsPerHostSecond_ = 0;
        double bytesPerHostSecond_ = 0;
        QuotaGate::Totals totals_;
    };
    Report report(TimePoint from = {}) const;
    // Returns the largest number of runs of a workspace in a window that begins after `from`, as a fraction of the present bound.
    double worstWindow(std::size_t workspace, TimePoint from) const;
    std::size_t accountsOfBusiestHost() const;
    TimePoint now() const { return now_; }

private:
    using Message = std::variant<QuotaReport, AdmissionRequest, AdmissionDecision, QuotaNotice>;

    struct Host {
        NodeId node_;
        std::size_t region_ = 0;
        Incarnation incarnation_ { 0 };
        std::unique_ptr<QuotaAccountant> accountant_;
        std::unique_ptr<QuotaGate> gate_;
        bool isUp_ = false;
        bool isFrozen_ = false;
        bool isCut_ = false;
        TimePoint reachableSince_ {};
        TimePoint unreachableSince_ {};
        std::vector<std::function<void()>> heldBack_; // arrived while the host was frozen
    };

    struct Simulated {
        Workspace workspace_;
        double arrivalsPerSecond_ = 0;
        double load_ = 1;
        std::vector<TimePoint> arrived_;
        std::vector<TimePoint> ran_; // ordered
    };

    struct Event {
        TimePoint at_;
        std::uint64_t order_;
        std::function<void()> work_;

        bool operator>(const Event& other) const { return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_; }
    };

    void schedule(Duration delay, std::function<void()> work) { events_.push({ now_ + delay, nextOrder_++, std::move(work) }); }
    QuotaOutlets outletsOf(std::size_t host);
    void scheduleArrival(std::size_t workspace);
    void arrive(std::size_t workspace, std::size_t host);
    void tick(std::size_t host);
    void send(std::size_t from, NodeId to, const Message& message);
    void receive(std::size_t host, const Message& message);
    std::vector<AccountantCandidate> candidatesOf(std::size_t host) const;
    bool isReachable(const Host& host) const { return host.isUp_ && !host.isFrozen_ && !host.isCut_; }
    void markReachability(Host& host, bool wasReachable);
    void applyTable();
    bool draw(double probability) { return std::bernoulli_distribution(probability)(random_); }

    QuotaFleetShape shape_;
    QuotaSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<Simulated> workspaces_;
    std::vector<std::unique_ptr<WorkspaceTable>> tables_; // all that were ever in force; accountants refer to the last one
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextOrder_ = 0;
    TimePoint now_ { 60s };
    TimePoint startedAt_ { 60s };
    double load_ = 1;
    double returnedShare_ = 0;
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace jj
