#include "process/Signals.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <functional>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace jj;

namespace {

// Runs the function in a process of its own, which ends with the function's result; returns how it ended, as waitpid() does.
int statusApart(const std::function<int()>& run)
{
    const pid_t child = ::fork();
    if (child == 0) {
        const int silent = ::open("/dev/null", O_WRONLY);
        ::dup2(silent, STDOUT_FILENO);
        takeSignals();
        ::_exit(run());
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    return status;
}

bool endsWith(int status, int code) { return WIFEXITED(status) && WEXITSTATUS(status) == code; }

} // namespace

// Guards against a process that signals end before its loop runs, or after it.
TEST_CASE("process: without a loop a stop ends the process with 0 and other signals don't end it")
{
    CHECK(endsWith(statusApart([] { ::raise(SIGTERM); return 7; }), 0));
    CHECK(endsWith(statusApart([] { ::raise(SIGINT); return 7; }), 0));
    for (const int number : { SIGHUP, SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGIO })
        CHECK(endsWith(statusApart([number] { ::raise(number); return 7; }), 7));
    CHECK(endsWith(statusApart([] {
        {
            boost::asio::io_context io;
            const auto signals = ProcessSignals::create(io, [](ProcessSignal) {});
        }
        ::raise(SIGHUP);
        return 7;
    }),
        7));
}

// Guards against a reload or a stop that is lost because it came before the loop, or while a handler threw.
TEST_CASE("process: what signals ask for reaches the handler, whenever it comes")
{
    CHECK(endsWith(statusApart([] {
        std::vector<ProcessSignal> seen;
        ::raise(SIGHUP);
        boost::asio::io_context io;
        const auto signals = ProcessSignals::create(io, [&seen](ProcessSignal signal) {
            seen.push_back(signal);
            if (seen.size() == 2)
                throw std::runtime_error("a reload that fails");
        });
        io.run_one();
        ::raise(SIGHUP);
        try {
            io.run_one();
        } catch (const std::runtime_error&) {
            ::raise(SIGTERM);
        }
        io.run_one();
        return seen == std::vector { ProcessSignal::Reload, ProcessSignal::Reload, ProcessSignal::Stop } ? 7 : 1;
    }),
        7));
}

// Guards against a second start in one process that takes no signals, or ends because of the first one's.
TEST_CASE("process: signals are taken again after a start that failed")
{
    CHECK(endsWith(statusApart([] {
        int stops = 0;
        for (int start = 0; start < 3; ++start) {
            boost::asio::io_context io;
            const auto signals = ProcessSignals::create(io, [&stops](ProcessSignal) { ++stops; });
            ::raise(SIGTERM);
            io.run_one();
        }
        return isStopRequested() ? 1 : stops;
    }),
        3));
}
