// Finds out what requests that crash engines have in common, and blocks it.
//
//     CrashSuspects suspects(CrashSettings {});
//     suspects.lost(request, engine, LossPoint::BeforeAnswer, now);    // a connection broke
//     for (Fingerprint one : suspects.engineCrashed(engine, now)) ...  // the engine refuses connections: to be sent to other hosts
//     suspects.merge(record, now);                                     // of another host
//     if (suspects.findBlocked(request, now)) ...                      // refuse the request
//
// Requests may share parts of their prompts, or be the same altogether. A suspect is a part, or the whole content (host, path and body) of
// a request. The host counts for each suspect the engines that crashed with it, as a set of engine starts, so that it doesn't matter how
// many hosts saw a crash and how often they report it.
//
// An engine that crashed before it had answered a request is evidence against each suspect in the request. An answer is evidence for them:
// since a guilty suspect crashes every engine, one answer, at any host, invalidates all crashes before it, and those of a while after it.
// The first part that all sound prompts share is therefore never guilty, although it is in all requests that crash engines.
//
// A crash has one cause. If several suspects were at the crashed engines, the one that explains most crashes is blocked first, and the
// crashes that it explains don't count against the others. Of suspects that explain the same crashes the narrowest one is blocked, the
// whole content before a part and a later part of a prompt before an earlier one, because other requests with the wider one may be sound.
//
// A blocked suspect stays blocked while requests with it come. A few of them are let through at growing intervals: if an engine answers,
// the suspect is free on all hosts at once.
#pragma once

#include "base/Id.h"
#include "base/Time.h"
#include "crashes/AnswerHistory.h"
#include "crashes/SuspectMessages.h"
#include "crashes/VerdictRecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jj {

struct CrashSettings {
    // A sound part is unlikely to reach this by coincidence: it would have to be new to all hosts and be at three engines that crash.
    std::size_t crashesToBlock_ = 3;
    // The first part is shared by most requests of a kind; blocking it by mistake would refuse them all.
    std::size_t crashesToBlockFirstPart_ = 5;
    // A crashed engine refuses connections at once. If it is found down later than this after a loss, the cause may be another one.
    Duration confirmationTime_ = 2s;
    // A suspect is forgotten this long after the last crash or request with it.
    Duration suspectLifetime_ = std::chrono::minutes(10);
    // Crashes don't count for this long after an answer. For a part it is longer than engines need to recover from a trouble in which
    // nothing is answered.
    Duration partAnswerLifetime_ = std::chrono::minutes(10);
    Duration contentAnswerLifetime_ = std::chrono::minutes(1);
    // Times from the blocking of a suspect to the trials. After the last one it stays blocked while requests with it come.
    std::array<Duration, 3> trialDelays_ { 30s, std::chrono::minutes(5), std::chrono::minutes(50) };
    // The same for a whole content. No request with another content is at risk.
    std::array<Duration, 3> contentTrialDelays_ { 5s, std::chrono::minutes(5), std::chrono::minutes(50) };
    // The same for items of jobs, counted from the last crash or trial; the last one repeats. An item crashes no engine by itself and is owed to
    // its caller, so the delays stay short against the time until it is due.
    std::array<Duration, 2> itemTrialDelays_ { 5s, 10s };
    // When a trial is due, hosts get the opportunity one after the other, for this long each.
    Duration trialTurn_ = 2s;
    // A record is repeated for this long after the last crash; that of a blocked suspect as long as it is blocked.
    Duration repeatTime_ = 30s;
    std::size_t maxSuspects_ = 1024; // about 0.5 KB each
    std::size_t maxPartAnswers_ = 8192; // about 0.1 KB each
    std::size_t maxContentAnswers_ = 4096;
};

// What a request may share with others that crash engines.
struct RequestFingerprints {
    std::vector<Fingerprint> parts_ {}; // parts of its prompt that other requests may have too, in their order
    Fingerprint content_ {};
};

enum class LossPoint : std::uint8_t {
    BeforeAnswer, // nothing of the answer had arrived, or only its beginning, a moment ago
    InAnswer, // the engine had been writing the answer for a while: its parts have crashed nothing
};

// A suspect that was blocked or is no longer blocked.
struct VerdictChange {
    Fingerprint suspect_;
    bool isBlocked_ = false;
    bool isContent_ = false;
    std::vector<UpstreamId> engines_; // whose crashes count against it
};

class CrashSuspects {
public:
    explicit CrashSuspects(CrashSettings settings = {});

    // ---- evidence of this host
    // Records that a connection broke before the request's answer was complete.
    void lost(const RequestFingerprints& request, UpstreamId engine, LossPoint point, TimePoint now);
    // Attributes the recent losses at the engine to a crash. Returns the suspects with a new crash that counts.
    std::vector<Fingerprint> engineCrashed(UpstreamId engine, TimePoint now);
    // Discards the losses at the engine: it is alive, so only answers were lost.
    void engineAlive(UpstreamId engine) { losses_.erase(engine); }
    // Records that an engine has been writing an answer for a while. Returns the suspects that are cleared by it.
    std::vector<Fingerprint> recordBegun(const RequestFingerprints& request, TimePoint now);
    // Records a complete answer. Returns the suspects that are cleared by it.
    std::vector<Fingerprint> recordAnswer(const RequestFingerprints& request, TimePoint now);

