// Tests which parts of prompts and contents are blocked when engines crash, and which are not.
#include "crashes/CrashSuspects.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace jj;

namespace {

constexpr Fingerprint shared { 0xa1 };
constexpr Fingerprint other { 0xb2 };
constexpr Fingerprint deadly { 0xdead };
constexpr Fingerprint fatal { 0xfa7a1 };

UpstreamId engine(std::uint64_t number) { return UpstreamId(number); }

// No two requests have the same content.
RequestFingerprints request(std::vector<Fingerprint> parts)
{
    static std::uint64_t contents = 1000;
    return { std::move(parts), Fingerprint(++contents) };
}

bool isBlocked(CrashSuspects& suspects, std::vector<Fingerprint> parts, TimePoint now) { return suspects.findBlocked(request(std::move(parts)), now).has_value(); }

void crash(CrashSuspects& suspects, std::uint64_t number, const std::vector<std::vector<Fingerprint>>& prompts, TimePoint now)
{
    for (const auto& parts : prompts)
        suspects.lost(request(parts), engine(number), LossPoint::BeforeAnswer, now);
    suspects.engineCrashed(engine(number), now + 1ms);
}

} // namespace

// Guards against requests that differ in all but one part of their prompts and crash one engine after the other.
TEST_CASE("a part of prompts that crashed three engines is blocked, whatever else the requests hold")
{
    const TimePoint now {};
    CrashSuspects suspects;
    suspects.recordAnswer(request({ shared }), now);
    crash(suspects, 1, { { shared, deadly }, { shared } }, now + 1s);
    crash(suspects, 2, { { shared, deadly, other } }, now + 2s);
    CHECK_FALSE(isBlocked(suspects, { shared, deadly }, now + 3s));
    crash(suspects, 3, { { deadly, shared } }, now + 3s);
    CHECK(isBlocked(suspects, { shared, deadly }, now + 4s));
    CHECK(isBlocked(suspects, { other, deadly, other }, now + 4s));
    CHECK_FALSE(isBlocked(suspects, { shared }, now + 4s));
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 4s));
}

// Guards against sound requests that are refused because their first part is in all requests that crash engines.
TEST_CASE("without any answer, a later part is blocked and the shared first part is not")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 9; ++number)
        crash(suspects, number, { { shared, deadly }, { shared } }, now + 1s * number);
    CHECK(isBlocked(suspects, { shared, deadly }, now + 10s));
    CHECK_FALSE(isBlocked(suspects, { shared }, now + 10s));
}

TEST_CASE("a first part is blocked if nothing else explains the crashes")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 4; ++number)
        crash(suspects, number, { { deadly } }, now + 1s * number);
    CHECK_FALSE(isBlocked(suspects, { deadly }, now + 5s));
    crash(suspects, 5, { { deadly } }, now + 5s);
    CHECK(isBlocked(suspects, { deadly }, now + 6s));
}

// Guards against a wrong part that stays blocked after another one has turned out to be the cause.
TEST_CASE("of two parts that always come together the later one is blocked, until one of them comes without the other")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, deadly, other } }, now + 1s * number);
    CHECK(isBlocked(suspects, { shared, other }, now + 4s));
    CHECK_FALSE(isBlocked(suspects, { shared, deadly }, now + 4s));
    crash(suspects, 4, { { shared, deadly } }, now + 4s);
    CHECK(isBlocked(suspects, { shared, deadly }, now + 5s));
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 5s));
}

TEST_CASE("two parts that crash engines at the same time are both blocked")
{
    const TimePoint now {};
    CrashSuspects suspects;
    suspects.recordAnswer(request({ shared }), now);
    for (std::uint64_t number = 1; number <= 6; ++number)
        crash(suspects, number, { { shared, number % 2 == 0 ? deadly : fatal } }, now + 1s);
    CHECK(isBlocked(suspects, { shared, deadly }, now + 2s));
    CHECK(isBlocked(suspects, { shared, fatal }, now + 2s));
    CHECK_FALSE(isBlocked(suspects, { shared }, now + 2s));
}

// Guards against sound parts that are blocked when a rack of engines loses power.
TEST_CASE("parts that were answered before are not blocked when engines crash for another reason")
{
    const TimePoint now {};
    CrashSuspects suspects;
    suspects.recordAnswer(request({ shared, other }), now);
    for (std::uint64_t number = 1; number <= 30; ++number)
        crash(suspects, number, { { shared, other }, { shared, other } }, now + 9min);
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 9min + 1s));
}

