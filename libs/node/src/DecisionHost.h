// Hosts the decision core in its actor: events in from any thread, commands out to the request plane and to the peers.
#pragma once

#include "RequestPlane.h"
#include "Runtime.h"
#include "decisions/Decisions.h"

#include <functional>
#include <memory>

namespace jj {

// What goes to peers with the membership digest and on links.
struct DecisionOutlets {
    std::function<void(const std::vector<HomeLoad>&)> shareLoad_;
    std::function<void(const FingerprintLearned&)> shareFingerprint_;
};

class DecisionHost {
public:
    static Result<std::unique_ptr<DecisionHost>> create(Runtime& runtime, const DecisionsSettings& settings, Duration tick, RequestPlane& plane, DecisionOutlets outlets);

    void feed(Event event);
    // For status pages; a few milliseconds old.
    Decisions::Counts counts() const;

private:
    DecisionHost(Decisions core, RequestPlane& plane, DecisionOutlets outlets);

    void onTick(TimePoint now);
    void performAll();
    void perform(const ShareLoad& command);
    void perform(const ShareFingerprint& command) { outlets_.shareFingerprint_(command.fingerprint_); }
    template <class PlaneCommand>
    void perform(const PlaneCommand& command)
    {
        plane_.perform(command);
    }

    // Owned by the actor's turns.
    Decisions core_;
    Commands commands_;
    RequestPlane& plane_;
    DecisionOutlets outlets_;

    mutable std::mutex countsLock_;
    Decisions::Counts counts_; // guarded by countsLock_
    CoreActor actor_;
};

} // namespace jj
