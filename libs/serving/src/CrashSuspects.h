// Detects requests that crash every engine that runs them, and blocks them.
//
// Such a request crashes its engine, is resent to the next engine, or is retried by its caller at any node, and crashes one engine
// after another. To prevent this, content (host, path and body of a request) that was lost at maxCrashes engines, each of which
// was found down immediately afterwards, is refused for blockDuration on all nodes before it is sent to an engine.
//
// Innocent requests that ran on a crashed engine are lost with it. Their outcome distinguishes them: content that was answered
// recently isn't counted, and an innocent request that is sent only once is unlikely to meet three crashes in a row. A lost answer
// alone isn't counted either, because the engine may be alive and only the connection broken.
//
// Crashes are counted across nodes by marks, which membership messages spread: the n-th crash of some content is recorded as the
// mark of (content, n). Two nodes that see crashes at the same moment may set the same mark; the count is then one too low.
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
    // An innocent request can be lost to a crash on its first attempt and again on its caller's retry. A third crash in a row is
    // very unlikely to be a coincidence.
    static constexpr std::uint32_t maxCrashes = 3;
    // A crashed engine refuses connections at once. If it is found down later than this after the loss, the cause may be another one.
    static constexpr Duration crashEvidenceTime = 2s;
    // Longer than callers keep retrying a request, and short enough that a request blocked by mistake is accepted again soon.
    static constexpr Duration blockDuration = std::chrono::minutes(10);

    // Returns a hash of the parts of a request that stay the same when the caller retries it: host, path and body.
    static Fingerprint fingerprintOf(std::string_view host, std::string_view target, std::string_view body);

    // Records that the connection to `engine` broke before the request's answer was complete.
    void lost(Fingerprint content, UpstreamId engine, TimePoint now);
    // Attributes recent losses at `engine` to a crash, because connections to the engine fail. Returns the new marks, which are to
    // be sent to peers.
    std::vector<Fingerprint> engineDown(UpstreamId engine, TimePoint now);
    // Discards the losses at `engine`: the engine is alive, so only answers were lost.
    void clearLosses(UpstreamId engine);
    // Records that an engine answered the request, and removes the marks of its content.
    void recordAnswer(Fingerprint content, TimePoint now);
    // Adds a mark received from a peer.
    void addPeerMark(Fingerprint mark, Duration remaining, TimePoint now);

    bool isBlocked(Fingerprint content, TimePoint now) const;
    // Returns whether no content is marked. Callers then don't need to compute fingerprints.
    bool hasNoMarks() const { return marks_.empty(); }
    void tick(TimePoint now);

private:
    struct Loss {
        Fingerprint content_;
        TimePoint at_ {};
    };

    // For this long after an answer, crashes of the same content aren't counted: content that many callers send runs on several
    // engines at any time and is lost with each engine that crashes.
    static constexpr Duration answerRetention = std::chrono::minutes(1);
    static constexpr std::size_t maxAnswers = 4096;

    static Fingerprint markOf(Fingerprint content, std::uint32_t crashes);
    bool isMarked(Fingerprint mark, TimePoint now) const;
    bool isRecentlyAnswered(Fingerprint content, TimePoint now) const;
    void expireAnswers(TimePoint now);

    std::multimap<UpstreamId, Loss> losses_; // by engine, until the engine is found down or alive
    std::unordered_map<Fingerprint, TimePoint> marks_; // and their expiry times
    std::unordered_map<Fingerprint, TimePoint> answerTimes_; // contents, and the times of their last answers
    // Ordered by time, for expiry. Content that was answered repeatedly has several entries.
    std::deque<std::pair<TimePoint, Fingerprint>> answersByTime_;
};

} // namespace jj