    // ---- decisions
    // Returns whether an answer is known for each shared part of the request.
    bool areAllPartsAnswered(const RequestFingerprints& request, TimePoint now) const;
    // Returns the narrowest blocked suspect of the request; none: it may be sent. Notes that the suspect is still requested.
    std::optional<Fingerprint> findBlocked(const RequestFingerprints& request, TimePoint now);
    // Returns how long the suspect stays blocked if no further request with it comes.
    Duration blockedFor(Fingerprint suspect, TimePoint now) const;
    // Returns whether a trial is due at a host whose turn comes after those of `turn` other hosts.
    bool isTrialDue(Fingerprint suspect, std::size_t turn, TimePoint now) const;
    // Returns the number of trials so far; increased by recordTrial().
    std::uint8_t trials(Fingerprint suspect) const;
    void recordTrial(Fingerprint suspect, TimePoint now);
    // Returns whether this host may run an item of a job although it has the blocked suspect.
    bool isItemTrialDue(Fingerprint suspect, TimePoint now) const;
    void recordItemTrial(Fingerprint suspect, TimePoint now);
    bool hasBlocked() const { return !blocked_.empty(); }
    bool isBlocked(Fingerprint suspect) const { return blocked_.contains(suspect); }
    // Returns for how long the suspect has been blocked; zero if it isn't.
    Duration blockedAge(Fingerprint suspect, TimePoint now) const;
    std::size_t size() const { return suspects_.size(); }

    // ---- other hosts
    SuspectRecord recordOf(Fingerprint suspect, TimePoint now) const;
    struct MergeResult {
        bool contradicts_ = false; // this host knows an answer that invalidates the record's crashes
        bool isCleared_ = false; // the record invalidates all crashes of the suspect that this host knew
    };
    MergeResult merge(const SuspectRecord& record, TimePoint now);
    // Merges what is known of suspects that were blocked before this process knew of them. Their trials are due by the times of those verdicts.
    void restore(const std::vector<VerdictRecord>& verdicts, TimePoint now);
    // Returns the next records that hosts which may have missed them should get: blocked suspects, and those with recent crashes.
    std::vector<SuspectRecord> recordsToRepeat(TimePoint now);

    // Returns the changes since the last call, for the log.
    std::vector<VerdictChange> takeChanges() { return std::exchange(changes_, {}); }
    void tick(TimePoint now);

private:
    static constexpr std::uint8_t contentDepth = UINT8_MAX;

    struct Crash {
        UpstreamId engine_;
        TimePoint at_ {};
    };
    struct Suspect {
        // The last place in a prompt where the part was seen, from 0; contentDepth for a whole content. The deeper, the narrower.
        std::uint8_t depth_ = 0;
        std::uint8_t trials_ = 0;
        std::vector<Crash> crashes_; // one an engine, at most maxCrashesPerSuspect, the oldest first
        std::optional<TimePoint> answeredAt_ {}; // last answer that is known, of any host
        TimePoint activeAt_ {}; // last crash, or request that was refused, at any host
        TimePoint blockedAt_ {}; // only valid for suspects in blocked_
        std::size_t itemTrials_ = 0; // of this host, since the suspect was blocked
        TimePoint itemTriedAt_ {};
    };
    struct Loss {
        RequestFingerprints request_;
        TimePoint at_ {};
    };

    Duration answerLifetime(std::uint8_t depth) const { return depth == contentDepth ? settings_.contentAnswerLifetime_ : settings_.partAnswerLifetime_; }
    // Returns whether a crash at this time counts, if the last answer is the given one.
    bool doesCount(TimePoint crashAt, const std::optional<TimePoint>& answeredAt, std::uint8_t depth) const { return !answeredAt || crashAt - *answeredAt > answerLifetime(depth); }
    std::vector<UpstreamId> countedEngines(const Suspect& suspect) const;
    Suspect& findOrAdd(Fingerprint fingerprint, std::uint8_t depth, TimePoint now);
    void makeRoom();
    bool addCrash(Suspect& suspect, UpstreamId engine, TimePoint at);
    // Records an answer to requests with it. Returns whether the suspect is cleared by it.
    bool clear(Fingerprint fingerprint, TimePoint now);
    // Adds what a record says to the evidence. Returns whether verdicts have to be computed anew.
    bool addEvidence(const SuspectRecord& record, TimePoint now, MergeResult& result);
    // Computes blocked_ from all evidence.
    void judge(TimePoint now);
    std::set<Fingerprint> findGuilty() const;

    CrashSettings settings_;
    AnswerHistory partAnswers_;
    AnswerHistory contentAnswers_;
    std::multimap<UpstreamId, Loss> losses_; // by engine, until the engine is known to have crashed or to be alive
    std::map<Fingerprint, Suspect> suspects_;
    // Invariant: a subset of suspects_, none of which has an answer that invalidates all of its crashes.
    std::set<Fingerprint> blocked_;
    std::vector<VerdictChange> changes_;
    Fingerprint repeated_; // last one that recordsToRepeat() returned
};

} // namespace jj
