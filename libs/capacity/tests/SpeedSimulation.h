// Simulates hosts that pick engines of different speeds, without a network.
//
// An answer has 27 events. They are 20 ms apart on an idle engine of speed 1 and a quarter of a millisecond more for each running request, with
// a jitter of a tenth. A new prompt delays the next event of all other requests of its engine by 5 ms. An engine begins more requests than it has slots in order of
// arrival. Reports and heads of answers take 2 ms.
#pragma once

#include "capacity/CapacityBoard.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace jj::speedtest {

enum class Policy : std::uint8_t {
    LoadOnly, // the order of picks without speeds
    Bands, // CapacityBoard
    TwoChoices, // of two free engines at random the one with the lower expected time, which is the slowdown weighted by the load; it knows the loads without delay
    Optimum, // the engine that is fastest at this moment and has a free slot; it knows all speeds and loads
};

enum class Trouble : std::uint8_t {
    None,
    ByTurns, // in each second another random third is four times slower
    ByTurnsWithHeader, // the same, and each answer states it
    AllAtOnce, // all engines are four times slower every other second
};

struct Scenario {
    std::array<double, 3> speeds_ { 1, 1, 1 }; // of engines by turns
    double load_ = 0.5; // of what all engines can do
    Trouble trouble_ = Trouble::None;
};

struct Outcome {
    double meanSeconds_ = 0;
    double p99Seconds_ = 0;
    double atSlow_ = 0; // share of requests that were sent to an engine that was slow at that moment
    std::array<double, 3> slotSeconds_ {}; // by speed
    std::size_t herd_ = 0; // most requests sent to one engine within 20 ms
    std::size_t requests_ = 0;
};

class Simulation {
public:
    Simulation(const Scenario& scenario, Policy policy, std::uint64_t seed);
    // Runs for this time after a first second that isn't counted.
    Outcome run(Duration length);

private:
    static constexpr std::size_t hosts = 9;
    static constexpr std::size_t engines = 12;
    static constexpr std::uint32_t slots = 8;
    static constexpr int eventsOfAnswer = 27;

    struct Run {
        std::size_t host_ = 0;
        std::size_t engine_ = 0;
        TimePoint arrivedAt_ {};
        TimePoint sentAt_ {};
        TimePoint beganAt_ {};
        TimePoint lastEventAt_ {};
        TimePoint nextEventAt_ = neverTime; // neverTime: it waits in the engine
        int events_ = 0;
        bool hasHead_ = false;
    };

    bool isSlow(std::size_t engine) const;
    double speedOf(std::size_t engine) const;
    Duration gapOf(std::size_t engine);
    double expectedTime(std::size_t host, std::size_t engine, std::uint32_t load) const;
    std::size_t pick(std::size_t host);
    std::size_t pickOfTwo(std::size_t host);
    std::size_t pickFastest();
    void arrive();
    void serve(std::size_t host);
    void send(std::size_t host, std::size_t engine, TimePoint arrivedAt);
    void begin(Run& run);
    void beginNext(std::size_t engine);
    void readHead(Run& run);
    void step(Run& run);
    void advanceRuns();
    void publish(std::size_t host);
    void deliverReports();
    Outcome outcome();

    Scenario scenario_;
    Policy policy_;
    std::mt19937_64 random_;
    TimePoint now_ { 6s };
    TimePoint countedFrom_ {};
    std::vector<std::unique_ptr<CapacityBoard>> boards_;
    std::vector<std::deque<TimePoint>> waiting_;
    std::vector<Run> runs_;
    std::array<std::uint32_t, engines> running_ {};
    std::array<std::deque<TimePoint>, engines> sent_; // within the last 20 ms
    std::deque<std::pair<TimePoint, NodeUse>> reports_;
    std::uint32_t sequence_ = 0;
    std::vector<double> seconds_;
    std::size_t slowPicks_ = 0;
    std::size_t picks_ = 0;
    Outcome outcome_;
};

} // namespace jj::speedtest
