// Requests whose content takes down each engine that begins to run them.
//
// Failure met: a request crashes its engine, is sent to the next one or comes again from its caller at any node, and takes down engine
// after engine. It shows as engines that end one after the other with the same request on board. The guard: a content that was lost at
// mostCrashes engines, each of which was found down right after, is refused for blockTime on all nodes, before it is sent.
//
// The others that ran on a crashed engine are lost with it. They are told apart by what becomes of them: a content that was answered
// lately doesn't count, and an innocent one that comes once doesn't meet three crashes in a row. A loss alone counts nothing: the engine
// may live and only the answer be lost.
//
// Crashes are counted across nodes by marks that spread by membership: the n-th crash of a content is the mark of (content, n). Two nodes
// that see crashes at the same moment may set the same mark; the count is then one low.
#pragma once

#include "base/Id.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jj {

class CrashSuspects {
public:
    // A caller's retry and its first attempt may both be innocent bystanders; a third crash in a row is no accident.
    static constexpr std::uint32_t mostCrashes = 3;
    // An engine that crashed refuses connections at once. Later it may be down for another reason.
    static constexpr Duration evidenceTime = 2s;
    // Longer than callers go on with the same request, and short enough for a mistake to pass.
    static constexpr Duration blockTime = std::chrono::minutes(10);

    // Of what a caller sends again: host, path and body.
    static Fingerprint fingerprintOf(std::string_view host, std::string_view target, std::string_view body);

    // The answer of a request broke off at this engine.
    void lost(Fingerprint content, UpstreamId engine, TimePoint now);
    // The engine can't be connected to. Returns the new marks, for the peers.
    std::vector<Fingerprint> engineDown(UpstreamId engine, TimePoint now);
    // The engine lives: what was lost there was only an answer.
    void engineLives(UpstreamId engine);
    void answered(Fingerprint content, TimePoint now);
    // A peer's mark.
    void learned(Fingerprint mark, Duration remaining, TimePoint now);

    bool isBlocked(Fingerprint content, TimePoint now) const;
    // Nothing is blocked: no fingerprint needs to be computed.
    bool blocksNothing() const { return marks_.empty(); }
    void tick(TimePoint now);

private:
    struct Loss {
        Fingerprint content_;
        TimePoint at_ {};
    };

    // What many callers send alike is on several engines at any time, and goes down with each of them.
    static constexpr Duration answeredTime = std::chrono::minutes(1);
    static constexpr std::size_t mostAnswered = 4096;

    static Fingerprint markOf(Fingerprint content, std::uint32_t crashes);
    bool isMarked(Fingerprint mark, TimePoint now) const;
    bool isAnsweredLately(Fingerprint content, TimePoint now) const;
    void forgetAnswered(TimePoint now);

    std::multimap<UpstreamId, Loss> losses_; // by engine, until it is known whether that lives
    std::unordered_map<Fingerprint, TimePoint> marks_; // and when they end
    std::unordered_map<Fingerprint, TimePoint> answered_; // contents, and when they last were
    // Oldest first, for their end; a content that was answered again stands more than once.
    std::deque<std::pair<TimePoint, Fingerprint>> answeredOrder_;
};

} // namespace jj
