// Connects the suspects (libs/crashes) to engines and to the fleet: which requests may have crashed an engine, and which are refused.
//
// The host that lost a request checks over a new connection whether the engine is down, and reports the suspects to all hosts at once.
// Datagrams may be lost and hosts join later, so each host repeats what it knows to some others while there is something to know. A host
// that knows an answer to a request with a suspect part contradicts. What is blocked is also kept in the platform's store, for the time after
// all processes were killed.
#pragma once

#include "Context.h"
#include "crashes/CrashSuspects.h"
#include "crashes/VerdictStore.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jj {

class CrashWatch {
public:
    // How long a request with a part that was never answered waits, after its engine was lost, before it is sent to another one. By then the
    // hosts have exchanged which engines crashed.
    static constexpr Duration settlingTime = 300ms;
    // A part that crashes engines does so before this long after the first event.
    static constexpr Duration provenTime = 500ms;

    // Sends a call to the platform's store, as StoreLink::send() does.
    using StoreCalls = std::function<void(ObjectCall, CallClass, TimePoint until, SettledCompletion)>;

    CrashWatch(Context& context, std::uint64_t seed, StoreCalls store);

    RequestFingerprints fingerprintsOf(const http::Request& request) const;
    // An item of a job crashes no engine by itself, so that only the parts that it shares with requests are suspected, not its content.
    RequestFingerprints fingerprintsOf(const ItemRun& item) const;

    // ---- runs
    // Records that the connection to the engine broke. `point`: how far the answer was.
    void recordLoss(const RequestFingerprints& request, UpstreamId engine, LossPoint point);
    // Returns how far the answer of a run was at its loss now. `firstEventAt`: of this run; none: it brought no event.
    LossPoint lossPoint(const std::optional<TimePoint>& firstEventAt) const;
    void recordBegun(const RequestFingerprints& request);
    void recordAnswer(const RequestFingerprints& request, int status);
    // Returns whether the request has to wait for settlingTime before it is sent to another engine.
    bool mustSettle(const RequestFingerprints& request, LossPoint point) const;

    // ---- engines
    // The engine refuses connections: the requests that it ran may have crashed it.
    void engineDown(UpstreamId engine);
    void engineAlive(UpstreamId engine) { suspects_.engineAlive(engine); }

    // ---- decisions
    struct Verdict {
        std::optional<Fingerprint> blocked_ {}; // none: the request may be sent
        bool isTrialDue_ = false; // the request has a blocked suspect, but may be sent to one engine nevertheless, see claimTrial()
    };
    Verdict judge(const RequestFingerprints& request);
    Verdict judgeItem(const RequestFingerprints& item);
    // Counts a trial of the blocked suspect where it outlasts this process, and calls `done` with whether its request may be sent.
    void claimTrial(Fingerprint suspect, std::function<void(bool isGranted)> done) { verdicts_.claimTrial(suspect, context_.now(), std::move(done)); }
    // Gives back a granted trial whose request was not sent.
    void returnTrial(Fingerprint suspect) { verdicts_.returnTrial(suspect); }
    // Announces that this host sends a request with the blocked suspect.
    void beginTrial(Fingerprint suspect);
    void beginItemTrial(Fingerprint suspect);
    Duration blockedFor(Fingerprint suspect) const { return suspects_.blockedFor(suspect, context_.now()); }

    void handle(const SuspectRecords& message);
    // Sends what is known to a host that has just started and knows nothing.
    void onNodeStarted(NodeId node);
    void tick(TimePoint now);

private:
    RequestFingerprints fingerprintsOf(std::string_view promptParts, Fingerprint content) const;
    // Checks over a new connection whether the engine has crashed, rather than waiting until its backoff is over.
    void confirmCrash(UpstreamId engine);
    // Sends the records of the suspects to a host, or to all if `to` is none.
    void publish(const std::vector<Fingerprint>& suspects, NodeId to, bool isReply = false);
    void send(std::vector<SuspectRecord> records, NodeId to, bool isReply);
    void repeatRecords();
    bool isOwnTrialDue(Fingerprint suspect) const;
    // Logs the verdicts that have changed and hands them to the store. `isOwnEvidence`: they follow from a crash or an answer at this host.
    void applyChanges(bool isOwnEvidence);
    void logChange(const VerdictChange& change);
    void logVerdict(VerdictNote note, std::string_view key, std::error_code error);
    VerdictStoreOutlets verdictOutlets(StoreCalls store);
    // Returns whether this host is the one of all live hosts that sees to it that the verdict is stored.
    bool isKeeper(Fingerprint suspect) const;

    Context& context_;
    CrashSuspects suspects_;
    VerdictStore verdicts_;
    std::mt19937_64 random_;
    std::set<UpstreamId> confirming_; // engines that are being checked
    std::map<Fingerprint, TimePoint> contradictedAt_; // suspects for which a contradiction was sent lately
    TimePoint repeatedAt_ {};
};

// Returns the id of a suspect for logs: that of a part is the id that callers use.
std::string suspectName(Fingerprint suspect);

} // namespace jj
