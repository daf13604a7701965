// Ids stay apart and hashes stay the same from build to build: stored keys depend on both.
#include "base/Error.h"
#include "base/Hash.h"
#include "base/Id.h"
#include "base/Time.h"

#include <doctest/doctest.h>
#include <type_traits>

using namespace jj;

TEST_CASE("a default id names nothing")
{
    CHECK(RequestId().isNone());
    CHECK_FALSE(RequestId(0).isNone());
    static_assert(!std::is_convertible_v<RequestId, JobId>);
}

TEST_CASE("hashes are the same in every build")
{
    CHECK(hash64("bookhelp") == hash64("bookhelp"));
    CHECK(hash64("") == 0x2d06800538d394c2ULL);
    CHECK(mixHash(1, 2) != mixHash(2, 1));
}

TEST_CASE("a manual clock moves only when it is advanced")
{
    ManualClock clock;
    const TimePoint start = clock.now();
    const WallTime wallStart = clock.wallNow();
    CHECK(clock.now() == start);
    clock.advance(1500ms);
    CHECK(clock.now() - start == 1500ms);
    CHECK(clock.wallNow() - wallStart == 1500ms);
}

TEST_CASE("errors convert to typed codes")
{
    const std::error_code code = BaseError::TimedOut;
    CHECK(code == BaseError::TimedOut);
    CHECK(std::string(code.category().name()) == "base");
}
