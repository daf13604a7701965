// What a loop sees of calls that block.
#include "process/BlockingCalls.h"

#include "base/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <future>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace jj;

namespace {

void runUntil(boost::asio::io_context& io, const auto& condition)
{
    const TimePoint end = SystemClock().now() + 10s;
    while (!condition() && SystemClock().now() < end) {
        io.restart();
        io.run_for(5ms);
    }
    REQUIRE(condition());
}

} // namespace

// Guards against a loop that waits for a disk.
TEST_CASE("process: a loop runs on beside a call that blocks, and calls complete in their order")
{
    boost::asio::io_context io;
    BlockingCalls calls(io);
    std::promise<void> release;
    std::vector<int> completed;
    calls.run([future = release.get_future().share()]() -> Result<int> { future.wait(); return 1; }, [&](const Result<int>& number) { completed.push_back(number.value()); });
    calls.run([]() -> Result<int> { return 2; }, [&](const Result<int>& number) { completed.push_back(number.value()); });
    runUntil(io, [&] { return calls.currentCallTime(SystemClock().now()) > 20ms; });
    CHECK(completed.empty());
    release.set_value();
    runUntil(io, [&] { return completed.size() == 2; });
    CHECK(completed == std::vector { 1, 2 });
    CHECK(calls.currentCallTime(SystemClock().now()) == Duration::zero());
}

TEST_CASE("process: a call that throws completes with an error")
{
    boost::asio::io_context io;
    BlockingCalls calls(io);
    std::error_code error;
    calls.run([]() -> Result<int> { throw std::runtime_error("refused"); }, [&](const Result<int>& number) { error = number.error(); });
    runUntil(io, [&] { return bool(error); });
    CHECK(error == std::errc::not_enough_memory);
}

// Guards against an end that waits for a disk, and against completions of what has ended.
TEST_CASE("process: the end of blocking calls doesn't wait for one under way, and drops its completion")
{
    boost::asio::io_context io;
    std::promise<void> release;
    std::promise<void> ended;
    bool isCompleted = false;
    {
        BlockingCalls calls(io);
        calls.run([future = release.get_future().share(), &ended]() -> Result<int> { future.wait(); ended.set_value(); return 1; }, [&](const Result<int>&) { isCompleted = true; });
        runUntil(io, [&] { return calls.currentCallTime(SystemClock().now()) > Duration::zero(); });
    }
    release.set_value();
    ended.get_future().wait();
    io.restart();
    io.run_for(20ms);
    CHECK_FALSE(isCompleted);
}
