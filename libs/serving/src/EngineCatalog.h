// Holds the engines that this node knows, and builds the updates that it sends to peers. It uses no store, socket or clock of its
// own: callers pass in changes and times.
//
// Each change or removal of an engine's entry has a store version. A node that reports version V has applied all changes up to V.
// Peers that are behind request an update from one such node and then report V themselves. So the answer of that node must contain
// every change up to V that the requester lacks, because the requester won't request it again. A node that took over a whole state
// without the removals that led to it therefore names all engines in its answer; see RemovalHistory.h.
//
// Entries of live engines expire while the store is unavailable, and the engines register again within seconds of its recovery. So
// an engine whose entry is missing right after an outage stays in use for a grace period. Updates name such engines with the time
// that remains, and each node removes them by itself when that time is over.
#pragma once

#include "DecisionLog.h"
#include "PeerMessages.h"
#include "RemovalHistory.h"
#include "serving/Translation.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jj {

// The store's versions at the time the first and the last page of a list were read.
struct PageVersions {
    ObjectVersion first_;
    ObjectVersion last_;
};

class EngineCatalog {
public:
    using Changed = std::function<void(const EngineEntry&)>;
    using Removed = std::function<void(const EngineEntry&)>;

    EngineCatalog(const Translation& translation, DecisionLog& log, std::map<std::string, std::string> regions, Changed changed, Removed removed);

    // ---- from the store

    // Applies a complete list of entries with values. An engine that isn't listed was removed; it stays in use for `grace`.
    void list(const std::vector<ObjectEntry>& entries, PageVersions versions, TimePoint now, Duration grace);
    // Applies the changes that a long-poll call returned: all changes between the store's previous answer and `version`, in order.
    void applyChanges(const std::vector<ObjectChange>& changes, ObjectVersion version, TimePoint now, Duration grace);

    // Removes the missing engines whose grace period is over.
    void tick(TimePoint now);

    // ---- between nodes

    // Returns the version up to which all changes have been applied; 0 if there are none.
    std::uint64_t version() const { return appliedVersion_; }
    // Raises version() to `version`, which a peer has reported, if the store's answers already cover it. Returns whether all changes
    // up to `version` have been applied.
    bool tryAdvanceTo(std::uint64_t version);
    bool isInitialized() const { return isInitialized_; }
    void forEach(const std::function<void(const EngineEntry&)>& visit) const;
    // Builds an update for a peer that has applied all changes up to `since`.
    EngineUpdate updateSince(std::uint64_t since, TimePoint now) const;
    // Applies an update from a peer; `peer` is the sender's name for the log.
    void applyUpdate(const EngineUpdate& update, std::string_view peer, TimePoint now);

private:
    struct KnownEngine {
        EngineEntry entry_;
        ObjectVersion version_;
        // Time at which this node removes an engine whose entry is missing; neverTime if the entry isn't missing. Invariant: if it
        // isn't neverTime, the store removed the entry at removalVersion_.
        TimePoint removeAt_ = neverTime;
        ObjectVersion removalVersion_;

        bool isMissing() const { return removeAt_ != neverTime; }
    };

    // Returns a log line for one engine. While a long update of a peer is applied the line is dropped: the peer that received these changes
    // from the store has logged them, and enginesByPeer states their number.
    DecisionLog::Line changeLine(std::string_view event);
    // Applies an entry as the store has it.
    void putValue(const std::string& key, const std::string& value, ObjectVersion version);
    void put(const std::string& key, const EngineEntry& engine, ObjectVersion version);
    // Applies an entry from an answer of the store that shows the state at version `answerVersion`.
    void putFromAnswer(const std::string& key, const std::string& value, ObjectVersion version, ObjectVersion answerVersion);
    void handleRemoval(const std::string& key, ObjectVersion version, TimePoint now, Duration grace);
    void advanceTo(std::uint64_t version);
    bool isOlder(const std::string& key, ObjectVersion version) const;
    void markMissing(const std::string& key, ObjectVersion version, TimePoint removeAt);
    void remove(const std::string& key, ObjectVersion version, std::string_view why);
    // Applies the listed entries that are not newer than `version`, the version of the list's first page, and returns their keys.
    std::set<std::string> putFromList(const std::vector<ObjectEntry>& entries, ObjectVersion version);
    // Returns the keys of known engines that are not in `named`.
    std::vector<std::string> keysNotIn(const std::set<std::string>& named) const;
    static bool isCompleteFrom(std::uint64_t version, const EngineUpdate& update);
    void removeUnlisted(const EngineUpdate& whole);
    void applyMissing(const EngineUpdate& update, TimePoint now);

    const Translation& translation_;
    DecisionLog& log_;
    std::map<std::string, std::string> regions_; // by failure domain
    Changed changed_;
    Removed removed_;
    std::map<std::string, KnownEngine> engines_; // by the entry's key. Invariant: no entry's version is higher than appliedVersion_.
    RemovalHistory removals_; // for peers that have an engine's entry but not its removal
    std::uint64_t appliedVersion_ = 0; // version up to which all changes of engines have been applied
    // The store's version in its last answer. Between appliedVersion_ and this version no engine changed, except for engines that were
    // added and removed again. Most store versions belong to other objects, so this version isn't reported to peers.
    std::uint64_t answeredVersion_ = 0;
    bool isInitialized_ = false;
    bool isApplyingLongUpdate_ = false;
    // Lower bound of the times at which missing engines are removed; neverTime if no engine is missing.
    TimePoint nextRemovalAt_ = neverTime;
};

} // namespace jj
