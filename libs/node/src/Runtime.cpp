// CAF actors that run turns. Each actor is event-based and runs on the system's few threads.
#include "Runtime.h"

#include "process/Loop.h"
#include "telemetry/Log.h"

#include <caf/all.hpp>

namespace jj {

namespace {

    using TickAtom = caf::atom_constant<caf::atom("tick")>;
    using StopAtom = caf::atom_constant<caf::atom("stop")>;

    struct TurnMessage {
        Turn run_;
    };

    struct ActorState {
        Turn onTick_;
    };

    // CAF would end the actor, and drop what is posted to it from then on.
    void runTurn(const Turn& turn, TimePoint now)
    {
        runPastFailure([&] { turn(now); }, [](const std::exception& failure) { Log("node").error("handlerFailed", { { "error", failure.what() } }); });
    }

    caf::behavior runTurns(caf::stateful_actor<ActorState>* self, Duration period, const Turn& onTick)
    {
        self->state.onTick_ = onTick;
        const auto now = [self] { return std::chrono::time_point_cast<Duration>(self->clock().now()); };
        self->delayed_send(self, period, TickAtom::value);
        return {
            [now](const TurnMessage& message) { runTurn(message.run_, now()); },
            [self, now, period](TickAtom) {
                self->delayed_send(self, period, TickAtom::value);
                runTurn(self->state.onTick_, now());
            },
            [self](StopAtom) { self->quit(); },
        };
    }

} // namespace

} // namespace jj

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(jj::TurnMessage)

namespace jj {

struct CoreActor::Handle {
    caf::actor actor_;
};

CoreActor::CoreActor() = default;
CoreActor::~CoreActor() = default;
CoreActor::CoreActor(const CoreActor&) = default;
CoreActor& CoreActor::operator=(const CoreActor&) = default;

void CoreActor::post(Turn turn) const
{
    if (handle_)
        caf::anon_send(handle_->actor_, TurnMessage { std::move(turn) });
}

struct Runtime::State {
    explicit State(int threads)
        : config_(makeConfig(threads))
        , system_(*config_)
    {
    }

    static std::unique_ptr<caf::actor_system_config> makeConfig(int threads)
    {
        auto config = std::make_unique<caf::actor_system_config>();
        config->set("scheduler.max-threads", static_cast<std::size_t>(threads));
        // Work stealing polls: an idle worker sleeps up to 10 ms before it sees a message. Sharing wakes it at once, and costs an
        // idle node an eighth of the processor time (docs/design/06-membership.md).
        config->set("scheduler.policy", caf::atom("sharing"));
        return config;
    }

    std::unique_ptr<caf::actor_system_config> config_;
    caf::actor_system system_;
    std::vector<caf::actor> actors_;
};

Runtime::Runtime(int threads)
    : state_(std::make_unique<State>(threads))
{
}

Runtime::~Runtime() { stop(); }

CoreActor Runtime::spawn(Duration period, Turn onTick)
{
    CoreActor actor;
    actor.handle_ = std::make_shared<CoreActor::Handle>();
    actor.handle_->actor_ = state_->system_.spawn(runTurns, period, std::move(onTick));
    state_->actors_.push_back(actor.handle_->actor_);
    return actor;
}

TimePoint Runtime::now() const
{
    return std::chrono::time_point_cast<Duration>(state_->system_.clock().now());
}

void Runtime::stop()
{
    for (const caf::actor& actor : state_->actors_)
        caf::anon_send(actor, StopAtom::value);
    state_->actors_.clear();
    state_->system_.await_all_actors_done();
}

} // namespace jj
