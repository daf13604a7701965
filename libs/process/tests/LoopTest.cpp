#include "process/Loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <vector>

using namespace jj;

// Guards against a process that ends, or a loop that stops, because one handler threw.
TEST_CASE("process: a loop runs on after a handler that throws")
{
    boost::asio::io_context io;
    int handled = 0;
    std::vector<std::string> failures;
    for (const char* text : { "first", "second" }) {
        boost::asio::post(io, [text] { throw std::runtime_error(text); });
        boost::asio::post(io, [&] { ++handled; });
    }
    runPastFailures(io, [&](const std::exception& exception) { failures.emplace_back(exception.what()); });
    CHECK(handled == 2);
    CHECK(failures == std::vector<std::string> { "first", "second" });
}

// Guards against a loop that runs on though it was asked to stop beside a failure.
TEST_CASE("process: a loop that is stopped ends after a handler that throws")
{
    boost::asio::io_context io;
    boost::asio::post(io, [&] {
        io.stop();
        throw std::runtime_error("failed");
    });
    bool handled = false;
    boost::asio::post(io, [&] { handled = true; });
    int failures = 0;
    runPastFailures(io, [&](const std::exception&) { ++failures; });
    CHECK(!handled);
    CHECK(failures == 1);
}
