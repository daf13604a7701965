// Turns of actors on the runtime's threads.
#include "Runtime.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <stdexcept>

using namespace jj;

namespace {

constexpr auto bound = std::chrono::seconds(20);

} // namespace

// Guards against an actor that ends, with everything it decides, because one of its turns threw.
TEST_CASE("an actor goes on after a turn that throws")
{
    Runtime runtime(1);
    const CoreActor actor = runtime.spawn(1h, [](TimePoint) {});
    actor.post([](TimePoint) { throw std::runtime_error("failed"); });
    const auto ran = std::make_shared<std::promise<void>>();
    actor.post([ran](TimePoint) { ran->set_value(); });
    CHECK(ran->get_future().wait_for(bound) == std::future_status::ready);
}

// Guards against ticks that end because one of them threw.
TEST_CASE("an actor's ticks go on after one that throws")
{
    Runtime runtime(1);
    const auto second = std::make_shared<std::promise<void>>();
    const CoreActor actor = runtime.spawn(1ms, [second, ticks = 0](TimePoint) mutable {
        if (++ticks == 2)
            second->set_value();
        throw std::runtime_error("failed");
    });
    CHECK(second->get_future().wait_for(bound) == std::future_status::ready);
}
