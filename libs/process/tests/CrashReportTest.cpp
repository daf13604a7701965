#include "process/CrashReport.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct Ended {
    int signal_ = 0;
    std::string output_;
};

// Runs the function in a process of its own and returns how that ended.
Ended runApart(const std::function<void()>& run)
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    const pid_t child = ::fork();
    if (child == 0) {
        // doctest's own handlers would take the signal.
        for (const int number : { SIGSEGV, SIGABRT, SIGFPE, SIGILL, SIGBUS })
            ::signal(number, SIG_DFL);
        const rlimit noCore {};
        ::setrlimit(RLIMIT_CORE, &noCore);
        ::dup2(ends[1], STDOUT_FILENO);
        jj::reportCrashes();
        run();
        ::_exit(0);
    }
    ::close(ends[1]);
    Ended ended;
    std::array<char, 4096> bytes {};
    for (ssize_t size = 0; (size = ::read(ends[0], bytes.data(), bytes.size())) > 0;)
        ended.output_.append(bytes.data(), static_cast<std::size_t>(size));
    ::close(ends[0]);
    int status = 0;
    ::waitpid(child, &status, 0);
    ended.signal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return ended;
}

void refuse() { throw std::runtime_error("no such thing"); }

} // namespace

// Guards against a process that ends by a fault of its own and leaves no line about it.
TEST_CASE("process: a process that a signal ends names the signal")
{
    for (const auto& [number, name] : { std::pair(SIGSEGV, "SIGSEGV"), std::pair(SIGABRT, "SIGABRT"), std::pair(SIGFPE, "SIGFPE") }) {
        const Ended ended = runApart([number = number] { ::raise(number); });
        CHECK(ended.signal_ == number);
        CHECK(ended.output_.find(std::string("\"event\":\"crashed\",\"signal\":\"") + name + "\"") != std::string::npos);
    }
}

// Guards against an exception of which only the signal of abort() is known.
TEST_CASE("process: a process that an exception ends names the exception")
{
    const Ended ended = runApart([]() noexcept { refuse(); });
    CHECK(ended.signal_ == SIGABRT);
    CHECK(ended.output_.find("\"error\":\"no such thing\"") != std::string::npos);
}
