// A node's share of the store's rates: a token bucket for reads and one for writes, with an order of classes, a halt during an
// outage and a gradual return after it.
//
// Failure met: a store that comes back is met by the whole fleet's backlog at once, falls over or refuses by rate, and the backlog
// grows again (a herd). It shows as calls a second at the fleet's full rate in the first second after an outage. The guard holds
// because a node that saw the outage sends only single, jittered probes until one is answered, then grows from a small part of
// its rate to the whole over rampTime_.
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <random>
#include <system_error>

namespace jj {

// In order of urgency. A less urgent class leaves a reserve in the bucket to the more urgent ones.
enum class CallClass : std::uint8_t {
    Lease, // also uploads of acknowledged jobs; may overdraw the bucket by a few calls: a lapsed lease costs more than a refused call
    Commit,
    Accept,
    Read,
    Background,
};

struct CallBudgetSettings {
    double readsPerSecond_ = 200;
    double writesPerSecond_ = 40;
    Duration burst_ = 500ms; // tokens saved up while idle, in time
    double leaseOverdraft_ = 5; // tokens
    Duration probeEvery_ = 500ms; // during an outage, jittered to half and one and a half of it
    Duration rampTime_ = 15s;
    double rampStart_ = 0.05; // part of the rate right after an outage
    std::uint32_t unknownsForOutage_ = 3; // consecutive calls without an answer
};

class CallBudget {
public:
    CallBudget(CallBudgetSettings settings, std::uint64_t seed);

    // Takes one call out of the budget, if it may go now.
    bool tryTake(CallClass callClass, bool isWrite, TimePoint now);
    void answered(std::error_code error, TimePoint now);
    void setRates(double readsPerSecond, double writesPerSecond);

    bool isOut() const { return out_; }
    // How long a caller who is refused now should wait: the next probe during an outage, else zero.
    Duration comeBackAfter(TimePoint now) const;

private:
    struct Bucket {
        double rate_ = 0;
        double tokens_ = 0;
        TimePoint filledAt_ {};
    };

    double level(TimePoint now) const;
    void fill(Bucket& bucket, TimePoint now) const;
    void planProbe(TimePoint now);

    CallBudgetSettings settings_;
    std::mt19937_64 random_;
    Bucket reads_;
    Bucket writes_;
    bool out_ = false;
    TimePoint probeAt_ {};
    // The part of the rate in force grows from levelAtMark_ at levelMark_ to 1 over rampTime_.
    double levelAtMark_ = 1;
    TimePoint levelMark_ {};
    std::uint32_t unknowns_ = 0;
};

} // namespace jj
