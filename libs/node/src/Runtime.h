// The CAF side of a node behind a header without CAF: actors that own one core each, and their clock.
//
// A CoreActor runs turns one after another, never two at once, so whatever it owns needs no lock. A turn receives the time of the
// actor system's clock, which tests pause and advance. A turn that throws is logged as `handlerFailed`; the next ones run.
//
//     Runtime runtime(threads);
//     CoreActor actor = runtime.spawn(10ms, [&](TimePoint now) { core.tick(now); });
//     actor.post([&](TimePoint now) { core.handle(event, now); });   // any thread
#pragma once

#include "base/Time.h"

#include <functional>
#include <memory>

namespace jj {

using Turn = std::function<void(TimePoint)>;

class CoreActor {
public:
    CoreActor();
    ~CoreActor();
    CoreActor(const CoreActor&);
    CoreActor& operator=(const CoreActor&);

    // Turns posted by one thread run in their order. After the runtime has stopped they are dropped.
    void post(Turn turn) const;

private:
    friend class Runtime;
    struct Handle;

    std::shared_ptr<Handle> handle_;
};

class Runtime {
public:
    explicit Runtime(int threads);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    // `onTick` runs as a turn each `period`.
    CoreActor spawn(Duration period, Turn onTick);
    TimePoint now() const;
    // Ends all actors; turns under way are finished first.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace jj
