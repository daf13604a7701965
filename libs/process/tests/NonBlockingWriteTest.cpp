#include "process/NonBlockingWrite.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace jj;

// Guards against writes that block where nobody reads, and bytes that are lost or sent twice.
TEST_CASE("process: a pipe that is full keeps the rest in the buffer")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    setNonBlocking(ends[1]);
    constexpr std::size_t moreThanAPipeHolds = std::size_t { 1024 } * 1024;
    std::string buffer(moreThanAPipeHolds, 'x');
    buffer.back() = 'z';
    CHECK(!writeAvailable(ends[1], buffer));
    const std::size_t accepted = moreThanAPipeHolds - buffer.size();
    CHECK(accepted > 0);
    CHECK(buffer.back() == 'z');
    CHECK(!writeAvailable(ends[1], buffer));
    CHECK(buffer.size() == moreThanAPipeHolds - accepted);
    std::string bytes(accepted, ' ');
    CHECK(::read(ends[0], bytes.data(), bytes.size()) == static_cast<ssize_t>(accepted));
    CHECK(!writeAvailable(ends[1], buffer));
    CHECK(buffer.size() == moreThanAPipeHolds - 2 * accepted);
    std::signal(SIGPIPE, SIG_IGN);
    ::close(ends[0]);
    CHECK((writeAvailable(ends[1], buffer) == std::errc::broken_pipe));
    ::close(ends[1]);
}
