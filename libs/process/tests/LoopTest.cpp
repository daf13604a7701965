#include "process/Loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <new>
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

// Guards against a process that ends because the failure of a handler could not be reported, or was no std::exception.
TEST_CASE("process: a loop runs on after a failure that can't be reported")
{
    boost::asio::io_context io;
    bool handled = false;
    boost::asio::post(io, [] { throw std::runtime_error("first"); });
    boost::asio::post(io, [] { throw 7; });
    boost::asio::post(io, [&] { handled = true; });
    runPastFailures(io, [](const std::exception&) { throw std::bad_alloc(); });
    CHECK(handled);
}