// Guards against a part that nobody can use again after it was blocked by mistake.
TEST_CASE("an answer frees a blocked part")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, other } }, now + 1s);
    REQUIRE(isBlocked(suspects, { shared, other }, now + 2s));
    CHECK(suspects.recordBegun(request({ shared, other }), now + 3s) == std::vector { shared, other });
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 4s));
    crash(suspects, 4, { { shared, other } }, now + 5s);
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 6s));
}

TEST_CASE("streams that engines had been writing say nothing against their parts")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        suspects.lost(request({ shared, other }), engine(number), LossPoint::InAnswer, now);
        suspects.engineCrashed(engine(number), now);
    }
    CHECK_FALSE(isBlocked(suspects, { shared, other }, now + 1s));
}

TEST_CASE("losses at engines that are alive, or found down much later, are no crashes")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        suspects.lost(request({ shared, other }), engine(number), LossPoint::BeforeAnswer, now);
        if (number % 2 == 0)
            suspects.engineAlive(engine(number));
        CHECK(suspects.engineCrashed(engine(number), number % 2 == 0 ? now : now + CrashSettings().confirmationTime_ + 1ms).empty());
    }
    CHECK(suspects.size() == 0);
}

// Guards against a count that is too low or too high when several hosts see the same crash.
TEST_CASE("a crash that several hosts report counts once")
{
    const TimePoint now {};
    CrashSuspects first;
    CrashSuspects second;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        crash(first, number, { { shared, deadly } }, now + 1s * number);
        crash(second, number, { { shared, deadly } }, now + 1s * number);
    }
    for (int repetition = 0; repetition < 3; ++repetition) {
        first.merge(second.recordOf(deadly, now + 3s), now + 3s);
        second.merge(first.recordOf(deadly, now + 3s), now + 3s);
    }
    CHECK_FALSE(isBlocked(first, { shared, deadly }, now + 3s));
    crash(second, 3, { { shared, deadly } }, now + 4s);
    first.merge(second.recordOf(deadly, now + 5s), now + 5s);
    CHECK(isBlocked(first, { shared, deadly }, now + 5s));
    CHECK(isBlocked(second, { shared, deadly }, now + 5s));
}

TEST_CASE("a host that knows an answer contradicts the records of others, and they free the part")
{
    const TimePoint now {};
    CrashSuspects accuser;
    CrashSuspects witness;
    witness.recordAnswer(request({ shared, other }), now);
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(accuser, number, { { shared, other } }, now + 1s);
    REQUIRE(isBlocked(accuser, { shared, other }, now + 2s));
    CHECK(witness.merge(accuser.recordOf(other, now + 2s), now + 2s).contradicts_);
    CHECK_FALSE(isBlocked(witness, { shared, other }, now + 2s));
    CHECK(accuser.merge(witness.recordOf(other, now + 2s), now + 2s).isCleared_);
    CHECK_FALSE(isBlocked(accuser, { shared, other }, now + 2s));
    CHECK_FALSE(accuser.merge(witness.recordOf(other, now + 3s), now + 3s).contradicts_);
}

// Guards against a request that comes again and again, without parts or with other ones than before.
TEST_CASE("a content that crashed three engines is blocked, and no other one")
{
    const TimePoint now {};
    CrashSuspects suspects;
    suspects.recordAnswer(request({ shared }), now);
    const RequestFingerprints same { { shared }, Fingerprint(7) };
    for (std::uint64_t number = 1; number <= 3; ++number) {
        suspects.lost(same, engine(number), LossPoint::InAnswer, now + 1s);
        suspects.engineCrashed(engine(number), now + 1s);
    }
    CHECK(suspects.findBlocked(same, now + 2s) == Fingerprint(7));
    CHECK_FALSE(isBlocked(suspects, { shared }, now + 2s));
    suspects.recordAnswer(same, now + 3s);
    CHECK_FALSE(suspects.findBlocked(same, now + 3s));
}

// Guards against trials by all hosts at once, each of which would crash another engine.
TEST_CASE("few trials of a blocked part are made, at growing intervals and by one host each")
{
    TimePoint now {};
    CrashSuspects first;
    CrashSuspects second;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(first, number, { { shared, deadly } }, now);
    second.merge(first.recordOf(deadly, now), now);
    int trials = 0;
    for (const TimePoint end = now + 24h; now < end; now += 1s) {
        REQUIRE(isBlocked(first, { shared, deadly }, now));
        REQUIRE(isBlocked(second, { shared, deadly }, now));
        CrashSuspects* const hosts[] = { &first, &second };
        for (std::size_t turn = 0; turn < 2; ++turn) {
            if (!hosts[turn]->isTrialDue(deadly, turn, now))
                continue;
            ++trials;
            hosts[turn]->recordTrial(deadly, now);
            hosts[1 - turn]->merge(hosts[turn]->recordOf(deadly, now), now);
        }
    }
    CHECK(trials == 3);
}

