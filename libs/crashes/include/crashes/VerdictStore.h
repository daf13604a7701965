// Keeps verdicts about suspects in the platform's store, so that they outlast the processes of all hosts.
//
// Hosts exchange what they know, so the store is needed only after all of them have ended. Calls: one list at the start of a
// process, but for the first start of the whole system; for a verdict a write by the host whose evidence led to it, and one by its keeper, a live host that is chosen by a hash and
// makes up for a writer that ends before; one for each trial; removals by the same two hosts once the suspect is free or forgotten. None
// for a request.
//
// A trial is counted in the store before its request is sent, so that no end of processes makes it happen again. While the store doesn't
// answer there are no trials, and verdicts are written later.
#pragma once

#include "crashes/CrashSuspects.h"
#include "crashes/VerdictRecord.h"
#include "objects/CallQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace jj {

enum class VerdictNote : std::uint8_t {
    Stored,
    Removed,
    Read, // at the start of the process
    Unreadable, // an object under verdictKind that another writer made
    CallFailed,
    TrialNotCounted, // and so not granted
};

struct VerdictStoreOutlets {
    std::function<void(ObjectCall, CallClass, TimePoint until, SettledCompletion)> store_;
    std::function<WallTime()> wallNow_;
    std::function<bool(Fingerprint)> isKeeper_; // whether this host is the suspect's keeper
    std::function<void(VerdictNote, std::string_view key, std::error_code)> note_;
};

class VerdictStore {
public:
    // `suspects` must outlive this object. `seed` differs between processes. `isEmpty`: the store holds no verdicts yet.
    VerdictStore(CrashSuspects& suspects, std::uint64_t seed, bool isEmpty, VerdictStoreOutlets outlets);

    // Handles a change of a verdict. `isOwnEvidence`: it follows from a crash or an answer at this host.
    void onChange(const VerdictChange& change, bool isOwnEvidence, TimePoint now);
    void tick(TimePoint now);

    // ---- trials
    // Returns whether claimTrial() may grant a trial of a suspect for which one is due.
    bool mayClaimTrial(Fingerprint suspect, TimePoint now) const;
    // Returns whether a granted trial was given back.
    bool hasUnusedTrial(Fingerprint suspect) const { return unusedTrials_.contains(suspect); }
    // Counts a trial and calls `done` with whether the caller may send its request; at once, or within the time of a store call.
    void claimTrial(Fingerprint suspect, TimePoint now, std::function<void(bool isGranted)> done);
    // Gives back a granted trial whose request was not sent, for the next one at this host.
    void returnTrial(Fingerprint suspect);

private:
    struct Entry {
        ObjectVersion version_; // none: this host doesn't know that the verdict is stored
        bool isOwn_ = false; // this host's evidence led to the last change
        bool isCalling_ = false;
        TimePoint nextCallAt_ {};
    };

    void read(const std::string& after, TimePoint now);
    void onRead(const SettledAnswer& answer, TimePoint now);
    void restore(const std::vector<ObjectEntry>& objects, TimePoint now);
    // Writes or removes the object if this host is responsible for it and it doesn't stand as it should.
    void reconcile(Fingerprint suspect, Entry& entry, TimePoint now);
    void write(Fingerprint suspect, TimePoint now);
    void remove(Fingerprint suspect, TimePoint now);
    void readBack(Fingerprint suspect, TimePoint now);
    void onTrialWritten(Fingerprint suspect, const SettledAnswer& answer, TimePoint now, const std::function<void(bool)>& done);
    std::string textOf(Fingerprint suspect, std::uint8_t trials, TimePoint now);
    // Marks the end of the entry's call. Returns null if the suspect has no entry any more.
    Entry* endCall(Fingerprint suspect);
    void recordFailure(Fingerprint suspect, const SettledAnswer& answer, TimePoint now);

    CrashSuspects& suspects_;
    VerdictStoreOutlets outlets_;
    std::uint64_t seed_;
    std::uint64_t writes_ = 0; // so far, by this process
    // Suspects that are blocked, and those whose objects may stand although they are free.
    std::map<Fingerprint, Entry> entries_;
    std::set<Fingerprint> unusedTrials_; // suspects that have been blocked ever since their trial was granted
    bool isRead_; // all verdicts of the store were read
    bool isReading_ = false;
    std::size_t readCount_ = 0;
    TimePoint nextReadAt_ {};
    TimePoint nextReconcileAt_ {};
};

} // namespace jj
