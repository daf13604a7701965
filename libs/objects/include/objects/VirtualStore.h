// The in-memory store behind a network in virtual time, for tests: answers after a delay, lost before or after the effect, late and
// out of order. It meets ObjectStore. Time moves only by advanceTo().
#pragma once

#include "objects/MemoryStore.h"
#include "objects/ObjectStore.h"

#include <map>
#include <random>

namespace jj {

struct VirtualStoreFaults {
    Duration delay_ = 2ms; // from the call to its effect, and from the effect to its answer
    Duration delayJitter_ {}; // up to this much more each way: answers cross
    double lostBefore_ = 0; // chance that a call never reaches the store
    double lostAfter_ = 0; // chance that the effect is done and the answer is lost
    Duration giveUp_ = 500ms; // a call without an answer completes as OutcomeUnknown, or Unavailable for reads
};

class VirtualStore {
public:
    explicit VirtualStore(std::uint64_t seed, MemoryStoreSettings settings = {});

    void call(ObjectCall call, const ObjectCompletion& done);
    WatchId watch(std::string prefix, ObjectVersion from, WatchHandler handler);
    void unwatch(WatchId watch);

    void advanceTo(TimePoint now);
    // When the next thing happens by itself; neverTime when nothing waits.
    TimePoint nextAt() const;
    TimePoint now() const { return now_; }

    // The next call's effect is done and its answer lost.
    void loseNextAnswer() { loseNextAnswer_ = true; }
    // The next call never reaches the store.
    void loseNextCall() { loseNextCall_ = true; }

    MemoryStore& core() { return core_; }
    VirtualStoreFaults& faults() { return faults_; }

private:
    struct Watch {
        std::string prefix_;
        ObjectVersion seen_;
        WatchHandler handler_;
    };

    void at(TimePoint time, std::function<void()> action);
    Duration travel();
    bool chance(double probability);
    void deliverChanges();

    MemoryStore core_;
    VirtualStoreFaults faults_;
    std::mt19937_64 random_;
    TimePoint now_ {};
    bool loseNextAnswer_ = false;
    bool loseNextCall_ = false;
    std::uint64_t nextWatch_ = 0;
    std::map<WatchId, Watch> watches_;
    std::multimap<TimePoint, std::function<void()>> agenda_; // same time: in the order of entry
};

static_assert(ObjectStore<VirtualStore>);

} // namespace jj
