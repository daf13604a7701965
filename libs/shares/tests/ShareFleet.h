// Simulates in virtual time a fleet of hosts whose requests compete for the slots of engines. Each host has its own FairShares; reports and
// sums are delayed, lost, duplicated or reordered. Hosts can be killed, paused and cut off. Measured is the slot time of each workspace
// against its max-min share.
//
// Hosts are split into cells. A freed slot goes to a host of the engine's cell, as in SlotQueue: by the order of their first waiting requests as they
// have last published it, hash order on ties. The host whose own stream has ended keeps the slot unless another one's claim is lower by more than
// one run. Requests that have waited for too long are refused.
#pragma once

#include "shares/FairShares.h"

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace jj {

// How the next request for a freed slot is chosen.
enum class ShareWay {
    Fifo, // arrival at each host, hash order between hosts
    Exchanged, // the claims of FairShares; its settings tell decayed slot time from slots in use
    Local, // start-time fair queueing at each host without messages, hash order between hosts
    Optimum, // one FairShares for all hosts, which receives everything without delay
};

struct ShareFleetShape {
    std::size_t hosts_ = 300;
    std::size_t cells_ = 6;
    std::size_t engines_ = 800;
    std::size_t slotsOfEngine_ = 4;
    std::size_t workspaces_ = 7900;
    std::size_t competing_ = 30; // the first ones; the others together request 5% of the slots
    double load_ = 2; // slots that competing workspaces request together, relative to all slots
    double unevenFactor_ = 1; // callers of host 0 relative to those of other hosts
    std::size_t ranks_ = 1; // competing workspaces have ranks by turns
    Duration meanRun_ = 800ms;
    Duration patience_ = 1s; // a request that has waited for longer is refused
    Duration publishInterval_ = 2ms; // the age of what hosts know of each other's waiting requests
    double loss_ = 0.01;
    double duplicates_ = 0;
    Duration delay_ = 2ms;
    Duration jitter_ = 0ms;
    bool isUnequal_ = false; // weights of competing workspaces are 1, 2 and 4 by turns
    FairShareSettings settings_ {};
    double keepMargin_ = 1; // in runs, by which another host's claim must be lower to get a slot whose stream ended at this host
    bool isRunCharged_ = true; // FairShares adds the expected time of a run when it starts
};

class ShareFleet {
public:
    ShareFleet(ShareWay way, const ShareFleetShape& shape, std::uint64_t seed);

    // Sets what a workspace requests, in slots.
    void setDemand(std::size_t workspace, double slots) { demands_[workspace] = slots; }
    double demand(std::size_t workspace) const { return demands_[workspace]; }
    double slots() const { return static_cast<double>(shape_.engines_ * shape_.slotsOfEngine_); }
    void kill(std::size_t host);
    void restart(std::size_t host);
    void setPaused(std::size_t host, bool isPaused) { hosts_[host].isPaused_ = isPaused; }
    void setCut(std::size_t host, bool isCut) { hosts_[host].isCut_ = isCut; }
    void advance(Duration time);

    struct Figures {
        // The worst of the competing workspaces: slot time relative to its max-min share, or, for one that requests less than a share, the
        // fraction of its requests that ran.
        double worst_ = 0;
        double jain_ = 0; // of the same fractions
        double background_ = 0; // fraction of the other workspaces' requests that ran
        double used_ = 0; // fraction of the slots
        double sent_ = 0; // bytes a second and host
        double busiestSent_ = 0;
        double busiestReceived_ = 0;
        std::vector<double> parts_; // of each competing workspace, as in worst_
        std::array<double, 4> ofRank_ {}; // fraction of all slots
    };
    // Returns the figures since the last call of this function.
    Figures take();
    // Advances in steps of `step` until Jain's index is at least `bound` in two steps one after the other, and returns the
    // time until then; `limit` if it doesn't.
    Duration timeToFairness(double bound, Duration step, Duration limit);

private:
    struct Waiting {
        std::uint32_t workspace_ = 0;
        Rank rank_ = 0;
        TimePoint at_ {};
    };
    struct Published {
        TimePoint at_ {};
        Claim claim_;
        bool isAny_ = false;
    };
    struct Host {
        std::unique_ptr<FairShares> shares_;
        std::vector<Waiting> waiting_; // oldest first
        Published published_;
        std::unordered_map<std::uint32_t, double> tags_; // of start-time fair queueing
        double virtualTime_ = 0;
        Incarnation incarnation_ { 1 };
        bool isUp_ = true;
        bool isPaused_ = false;
        bool isCut_ = false;
        double sent_ = 0;
        double received_ = 0;
    };
    struct Message {
        std::size_t from_ = 0;
        std::size_t to_ = 0;
        std::optional<ShareReport> report_;
        std::optional<ShareSum> sum_;
    };
    enum class Kind { Arrival,
        End,
        Tick,
        Receive };
    struct Event {
        TimePoint at_;
        std::uint64_t order_ = 0;
        Kind kind_ = Kind::Arrival;
        std::size_t host_ = 0;
        std::uint32_t workspace_ = 0;
        Rank rank_ = 0;
        Incarnation incarnation_ { 0 };
        std::shared_ptr<const Message> message_;

        bool operator>(const Event& other) const { return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_; }
    };

    std::size_t cellOf(std::size_t host) const { return host * shape_.cells_ / shape_.hosts_; }
    WorkspaceId idOf(std::size_t workspace) const;
    double weightOf(std::size_t workspace) const;
    Rank rankOf(std::size_t workspace) const;
    FairShares& sharesOf(Host& host) { return way_ == ShareWay::Optimum ? *oracle_ : *host.shares_; }
    std::unique_ptr<FairShares> newShares(std::size_t host, Incarnation incarnation) const;
    void push(Event event, Duration delay);
    Duration exponential(double meanSeconds);
    std::size_t randomHost();
    void arrive();
    void start(std::size_t host, const Waiting& request);
    void end(const Event& event);
    void giveFreedSlots(std::size_t cell, std::optional<std::size_t> ended);
    std::optional<std::size_t> nextHost(std::size_t cell, std::optional<std::size_t> ended);
    Claim claimOf(Host& host, const Waiting& request);
    std::size_t firstOf(Host& host);
    const Published& publishedOf(std::size_t host);
    void refuseOld(Host& host);
    void tick(std::size_t host);
    std::optional<std::size_t> delegateOf(std::size_t cell) const;
    void send(Message message);
    void receive(const Event& event);
    std::vector<double> maxMinShares() const;
    void countSlotTime(std::size_t workspace, Rank rank, int change);

    ShareWay way_;
    ShareFleetShape shape_;
    std::mt19937_64 random_;
    std::vector<Host> hosts_;
    std::unique_ptr<FairShares> oracle_;
    std::vector<double> demands_; // of competing workspaces, in slots
    std::vector<std::size_t> freeSlots_; // of each cell
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t nextOrder_ = 0;
    TimePoint now_ { 60s };
    TimePoint takenAt_ { 60s };
    struct Occupied {
        double seconds_ = 0;
        int slots_ = 0;
        TimePoint at_ {};

        void change(int change, TimePoint now);
    };
    std::vector<Occupied> occupied_;
    std::array<Occupied, 4> occupiedOfRank_ {};
    std::vector<double> arrived_; // requests of each workspace
    std::vector<double> ran_;
};

} // namespace jj