TEST_CASE("a part is forgotten when no request with it came for a while")
{
    TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, deadly } }, now);
    for (int minute = 0; minute < 60; ++minute) {
        now += 1min;
        suspects.tick(now);
        REQUIRE(isBlocked(suspects, { shared, deadly }, now));
    }
    CHECK(suspects.blockedFor(deadly, now) == CrashSettings().suspectLifetime_);
    now += CrashSettings().suspectLifetime_ + 1s;
    suspects.tick(now);
    CHECK_FALSE(isBlocked(suspects, { shared, deadly }, now));
    CHECK(suspects.size() == 0);
}

// Guards against a blocked part that hosts keep alive by telling each other of it when no request with it comes any more.
TEST_CASE("a suspect that one host has forgotten is not revived by another host")
{
    TimePoint now {};
    CrashSuspects first;
    CrashSuspects second;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(first, number, { { shared, deadly } }, now);
    const TimePoint lastRequestAt = now;
    for (; now < lastRequestAt + 2 * CrashSettings().suspectLifetime_; now += 1s) {
        // The hosts expire suspects at different moments.
        now - lastRequestAt < CrashSettings().suspectLifetime_ + 5s ? second.tick(now) : first.tick(now);
        for (const SuspectRecord& record : first.recordsToRepeat(now))
            second.merge(record, now);
        for (const SuspectRecord& record : second.recordsToRepeat(now))
            first.merge(record, now);
    }
    first.tick(now);
    second.tick(now);
    CHECK(first.size() == 0);
    CHECK(second.size() == 0);
}

