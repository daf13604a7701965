// Tests how requests that crash engines are blocked while innocent requests that ran on the same engines are not.
#include "CrashSuspects.h"

#include <doctest/doctest.h>
#include <vector>

using namespace jj;

namespace {

const Fingerprint crashing = CrashSuspects::fingerprintOf("h", "/ask", "deadly");
const Fingerprint innocent = CrashSuspects::fingerprintOf("h", "/ask", "innocent");

UpstreamId engine(std::uint64_t number) { return UpstreamId(number); }

// Two nodes that exchange their marks.
struct Pair {
    CrashSuspects first_;
    CrashSuspects second_;

    void crash(CrashSuspects& at, const std::vector<Fingerprint>& contents, UpstreamId on, TimePoint now)
    {
        for (const Fingerprint content : contents)
            at.lost(content, on, now);
        CrashSuspects& other = &at == &first_ ? second_ : first_;
        for (const Fingerprint mark : at.engineDown(on, now + 100ms))
            other.addPeerMark(mark, CrashSuspects::blockDuration, now + 200ms);
    }
};

} // namespace

// A request crashes its engine, is resent and crashes the next one. Its caller retries at another node, and a third engine crashes.
// Without a crash count shared by all nodes, each node would send the request to further engines.
TEST_CASE("a request that crashed three engines is refused on all nodes")
{
    TimePoint now {};
    Pair nodes;
    nodes.crash(nodes.first_, { crashing, innocent }, engine(1), now);
    nodes.crash(nodes.second_, { crashing }, engine(2), now + 1s);
    CHECK_FALSE(nodes.first_.isBlocked(crashing, now + 2s));
    nodes.crash(nodes.first_, { crashing }, engine(3), now + 2s);
    now += 3s;
    CHECK(nodes.first_.isBlocked(crashing, now));
    CHECK(nodes.second_.isBlocked(crashing, now));
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now));
    CHECK_FALSE(nodes.first_.isBlocked(crashing, now + CrashSuspects::blockDuration));
}

// Connections break while their engines stay alive. Counting every lost answer as a crash would block healthy requests.
TEST_CASE("losses at engines that stay alive aren't counted as crashes")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        suspects.lost(innocent, engine(number), now);
        suspects.clearLosses(engine(number));
        CHECK(suspects.engineDown(engine(number), now).empty());
    }
    suspects.lost(innocent, engine(9), now);
    CHECK(suspects.engineDown(engine(9), now + CrashSuspects::crashEvidenceTime + 1ms).empty());
    CHECK(suspects.hasNoMarks());
}

// When whole racks crash, an innocent request can be lost twice. If its third attempt is answered, it must no longer be suspected.
TEST_CASE("an answer clears a suspected request")
{
    const TimePoint now {};
    Pair nodes;
    nodes.crash(nodes.first_, { innocent }, engine(1), now);
    nodes.crash(nodes.first_, { innocent }, engine(2), now);
    nodes.first_.recordAnswer(innocent, now);
    nodes.crash(nodes.first_, { innocent }, engine(3), now + 2min);
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now + 2min));
}

// Many callers send the same content, so it runs on many engines at any time. When a rack of engines crashes, three crashes occur
// at once with this content on each engine. Blocking it would refuse all of those callers.
TEST_CASE("content that is answered continually isn't blocked when a rack crashes")
{
    const TimePoint now {};
    Pair nodes;
    nodes.first_.recordAnswer(innocent, now);
    nodes.second_.recordAnswer(innocent, now);
    for (std::uint64_t number = 1; number <= 3; ++number)
        nodes.crash(number == 1 ? nodes.first_ : nodes.second_, { innocent, crashing }, engine(number), now + 5s);
    CHECK_FALSE(nodes.first_.isBlocked(innocent, now + 6s));
    CHECK_FALSE(nodes.second_.isBlocked(innocent, now + 6s));
    CHECK(nodes.first_.isBlocked(crashing, now + 6s));
}

// A node that didn't see the answers to some content sends marks against it. A node that did see them keeps accepting the content.
TEST_CASE("a node that has answered some content recently ignores a peer's marks against it")
{
    const TimePoint now {};
    Pair nodes;
    for (std::uint64_t number = 1; number <= 3; ++number)
        nodes.crash(nodes.first_, { innocent }, engine(number), now);
    CHECK(nodes.second_.isBlocked(innocent, now + 1s));
    nodes.second_.recordAnswer(innocent, now + 1s);
    CHECK_FALSE(nodes.second_.isBlocked(innocent, now + 2s));
}
