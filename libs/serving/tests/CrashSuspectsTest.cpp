// Requests that take down engines, and the innocent ones beside them.
#include "CrashSuspects.h"

#include <doctest/doctest.h>
#include <vector>

using namespace jj;

namespace {

const Fingerprint deadly = CrashSuspects::fingerprintOf("h", "/ask", "deadly");
const Fingerprint innocent = CrashSuspects::fingerprintOf("h", "/ask", "innocent");

UpstreamId engine(std::uint64_t number) { return UpstreamId(number); }

// Two nodes whose marks reach each other.
struct Pair {
    CrashSuspects first_;
    CrashSuspects second_;

    void crash(CrashSuspects& at, const std::vector<Fingerprint>& contents, UpstreamId on, TimePoint now)
    {
        for (const Fingerprint content : contents)
            at.lost(content, on, now);
        CrashSuspects& other = &at == &first_ ? second_ : first_;
        for (const Fingerprint mark : at.engineDown(on, now + 100ms))
            other.learned(mark, CrashSuspects::blockTime, now + 200ms);
    }
};

} // namespace

// A request crashes its engine and is sent on; the next engine crashes too. Its caller comes again at another node and a third one goes.
// Without a count that all nodes share each of them would feed it engines anew.
TEST_CASE("a request that crashed three engines is refused on all nodes")
{
    TimePoint now {};
    Pair nodes;
    nodes.crash(nodes.first_, { deadly, innocent }, engine(1), now);
    nodes.crash(nodes.second_, { deadly }, engine(2), now + 1s);
    CHECK_FALSE(nodes.first_.isBlocked(deadly, now + 2s));
    nodes.crash(nodes.first_, { deadly }, engine(3), now + 2s);
    now += 3s;
    CHECK(nodes.first_.isBlocked(deadly, now));
    CHECK(nodes.second_.isBlocked(deadly, now));
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now));
    CHECK_FALSE(nodes.first_.isBlocked(deadly, now + CrashSuspects::blockTime));
}

// Engines lose answers and live on. A count of losses alone would refuse sound requests.
TEST_CASE("losses at engines that live count nothing")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        suspects.lost(innocent, engine(number), now);
        suspects.engineLives(engine(number));
        CHECK(suspects.engineDown(engine(number), now).empty());
    }
    suspects.lost(innocent, engine(9), now);
    CHECK(suspects.engineDown(engine(9), now + CrashSuspects::evidenceTime + 1ms).empty());
    CHECK(suspects.blocksNothing());
}

// Whole racks crash and a caller's request is unlucky twice. Its third try is answered: it must not stay suspect.
TEST_CASE("an answer clears a request")
{
    const TimePoint now {};
    Pair nodes;
    nodes.crash(nodes.first_, { innocent }, engine(1), now);
    nodes.crash(nodes.first_, { innocent }, engine(2), now);
    nodes.first_.answered(innocent, now);
    nodes.crash(nodes.first_, { innocent }, engine(3), now + 2min);
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now + 2min));
}

// Many callers ask the same thing, so it runs on many engines at any time. A rack of them crashes: three crashes at one moment, each
// with this content on board. Refusing it would turn away every one of those callers.
TEST_CASE("a content that is answered all the time isn't blocked when a rack crashes")
{
    const TimePoint now {};
    Pair nodes;
    nodes.first_.answered(innocent, now);
    nodes.second_.answered(innocent, now);
    for (std::uint64_t number = 1; number <= 3; ++number)
        nodes.crash(number == 1 ? nodes.first_ : nodes.second_, { innocent, deadly }, engine(number), now + 5s);
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now + 6s));
    CHECK_FALSE(nodes.second_.isBlocked(innocent, now + 6s));
    CHECK(nodes.first_.isBlocked(deadly, now + 6s));
}

// Marks of a node that didn't see the answers: one that did serves on.
TEST_CASE("a node that has answered a content lately doesn't take a peer's word against it")
{
    const TimePoint now {};
    Pair nodes;
    for (std::uint64_t number = 1; number <= 3; ++number)
        nodes.crash(nodes.first_, { innocent }, engine(number), now);
    CHECK(nodes.second_.isBlocked(innocent, now + 1s));
    nodes.second_.answered(innocent, now + 1s);
    CHECK_FALSE(nodes.second_.isBlocked(innocent, now + 2s));
}