// Guards against memory without bound, and against a caller with ever new parts that frees a blocked one.
TEST_CASE("suspects and answers are bounded, and a blocked part stays among any number of new ones")
{
    CrashSettings settings;
    settings.maxSuspects_ = 50;
    settings.maxPartAnswers_ = 100;
    TimePoint now {};
    CrashSuspects suspects(settings);
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, deadly } }, now);
    for (std::uint64_t number = 0; number < 1000; ++number) {
        now += 10ms;
        suspects.recordAnswer(request({ shared, Fingerprint(10'000 + number) }), now);
        crash(suspects, 100 + number, { { shared, Fingerprint(20'000 + number) } }, now);
    }
    CHECK(suspects.size() <= settings.maxSuspects_);
    CHECK(isBlocked(suspects, { shared, deadly }, now));
    CHECK_FALSE(isBlocked(suspects, { shared }, now));
    AnswerHistory history(10min, 100);
    for (std::uint64_t number = 0; number < 1000; ++number) {
        history.record(shared, now);
        history.record(Fingerprint(number), now += 2s);
        REQUIRE(history.size() <= 101);
    }
    CHECK(history.find(shared, now));
    CHECK_FALSE(history.find(Fingerprint(1), now));
}

TEST_CASE("records are repeated while a part is blocked, and for a while after a crash")
{
    const TimePoint now {};
    CrashSuspects suspects;
    CHECK(suspects.recordsToRepeat(now).empty());
    crash(suspects, 1, { { shared, other } }, now);
    CHECK(suspects.recordsToRepeat(now + 1s).size() == 2);
    CHECK(suspects.recordsToRepeat(now + 1min).empty());
    for (std::uint64_t number = 2; number <= 4; ++number)
        crash(suspects, number, { { shared, deadly } }, now + 1min);
    REQUIRE(isBlocked(suspects, { shared, deadly }, now + 5min));
    REQUIRE(suspects.recordsToRepeat(now + 5min).size() == 1);
    CrashSuspects joined;
    joined.merge(suspects.recordsToRepeat(now + 5min).front(), now + 5min);
    CHECK(isBlocked(joined, { shared, deadly }, now + 5min));
}

TEST_CASE("changes of verdicts name the engines that speak for them")
{
    const TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, deadly } }, now);
    const std::vector<VerdictChange> blocked = suspects.takeChanges();
    REQUIRE(blocked.size() == 1);
    CHECK(blocked.front().suspect_ == deadly);
    CHECK(blocked.front().isBlocked_);
    CHECK(blocked.front().engines_ == std::vector { engine(1), engine(2), engine(3) });
    suspects.recordAnswer(request({ deadly }), now + 1s);
    const std::vector<VerdictChange> freed = suspects.takeChanges();
    REQUIRE(freed.size() == 1);
    CHECK_FALSE(freed.front().isBlocked_);
    CHECK(suspects.takeChanges().empty());
}

// Guards against an item that isn't done before its job is due: it was at three engines that were released one after the other.
TEST_CASE("a blocked content is tried after seconds, a blocked part after half a minute")
{
    const TimePoint now {};
    const RequestFingerprints item = request({ shared });
    CrashSuspects suspects;
    suspects.recordAnswer(request({ shared }), now);
    for (std::uint64_t number = 1; number <= 3; ++number) {
        suspects.lost(item, engine(number), LossPoint::BeforeAnswer, now);
        suspects.engineCrashed(engine(number), now + 1ms);
        crash(suspects, 10 + number, { { deadly } }, now + 2ms);
        crash(suspects, 20 + number, { { deadly } }, now + 2ms);
    }
    REQUIRE(suspects.findBlocked(item, now + 1s) == item.content_);
    REQUIRE(isBlocked(suspects, { deadly }, now + 1s));
    CHECK_FALSE(suspects.isTrialDue(item.content_, 0, now + 4s));
    CHECK(suspects.isTrialDue(item.content_, 0, now + 6s));
    CHECK_FALSE(suspects.isTrialDue(item.content_, 1, now + 6s));
    CHECK_FALSE(suspects.isTrialDue(deadly, 0, now + 6s));
    CHECK(suspects.isTrialDue(deadly, 0, now + 31s));
    // Trials of a content that does crash engines come at long intervals all the same.
    suspects.recordTrial(item.content_, now + 6s);
    CHECK_FALSE(suspects.isTrialDue(item.content_, 0, now + 60s));
}

// Guards against an item that is never placed again because engines crashed while they ran it.
TEST_CASE("items with a blocked part are tried every few seconds, without end")
{
    TimePoint now {};
    CrashSuspects suspects;
    for (std::uint64_t number = 1; number <= 3; ++number)
        crash(suspects, number, { { shared, deadly } }, now);
    const CrashSettings settings;
    const TimePoint blockedAt = now;
    TimePoint triedAt = now;
    std::uint64_t trials = 0;
    for (; now < blockedAt + 10min; now += 100ms) {
        REQUIRE(isBlocked(suspects, { shared, deadly }, now));
        CHECK(now - triedAt <= settings.itemTrialDelays_.back() + 100ms);
        if (!suspects.isItemTrialDue(deadly, now))
            continue;
        suspects.recordItemTrial(deadly, now);
        triedAt = now;
        ++trials;
        crash(suspects, 100 + trials, { { shared, deadly } }, now);
    }
    CHECK(trials >= 59);
    suspects.recordAnswer(request({ shared, deadly }), now);
    CHECK_FALSE(isBlocked(suspects, { shared, deadly }, now));
}

// Guards against a faster way to the verdicts that blocks other suspects.
TEST_CASE("what is blocked is what explains most crashes, one after the other")
{
    constexpr std::uint64_t parts = 12;
    constexpr std::uint64_t engines = 12;
    std::mt19937 random(7);
    const CrashSettings settings;
    for (int round = 0; round < 300; ++round) {
        const TimePoint now {};
        CrashSuspects suspects;
        std::map<Fingerprint, std::set<std::uint64_t>> at; // the engines that crashed with it
        std::map<Fingerprint, std::size_t> depths;
        for (std::uint64_t number = 1; number <= engines; ++number) {
            std::vector<Fingerprint> prompt;
            for (std::uint64_t length = 1 + random() % 4; length > 0; --length)
                prompt.emplace_back(1 + random() % parts);
            for (std::size_t place = 0; place < prompt.size(); ++place) {
                at[prompt[place]].insert(number);
                depths[prompt[place]] = std::max(depths[prompt[place]], place);
            }
            suspects.lost({ prompt, Fingerprint::none() }, engine(number), LossPoint::BeforeAnswer, now);
            suspects.engineCrashed(engine(number), now + 1ms);
        }
        std::set<Fingerprint> guilty;
        std::set<std::uint64_t> explained;
        for (bool isFound = true; isFound;) {
            isFound = false;
            std::tuple<bool, std::size_t, std::size_t> best;
            Fingerprint next;
            for (const auto& [part, crashed] : at) {
                const auto unexplained = static_cast<std::size_t>(std::count_if(crashed.begin(), crashed.end(), [&](std::uint64_t one) { return !explained.contains(one); }));
                const std::tuple rank { depths[part] != 0, unexplained, depths[part] };
                const bool isEnough = unexplained >= (depths[part] == 0 ? settings.crashesToBlockFirstPart_ : settings.crashesToBlock_);
                if (!isEnough || (isFound && rank <= best))
                    continue;
                isFound = true;
                best = rank;
                next = part;
            }
            if (!isFound)
                break;
            guilty.insert(next);
            explained.insert(at[next].begin(), at[next].end());
        }
        for (const auto& [part, crashed] : at)
            CHECK(suspects.isBlocked(part) == guilty.contains(part));
    }
}
